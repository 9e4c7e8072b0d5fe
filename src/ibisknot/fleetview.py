"""A process's view of the fleet, and which updates it adopts.

"The store" is the platform's key-value service. Each part of the view has the
store's revision at which it was read, so that updates from the store and from
peers can be compared. A part is never replaced by one of a lower revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from ibisknot import deployment
from ibisknot import fleet_endpoint
from ibisknot import pairs
from ibisknot import serving
from ibisknot.evacuation import known
from ibisknot.warmup import observation

NEVER_S = -1e9
"""Monotonic time of what has not happened yet."""
OUTAGE_THRESHOLD_S = 2.0
"""A longer gap between two reads counts as a store outage.

It applies to the entries, and to members that a process reads itself.
"""
REREGISTRATION_S = 2.2
"""Time in which endpoints write entries again that expired in an outage."""
MEMBER_REREGISTRATION_S = 4.0
"""The same for members, which may first wait for the time-out of a call."""
MAX_SCHEDULERS = 3
"""Schedulers that receive all updates on tickets, the active one first."""
POLL_PERIOD_S = 0.4
"""Age of the entries at which the first process reads them again."""
POLL_STAGGER_S = 0.15
"""Additional age for each position in the order of precedence."""
MEMBERS_POLL_PERIOD_S = 1.0
"""Age of the members at which the first process reads them again."""
FOLLOW_AFTER_S = 1.0
"""Age of the configuration at which the first gateway follows it itself.

The age says when a process that follows the operator's keys last confirmed
the configuration. Workers always follow them.
"""
MAX_STAGGER_STEPS = 8
"""Position from which on the additional age grows only slowly."""
LATE_STAGGER_S = 0.05
"""Additional age for each later position.

It bounds the reads per second of a large fleet that receives no updates.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A process of the fleet.

    Attributes:
        name: Name of the VM.
        kind: `gateway` or `worker`.
        data_centre: Name of its data centre.
        address: Its peer address, `host:port`.
        started_ms: Unix time of its start in milliseconds; `born_ms` on the
            wire and in the store.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    started_ms: int


@dataclasses.dataclass(slots=True)
class View:
    """State of the fleet as one process has it.

    Attributes:
        configuration: The newest adopted configuration, or None before the
            first.
        encoded_configuration: That configuration as the operator wrote it.
        configuration_revision: The store's revision of that write.
        configuration_confirmed_s: Monotonic time at which a process that
            follows the operator's keys last confirmed that no newer one had
            been written.
        configuration_follower: Name of that process.
        entries: The endpoints' stored entries by key.
        endpoints: The endpoints decoded from `entries`, by name.
        endpoints_revision: The store's revision when `entries` were read.
        endpoints_read_s: Monotonic time at which `entries` were last read or
            confirmed.
        members: The fleet's processes by name.
        members_revision: The store's revision when `members` were read.
        members_read_s: Monotonic time at which `members` were last read or
            received.
        store_recovered_s: Monotonic time at which the entries, and that at
            which the members, were first read after a store outage; the later
            one.
        evacuations: The data centres whose endpoints get no requests.
        observations: Until when the endpoints of services with a warm-up are
            cold, by endpoint name.
        bounds: Limits that the deployment guarantees.
        regions: Region of each data centre for which it is known.
    """

    configuration: serving.Configuration | None = None
    encoded_configuration: bytes = b""
    configuration_revision: int = 0
    configuration_confirmed_s: float = NEVER_S
    configuration_follower: str = ""
    entries: dict[str, pairs.Pair] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, fleet_endpoint.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    endpoints_revision: int = 0
    endpoints_read_s: float = NEVER_S
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    members_revision: int = 0
    members_read_s: float = NEVER_S
    store_recovered_s: float = NEVER_S
    evacuations: known.Known = known.Known()
    observations: dict[str, observation.Seen] = dataclasses.field(
        default_factory=dict
    )
    bounds: deployment.Bounds = dataclasses.field(
        default_factory=deployment.Bounds
    )
    regions: dict[str, str] = dataclasses.field(default_factory=dict)


def adopt_configuration(
    view: View, revision: int, encoded: bytes, decoded: serving.Configuration
) -> bool:
    """Adopts a configuration of a newer revision, if its version is not older.

    Args:
        view: The view to change.
        revision: The store's revision of the write.
        encoded: The configuration as the operator wrote it.
        decoded: The same configuration, decoded.

    Returns:
        Whether it was adopted.
    """
    current = view.configuration
    if revision <= view.configuration_revision:
        return False
    if current is not None and decoded.version < current.version:
        return False
    view.configuration = decoded
    view.encoded_configuration = encoded
    view.configuration_revision = revision
    return True


def confirm_configuration(
    view: View, now: float, *, revision: int, age_s: float, follower: str
) -> None:
    """Records that the configuration was the newest one.

    A process that has an older one learns nothing from it.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        revision: Revision of the configuration that was confirmed.
        age_s: Seconds since then.
        follower: Name of the process that follows the operator's keys.
    """
    if view.configuration_revision < revision:
        return
    confirmed_s = now - age_s
    if confirmed_s > view.configuration_confirmed_s:
        view.configuration_confirmed_s = confirmed_s
        view.configuration_follower = follower


def adopt_endpoints(
    view: View,
    now: float,
    *,
    revision: int,
    age_s: float,
    entries: Iterable[pairs.Pair],
    decode: Callable[[pairs.Pair], fleet_endpoint.Endpoint | None],
) -> bool:
    """Adopts a listing of the endpoints' entries if it is not older.

    Entries that are missing from the listing are retained for
    `REREGISTRATION_S` after a store outage, because the engines write them
    again as soon as they reach the store.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        revision: The store's revision when the entries were read.
        age_s: Seconds since the entries were read.
        entries: All entries of the listing.
        decode: Decodes an entry; returns None if it is malformed.

    Returns:
        Whether the view's entries were replaced.
    """
    if revision < view.endpoints_revision:
        return False
    is_newer = revision > view.endpoints_revision
    _record_read(view, now, revision, age_s)
    listed = {pair.key: pair for pair in entries}
    if now - view.store_recovered_s < REREGISTRATION_S:
        retained = {k: p for k, p in view.entries.items() if k not in listed}
        listed |= retained
    if not is_newer and listed.keys() == view.entries.keys():
        return False
    view.entries = listed
    decoded = (decode(pair) for pair in listed.values())
    view.endpoints = {e.name: e for e in decoded if e is not None}
    return True


def confirm_endpoints(
    view: View, now: float, *, revision: int, age_s: float, digest: int
) -> bool:
    """Records that the endpoints were unchanged at a later read.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        revision: The store's revision at that read.
        age_s: Seconds since that read.
        digest: Hash of the endpoints at that read.

    Returns:
        False if the digest differs, so that the entries themselves are needed.
    """
    if revision < view.endpoints_revision:
        return True
    if digest != endpoints_digest(view):
        return False
    _record_read(view, now, revision, age_s)
    return True


def _record_read(view: View, now: float, revision: int, age_s: float) -> None:
    """Records a read of the entries, and whether it ended a store outage."""
    read_s = now - age_s
    if read_s - view.endpoints_read_s > OUTAGE_THRESHOLD_S and view.endpoints:
        view.store_recovered_s = now
    view.endpoints_revision = revision
    view.endpoints_read_s = max(view.endpoints_read_s, read_s)


def endpoints_digest(view: View) -> int:
    """Returns a signed 64-bit hash of the endpoints, which peers compare.

    The hash covers the class and field names of an endpoint, so that these
    must be the same in all builds of a fleet. What it covers of cold endpoints
    is added only where there are any.
    """
    text = repr(sorted(view.endpoints.items()))
    cold = observation.digest_rows(view.endpoints.values(), warm_ups(view))
    if cold:
        text += repr(cold)
    return xxhash.xxh3_64_intdigest(text.encode()) - (1 << 63)


def warm_ups(view: View) -> Mapping[str, serving.WarmUp]:
    """Returns the warm-ups of the services that have one, by service."""
    return {} if view.configuration is None else view.configuration.warm_ups


def observe_warm_ups(
    view: View, now: float, unix_s: float
) -> list[fleet_endpoint.Endpoint]:
    """Records until when the endpoints are cold.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        unix_s: Unix time in seconds.

    Returns:
        The endpoints whose entries do not say so readably, for the log.
    """
    if not warm_ups(view) and not view.observations:
        return []
    age_s = now - view.endpoints_read_s
    return observation.observe(
        view.observations,
        view.endpoints.values(),
        warm_ups(view),
        observation.Read(now, view.endpoints_read_s, (unix_s - age_s) * 1000),
    )


def adopt_members(
    view: View,
    now: float,
    *,
    revision: int,
    members: Iterable[Member],
    age_s: float = 0.0,
) -> bool:
    """Adopts a listing of the fleet's processes if it is newer.

    Members that are missing from the listing are retained for
    `MEMBER_REREGISTRATION_S` after a store outage.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        revision: The store's revision when the members were read.
        members: All members of the listing.
        age_s: Seconds since the members were read.

    Returns:
        Whether the view's members changed.
    """
    if revision < view.members_revision:
        return False
    view.members_read_s = max(view.members_read_s, now - age_s)
    if revision == view.members_revision:
        return False
    listed = {member.name: member for member in members}
    if now - view.store_recovered_s < MEMBER_REREGISTRATION_S:
        listed = view.members | listed
    view.members_revision = revision
    changed = listed != view.members
    view.members = listed
    return changed


def record_members_read(view: View, now: float) -> None:
    """Records that this process reads the members from the store.

    It may do so before it reads the entries when the store is back. Peers send
    members that they have retained themselves.
    """
    if now - view.members_read_s > OUTAGE_THRESHOLD_S and view.members:
        view.store_recovered_s = now


def members_digest(view: View) -> int:
    """Returns a signed 64-bit hash of the members, which peers compare.

    It must be the same in all builds of a fleet, so it does not depend on the
    names of fields.
    """
    rows = sorted(
        (m.name, m.kind, m.data_centre, m.address, m.started_ms)
        for m in view.members.values()
    )
    return xxhash.xxh3_64_intdigest(repr(rows).encode()) - (1 << 63)


def confirm_members(
    view: View, now: float, *, revision: int, age_s: float, digest: int
) -> bool:
    """Records that the members were unchanged at a later read.

    Args:
        view: The view to change.
        now: Monotonic time in seconds.
        revision: The store's revision at that read.
        age_s: Seconds since that read.
        digest: Hash of the members at that read.

    Returns:
        False if the digest differs, so that the members themselves are needed.
    """
    if revision < view.members_revision:
        return True
    if digest != members_digest(view):
        return False
    view.members_revision = revision
    view.members_read_s = max(view.members_read_s, now - age_s)
    return True


def active_endpoints(view: View, service: str) -> list[fleet_endpoint.Endpoint]:
    """Returns a service's endpoints that take requests, sorted by name.

    Those that are draining or in an evacuated data centre are left out.
    """
    endpoints = [
        e
        for e in view.endpoints.values()
        if e.service == service and not e.leaving and not is_evacuated(view, e)
    ]
    return sorted(endpoints, key=lambda endpoint: endpoint.name)


def is_evacuated(view: View, endpoint: fleet_endpoint.Endpoint) -> bool:
    """Returns whether an endpoint is in an evacuated data centre."""
    return endpoint.data_centre in view.evacuations.data_centres


def by_precedence(members: Iterable[Member]) -> list[Member]:
    """Returns the members in order of precedence, for example as schedulers.

    Workers come first because they have larger processors. Processes with the
    same members get the same order; a different order is safe.
    """
    return sorted(members, key=lambda m: (m.kind != deployment.WORKER, m.name))


def schedulers(view: View) -> list[Member]:
    """Returns the schedulers in their order; the first one is active."""
    workers = [m for m in view.members.values() if m.kind == deployment.WORKER]
    return by_precedence(workers)[:MAX_SCHEDULERS]


def readers(members: Iterable[Member]) -> list[Member]:
    """Returns the members in the order in which they read the store for all.

    Workers come in the reverse of their order as schedulers, so that the
    active scheduler does not also publish to the whole fleet.
    """
    ordered = by_precedence(members)
    workers = [m for m in ordered if m.kind == deployment.WORKER]
    return workers[::-1] + ordered[len(workers) :]


def reader_position(view: View, own_name: str) -> int:
    """Returns a process's position in the order of `readers`.

    A process that is not listed comes after the listed ones.
    """
    names = [member.name for member in readers(view.members.values())]
    return names.index(own_name) if own_name in names else len(names)


def poll_due_s(view: View, own_name: str) -> float:
    """Returns the monotonic time at which a process reads the entries itself.

    The first process in the order of `readers` reads and publishes them to
    the others, which read them only if they receive no update in time.
    """
    delay_s = _stagger_s(view, own_name)
    return view.endpoints_read_s + POLL_PERIOD_S + delay_s


def follow_due_s(view: View, own_name: str) -> float:
    """Returns the monotonic time at which a gateway follows the configuration.

    Gateways that do not hear from a process that follows the operator's keys
    follow these one after the other, and the first ones inform the others.
    """
    gateways = [
        m.name
        for m in by_precedence(view.members.values())
        if m.kind != deployment.WORKER
    ]
    index = gateways.index(own_name) if own_name in gateways else len(gateways)
    delay_s = _position_delay_s(index)
    return view.configuration_confirmed_s + FOLLOW_AFTER_S + delay_s


def is_ahead(view: View, name: str, own_name: str) -> bool:
    """Returns whether a process comes before this one as a reader."""
    return reader_position(view, name) < reader_position(view, own_name)


def members_poll_due_s(view: View, own_name: str) -> float:
    """Returns the monotonic time at which a process reads the members itself.

    The order is the one of `poll_due_s`.
    """
    delay_s = _stagger_s(view, own_name)
    return view.members_read_s + MEMBERS_POLL_PERIOD_S + delay_s


def _stagger_s(view: View, own_name: str) -> float:
    """Returns the seconds by which a process reads later than the first one.

    >>> round(_stagger_s(View(), "a"), 2)
    0.0
    """
    index = reader_position(view, own_name)
    if not index:
        return 0.0
    return POLL_STAGGER_S + _position_delay_s(index)


def _position_delay_s(index: int) -> float:
    """Returns the seconds by which a position comes after the first one.

    >>> [round(_position_delay_s(index), 2) for index in (0, 1, 8, 10)]
    [0.0, 0.15, 1.2, 1.3]
    """
    late_steps = max(0, index - MAX_STAGGER_STEPS)
    steps = min(index, MAX_STAGGER_STEPS)
    return POLL_STAGGER_S * steps + LATE_STAGGER_S * late_steps
