"""Fixtures shared by the tests."""

from collections.abc import Iterator
import json
import pathlib
import signal
import subprocess
import sys
from typing import Any

import pytest

BIN = pathlib.Path(sys.executable).parent


@pytest.fixture(scope="session")
def fleet() -> Iterator[dict[str, Any]]:
    """A local fleet of real processes, as `ibisknot-load fleet` has it."""
    command = [str(BIN / "ibisknot-load"), "fleet", "--json"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        line = process.stdout.readline()
        assert line, "the fleet did not start"
        yield json.loads(line)
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=60)


@pytest.fixture
def anyio_backend() -> str:
    """Runs async tests on asyncio, as the programs do."""
    return "asyncio"
