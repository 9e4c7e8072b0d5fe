"""Decodes the operator's orders to empty a VM and encodes their status."""

import msgspec

from ibisknot import pairs
from ibisknot import worker_retirement

ORDER_PREFIX = "op/retire/"
STATUS_PREFIX = "status/retire/"


class _Order(msgspec.Struct):
    DurationS: float = 10.0


def decode_order(change: pairs.Change) -> worker_retirement.Order | None:
    """Decodes an order; returns None if the change is not an order."""
    if change.value is None or not change.key.startswith(ORDER_PREFIX):
        return None
    try:
        order = msgspec.json.decode(change.value, type=_Order)
    except msgspec.MsgspecError:
        return None
    return worker_retirement.Order(
        change.key.removeprefix(ORDER_PREFIX), order.DurationS
    )


def encode_status(vm: str, is_empty: bool) -> pairs.Put:
    """Encodes the status of the order for a VM."""
    state = "done" if is_empty else "running"
    return pairs.Put(STATUS_PREFIX + vm, msgspec.json.encode({"State": state}))
