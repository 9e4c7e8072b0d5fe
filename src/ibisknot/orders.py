"""Orders to engines: which order to send next, and the outcome of an order.

An order loads or unloads a model version or an adapter, or sets an engine's
role. The VM that owns the orders shard sends all orders; its epoch is the
fencing number that each order carries. After a load, the version is on trial
on the engine for a while, to detect a version that crashes it.

The functions do no I/O and read no clock. `orders_runner` calls them on the
owner, and `bench.checker_orders` checks them over all interleavings of a small
model.
"""

import dataclasses
import math

import msgspec

from ibisknot import configuration
from ibisknot import settings

# Kinds of orders.
LOAD = "load"
UNLOAD = "unload"
LOAD_ADAPTER = "load_adapter"
UNLOAD_ADAPTER = "unload_adapter"
ROLE = "role"

# States of an order in its record.
ORDERED = "ordered"
DONE = "done"
FAILED = "failed"

# Results of `evaluate_order` and `evaluate_trial`, besides `DONE` and `FAILED`.
PENDING = "waiting"
RESEND = "resend"

MAX_VERSION_FAILURES = 2
"""Failures after which a version is not loaded any more."""
MIN_SERVING_FRACTION = 0.6
"""Smallest fraction of a model's engines that serve during a version change."""
MIN_CAPACITY_RATIO = 1.25
"""Smallest ratio of slots to requests in progress during a version change."""


class Order(msgspec.Struct, frozen=True):
    """One order to an engine.

    Attributes:
        endpoint: The engine's endpoint name.
        kind: `load`, `unload`, `load_adapter`, `unload_adapter` or `role`.
        model: Model to change; empty for a role.
        version: Version to load or unload.
        adapter: Adapter to load or unload.
        role: Role to set.
    """

    endpoint: str
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""

    def target(self) -> str:
        """Returns the version, adapter or role, for logs and status."""
        return self.version or self.adapter or self.role


class OrderRecord(msgspec.Struct):
    """The write-ahead record of an endpoint's newest order.

    Attributes:
        order: The order.
        fencing: Epoch of the owner that issued it.
        state: `ordered`, `done` or `failed`.
        reason: Why it failed; empty otherwise.
        trial: The newest load, while its version is on trial on the engine.
    """

    order: Order
    fencing: int
    state: str = ORDERED
    reason: str = ""
    trial: Order | None = None


class ModelRecord(msgspec.Struct):
    """The stored record of a model's versions.

    Attributes:
        good: The version that last passed its trial.
        failures: Count of failed loads and trials, by version.
        stopped: Why a version is not loaded any more, by version.
    """

    good: str = ""
    failures: dict[str, int] = {}
    stopped: dict[str, str] = {}


class EngineReport(msgspec.Struct):
    """The part of an engine's report that orders use.

    Attributes:
        versions: Loaded version by model.
        adapters: Loaded adapters by model.
        role: The engine's role; empty if it has none.
        running: Requests that the engine runs.
        waiting: Requests that the engine has queued.
        slots: Requests that the engine can run at the same time.
    """

    versions: dict[str, str]
    adapters: dict[str, list[str]] = {}
    role: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 1


@dataclasses.dataclass(slots=True)
class EngineState:
    """State of an engine at the owner. All times are monotonic.

    Attributes:
        report: Its newest report, None before the first.
        last_report_s: Time at which that report was requested.
        order_sent_s: Time at which this owner sent the record's order.
        trial_started_s: Time at which this owner first saw that the load on
            trial had taken effect.
        record: Its write-ahead record, None before the first order.
        revision: Revision of the record in the key-value service; 0 if the
            record does not exist.
    """

    report: EngineReport | None = None
    last_report_s: float = float("-inf")
    order_sent_s: float = float("-inf")
    trial_started_s: float = float("-inf")
    record: OrderRecord | None = None
    revision: int = 0


def may_order(
    now: float,
    *,
    checks_fencing: bool,
    lease_acquired_s: float,
    order_settings: settings.Orders,
) -> bool:
    """Returns whether an owner may send orders to an engine yet.

    An engine that checks fencing numbers refuses orders that an older owner
    still sends. For the others, the owner waits until no order of an older
    owner can still be in flight.

    Args:
        now: Monotonic time.
        checks_fencing: Whether the engine checks fencing numbers.
        lease_acquired_s: Monotonic time at which the owner requested its lease.
        order_settings: The longest durations of a lease, a pause and an order.
    """
    if checks_fencing:
        return True
    wait_s = (
        order_settings.lease_s
        + order_settings.longest_pause_s
        + order_settings.longest_order_s
    )
    return now >= lease_acquired_s + wait_s


def wanted_versions(
    wanted: configuration.Configuration,
    endpoint: str,
    models: dict[str, ModelRecord],
) -> dict[str, str]:
    """Returns the versions that an engine should have loaded, by model.

    A stopped version is replaced by the one that last passed its trial. If
    there is none, the model is not returned, so that the engine keeps what it
    has loaded.
    """
    versions = {}
    for model in wanted.endpoints[endpoint].serves:
        version = wanted.models[model].version
        record = models.get(model, ModelRecord())
        if version in record.stopped:
            version = record.good
        if version:
            versions[model] = version
    return versions


def next_order(
    wanted: configuration.Configuration,
    endpoint: str,
    report: EngineReport,
    models: dict[str, ModelRecord],
) -> Order | None:
    """Returns the next order that brings an engine to its wanted state.

    Models are ordered before their adapters, because an engine can load an
    adapter only after its model. The result is None if the engine's report
    shows the wanted state.
    """
    configured = wanted.endpoints[endpoint]
    versions = wanted_versions(wanted, endpoint, models)
    for model, version in sorted(versions.items()):
        if report.versions.get(model) != version:
            return Order(endpoint, LOAD, model, version)
    for model, version in sorted(report.versions.items()):
        if model not in configured.serves:
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
    if report.role and report.role != configured.role:
        return Order(endpoint, ROLE, role=configured.role)
    return None


def _adapter_order(
    endpoint: str, model: str, wanted: set[str], loaded: set[str]
) -> Order | None:
    for adapter in sorted(wanted - loaded):
        return Order(endpoint, LOAD_ADAPTER, model, adapter=adapter)
    for adapter in sorted(loaded - wanted):
        return Order(endpoint, UNLOAD_ADAPTER, model, adapter=adapter)
    return None


def has_taken_effect(order: Order, report: EngineReport) -> bool:
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


def evaluate_order(
    engine: EngineState,
    now: float,
    *,
    fencing: int,
    order_settings: settings.Orders,
) -> tuple[str, str]:
    """Returns the state of an engine's newest order, and a reason if it failed.

    An order is done when a report of the engine shows it; the response to the
    order alone does not count.

    Returns:
        `waiting`, `resend` for an order that a former owner may not have
        sent, `done` or `failed`; and the reason, empty unless it failed.
    """
    record = engine.record
    assert record is not None
    if record.state in (DONE, FAILED):
        return record.state, record.reason
    report = (
        engine.report if engine.last_report_s >= engine.order_sent_s else None
    )
    if report is not None and has_taken_effect(record.order, report):
        return DONE, ""
    if record.fencing < fencing:
        return RESEND, ""
    if now - engine.order_sent_s > order_settings.longest_order_s:
        reason = (
            "not done in time" if report else "the engine stopped answering"
        )
        return FAILED, reason
    return PENDING, ""


def evaluate_trial(
    engine: EngineState, now: float, *, order_settings: settings.Orders
) -> tuple[str, str]:
    """Returns the state of a version's trial on an engine.

    Returns:
        `waiting`, `done` or `failed`; and the reason, empty unless it failed.
    """
    assert engine.record is not None
    order = engine.record.trial
    assert order is not None
    if now - engine.last_report_s > order_settings.crash_after_s:
        return FAILED, "the engine stopped answering after the load"
    if engine.report is not None and not has_taken_effect(order, engine.report):
        return FAILED, "the engine lost the version after the load"
    if now - engine.trial_started_s >= order_settings.trial_s:
        return DONE, ""
    return PENDING, ""


def changed_model_records(
    wanted: configuration.Configuration,
    engines: dict[str, EngineState],
    models: dict[str, ModelRecord],
) -> dict[str, ModelRecord]:
    """Returns the new records of the models whose records are out of date.

    A version that all engines of a model have loaded, none of them on trial,
    is good: this sets the first good version of a new fleet. The failures of a
    version are removed once the configuration names another one, so that the
    version can be loaded again later.
    """
    changed = {}
    for model, configured in wanted.models.items():
        previous = models.get(model, ModelRecord())
        record = ModelRecord(
            previous.good,
            {
                v: n
                for v, n in previous.failures.items()
                if v == configured.version
            },
            {
                v: w
                for v, w in previous.stopped.items()
                if v == configured.version
            },
        )
        if _is_loaded_everywhere(wanted, model, configured.version, engines):
            record.good = configured.version
        if record != previous:
            changed[model] = record
    return changed


def _is_loaded_everywhere(
    wanted: configuration.Configuration,
    model: str,
    version: str,
    engines: dict[str, EngineState],
) -> bool:
    names = [n for n, e in wanted.endpoints.items() if model in e.serves]
    for name in names:
        engine = engines.get(name, EngineState())
        if engine.report is None or unfinished_load(engine) is not None:
            return False
        if engine.report.versions.get(model) != version:
            return False
    return bool(names)


def record_failure(record: ModelRecord, version: str, reason: str) -> None:
    """Counts a failure of a version, and stops the version at the limit.

    >>> model = ModelRecord()
    >>> for _ in range(MAX_VERSION_FAILURES):
    ...     record_failure(model, "2", "crashed")
    >>> model.stopped
    {'2': 'crashed'}
    """
    record.failures[version] = record.failures.get(version, 0) + 1
    if record.failures[version] >= MAX_VERSION_FAILURES:
        record.stopped[version] = reason


def min_serving_engines(reports: list[EngineReport]) -> int:
    """Returns how many of a model's engines must keep serving during a change.

    Without load, one engine can always be changed, even if it is the only one.

    Args:
        reports: Reports of the engines that have the model loaded.

    >>> min_serving_engines([EngineReport({}, slots=10)] * 5)
    3
    >>> min_serving_engines([EngineReport({}, running=9, slots=10)] * 5)
    5
    """
    if not reports:
        return 0
    count = len(reports)
    requests = sum(report.running + report.waiting for report in reports)
    mean_slots = sum(report.slots for report in reports) / count
    min_for_load = math.ceil(
        requests * MIN_CAPACITY_RATIO / max(1.0, mean_slots)
    )
    min_for_size = min(count - 1, math.ceil(count * MIN_SERVING_FRACTION))
    return min(count, max(min_for_load, min_for_size))


def unfinished_load(engine: EngineState) -> Order | None:
    """Returns an engine's load that is pending or on trial, if any."""
    trial = engine.record.trial if engine.record is not None else None
    return pending_load(engine) or trial


def pending_load(engine: EngineState) -> Order | None:
    """Returns an engine's load that has not yet been done or failed, if any."""
    record = engine.record
    if record is None or record.state != ORDERED:
        return None
    return record.order if record.order.kind == LOAD else None


def may_load(
    order: Order,
    engines: dict[str, EngineState],
    models: dict[str, ModelRecord],
    *,
    max_concurrent_loads: int,
) -> bool:
    """Returns whether a load may start and leaves enough engines serving.

    Args:
        order: The load.
        engines: All engines by endpoint name.
        models: Records of the models' versions.
        max_concurrent_loads: Loads that the weight store can serve at a time.
    """
    if (
        sum(pending_load(e) is not None for e in engines.values())
        >= max_concurrent_loads
    ):
        return False
    unfinished_loads = [unfinished_load(e) for e in engines.values()]
    changing_endpoints = {
        o.endpoint
        for o in unfinished_loads
        if o is not None and o.model == order.model
    } - {order.endpoint}
    record = models.get(order.model, ModelRecord())
    if record.good != order.version and changing_endpoints:
        # Until the version has passed a trial, one engine at a time loads it.
        return False
    return _leaves_enough_serving(order, engines, changing_endpoints)


def _leaves_enough_serving(
    order: Order, engines: dict[str, EngineState], changing_endpoints: set[str]
) -> bool:
    reports = {
        name: engine.report
        for name, engine in engines.items()
        if engine.report is not None and order.model in engine.report.versions
    }
    if order.endpoint not in reports:
        return True
    others = reports.keys() - changing_endpoints - {order.endpoint}
    return len(others) >= min_serving_engines(list(reports.values()))


def poll_period_s(engine: EngineState, *, is_settled: bool) -> float:
    """Returns the seconds between reads of an engine's report.

    Args:
        engine: The engine.
        is_settled: Whether the engine has no pending order, no trial and no
            next order.
    """
    if is_settled and engine.report is not None:
        return 10.0
    return 0.5
