"""Rates: conservation of units and tokens under every fault of transfers."""

import dataclasses
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from ibisknot import rates

ALLOWANCE = rates.Allowance(rate=10.0, burst=8.0)
NAME = "organisation"
NODES = 4
ANY_NODE = strategies.integers(0, NODES - 1)
BURST = int(ALLOWANCE.burst * rates.ORGANISATION_UNITS)


@dataclasses.dataclass(slots=True)
class Node:
    """One VM; `pending` is the id of the call whose answer it waits for."""

    name: str
    alive: bool = True
    holdings: rates.Holdings = dataclasses.field(default_factory=rates.Holdings)
    ledger: rates.Ledger | None = None
    pending: int = 0


@dataclasses.dataclass(slots=True)
class Message:
    """A message on the way; `call` correlates an answer with its call."""

    kind: str
    source: int
    target: int
    epoch: int
    call: int = 0
    units: int = 0
    tokens: int = 0
    held: Any = None


class Transfers(stateful.RuleBasedStateMachine):
    """VMs that lend, return, recall, die and change owners."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.nodes = [Node(f"vm-{n}/0") for n in range(NODES)]
        self.epoch = 0
        self.holders: set[str] = set()
        self.messages: list[Message] = []
        self.grants: list[float] = []
        self.calls = 0

    def share(self, node: Node) -> rates.Share:
        if node.ledger is not None:
            return rates.pool(
                node.ledger, node.holdings, NAME, self.now, ALLOWANCE
            )
        return rates.share_of(node.holdings, NAME, self.now)

    def call(self, node: Node) -> int:
        self.calls += 1
        node.pending = self.calls
        return self.calls

    def index(self, name: str) -> int:
        return next(n for n in range(NODES) if self.nodes[n].name == name)

    def owner(self) -> int | None:
        """Returns the newest owner that is alive."""
        owners = [
            (node.ledger.epoch, number)
            for number, node in enumerate(self.nodes)
            if node.alive and node.ledger is not None
        ]
        return max(owners)[1] if owners else None

    @stateful.initialize(lender=ANY_NODE)
    def lend_to_all(self, lender: int) -> None:
        """Starts where every VM has units, so that steps have an effect."""
        self.take(lender)
        for _ in range(2):
            for number in range(NODES):
                self.ask(number, lender)
                self.deliver_others("")
        for node in self.nodes:
            node.pending = 0

    @stateful.rule(
        kept=strategies.sampled_from(
            ["", "grant", "lend", "return", "recalled"]
        )
    )
    def deliver_others(self, kept: str) -> None:
        """Delivers all messages but one kind, which is delayed."""
        waiting = [m for m in self.messages if m.kind == kept]
        self.messages = [m for m in self.messages if m.kind != kept]
        while self.messages:
            if self.messages[0].kind == kept:
                waiting.append(self.messages.pop(0))
            else:
                self.deliver(0)
        self.messages = waiting

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.2, 1.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(number=ANY_NODE)
    def take(self, number: int) -> None:
        node = self.nodes[number]
        if not node.alive:
            return
        self.epoch += 1
        self.holders.add(node.name)
        rates.accepts(node.holdings, self.epoch)
        node.ledger = rates.Ledger(
            epoch=self.epoch,
            owner=node.name,
            waiting=self.holders - {node.name},
            known=set(self.holders),
            complete_s=self.now,
        )
        self.collect(number)

    @stateful.rule(number=ANY_NODE)
    def collect(self, number: int) -> None:
        node = self.nodes[number]
        if not node.alive or node.ledger is None:
            return
        call = self.call(node)
        for name in sorted(node.ledger.waiting):
            target = self.index(name)
            self.messages.append(
                Message("collect", number, target, node.ledger.epoch, call)
            )

    @stateful.rule(number=ANY_NODE)
    def forget_dead(self, number: int) -> None:
        node = self.nodes[number]
        if not node.alive or node.ledger is None:
            return
        for other in self.nodes:
            if not other.alive and other.name in node.ledger.waiting:
                rates.forget_holder(node.ledger, other.name, self.now)

    @stateful.rule(number=ANY_NODE)
    def kill(self, number: int) -> None:
        if sum(node.alive for node in self.nodes) > 2:
            self.nodes[number].alive = False

    @stateful.rule(number=ANY_NODE)
    def ask_owner(self, number: int) -> None:
        owner = self.owner()
        if owner is not None:
            self.ask(number, owner)

    @stateful.rule(number=ANY_NODE)
    def ask_with_late_answer(self, number: int) -> None:
        self.ask_owner(number)
        self.deliver_others("grant")

    @stateful.rule(number=ANY_NODE)
    def change_owner_with_late_grants(self, number: int) -> None:
        """Completes a change of owner while old grants are on the way."""
        self.take(number)
        self.deliver_others("grant")
        self.spend(number)

    @stateful.rule(number=ANY_NODE, owner=ANY_NODE)
    def ask(self, number: int, owner: int) -> None:
        node = self.nodes[number]
        if node.alive and number != owner:
            message = Message("ask", number, owner, node.holdings.epoch)
            message.call = self.call(node)
            message.units = 100_000
            message.tokens = rates.TOKEN
            self.messages.append(message)

    @stateful.rule(number=ANY_NODE, deputy=ANY_NODE)
    def supply_deputy(self, number: int, deputy: int) -> None:
        node = self.nodes[number]
        ledger = node.ledger
        name = self.nodes[deputy].name
        if not node.alive or ledger is None or number == deputy:
            return
        if name not in ledger.known or name in ledger.waiting:
            return
        pool = self.share(node)
        units = rates.deputy_units(0, pool)
        parcel = rates.lend(
            ledger, pool, NAME, name, units, self.now, ALLOWANCE
        )
        message = Message("lend", number, deputy, ledger.epoch)
        message.units, message.tokens = parcel.units, parcel.tokens
        self.messages.append(message)

    def on_lend(self, node: Node, message: Message) -> None:
        if node.ledger is None and rates.accepts(node.holdings, message.epoch):
            parcel = rates.Parcel(message.units, message.tokens)
            rates.add(self.share(node), parcel, self.now, ALLOWANCE)

    @stateful.rule(number=ANY_NODE)
    def recall(self, number: int) -> None:
        node = self.nodes[number]
        if not node.alive or node.ledger is None:
            return
        call = self.call(node)
        for name in rates.recall_targets(node.ledger, NAME)[:1]:
            target = self.index(name)
            message = Message("recall", number, target, node.ledger.epoch, call)
            message.tokens = 2 * rates.TOKEN
            self.messages.append(message)

    @stateful.rule(number=ANY_NODE, owner=ANY_NODE)
    def give_back(self, number: int, owner: int) -> None:
        node = self.nodes[number]
        share = self.share(node)
        if not node.alive or node.ledger is not None or number == owner:
            return
        parcel = rates.remove(
            share, share.units // 2 + 1, share.level, self.now, ALLOWANCE
        )
        message = Message("return", number, owner, node.holdings.epoch)
        message.units, message.tokens = parcel.units, parcel.tokens
        self.messages.append(message)

    @stateful.rule(number=ANY_NODE)
    def spend(self, number: int) -> None:
        node = self.nodes[number]
        if node.alive and rates.spend(self.share(node), self.now, ALLOWANCE):
            self.grants.append(self.now)

    @stateful.rule(place=strategies.integers(0, 30))
    def drop(self, place: int) -> None:
        if self.messages:
            self.messages.pop(place % len(self.messages))

    @stateful.rule(place=strategies.integers(0, 30))
    def deliver(self, place: int) -> None:
        if not self.messages:
            return
        message = self.messages.pop(place % len(self.messages))
        node = self.nodes[message.target]
        if node.alive:
            getattr(self, f"on_{message.kind}")(node, message)

    def on_ask(self, node: Node, ask: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch < ask.epoch:
            return
        asker = self.nodes[ask.source].name
        pool = self.share(node)
        drawn = rates.draw(pool, ask.tokens, self.now, ALLOWANCE)
        self.grants += [self.now] * (drawn // rates.TOKEN)
        answer = Message(
            "grant", ask.target, ask.source, ledger.epoch, ask.call
        )
        if asker not in ledger.known:
            if self.epoch == ledger.epoch:
                self.holders.add(asker)
                ledger.known.add(asker)
        elif asker not in ledger.waiting:
            parcel = rates.lend(
                ledger, pool, NAME, asker, ask.units, self.now, ALLOWANCE
            )
            answer.units, answer.tokens = parcel.units, parcel.tokens
        self.messages.append(answer)

    def on_grant(self, node: Node, grant: Message) -> None:
        if node.pending != grant.call:
            return
        node.pending = 0
        if rates.accepts(node.holdings, grant.epoch):
            parcel = rates.Parcel(grant.units, grant.tokens)
            rates.add(self.share(node), parcel, self.now, ALLOWANCE)

    def on_recall(self, node: Node, ask: Message) -> None:
        if not rates.accepts(node.holdings, ask.epoch) or node.ledger:
            return
        share = self.share(node)
        parcel = rates.spare(share, ask.tokens, self.now, ALLOWANCE)
        answer = Message("recalled", ask.target, ask.source, ask.epoch)
        answer.call = ask.call
        answer.units, answer.tokens = parcel.units, parcel.tokens
        self.messages.append(answer)

    def on_recalled(self, node: Node, answer: Message) -> None:
        if node.pending == answer.call:
            self.on_return(node, answer)

    def on_return(self, node: Node, message: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch != message.epoch:
            return
        holder = self.nodes[message.source].name
        parcel = rates.Parcel(message.units, message.tokens)
        pool = self.share(node)
        rates.take_back(ledger, pool, NAME, holder, parcel, self.now, ALLOWANCE)

    def on_collect(self, node: Node, ask: Message) -> None:
        for share in node.holdings.shares.values():
            rates.refill(share, self.now, ALLOWANCE)
        owned = node.ledger is not None
        held = rates.report(node.holdings, ask.epoch, owned=owned)
        if held is None:
            return
        node.ledger = None
        answer = Message("report", ask.target, ask.source, ask.epoch, ask.call)
        answer.held = held
        self.messages.append(answer)

    def on_report(self, node: Node, answer: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch != answer.epoch:
            return
        if node.pending == answer.call:
            holder = self.nodes[answer.source].name
            rates.record_report(ledger, holder, answer.held, self.now)

    def acceptable(self, message: Message) -> bool:
        node = self.nodes[message.target]
        return node.alive and node.holdings.epoch <= message.epoch

    @stateful.invariant()
    def units_are_conserved(self) -> None:
        """Guards against units that exist twice."""
        held = sum(
            share.units
            for node in self.nodes
            if node.alive
            for share in node.holdings.shares.values()
        )
        assert held <= rates.ORGANISATION_UNITS

    @stateful.invariant()
    def tokens_fit_the_burst(self) -> None:
        """Guards against a burst that grows when tokens move."""
        level = 0
        for node in self.nodes:
            for share in node.holdings.shares.values():
                rates.refill(share, self.now, ALLOWANCE)
                level += share.level if node.alive else 0
        moving = sum(
            m.tokens
            for m in self.messages
            if m.kind in ("grant", "lend", "return", "recalled")
            and self.acceptable(m)
        )
        assert level + moving <= BURST

    @stateful.invariant()
    def windows_are_within_the_rate(self) -> None:
        """Guards against more grants in a window than rate and burst allow."""
        if not self.grants:
            return
        for start in sorted(set(self.grants)):
            count = sum(at >= start for at in self.grants)
            window_s = self.grants[-1] - start
            assert count <= ALLOWANCE.rate * window_s + ALLOWANCE.burst + 1e-6

    def teardown(self) -> None:
        """Guards against units that stay lost after a change of owner."""
        self.messages.clear()
        number = next(n for n in range(NODES) if self.nodes[n].alive)
        self.take(number)
        while self.messages:
            self.deliver(0)
        self.forget_dead(number)
        held = sum(self.share(n).units for n in self.nodes if n.alive)
        assert held == rates.ORGANISATION_UNITS


Transfers.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestTransfers = Transfers.TestCase


def test_a_lone_request_draws_where_units_are_few() -> None:
    """Guards against fractions of tokens stranded on many VMs."""
    share = rates.Share()
    rates.note_demand(share, 0.0)
    small = rates.Allowance(rate=10.0, burst=10.0)
    assert rates.wanted_units(share, small) == 0


def test_first_epoch_starts_full_and_later_ones_empty() -> None:
    """Guards against a burst that a change of owner renews."""
    for epoch, level in ((1, BURST), (2, 0)):
        ledger = rates.Ledger(epoch, "a/0", set(), {"a/0"}, complete_s=5.0)
        holdings = rates.Holdings(epoch)
        pool = rates.pool(ledger, holdings, NAME, 5.0, ALLOWANCE)
        assert (pool.units, pool.level) == (rates.ORGANISATION_UNITS, level)


def test_units_of_a_silent_holder_stay_unavailable() -> None:
    """Guards against lending what a paused VM may still spend."""
    ledger = rates.Ledger(2, "a/0", {"b/0"}, {"a/0", "b/0"})
    holdings = rates.Holdings(2)
    pool = rates.pool(ledger, holdings, NAME, 1.0, ALLOWANCE)
    assert pool.units == 0
    held = {NAME: rates.Parcel(400_000, 0)}
    rates.record_report(ledger, "b/0", held, 2.0)
    pool = rates.pool(ledger, holdings, NAME, 2.0, ALLOWANCE)
    assert pool.units == 600_000


def test_a_lower_rate_lowers_the_level_at_once() -> None:
    """Guards against tokens of an old burst that stay after a change."""
    share = rates.Share(units=500_000, level=4 * rates.TOKEN)
    lower = rates.Allowance(rate=1.0, burst=2.0)
    parcel = rates.Parcel(100_000, 2 * rates.TOKEN)
    rates.add(share, parcel, 0.0, lower)
    assert share.level == rates.cap(600_000, lower)
