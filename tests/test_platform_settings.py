"""The platform's settings file and the programs' command line."""

import os
import pathlib
import subprocess
import sys

import platform_fleet
import pytest

from ibisknot import deployment
from ibisknot import errors
from ibisknot.platform import settings

GATEWAY = pathlib.Path(sys.executable).parent / "ibisknot-gateway"


def _settings_text(**changed: str) -> str:
    fields = {
        "name": "front-1",
        "kind": "front",
        "ip": "10.0.0.1",
        "zone": "z",
        "seed": "10.0.0.2",
        "peer_port": "7360",
        "listen": 'Front = "10.0.0.1:80"',
        "store": "10.9.9.9:1",
        "grace_s": str(platform_fleet.GRACE_S),
        "memory_mb": "300",
        "descriptors": "4100",
    }
    return platform_fleet.SETTINGS.format(**(fields | changed))


def test_settings_are_decoded_into_the_product_fields() -> None:
    """Guards against a field that is decoded into the wrong one."""
    added = "SettleMs = 1000\nEvacMs = 4000\nColdOverage = 1.25\nColdSlack = 3"
    text = _settings_text().replace("SettleMs = 1000", added)
    process = settings.decode(text)
    assert process.kind == deployment.GATEWAY
    assert process.peer_address == "10.0.0.1:7360"
    assert process.seeds == ("10.0.0.2:7360",)
    assert process.bounds.drain_s == 2.0
    assert process.bounds.grace_s == 8.0
    assert process.bounds.evacuation_s == 4.0
    assert process.bounds.cold_overage == 1.25
    assert process.bounds.cold_slack == 3.0
    assert process.memory_bytes == 300 * 1024 * 1024


def test_unknown_fields_are_ignored() -> None:
    """Guards against programs that fail on a new field of the platform."""
    assert settings.decode("Fresh = [1]\n" + _settings_text()).name == "front-1"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("nonsense", "settings:"),
        (_settings_text(kind="side"), "MachineClass is 'side'"),
        (_settings_text().replace("Node =", "Nod ="), "Node"),
        (_settings_text(peer_port='"x"'), "PortRange"),
    ],
)
def test_invalid_settings_are_an_error(text: str, expected: str) -> None:
    """Guards against invalid settings that are accepted or not named."""
    with pytest.raises(errors.SettingsError, match=expected):
        settings.decode(text)


@pytest.mark.parametrize(("kind", "status"), [("front", 0), ("side", 2)])
def test_command_line_checks_the_settings(
    tmp_path: pathlib.Path, kind: str, status: int
) -> None:
    """Guards against a check that runs the program, or always succeeds."""
    path = tmp_path / "node.toml"
    path.write_text(_settings_text(kind=kind))
    environment = dict(os.environ) | {"IBISKNOT_SETTINGS": str(path)}
    completed = subprocess.run(
        [str(GATEWAY), "--check-settings"],
        env=environment,
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == status, completed.stderr
