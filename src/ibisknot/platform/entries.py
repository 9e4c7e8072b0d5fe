"""Decodes the engines' entries in the store."""

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
    Version: str = ""
    # How much longer the engine works slowly after its start.
    ColdRemainingMs: float = 0
    # Unix milliseconds of the engine's start.
    born: int = 0


def decode(pair: pairs.Pair) -> fleet_endpoint.Endpoint | None:
    """Decodes one entry; None when it names no endpoint to use."""
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
    )
