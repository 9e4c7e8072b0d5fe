"""The operator's orders to empty a machine, and their status."""

import msgspec

from ibisknot import pairs
from ibisknot import worker_retirement

PREFIX = "op/retire/"
STATUS = "status/retire/"


class _Order(msgspec.Struct):
    DurationS: float = 10.0


def order_of(change: pairs.Change) -> worker_retirement.Order | None:
    """Decodes an order; None when the change is none."""
    if change.value is None or not change.key.startswith(PREFIX):
        return None
    try:
        order = msgspec.json.decode(change.value, type=_Order)
    except msgspec.MsgspecError:
        return None
    return worker_retirement.Order(
        change.key.removeprefix(PREFIX), order.DurationS
    )


def status(vm: str, is_done: bool) -> pairs.Put:
    """Encodes how far an order has come."""
    state = "done" if is_done else "running"
    return pairs.Put(STATUS + vm, msgspec.json.encode({"State": state}))
