"""Properties of the admission decisions under random events."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from ibisknot import _decisions
from ibisknot import admission

ENDPOINTS = ["e1", "e2", "e3"]
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["online", "online", "batch", "batch", "back", "back", "crash"]
            + ["leave", "die", "suspect", "time", "lost"]
        ),
        strategies.integers(0, 5),
    ),
    max_size=120,
)


@dataclasses.dataclass
class World:
    """A group with the holders' view of it."""

    group: admission.Group
    now: float = 0.0
    made: int = 0
    waiting: dict[str, admission.QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    held: dict[str, admission.Ticket] = dataclasses.field(default_factory=dict)
    granted: list[admission.Ticket] = dataclasses.field(default_factory=list)

    def do(self, actions: list[admission.Action]) -> None:
        for action in actions:
            if isinstance(action, admission.Grant):
                ticket = action.ticket
                assert ticket.id in self.waiting, "granted twice or unasked"
                del self.waiting[ticket.id]
                self.held[ticket.id] = ticket
                self.granted.append(ticket)
            elif isinstance(action, admission.Refuse):
                del self.waiting[action.id]
            else:
                assert self.held[action.id].kind == admission.BATCH

    def ask(self, kind: str, number: int, *, suspect: bool = False) -> None:
        self.made += 1
        waiting = admission.QueuedRequest(
            id=f"t{self.made}",
            kind=kind,
            organisation=f"o{number % 3}",
            arrived_s=self.now,
            expires_s=self.now + 60.0,
            holder=f"h{number % 2}",
            crash_suspect=suspect,
        )
        self.waiting[waiting.id] = waiting
        self.do(admission.request_ticket(self.group, self.now, waiting))

    def back(self, number: int, measured: admission.Measurement) -> None:
        if not self.held:
            return
        ticket = sorted(self.held)[number % len(self.held)]
        del self.held[ticket]
        self.do(
            admission.release_ticket(self.group, self.now, ticket, measured)
        )

    def step(self, event: str, number: int) -> None:
        self.now += 0.01
        if event in (admission.ONLINE, admission.BATCH):
            self.ask(event, number)
        elif event == "suspect":
            self.ask(admission.ONLINE, number, suspect=True)
        elif event == "back":
            gap_s = 0.01 * (number + 1)
            self.back(number, admission.Measurement("ok", gap_s, gap_s, 8))
        elif event == "crash":
            self.back(number, admission.Measurement(outcome=admission.CRASHED))
        elif event == "leave":
            names = ENDPOINTS[: 1 + number % len(ENDPOINTS)]
            self.do(admission.set_endpoints(self.group, self.now, names))
        elif event == "die":
            self.die(f"h{number % 2}")
        elif event == "lost":
            self.lose(number)
        else:
            self.now += number * 0.3
            self.do(admission.tick(self.group, self.now))

    def die(self, holder: str) -> None:
        self.held = {k: t for k, t in self.held.items() if t.holder != holder}
        self.waiting = {
            k: w for k, w in self.waiting.items() if w.holder != holder
        }
        self.do(admission.reclaim_tickets(self.group, self.now, holder))

    def lose(self, number: int) -> None:
        """A return is lost; the holder's next report shows it."""
        holder = f"h{number % 2}"
        mine = [t for t in self.held.values() if t.holder == holder]
        if mine:
            del self.held[mine[0].id]
        self.now += admission.MAX_GRANT_DELIVERY_S
        left = [t for t in self.held.values() if t.holder == holder]
        self.do(admission.reconcile(self.group, self.now, holder, left))


def world(
    *, limit: float = 4.0, policy: admission.Policy | None = None
) -> World:
    group = admission.Group(policy=policy or admission.Policy())
    made = World(group)
    made.do(admission.set_endpoints(group, 0.0, ENDPOINTS))
    for endpoint in group.endpoints.values():
        endpoint.capacity.limit = limit
    return made


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_tickets_are_neither_lost_nor_overdrawn(
    events: list[tuple[str, int]],
) -> None:
    """Guards against over-admission, lost tickets and lost requests."""
    made = world()
    for event, number in events:
        limits = {
            name: int(endpoint.capacity.limit)
            for name, endpoint in made.group.endpoints.items()
        }
        before = len(made.granted)
        made.step(event, number)
        in_flight = {t.id for t in admission.all_tickets(made.group)}
        assert in_flight == set(made.held)
        queued = (
            made.group.online_queue.all_requests()
            + made.group.batch_queue.all_requests()
        )
        assert {w.id for w in queued} == set(made.waiting)
        for ticket in made.granted[before:]:
            endpoint = made.group.endpoints.get(ticket.endpoint)
            if endpoint is not None and ticket.endpoint in limits:
                limit = max(
                    limits[ticket.endpoint], int(endpoint.capacity.limit)
                )
                assert endpoint.unrevoked_count() <= limit or ticket.exclusive


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_batch_is_never_ahead_of_waiting_online(
    events: list[tuple[str, int]],
) -> None:
    """Guards against online requests that wait while batch is admitted."""
    made = world()
    for event, number in events:
        before = len(made.granted)
        made.step(event, number)
        new = made.granted[before:]
        waiting = [
            w
            for w in made.waiting.values()
            if w.kind == admission.ONLINE and not w.crash_suspect
        ]
        if waiting:
            assert all(t.kind == admission.ONLINE for t in new)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(events=EVENTS)
def test_suspects_run_alone(events: list[tuple[str, int]]) -> None:
    """Guards against a crash request that takes other requests along."""
    made = world()
    for event, number in events:
        made.step(event, number)
        for endpoint in made.group.endpoints.values():
            if len(made.group.endpoints) > 1 and endpoint.has_exclusive():
                assert len(endpoint.tickets) == 1


@pytest.mark.parametrize("seed", range(5))
def test_no_organisation_starves(seed: int) -> None:
    """Guards against an organisation that waits while another floods."""
    choice = random.Random(seed)
    made = world(limit=2.0)
    for _ in range(50):
        made.ask(admission.ONLINE, 0)
    made.ask(admission.ONLINE, 1)
    small = f"t{made.made}"
    for _ in range(3):
        assert small in made.waiting or small in made.held
        made.back(choice.randrange(100), admission.Measurement())
        made.ask(admission.ONLINE, 0)
    assert small not in made.waiting


def test_online_revokes_batch_at_once() -> None:
    """Guards against online requests that wait for batch items to end."""
    made = world()
    for _ in range(40):
        made.ask(admission.BATCH, 0)
    assert len(made.held) == 9
    for number in range(6):
        made.ask(admission.ONLINE, number)
        assert f"t{made.made}" in made.held
    revoked = [t for t in made.held.values() if t.revoked]
    assert revoked
    assert all(t.kind == admission.BATCH for t in revoked)


def test_expired_and_gone_requests_are_not_granted() -> None:
    """Guards against work for callers that no longer wait."""
    made = world(limit=1.0)
    for number in range(5):
        made.ask(admission.ONLINE, number)
    last = f"t{made.made}"
    made.do(
        admission.release_ticket(
            made.group, made.now, last, admission.Measurement()
        )
    )
    del made.waiting[last]
    made.now += 61.0
    made.do(admission.tick(made.group, made.now))
    made.back(0, admission.Measurement())
    assert not made.waiting
    assert len(made.held) == 2


def test_returned_ticket_is_not_adopted_again() -> None:
    """Guards against a report that was sent before the ticket's return."""
    made = world()
    made.ask(admission.ONLINE, 0)
    ticket = next(iter(made.held.values()))
    made.back(0, admission.Measurement())
    made.do(admission.reconcile(made.group, made.now, ticket.holder, [ticket]))
    assert not admission.all_tickets(made.group)


def test_ticket_counts_where_its_holder_uses_it() -> None:
    """Guards against a full endpoint that another admitter granted twice."""
    made = world()
    made.ask(admission.BATCH, 0)
    ticket = next(iter(made.held.values()))
    other = next(n for n in made.group.endpoints if n != ticket.endpoint)
    moved = dataclasses.replace(ticket, endpoint=other)
    made.do(admission.adopt_ticket(made.group, made.now, moved))
    assert [t.endpoint for t in admission.all_tickets(made.group)] == [other]


def test_next_admitter_adopts_what_is_in_flight() -> None:
    """Guards against over-admission after the admitting VM died."""
    made = world(limit=2.0)
    for number in range(6):
        made.ask(admission.ONLINE, number)
    successor = world(limit=2.0)
    successor.made = 100
    for holder in ("h0", "h1"):
        theirs = [t for t in made.held.values() if t.holder == holder]
        successor.do(admission.reconcile(successor.group, 0.0, holder, theirs))
    successor.ask(admission.ONLINE, 9)
    assert not successor.held


def test_capacity_follows_the_token_times() -> None:
    """Guards against a limit that ignores what engines can take."""
    fast = world(limit=4.0)
    slow = world(limit=4.0)
    for made, gap_s in ((fast, 0.01), (slow, 0.2)):
        for _ in range(300):
            made.now += 0.1
            made.ask(admission.ONLINE, 0)
            while len(made.waiting) < 10:
                made.ask(admission.ONLINE, 0)
            made.back(0, admission.Measurement("ok", gap_s, gap_s, 8))
    limits = [
        max(e.capacity.limit for e in made.group.endpoints.values())
        for made in (fast, slow)
    ]
    assert limits[0] > 4.0 > limits[1]


def _peak_load(choose: _decisions.ChooseEndpoint) -> int:
    """Returns the highest load of an endpoint under a steady stream."""
    group = admission.Group()
    admission.set_endpoints(group, 0.0, ENDPOINTS)
    held: list[tuple[float, str]] = []
    choice = random.Random(3)
    peak = 0
    for number in range(400):
        now = number * 0.01
        for due_s, ticket in list(held):
            if due_s <= now:
                held.remove((due_s, ticket))
                admission.release_ticket(
                    group, now, ticket, admission.Measurement()
                )
        waiting = admission.QueuedRequest(
            f"t{number}", admission.ONLINE, "o", now, now + 9.0
        )
        group.online_queue.push(waiting)
        for action in _decisions.decide(group, now, choose):
            assert isinstance(action, admission.Grant)
            held.append((now + choice.random() * 0.3, action.ticket.id))
        peak = max(peak, *(len(e.tickets) for e in group.endpoints.values()))
    return peak


def test_least_expected_choice_is_better_than_the_naive_one() -> None:
    """Differential: the same requests by the naive random choice."""
    choice = random.Random(4)

    def naive(
        endpoints: list[admission.Endpoint], _waiting: admission.QueuedRequest
    ) -> admission.Endpoint:
        return choice.choice(endpoints)

    assert _peak_load(_decisions.least_expected_first_token) < _peak_load(naive)
