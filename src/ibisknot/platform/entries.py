"""Decodes the engines' entries in the platform's key-value service."""

import msgspec

from ibisknot import fleet_endpoint
from ibisknot import http11
from ibisknot import pairs

KEY_PREFIX = "servers/"
MAX_SLOTS = 100_000
MAX_BORN_MS = 1 << 53
"""Largest integer that every JSON decoder keeps exactly."""
MAX_PORT = 65_535
MAX_COLD_MS = 3_600_000
_IS_DRAINING = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    State: str
    Slots: int
    # Version of the engine's software, not of its weights.
    Version: str
    # Remaining time in which the engine runs slowly after its start.
    # Text and null are of an engine in error, other types of another writer.
    ColdRemainingMs: float | str | bool | None
    # Number of the engine's heartbeat; only engines write it.
    Seq: int
    # Start time of the engine in Unix milliseconds.
    born: int = 0


def decode(pair: pairs.Pair) -> fleet_endpoint.Endpoint | None:
    """Decodes one entry; returns None if it is malformed.

    Others may write below the prefix as well, so that everything that this
    process later relies on is checked.
    """
    try:
        entry = msgspec.json.decode(pair.value, type=_Entry)
    except (msgspec.MsgspecError, RecursionError):
        return None
    name = pair.key.removeprefix(KEY_PREFIX)
    if not _is_well_formed(entry) or not http11.is_visible_ascii(name):
        return None
    return fleet_endpoint.Endpoint(
        name=name,
        service=entry.Service,
        address=entry.Address,
        data_centre=entry.Zone,
        slots=entry.Slots,
        leaving=_IS_DRAINING[entry.State],
        born_ms=entry.born,
        software_version=entry.Version,
        cold_s=_cold_s(entry.ColdRemainingMs),
        revision=pair.revision,
    )


def _is_well_formed(entry: _Entry) -> bool:
    """Returns whether an entry's values are in their ranges."""
    return (
        entry.State in _IS_DRAINING
        and 1 <= entry.Slots <= MAX_SLOTS
        and 0 <= entry.born <= MAX_BORN_MS
        and _is_address(entry.Address)
    )


def _cold_s(value: float | str | bool | None) -> float | None:
    """Returns the remaining cold time in seconds; None if it is unreadable.

    >>> [_cold_s(value) for value in (1500, -1, 3.7e6, "1", True, None)]
    [1.5, None, None, None, None, None]
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value / 1000 if 0 <= value <= MAX_COLD_MS else None


def _is_address(text: str) -> bool:
    """Returns whether a text is a host with a port.

    >>> [_is_address(t) for t in ("10.0.0.1:80", "10.0.0.1:70000", "10.0.0.1")]
    [True, False, False]
    """
    host, _, port = text.rpartition(":")
    if not host:
        return False
    return port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= MAX_PORT
