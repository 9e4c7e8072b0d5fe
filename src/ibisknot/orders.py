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
LOAD_ADAPTER = "load_adapter"
UNLOAD_ADAPTER = "unload_adapter"
ROLE = "role"

ORDERED = "ordered"
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
    adapter: str = ""
    role: str = ""

    def target(self) -> str:
        """Returns what the order leads to, for people."""
        return self.version or self.adapter or self.role


class Record(msgspec.Struct):
    """The write-ahead record of an endpoint's newest order.

    Attributes:
        order: The order.
        fencing: Fencing number of the holder that issued it.
        state: `ordered`, `done` or `failed`.
        reason: Why it failed.
        trial: The newest load, while its version is on trial here.
    """

    order: Order
    fencing: int
    state: str = ORDERED
    reason: str = ""
    trial: Order | None = None


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

    versions: dict[str, str]
    adapters: dict[str, list[str]] = {}
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
    for model, version in sorted(versions.items()):
        if report.versions.get(model) != version:
            return Order(endpoint, LOAD, model, version)
    for model, version in sorted(report.versions.items()):
        if model not in stated.serves:
            return Order(endpoint, UNLOAD, model, version)
    for model in sorted(versions):
        order = _adapter_order(
            endpoint,
            model,
            set(wanted.models[model].adapters),
            set(report.adapters.get(model, [])),
        )
        if order is not None:
            return order
    if report.role and report.role != stated.role:
        return Order(endpoint, ROLE, role=stated.role)
    return None


def _adapter_order(
    endpoint: str, model: str, wanted: set[str], loaded: set[str]
) -> Order | None:
    for adapter in sorted(wanted - loaded):
        return Order(endpoint, LOAD_ADAPTER, model, adapter=adapter)
    for adapter in sorted(loaded - wanted):
        return Order(endpoint, UNLOAD_ADAPTER, model, adapter=adapter)
    return None


def carried_out(order: Order, report: Report) -> bool:
    """Returns whether an engine's report shows that an order took effect."""
    if order.kind == LOAD:
        return report.versions.get(order.model) == order.version
    if order.kind == UNLOAD:
        return order.model not in report.versions
    loaded = report.adapters.get(order.model, [])
    if order.kind == LOAD_ADAPTER:
        return order.adapter in loaded
    if order.kind == UNLOAD_ADAPTER:
        return order.adapter not in loaded
    return report.role == order.role


def judge(
    engine: Engine, now: float, *, fencing: int, limits: settings.Orders
) -> tuple[str, str]:
    """Returns what became of an engine's newest order, and why.

    The engine's report decides, never the answer to the order alone.

    Returns:
        `waiting`, `resend` for an order that a former holder may not have
        sent, or `done` or `failed`.
    """
    record = engine.record
    assert record is not None
    if record.state in (DONE, FAILED):
        return record.state, record.reason
    report = engine.report if engine.heard_s >= engine.sent_s else None
    if report is not None and carried_out(record.order, report):
        return DONE, ""
    if record.fencing < fencing:
        return RESEND, ""
    if now - engine.sent_s > limits.longest_order_s:
        why = "not done in time" if report else "the engine stopped answering"
        return FAILED, why
    return WAITING, ""


def judge_trial(
    engine: Engine, now: float, *, limits: settings.Orders
) -> tuple[str, str]:
    """Returns what became of the version on trial on an engine, and why."""
    assert engine.record is not None
    order = engine.record.trial
    assert order is not None
    if now - engine.heard_s > limits.crash_after_s:
        return FAILED, "the engine stopped answering after the load"
    if engine.report is not None and not carried_out(order, engine.report):
        return FAILED, "the engine lost the version after the load"
    if now - engine.trial_s >= limits.trial_s:
        return DONE, ""
    return WAITING, ""


def settled_models(
    wanted: configuration.Configuration,
    engines: dict[str, Engine],
    models: dict[str, ModelRecord],
) -> dict[str, ModelRecord]:
    """Returns the records of models that are out of date.

    A version that all engines of a model have, without a trial, is good:
    this is how a fleet starts. What is known against a version is forgotten
    once operators want another one, so that it can be tried again later.
    """
    found = {}
    for model, stated in wanted.models.items():
        known = models.get(model, ModelRecord())
        record = ModelRecord(
            known.good,
            {v: n for v, n in known.failures.items() if v == stated.version},
            {v: w for v, w in known.stopped.items() if v == stated.version},
        )
        if _runs_everywhere(wanted, model, stated.version, engines):
            record.good = stated.version
        if record != known:
            found[model] = record
    return found


def _runs_everywhere(
    wanted: configuration.Configuration,
    model: str,
    version: str,
    engines: dict[str, Engine],
) -> bool:
    names = [n for n, e in wanted.endpoints.items() if model in e.serves]
    for name in names:
        engine = engines.get(name, Engine())
        if engine.report is None or in_change(engine) is not None:
            return False
        if engine.report.versions.get(model) != version:
            return False
    return bool(names)


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

    >>> needed_engines([Report({}, slots=10)] * 5)
    3
    >>> needed_engines([Report({}, running=9, slots=10)] * 5)
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
    trial = engine.record.trial if engine.record is not None else None
    return loading(engine) or trial


def loading(engine: Engine) -> Order | None:
    """Returns the load under way on an engine, if any."""
    record = engine.record
    if record is None or record.state != ORDERED:
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
    if sum(loading(e) is not None for e in engines.values()) >= at_once:
        return False
    changing = [in_change(e) for e in engines.values()]
    same = {
        o.endpoint for o in changing if o is not None and o.model == order.model
    } - {order.endpoint}
    record = models.get(order.model, ModelRecord())
    if record.good != order.version and same:
        # Until a version has passed one trial, one engine at a time has it.
        return False
    return _enough_serving(order, engines, same)


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
