"""Decodes the engines' entries in the platform's key-value service."""

import msgspec

from ibisknot import fleet_endpoint
from ibisknot import pairs

KEY_PREFIX = "servers/"
_IS_DRAINING = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    State: str
    Slots: int
    # Version of the engine's software, not of its weights.
    Version: str = ""
    # Remaining time in which the engine runs slowly after its start.
    ColdRemainingMs: float = 0
    # Start time of the engine in Unix milliseconds.
    born: int = 0


def decode(pair: pairs.Pair) -> fleet_endpoint.Endpoint | None:
    """Decodes one entry; returns None if it is malformed.

    An unknown state, less than one slot and an address without a port are
    malformed, too.
    """
    try:
        entry = msgspec.json.decode(pair.value, type=_Entry)
    except msgspec.MsgspecError:
        return None
    is_draining = _IS_DRAINING.get(entry.State)
    host, _, port = entry.Address.rpartition(":")
    if is_draining is None or entry.Slots < 1 or not host or not port.isdigit():
        return None
    return fleet_endpoint.Endpoint(
        name=pair.key.removeprefix(KEY_PREFIX),
        service=entry.Service,
        address=entry.Address,
        data_centre=entry.Zone,
        slots=entry.Slots,
        leaving=is_draining,
        born_ms=entry.born,
        software_version=entry.Version,
    )
