"""The command line of the programs on the users' platform.

It is loaded only when a program is given arguments: the platform starts the
programs with none, and their start is on the way of each restart.
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


def run() -> None:
    """Carries out what the arguments ask for, and exits.

    Raises:
        SettingsError: The settings are invalid.
    """
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    if arguments.check_settings:
        path = settings.path_from_environment()
        settings.load(path)
        print(f"{path}: valid")
    raise SystemExit(0)
