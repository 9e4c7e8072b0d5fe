"""Orders to engines: what to order next, and how an order went.

Every function is pure. `orders_runner` runs them for the one VM that holds the
shard, and `checker` runs them over all interleavings at small size.
"""

import dataclasses
import math

import msgspec

from ibisknot import configuration
from ibisknot import settings

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"

ORDERED = "ordered"
TRIAL = "trial"
DONE = "done"
FAILED = "failed"

WAITING = "waiting"
RESEND = "resend"

MAXIMUM_FAILURES = 2
SERVING_FRACTION = 0.6
"""Part of a model's engines that a change of version leaves serving."""
HEADROOM = 1.25
"""Capacity that is kept over the requests in progress."""


class Order(msgspec.Struct, frozen=True):
    """One order to an engine."""

    endpoint: str
    kind: str
    model: str = ""
    version: str = ""
    role: str = ""
    adapter_of: str | None = None


class Record(msgspec.Struct):
    """The write-ahead record of an endpoint's newest order.

    Attributes:
        order: The order.
        fencing: Fencing number of the holder that issued it.
        state: `ordered`, `trial`, `done` or `failed`.
        reason: Why it failed.
    """

    order: Order
    fencing: int
    state: str = ORDERED
    reason: str = ""


class ModelRecord(msgspec.Struct):
    """What is known about the versions of a model.

    Attributes:
        good: The version that last passed its trial.
        failures: Failures by version.
        stopped: Why a version is not loaded any more, by version.
    """

    good: str = ""
    failures: dict[str, int] = {}
    stopped: dict[str, str] = {}


class Report(msgspec.Struct):
    """The part of an engine's report that orders use."""

    versions: dict[str, str] = {}
    role: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 1


@dataclasses.dataclass(slots=True)
class Engine:
    """What the holder knows of an engine.

    Attributes:
        report: Its newest report, None before the first.
        heard_s: Monotonic time of that report.
        sent_s: Time at which this holder sent the record's order.
        trial_s: Time at which this holder first saw the order carried out.
        record: Its write-ahead record.
        revision: Revision of the record in the key-value service.
    """

    report: Report | None = None
    heard_s: float = float("-inf")
    sent_s: float = float("-inf")
    trial_s: float = float("-inf")
    record: Record | None = None
    revision: int = 0


def may_order(
    now: float,
    *,
    checks_fencing: bool,
    since_s: float,
    limits: settings.Orders,
) -> bool:
    """Returns whether a holder may order an engine yet.

    An engine that checks fencing numbers refuses what an older holder still
    sends. For the others, the holder waits until no order of an older holder
    can still be under way.

    Args:
        now: Monotonic time.
        checks_fencing: Whether the engine checks fencing numbers.
        since_s: Time at which the holder got its lease.
        limits: Settings of the orders.
    """
    if checks_fencing:
        return True
    wait_s = limits.lease_s + limits.longest_pause_s + limits.longest_order_s
    return now >= since_s + wait_s


def wanted_versions(
    wanted: configuration.Configuration,
    endpoint: str,
    models: dict[str, ModelRecord],
) -> dict[str, str]:
    """Returns the versions that an engine should have loaded, by model.

    In place of a stopped version it is the one that last passed its trial;
    without one the model is left as it is, and not returned.
    """
    found = {}
    for model in wanted.endpoints[endpoint].serves:
        version = wanted.models[model].version
        record = models.get(model, ModelRecord())
        if version in record.stopped:
            version = record.good
        if version:
            found[model] = version
    return found


def next_order(
    wanted: configuration.Configuration,
    endpoint: str,
    report: Report,
    models: dict[str, ModelRecord],
) -> Order | None:
    """Returns the next order that brings an engine to its wanted state.

    Adapters follow their models, because an engine needs the model first.
    """
    stated = wanted.endpoints[endpoint]
    versions = wanted_versions(wanted, endpoint, models)
    bases_first = sorted(
        versions, key=lambda m: (wanted.models[m].adapter_of is not None, m)
    )
    for model in bases_first:
        if report.versions.get(model) != versions[model]:
            base = wanted.models[model].adapter_of
            return Order(
                endpoint, LOAD, model, versions[model], adapter_of=base
            )
    for model, version in sorted(report.versions.items()):
        if model not in stated.serves:
            return Order(endpoint, UNLOAD, model, version)
    if report.role and report.role != stated.role:
        return Order(endpoint, ROLE, role=stated.role)
    return None


def carried_out(order: Order, report: Report) -> bool:
    """Returns whether an engine's report shows that an order took effect."""
    if order.kind == LOAD:
        return report.versions.get(order.model) == order.version
    if order.kind == UNLOAD:
        return order.model not in report.versions
    return report.role == order.role


def judge(
    engine: Engine, now: float, *, fencing: int, limits: settings.Orders
) -> tuple[str, str]:
    """Returns what became of an engine's newest order, and why.

    The engine's report decides, never the answer to the order alone.

    Returns:
        `waiting`, `resend` for an order that a former holder may not have
        sent, or one of the record's states.
    """
    record = engine.record
    assert record is not None
    if record.state in (DONE, FAILED):
        return record.state, record.reason
    silent_s = now - engine.heard_s
    if record.state == TRIAL:
        return _judge_trial(engine, now, silent_s, limits)
    report = engine.report if engine.heard_s >= engine.sent_s else None
    if report is not None and carried_out(record.order, report):
        return (TRIAL if record.order.kind == LOAD else DONE), ""
    if record.fencing < fencing:
        return RESEND, ""
    if now - engine.sent_s > limits.longest_order_s:
        why = "not done in time" if report else "the engine stopped answering"
        return FAILED, why
    return WAITING, ""


def _judge_trial(
    engine: Engine, now: float, silent_s: float, limits: settings.Orders
) -> tuple[str, str]:
    assert engine.record is not None
    order = engine.record.order
    if silent_s > limits.crash_after_s:
        return FAILED, "the engine stopped answering after the load"
    if engine.report is not None and not carried_out(order, engine.report):
        return FAILED, "the engine lost the version after the load"
    if now - engine.trial_s >= limits.trial_s:
        return DONE, ""
    return WAITING, ""


def count_failure(record: ModelRecord, version: str, reason: str) -> None:
    """Counts a failure of a version; stops the version when it is too many.

    >>> model = ModelRecord()
    >>> for _ in range(MAXIMUM_FAILURES): count_failure(model, "2", "crashed")
    >>> model.stopped
    {'2': 'crashed'}
    """
    record.failures[version] = record.failures.get(version, 0) + 1
    if record.failures[version] >= MAXIMUM_FAILURES:
        record.stopped[version] = reason


def needed_engines(reports: list[Report]) -> int:
    """Returns how many of a model's engines must go on serving.

    An idle fleet can always give up one engine, also its only one.

    >>> needed_engines([Report(slots=10)] * 5)
    3
    >>> needed_engines([Report(running=9, slots=10)] * 5)
    5
    """
    if not reports:
        return 0
    count = len(reports)
    busy = sum(report.running + report.waiting for report in reports)
    slots = sum(report.slots for report in reports) / count
    for_load = math.ceil(busy * HEADROOM / max(1.0, slots))
    for_size = min(count - 1, math.ceil(count * SERVING_FRACTION))
    return min(count, max(for_load, for_size))


def in_change(engine: Engine) -> Order | None:
    """Returns the load under way or on trial on an engine, if any."""
    record = engine.record
    if record is None or record.state not in (ORDERED, TRIAL):
        return None
    return record.order if record.order.kind == LOAD else None


def may_load(
    order: Order,
    engines: dict[str, Engine],
    models: dict[str, ModelRecord],
    *,
    at_once: int,
) -> bool:
    """Returns whether a load leaves enough engines serving.

    Args:
        order: The load.
        engines: All engines by name.
        models: What is known of each model.
        at_once: How many loads the weight store has capacity for.
    """
    changing = [o for e in engines.values() if (o := in_change(e)) is not None]
    loading = [
        e
        for e in engines.values()
        if in_change(e) is not None
        and e.record is not None
        and e.record.state == ORDERED
    ]
    if len(loading) >= at_once:
        return False
    same = [o for o in changing if o.model == order.model]
    record = models.get(order.model, ModelRecord())
    if record.good and record.good != order.version and same:
        # Until a version has passed one trial, one engine at a time has it.
        return False
    return _enough_serving(order, engines, {o.endpoint for o in same})


def _enough_serving(
    order: Order, engines: dict[str, Engine], changing: set[str]
) -> bool:
    having = {
        name: engine.report
        for name, engine in engines.items()
        if engine.report is not None and order.model in engine.report.versions
    }
    if order.endpoint not in having:
        return True
    others = having.keys() - changing - {order.endpoint}
    return len(others) >= needed_engines(list(having.values()))


def poll_period_s(engine: Engine, *, settled: bool) -> float:
    """Returns the seconds between reads of an engine's report."""
    if settled and engine.report is not None:
        return 10.0
    return 0.5
