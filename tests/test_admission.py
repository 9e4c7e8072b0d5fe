"""Admission decisions: properties under random events, and examples."""

import dataclasses
import random
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from ibisknot import _decisions
from ibisknot import _endpoint_choice
from ibisknot import admission

ENDPOINTS = ["e1", "e2", "e3"]
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "online",
                "online",
                "batch",
                "batch",
                "release",
                "release",
                "crash",
            ]
            + ["endpoints", "holder lost", "suspect", "time", "release lost"]
        ),
        strategies.integers(0, 5),
    ),
    max_size=120,
)


@dataclasses.dataclass
class Simulation:
    """An admission group, and its tickets as the holders have them.

    Attributes:
        group: The group under test.
        now: Monotonic time in seconds.
        request_count: Number of requests so far.
        queued: Requests without a decision, by id.
        tickets: Tickets that holders use, by id.
        granted: All granted tickets, oldest first.
    """

    group: admission.Group
    now: float = 0.0
    request_count: int = 0
    queued: dict[str, admission.QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    tickets: dict[str, admission.Ticket] = dataclasses.field(
        default_factory=dict
    )
    granted: list[admission.Ticket] = dataclasses.field(default_factory=list)

    def apply(self, actions: list[admission.Action]) -> None:
        """Carries out actions as the holders do."""
        for action in actions:
            if isinstance(action, admission.Grant):
                ticket = action.ticket
                assert ticket.id in self.queued, (
                    "granted twice or not requested"
                )
                del self.queued[ticket.id]
                self.tickets[ticket.id] = ticket
                self.granted.append(ticket)
            elif isinstance(action, admission.Refuse):
                del self.queued[action.id]
            else:
                assert self.tickets[action.id].kind == admission.BATCH

    def request_ticket(
        self, kind: str, index: int, *, suspect: bool = False
    ) -> None:
        self.request_count += 1
        request = admission.QueuedRequest(
            id=f"t{self.request_count}",
            kind=kind,
            organisation=f"o{index % 3}",
            arrived_s=self.now,
            expires_s=self.now + 60.0,
            holder=f"h{index % 2}",
            crash_suspect=suspect,
        )
        self.queued[request.id] = request
        self.apply(admission.request_ticket(self.group, self.now, request))

    def release(self, index: int, measurement: admission.Measurement) -> None:
        """Releases one of the tickets, chosen by an index."""
        if not self.tickets:
            return
        ticket_id = sorted(self.tickets)[index % len(self.tickets)]
        del self.tickets[ticket_id]
        self.apply(
            admission.release_ticket(
                self.group, self.now, ticket_id, measurement
            )
        )

    def step(self, event: str, index: int) -> None:
        """Applies an event; the index selects its holder, ticket or time."""
        self.now += 0.01
        if event in (admission.ONLINE, admission.BATCH):
            self.request_ticket(event, index)
        elif event == "suspect":
            self.request_ticket(admission.ONLINE, index, suspect=True)
        elif event == "release":
            gap_s = 0.01 * (index + 1)
            self.release(index, admission.Measurement("ok", gap_s, gap_s, 8))
        elif event == "crash":
            self.release(
                index, admission.Measurement(outcome=admission.CRASHED)
            )
        elif event == "endpoints":
            names = ENDPOINTS[: 1 + index % len(ENDPOINTS)]
            self.apply(admission.set_endpoints(self.group, self.now, names))
        elif event == "holder lost":
            self.lose_holder(f"h{index % 2}")
        elif event == "release lost":
            self.lose_release(index)
        else:
            self.now += index * 0.3
            self.apply(admission.tick(self.group, self.now))

    def lose_holder(self, holder: str) -> None:
        self.tickets = {
            k: t for k, t in self.tickets.items() if t.holder != holder
        }
        self.queued = {
            k: r for k, r in self.queued.items() if r.holder != holder
        }
        self.apply(admission.reclaim_tickets(self.group, self.now, holder))

    def lose_release(self, index: int) -> None:
        """Loses a release; the holder's next report lacks the ticket."""
        holder = f"h{index % 2}"
        mine = [t for t in self.tickets.values() if t.holder == holder]
        if mine:
            del self.tickets[mine[0].id]
        self.now += admission.MAX_GRANT_DELIVERY_S
        remaining = [t for t in self.tickets.values() if t.holder == holder]
        self.apply(admission.reconcile(self.group, self.now, holder, remaining))


def simulation(
    *, limit: float = 4.0, policy: admission.Policy | None = None
) -> Simulation:
    group = admission.Group(policy=policy or admission.Policy())
    sim = Simulation(group)
    sim.apply(admission.set_endpoints(group, 0.0, ENDPOINTS))
    for endpoint in group.endpoints.values():
        endpoint.capacity.limit = limit
    return sim


def check_counts(group: admission.Group) -> None:
    """Checks that each endpoint's counts are those of its tickets."""
    for endpoint in (*group.endpoints.values(), *group.draining.values()):
        tickets = list(endpoint.tickets.values())
        online = [t for t in tickets if t.kind == admission.ONLINE]
        assert endpoint.online == len(online)
        assert endpoint.revoked == sum(t.revoked for t in tickets)
        assert endpoint.exclusive == sum(t.exclusive for t in tickets)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_tickets_are_neither_lost_nor_over_the_limit(
    events: list[tuple[str, int]],
) -> None:
    """Guards against too many grants, lost tickets and lost requests."""
    sim = simulation()
    for event, index in events:
        limits = {
            name: int(endpoint.capacity.limit)
            for name, endpoint in sim.group.endpoints.items()
        }
        before = len(sim.granted)
        sim.step(event, index)
        in_flight = {t.id for t in admission.all_tickets(sim.group)}
        assert in_flight == set(sim.tickets)
        check_counts(sim.group)
        queued = (
            sim.group.online_queue.all_requests()
            + sim.group.batch_queue.all_requests()
        )
        assert {r.id for r in queued} == set(sim.queued)
        for ticket in sim.granted[before:]:
            endpoint = sim.group.endpoints.get(ticket.endpoint)
            if endpoint is not None and ticket.endpoint in limits:
                limit = max(
                    limits[ticket.endpoint], int(endpoint.capacity.limit)
                )
                assert endpoint.unrevoked_count() <= limit or ticket.exclusive


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_batch_is_not_granted_while_online_is_queued(
    events: list[tuple[str, int]],
) -> None:
    """Guards against grants to batch while online requests are queued."""
    sim = simulation()
    for event, index in events:
        before = len(sim.granted)
        sim.step(event, index)
        new = sim.granted[before:]
        waiting = [
            r
            for r in sim.queued.values()
            if r.kind == admission.ONLINE and not r.crash_suspect
        ]
        if waiting:
            assert all(t.kind == admission.ONLINE for t in new)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_crash_suspects_run_exclusively(events: list[tuple[str, int]]) -> None:
    """Guards against other requests lost with one that crashes engines."""
    sim = simulation()
    for event, index in events:
        sim.step(event, index)
        for endpoint in sim.group.endpoints.values():
            if len(sim.group.endpoints) > 1 and endpoint.has_exclusive():
                assert len(endpoint.tickets) == 1


@pytest.mark.parametrize("seed", range(5))
def test_no_organisation_starves(seed: int) -> None:
    """Guards against an organisation delayed by the load of another."""
    rng = random.Random(seed)
    sim = simulation(limit=2.0)
    for _ in range(50):
        sim.request_ticket(admission.ONLINE, 0)
    sim.request_ticket(admission.ONLINE, 1)
    small = f"t{sim.request_count}"
    for _ in range(3):
        assert small in sim.queued or small in sim.tickets
        sim.release(rng.randrange(100), admission.Measurement())
        sim.request_ticket(admission.ONLINE, 0)
    assert small not in sim.queued


def test_online_revokes_batch_at_once() -> None:
    """Guards against online requests that wait until batch items end."""
    sim = simulation()
    for _ in range(40):
        sim.request_ticket(admission.BATCH, 0)
    assert len(sim.tickets) == 9
    for index in range(6):
        sim.request_ticket(admission.ONLINE, index)
        assert f"t{sim.request_count}" in sim.tickets
    revoked = [t for t in sim.tickets.values() if t.revoked]
    assert revoked
    assert all(t.kind == admission.BATCH for t in revoked)


def test_expired_and_cancelled_requests_are_not_granted() -> None:
    """Guards against grants to callers that have gone or timed out."""
    sim = simulation(limit=1.0)
    for index in range(5):
        sim.request_ticket(admission.ONLINE, index)
    last = f"t{sim.request_count}"
    sim.apply(
        admission.release_ticket(
            sim.group, sim.now, last, admission.Measurement()
        )
    )
    del sim.queued[last]
    sim.now += 61.0
    sim.apply(admission.tick(sim.group, sim.now))
    sim.release(0, admission.Measurement())
    assert not sim.queued
    assert len(sim.tickets) == 2


def test_released_ticket_is_not_adopted_again() -> None:
    """Guards against a report that was sent before the ticket's release."""
    sim = simulation()
    sim.request_ticket(admission.ONLINE, 0)
    ticket = next(iter(sim.tickets.values()))
    sim.release(0, admission.Measurement())
    sim.apply(admission.reconcile(sim.group, sim.now, ticket.holder, [ticket]))
    assert not admission.all_tickets(sim.group)


def test_ticket_counts_where_its_holder_uses_it() -> None:
    """Guards against counting a ticket where this admitter granted it.

    Another admitter may have granted the same request at another endpoint.
    """
    sim = simulation()
    sim.request_ticket(admission.BATCH, 0)
    ticket = next(iter(sim.tickets.values()))
    other = next(n for n in sim.group.endpoints if n != ticket.endpoint)
    moved = dataclasses.replace(ticket, endpoint=other)
    sim.apply(admission.adopt_ticket(sim.group, sim.now, moved))
    assert [t.endpoint for t in admission.all_tickets(sim.group)] == [other]


def test_next_admitter_adopts_tickets_in_flight() -> None:
    """Guards against too many grants after the admitter's VM was lost."""
    sim = simulation(limit=2.0)
    for index in range(6):
        sim.request_ticket(admission.ONLINE, index)
    successor = simulation(limit=2.0)
    successor.request_count = 100
    for holder in ("h0", "h1"):
        reported = [t for t in sim.tickets.values() if t.holder == holder]
        successor.apply(
            admission.reconcile(successor.group, 0.0, holder, reported)
        )
    successor.request_ticket(admission.ONLINE, 9)
    assert not successor.tickets


def test_capacity_limit_follows_the_token_times() -> None:
    """Guards against a limit that does not follow the engines' capacity."""
    fast = simulation(limit=4.0)
    slow = simulation(limit=4.0)
    for sim, gap_s in ((fast, 0.01), (slow, 0.2)):
        for _ in range(300):
            sim.now += 0.1
            sim.request_ticket(admission.ONLINE, 0)
            while len(sim.queued) < 10:
                sim.request_ticket(admission.ONLINE, 0)
            sim.release(0, admission.Measurement("ok", gap_s, gap_s, 8))
    limits = [
        max(e.capacity.limit for e in sim.group.endpoints.values())
        for sim in (fast, slow)
    ]
    assert limits[0] > 4.0 > limits[1]


def _peak_load(choose: _endpoint_choice.ChooseEndpoint) -> int:
    """Returns the highest number of tickets of an endpoint at a steady rate."""
    group = admission.Group()
    admission.set_endpoints(group, 0.0, ENDPOINTS)
    ticket_ends: list[tuple[float, str]] = []
    rng = random.Random(3)
    peak = 0
    for index in range(400):
        now = index * 0.01
        for end_s, ticket_id in list(ticket_ends):
            if end_s <= now:
                ticket_ends.remove((end_s, ticket_id))
                admission.release_ticket(
                    group, now, ticket_id, admission.Measurement()
                )
        request = admission.QueuedRequest(
            f"t{index}", admission.ONLINE, "o", now, now + 9.0
        )
        group.online_queue.push(request)
        for action in _decisions.decide(group, now, choose):
            assert isinstance(action, admission.Grant)
            ticket_ends.append((now + rng.random() * 0.3, action.ticket.id))
        peak = max(peak, *(len(e.tickets) for e in group.endpoints.values()))
    return peak


def test_least_expected_choice_has_a_lower_peak_than_a_random_one() -> None:
    """Compares the peak load of a random choice for the same requests."""
    rng = random.Random(4)

    def choose_at_random(
        endpoints: list[admission.Endpoint], _request: admission.QueuedRequest
    ) -> admission.Endpoint:
        return rng.choice(endpoints)

    assert _peak_load(_endpoint_choice.least_expected_first_token) < _peak_load(
        choose_at_random
    )


def _request(ticket_id: str, **changed: Any) -> admission.QueuedRequest:
    fields: dict[str, Any] = {
        "id": ticket_id,
        "kind": admission.BATCH,
        "organisation": "o",
        "arrived_s": 0.0,
        "expires_s": 1000.0,
    }
    return admission.QueuedRequest(**(fields | changed))


def _granted(actions: list[admission.Action]) -> list[str]:
    return [a.ticket.id for a in actions if isinstance(a, admission.Grant)]


@pytest.mark.parametrize("is_reported", [False, True])
def test_endpoint_is_used_again_after_its_probe_was_lost(
    is_reported: bool,
) -> None:
    """Guards against an endpoint that no item reaches after crashes.

    The process that probes it is killed, or its news of the end is lost.
    """
    group = admission.Group()
    admission.set_endpoints(group, 0.0, ["e1"], slots={"e1": 4})
    for n in range(2):
        admission.request_ticket(group, 0.0, _request(f"a{n}", holder="h"))
    for n in range(2):
        failure = admission.Measurement(outcome=admission.FAILED)
        admission.release_ticket(group, 0.0, f"a{n}", failure)
    probe = admission.request_ticket(group, 1.0, _request("p", holder="h"))
    assert _granted(probe) == ["p"]
    if is_reported:
        admission.reconcile(group, 10.0, "h", [])
    else:
        admission.reclaim_tickets(group, 10.0, "h")
    later = admission.request_ticket(group, 10.0, _request("b", holder="i"))
    assert _granted(later) == ["b"]


def test_crash_suspect_is_placed_where_only_one_endpoint_is_left_for_it() -> (
    None
):
    """Guards against a suspect that waits until an endpoint is empty by chance.

    Of two endpoints one has already failed it, and the other is never empty.
    """
    group = admission.Group()
    admission.set_endpoints(group, 0.0, ["e1", "e2"], slots={"e1": 8, "e2": 8})
    for n in range(7):
        admission.request_ticket(
            group, 0.0, _request(f"o{n}", kind=admission.ONLINE)
        )
    suspect = _request("s", crash_suspect=True, avoid=frozenset(["e1"]))
    granted = _granted(admission.request_ticket(group, 0.0, suspect))
    for n in range(40):
        now = 1.0 + n
        fresh = _request(f"n{n}", kind=admission.ONLINE, arrived_s=now)
        granted += _granted(admission.request_ticket(group, now, fresh))
        oldest = min(
            admission.all_tickets(group), key=lambda t: (t.granted_s, t.id)
        )
        granted += _granted(
            admission.release_ticket(
                group, now + 0.5, oldest.id, admission.Measurement()
            )
        )
        if "s" in granted:
            return
    raise AssertionError("the suspect was never placed")
