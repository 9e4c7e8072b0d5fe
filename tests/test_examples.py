"""Runs the examples against a local fleet."""

import os
import pathlib
import subprocess
import sys
from typing import Any

import conftest

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def run_example(command: list[str], fleet: dict[str, Any]) -> str:
    organisation = fleet["organisations"][0]
    environment = {
        "BASE_URL": fleet["base_urls"][0],
        "KEY": organisation["key"],
    }
    process = subprocess.run(
        command,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 0, process.stderr
    return process.stdout


def test_chat_example(fleet: dict[str, Any]) -> None:
    """Guards against an example that no longer runs."""
    output = run_example([sys.executable, str(EXAMPLES / "chat.py")], fleet)
    assert len(output.split()) == 32


def test_batch_example(fleet: dict[str, Any]) -> None:
    """Guards against an example that no longer runs."""
    output = run_example([sys.executable, str(EXAMPLES / "batch.py")], fleet)
    assert output.startswith("completed")
    assert output.count("custom_id") == 20


def test_intent_example(fleet: dict[str, Any]) -> None:
    """Guards against an example intent that cannot be planned."""
    url, key = fleet["operator_url"], fleet["operator_key"]
    program = str(conftest.BIN / "ibisknotctl")
    command = [program, "--url", url, "--key", key, "plan"]
    output = run_example([*command, str(EXAMPLES / "intent.json")], fleet)
    assert "umurunga-shop" in output
