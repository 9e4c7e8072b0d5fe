"""Settings files."""

import pathlib
import subprocess

import conftest
import pytest

VALID = """{
  // The VM that the store runs on.
  "vm": {"name": "vm-1", "data_centre": "a", "address": "127.0.0.1"},
  "key_value": {"url": "http://127.0.0.1:2379"},
  "vm_list": {"url": "http://127.0.0.1:2380/vms"},
  "data_folder": "data",
}"""


def check_settings(tmp_path: pathlib.Path, text: str) -> tuple[int, str]:
    path = tmp_path / "store.json"
    path.write_text(text)
    program = str(conftest.BIN / "ibisknot-store")
    process = subprocess.run(
        [program, str(path), "--check-settings"],
        capture_output=True,
        text=True,
        check=False,
    )
    return process.returncode, process.stderr


def test_valid_settings_with_comments(tmp_path: pathlib.Path) -> None:
    """Guards against settings files refused for comments or trailing commas."""
    assert check_settings(tmp_path, VALID) == (0, "")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"name"', '"nmae"', "nmae"),
        ('"data"', "7", "$.data_folder"),
        ('"data",', '"data", "peer_port": 70000', "$.peer_port"),
        ('"data_folder": "data",', "", "data_folder"),
        ("}", "", "not valid JSON"),
    ],
)
def test_invalid_settings_exit_2_with_one_line(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    """Guards against settings errors without the file and the key."""
    status, output = check_settings(tmp_path, VALID.replace(old, new))
    assert status == 2
    assert len(output.splitlines()) == 1
    assert "store.json" in output
    assert expected in output
