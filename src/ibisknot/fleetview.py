"""What a process believes of the fleet, and which news it adopts.

Every belief carries the store's revision at which it was read, so that news
from any source can be compared: the higher revision wins, and a belief never
goes back.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import xxhash

from ibisknot import deployment
from ibisknot import fleet_endpoint
from ibisknot import pairs
from ibisknot import serving

OUTAGE_THRESHOLD_S = 2.0
"""Entries are read again after a longer time: the store was away."""
REREGISTRATION_S = 2.2
"""Entries that lapsed during an outage are back within this time."""
POLL_PERIOD_S = 0.4
POLL_STAGGER_S = 0.15
"""Each next process in line waits so much longer before it reads itself."""
MAX_STAGGER_STEPS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A process of the fleet.

    Attributes:
        address: Its peer address.
        born_ms: Unix milliseconds of its start.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    started_ms: int


@dataclasses.dataclass(slots=True)
class View:
    """What a process believes.

    Attributes:
        configuration: The newest one known, or None before the first.
        stated: The configuration as the operator wrote it.
        configuration_revision: The store's revision of that write.
        entries: The endpoints' entries as read, by key.
        endpoints: The endpoints that those entries name.
        endpoints_revision: The store's revision when they were read.
        endpoints_read_s: Monotonic time up to which they were current.
        members: The fleet's processes by name.
        members_revision: The store's revision when they were read.
        members_read_s: Monotonic time of the last listing.
        returned_s: Monotonic time at which the store was back after an
            outage.
    """

    configuration: serving.Configuration | None = None
    encoded_configuration: bytes = b""
    configuration_revision: int = 0
    entries: dict[str, pairs.Pair] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, fleet_endpoint.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    endpoints_revision: int = 0
    endpoints_read_s: float = -1e9
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    members_revision: int = 0
    members_read_s: float = -1e9
    store_recovered_s: float = -1e9


def adopt_configuration(
    view: View, revision: int, encoded: bytes, decoded: serving.Configuration
) -> bool:
    """Takes a stated configuration if it is newer; returns whether it was."""
    current = view.configuration
    if revision <= view.configuration_revision:
        return False
    if current is not None and decoded.version < current.version:
        return False
    view.configuration = decoded
    view.encoded_configuration = encoded
    view.configuration_revision = revision
    return True


def adopt_endpoints(
    view: View,
    now: float,
    *,
    revision: int,
    age_s: float,
    entries: Iterable[pairs.Pair],
    decode: Callable[[pairs.Pair], fleet_endpoint.Endpoint | None],
) -> bool:
    """Takes a listing of the endpoints' entries if it is newer.

    Entries that are missing just after an outage of the store stay for a
    while, because their engines write them again when they reach the store.

    Returns:
        Whether the listing was newer than what was known.
    """
    if revision < view.endpoints_revision:
        return False
    is_newer = revision > view.endpoints_revision
    _record_read(view, now, revision, age_s)
    found = {pair.key: pair for pair in entries}
    if now - view.store_recovered_s < REREGISTRATION_S:
        lapsed = {k: p for k, p in view.entries.items() if k not in found}
        found |= lapsed
    if not is_newer and found.keys() == view.entries.keys():
        return False
    view.entries = found
    decoded = (decode(pair) for pair in found.values())
    view.endpoints = {e.name: e for e in decoded if e is not None}
    return True


def confirm_endpoints(
    view: View, now: float, *, revision: int, age_s: float, digest: int
) -> bool:
    """Takes news that the entries still say the same.

    Returns:
        Whether they do; otherwise the entries themselves are needed.
    """
    if revision < view.endpoints_revision:
        return True
    if digest != endpoints_digest(view):
        return False
    _record_read(view, now, revision, age_s)
    return True


def _record_read(view: View, now: float, revision: int, age_s: float) -> None:
    read_s = now - age_s
    if read_s - view.endpoints_read_s > OUTAGE_THRESHOLD_S and view.endpoints:
        view.store_recovered_s = now
    view.endpoints_revision = revision
    view.endpoints_read_s = max(view.endpoints_read_s, read_s)


def endpoints_digest(view: View) -> int:
    """Returns a hash of what the entries say."""
    text = repr(sorted(view.endpoints.items()))
    return xxhash.xxh3_64_intdigest(text.encode()) - (1 << 63)


def adopt_members(
    view: View, now: float, *, revision: int, members: Iterable[Member]
) -> bool:
    """Takes a listing of the fleet's processes if it is newer."""
    if revision < view.members_revision:
        return False
    view.members_read_s = now
    if revision == view.members_revision:
        return False
    found = {member.name: member for member in members}
    if now - view.store_recovered_s < REREGISTRATION_S:
        found = view.members | found
    view.members_revision = revision
    changed = found != view.members
    view.members = found
    return changed


def active_endpoints(view: View, service: str) -> list[fleet_endpoint.Endpoint]:
    """Returns the endpoints of a service that get new work, by name."""
    found = [
        e
        for e in view.endpoints.values()
        if e.service == service and not e.leaving
    ]
    return sorted(found, key=lambda endpoint: endpoint.name)


def by_precedence(members: Iterable[Member]) -> list[Member]:
    """Returns the members in the order in which they lead the fleet.

    Workers come first: they have the larger processors. The order is the same
    everywhere that the same members are known, and nothing unsafe follows
    where it differs.
    """
    return sorted(members, key=lambda m: (m.kind != deployment.WORKER, m.name))


def poll_due_s(view: View, own_name: str) -> float:
    """Returns the monotonic time at which a process reads the entries.

    The first in line reads them and tells the others, who read them only
    when they have heard nothing.
    """
    names = [member.name for member in by_precedence(view.members.values())]
    rank = names.index(own_name) if own_name in names else MAX_STAGGER_STEPS
    delay_s = POLL_PERIOD_S
    if rank:
        delay_s += POLL_STAGGER_S * (1 + min(rank, MAX_STAGGER_STEPS))
    return view.endpoints_read_s + delay_s
