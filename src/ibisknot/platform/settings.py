"""Decodes the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from typing import Any

import msgspec

from ibisknot import deployment
from ibisknot import errors

PATH_VARIABLE = "IBISKNOT_SETTINGS"
METRICS_PORT = 9464
_KINDS = {"front": deployment.GATEWAY, "store": deployment.WORKER}


class _Listen(msgspec.Struct):
    Front: str | None = None
    Ready: str | None = None


class _Limits(msgspec.Struct):
    MemoryMb: int = 256
    MaxFds: int = 4096


class _Bounds(msgspec.Struct):
    DrainMs: float = 2000
    GraceS: float = 8
    FinishS: float = 18
    StatusS: float = 120
    CancelMs: float = 3000
    SettleMs: float = 1000
    EvacMs: float = 5000
    ColdOverage: float = 1.5
    ColdSlack: float = 5


class _Platform(msgspec.Struct):
    Address: str
    ValueBytes: int = 1024 * 1024
    TtlMinMs: float = 1000


class _File(msgspec.Struct):
    """Fields of the file that the product uses; others are ignored."""

    Node: str
    MachineClass: str
    Ip: str
    Zone: str
    PortRange: list[int]
    Platform: _Platform
    Listen: _Listen = msgspec.field(default_factory=_Listen)
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    Seeds: list[str] = []
    DataDir: str | None = None
    Region: str = ""
    Zones: Any = None


def path_from_environment() -> str:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set")
    return path


def load(path: str) -> deployment.Process:
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise errors.SettingsError(message) from None
    return decode(text, name=path)


def decode(text: str, *, name: str = "settings") -> deployment.Process:
    """Decodes the text of a settings file.

    Args:
        text: The text in TOML.
        name: Name of the text in error messages.

    Raises:
        SettingsError: The text is not TOML, or a field is missing or invalid.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(text)
        file = msgspec.convert(raw, _File)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise errors.SettingsError(f"{name}: {error}") from None
    if file.MachineClass not in _KINDS:
        allowed = " or ".join(sorted(_KINDS))
        message = (
            f"{name}: MachineClass is {file.MachineClass!r}, not {allowed}"
        )
        raise errors.SettingsError(message)
    if not file.PortRange:
        raise errors.SettingsError(f"{name}: PortRange is empty")
    return _make_process(file)


def _regions(file: _File) -> dict[str, str]:
    """Returns the regions of the data centres that the file names.

    Entries that are no names are left out.
    """
    zones = file.Zones if isinstance(file.Zones, dict) else {}
    regions = {
        zone: region
        for zone, region in zones.items()
        if isinstance(region, str) and region
    }
    if file.Region:
        regions.setdefault(file.Zone, file.Region)
    return regions


def _make_process(file: _File) -> deployment.Process:
    port = file.PortRange[0]
    # A seed is the control address of a VM. The port for peers is the same on
    # every VM.
    seed_addresses = tuple(f"{s.rpartition(':')[0]}:{port}" for s in file.Seeds)
    bounds = file.Bounds
    return deployment.Process(
        name=file.Node,
        kind=_KINDS[file.MachineClass],
        ip=file.Ip,
        data_centre=file.Zone,
        peer_port=port,
        listen=file.Listen.Front,
        ready_listen=file.Listen.Ready,
        metrics_port=METRICS_PORT,
        seeds=seed_addresses,
        store=file.Platform.Address,
        value_bytes=file.Platform.ValueBytes,
        lease_minimum_s=file.Platform.TtlMinMs / 1000,
        memory_bytes=file.Limits.MemoryMb * 1024 * 1024,
        descriptors=file.Limits.MaxFds,
        data_folder=file.DataDir,
        bounds=deployment.Bounds(
            drain_s=bounds.DrainMs / 1000,
            grace_s=bounds.GraceS,
            finish_s=bounds.FinishS,
            status_s=bounds.StatusS,
            cancel_s=bounds.CancelMs / 1000,
            settle_s=bounds.SettleMs / 1000,
            evacuation_s=bounds.EvacMs / 1000,
            cold_overage=bounds.ColdOverage,
            cold_slack=bounds.ColdSlack,
        ),
        regions=_regions(file),
    )
