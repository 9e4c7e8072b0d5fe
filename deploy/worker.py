"""Starts `ibisknot-worker` from the sources beside this folder."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from ibisknot.platform import programs  # noqa: E402

programs.worker()
