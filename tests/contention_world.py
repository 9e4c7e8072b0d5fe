"""Load on one admission group: batch jobs and waves of online requests."""

import dataclasses
import heapq
import math
import random
import statistics

from ibisknot import admission

ONLINE_HOLD_S = 0.7
WAVE_PERIOD_S = 5.2
WAVE_S = 2.2
PROMPT_S = 0.15
"""Time for which a resumed item processes its prompt again."""
RESEND_S = 0.1
TICKET_WAIT_S = 10.0
DUE_S = 18.0
GIVE_UP_S = 40.0
TICK_S = 0.05
LATE_VALUE = 0.1
GAP_S = 0.03
TOKENS_PER_S = 270.0


@dataclasses.dataclass(slots=True)
class Item:
    """A batch item and its state.

    Attributes:
        organisation: Its organisation.
        arrived_s: Time at which its job was sent.
        run_s: Seconds that it runs at an endpoint.
        expected_s: What the worker expects of `run_s`.
        done_s: Seconds that it has run.
        granted_s: Time of its last grant, or None while it is queued.
        ended_s: Time at which it ended, or None.
        asks: Number of its requests for a ticket.
    """

    organisation: str
    arrived_s: float
    run_s: float
    expected_s: float
    done_s: float = 0.0
    granted_s: float | None = None
    ended_s: float | None = None
    asks: int = 0

    def is_on_time(self) -> bool:
        return self.ended_s is not None and (
            self.ended_s <= self.arrived_s + DUE_S
        )

    def value(self) -> float:
        if self.ended_s is None:
            return 0.0
        return self.run_s * (1.0 if self.is_on_time() else LATE_VALUE)


@dataclasses.dataclass(slots=True)
class Load:
    """What is sent.

    Attributes:
        batch_fraction: Work of the batch items, as a fraction of all slots.
        online_per_s: Online requests a second between the waves and in them.
        organisations: Organisations, each with its share of the jobs.
        endpoints: Number of endpoints, of 8 slots each.
        duration_s: Seconds for which requests arrive.
        mean_run_s: Mean run time of an item.
        seed: Seed of the random numbers.
        speeds: Speed of each endpoint, relative to the mean.
        slowdown: Fraction by which the gaps grow with each running request.
        reports_gaps: Whether holders report the gaps between events.
    """

    batch_fraction: float = 0.9
    online_per_s: tuple[float, float] = (8.0, 40.0)
    organisations: dict[str, float] = dataclasses.field(
        default_factory=lambda: {f"o{n}": 1.0 for n in range(12)}
    )
    endpoints: int = 4
    duration_s: float = 60.0
    mean_run_s: float = 3.0
    seed: int = 1
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slowdown: float = 0.0
    reports_gaps: bool = False


class World:
    """Plays a load through the decisions of one group.

    Attributes:
        items: All batch items.
        online_waits_s: Seconds that each online request waited for its ticket.
        revocations: Number of revoked tickets.
        paces: Seconds per second of work of each ticket, by its id.
        online_ends_s: Seconds from each online request to its end.
    """

    def __init__(self, load: Load, policy: admission.Policy) -> None:
        self.load = load
        self.group = admission.Group(policy=policy)
        self.rng = random.Random(load.seed)
        self.events: list[tuple[float, int, str, str]] = []
        self.count = 0
        self.items: list[Item] = []
        self.online_arrived_s: dict[str, float] = {}
        self.online_waits_s: list[float] = []
        self.revocations = 0
        self.paces: dict[str, float] = {}
        self.online_ends_s: list[float] = []
        slots = {f"e{n}": 8 for n in range(load.endpoints)}
        admission.set_endpoints(self.group, 0.0, slots, slots=slots)

    def push(self, at_s: float, kind: str, subject: str) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, kind, subject))

    def plan(self) -> None:
        """Plans the arrivals."""
        load, rng = self.load, self.rng
        at_s = 0.0
        while at_s < load.duration_s:
            in_wave = at_s % WAVE_PERIOD_S > WAVE_PERIOD_S - WAVE_S
            at_s += rng.expovariate(load.online_per_s[in_wave])
            self.push(at_s, "online", f"r{self.count}")
        jobs_per_s = (
            load.batch_fraction * load.endpoints * 8 / (10 * load.mean_run_s)
        )
        names = list(load.organisations)
        shares = list(load.organisations.values())
        at_s = 0.0
        while True:
            at_s += rng.expovariate(jobs_per_s)
            if at_s >= load.duration_s:
                break
            (name,) = rng.choices(names, shares)
            for _ in range(10):
                # About a tenth of the items has 3 to 4 times the mean.
                run_s = load.mean_run_s * min(
                    4.0, rng.lognormvariate(-0.25, 0.72)
                )
                expected_s = run_s * rng.uniform(0.8, 1.2)
                self.push(at_s, "ask", str(len(self.items)))
                self.items.append(Item(name, at_s, run_s, expected_s))
        for tick in range(int((load.duration_s + GIVE_UP_S) / TICK_S)):
            self.push(tick * TICK_S, "tick", "")

    def run(self) -> None:
        """Plays the load to its end."""
        self.plan()
        while self.events:
            now, _, kind, subject = heapq.heappop(self.events)
            if kind == "online":
                self.online_arrived_s[subject] = now
                request = admission.QueuedRequest(
                    subject, admission.ONLINE, "x", now, now + 1.5
                )
                actions = admission.request_ticket(self.group, now, request)
            elif kind == "ask":
                actions = self.ask(int(subject), now)
            elif kind == "end":
                actions = self.end(subject, now)
            elif kind == "cancelled":
                actions = admission.release_ticket(
                    self.group,
                    now,
                    subject,
                    admission.Measurement(admission.CANCELLED),
                )
            else:
                actions = admission.tick(self.group, now)
            self.apply(actions, now)

    def ask(self, index: int, now: float) -> list[admission.Action]:
        """Asks for a ticket for an item."""
        item = self.items[index]
        if now - item.arrived_s > GIVE_UP_S:
            return []
        item.asks += 1
        left = 1.0 - item.done_s / item.run_s
        request = admission.QueuedRequest(
            f"{index}/{item.asks}",
            admission.BATCH,
            item.organisation,
            now,
            now + TICKET_WAIT_S,
            max_tokens=int(item.run_s * TOKENS_PER_S),
            prompt_words=100,
            due_s=item.arrived_s + DUE_S,
            expected_duration_s=item.expected_s * left,
            software_version="" if item.done_s else None,
        )
        return admission.request_ticket(self.group, now, request)

    def end(self, ticket_id: str, now: float) -> list[admission.Action]:
        """Ends an item or an online request, unless it was revoked."""
        if "/" in ticket_id:
            index, _, ask = ticket_id.partition("/")
            item = self.items[int(index)]
            if item.asks != int(ask) or item.granted_s is None:
                return []
            item.ended_s = now
        else:
            self.online_ends_s.append(now - self.online_arrived_s[ticket_id])
        gap_s = None
        if self.load.reports_gaps:
            gap_s = GAP_S * self.paces[ticket_id] * self.rng.uniform(0.8, 1.2)
        return admission.release_ticket(
            self.group, now, ticket_id, admission.Measurement(event_gap_s=gap_s)
        )

    def apply(self, actions: list[admission.Action], now: float) -> None:
        """Does what the group has decided."""
        for action in actions:
            if isinstance(action, admission.Grant):
                self.start(action.ticket, now)
            elif isinstance(action, admission.Revoke):
                self.revoke(action.id, now)
            elif "/" in action.id:
                self.push(now + RESEND_S, "ask", action.id.partition("/")[0])

    def start(self, ticket: admission.Ticket, now: float) -> None:
        """Starts a granted request."""
        running = len(self.group.endpoints[ticket.endpoint].tickets)
        speed = self.load.speeds[int(ticket.endpoint[1:])]
        # The mean load is 6 of 8 slots.
        pace = (1.0 + self.load.slowdown * (running - 6)) / speed
        self.paces[ticket.id] = pace
        if ticket.kind == admission.ONLINE:
            waited_s = now - self.online_arrived_s[ticket.id]
            self.online_waits_s.append(waited_s)
            self.push(now + ONLINE_HOLD_S * pace, "end", ticket.id)
            return
        item = self.items[int(ticket.id.partition("/")[0])]
        item.granted_s = now
        left_s = (item.run_s - item.done_s) * pace
        self.push(now + left_s + PROMPT_S, "end", ticket.id)

    def revoke(self, ticket_id: str, now: float) -> None:
        """Stops an item, which asks again and keeps what it has done."""
        index = ticket_id.partition("/")[0]
        item = self.items[int(index)]
        assert item.granted_s is not None
        self.revocations += 1
        item.done_s += (
            max(0.0, now - item.granted_s - PROMPT_S) / self.paces[ticket_id]
        )
        item.granted_s = None
        self.push(now + 0.01, "cancelled", ticket_id)
        self.push(now + 0.01 + RESEND_S, "ask", index)

    def value(self) -> float:
        """Returns the value of all items, as a fraction of the possible."""
        return sum(i.value() for i in self.items) / sum(
            i.run_s for i in self.items
        )

    def shares(self) -> tuple[float, float, float]:
        """Returns the shares of items on time: smallest tenth, all, largest."""
        by_size = sorted(self.items, key=lambda i: i.run_s)
        tenth = max(1, math.ceil(len(by_size) / 10))
        return (
            on_time_share(by_size[:tenth]),
            on_time_share(by_size),
            on_time_share(by_size[-tenth:]),
        )


def on_time_share(items: list[Item]) -> float:
    """Returns the fraction of items that ended on time."""
    return statistics.mean(i.is_on_time() for i in items)
