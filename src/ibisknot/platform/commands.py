"""Command line of the programs on the users' platform.

The module is imported only if a program has arguments. The platform starts the
programs without arguments, and the import would delay each restart.
"""

import dataclasses
from typing import Annotated

import cappa

import ibisknot
from ibisknot.platform import settings


@dataclasses.dataclass
class Arguments:
    """Serves on the users' platform.

    The environment variable IBISKNOT_SETTINGS names the settings file.
    """

    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


def run_command() -> None:
    """Runs the command that the arguments name, and exits.

    Raises:
        SettingsError: The settings are invalid.
    """
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    if arguments.check_settings:
        path = settings.path_from_environment()
        settings.load(path)
        print(f"{path}: valid")
    raise SystemExit(0)
