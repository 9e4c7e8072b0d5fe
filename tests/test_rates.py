"""Conservation of share units and tokens under lost and late messages.

A state machine of several VMs changes owners, stops VMs, and loses or delays
messages, in generated orders.
"""

import dataclasses
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from ibisknot import rates

ALLOWANCE = rates.Allowance(rate=10.0, burst=8.0)
ORGANISATION = "organisation"
NODE_COUNT = 4
ANY_NODE = strategies.integers(0, NODE_COUNT - 1)
BURST = int(ALLOWANCE.burst * rates.ORGANISATION_UNITS)


@dataclasses.dataclass(slots=True)
class Node:
    """One VM.

    Attributes:
        holder: Name of the VM's process as a holder.
        is_running: Whether the VM has not been stopped.
        holdings: What the VM holds.
        ledger: Its ledger while it is an owner.
        pending_call: Id of the call whose answer it waits for.
    """

    holder: str
    is_running: bool = True
    holdings: rates.Holdings = dataclasses.field(default_factory=rates.Holdings)
    ledger: rates.Ledger | None = None
    pending_call: int = 0


@dataclasses.dataclass(slots=True)
class Message:
    """A message under way.

    Attributes:
        kind: Selects the handler `on_<kind>`.
        source: Index of the sending VM.
        target: Index of the receiving VM.
        epoch: The sender's epoch.
        call: Id of the call that it makes or answers, 0 for none.
        units: Share units requested or carried.
        tokens: Tokens requested or carried, in millionths.
        reported: The shares in a report.
    """

    kind: str
    source: int
    target: int
    epoch: int
    call: int = 0
    units: int = 0
    tokens: int = 0
    reported: Any = None


class Transfers(stateful.RuleBasedStateMachine):
    """VMs that lend, return and recall units, stop, and change the owner."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.nodes = [Node(f"vm-{n}/0") for n in range(NODE_COUNT)]
        self.epoch = 0
        self.holders: set[str] = set()
        self.messages: list[Message] = []
        self.grants: list[float] = []
        self.calls = 0

    def share(self, node: Node) -> rates.Share:
        if node.ledger is not None:
            return rates.refresh_pool(
                node.ledger, node.holdings, ORGANISATION, self.now, ALLOWANCE
            )
        return rates.share_of(node.holdings, ORGANISATION, self.now)

    def start_call(self, node: Node) -> int:
        self.calls += 1
        node.pending_call = self.calls
        return self.calls

    def index_of(self, name: str) -> int:
        return next(
            n for n in range(NODE_COUNT) if self.nodes[n].holder == name
        )

    def newest_owner(self) -> int | None:
        """Returns the running owner with the highest epoch."""
        owners = [
            (node.ledger.epoch, index)
            for index, node in enumerate(self.nodes)
            if node.is_running and node.ledger is not None
        ]
        return max(owners)[1] if owners else None

    @stateful.initialize(lender=ANY_NODE)
    def lend_to_all(self, lender: int) -> None:
        """Starts with units at every VM, so that steps have an effect."""
        self.take_over(lender)
        for _ in range(2):
            for index in range(NODE_COUNT):
                self.send_request(index, lender)
                self.deliver_others("")
        for node in self.nodes:
            node.pending_call = 0

    @stateful.rule(
        delayed=strategies.sampled_from(
            ["", "grant", "lend", "return", "recalled"]
        )
    )
    def deliver_others(self, delayed: str) -> None:
        """Delivers all messages except those of one kind, which are delayed."""
        delayed_messages = [m for m in self.messages if m.kind == delayed]
        self.messages = [m for m in self.messages if m.kind != delayed]
        while self.messages:
            if self.messages[0].kind == delayed:
                delayed_messages.append(self.messages.pop(0))
            else:
                self.deliver(0)
        self.messages = delayed_messages

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.2, 1.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(index=ANY_NODE)
    def take_over(self, index: int) -> None:
        node = self.nodes[index]
        if not node.is_running:
            return
        self.epoch += 1
        self.holders.add(node.holder)
        rates.accept_epoch(node.holdings, self.epoch)
        node.ledger = rates.Ledger(
            epoch=self.epoch,
            own_holder=node.holder,
            unreported=self.holders - {node.holder},
            holders=set(self.holders),
            all_reported_s=self.now,
        )
        self.request_reports(index)

    @stateful.rule(index=ANY_NODE)
    def request_reports(self, index: int) -> None:
        node = self.nodes[index]
        if not node.is_running or node.ledger is None:
            return
        call = self.start_call(node)
        for name in sorted(node.ledger.unreported):
            target = self.index_of(name)
            self.messages.append(
                Message("collect", index, target, node.ledger.epoch, call)
            )

    @stateful.rule(index=ANY_NODE)
    def remove_departed(self, index: int) -> None:
        node = self.nodes[index]
        if not node.is_running or node.ledger is None:
            return
        for other in self.nodes:
            if not other.is_running and other.holder in node.ledger.unreported:
                rates.remove_holder(node.ledger, other.holder, self.now)

    @stateful.rule(index=ANY_NODE)
    def stop(self, index: int) -> None:
        if sum(node.is_running for node in self.nodes) > 2:
            self.nodes[index].is_running = False

    @stateful.rule(index=ANY_NODE)
    def request_from_owner(self, index: int) -> None:
        owner = self.newest_owner()
        if owner is not None:
            self.send_request(index, owner)

    @stateful.rule(index=ANY_NODE)
    def request_with_late_answer(self, index: int) -> None:
        self.request_from_owner(index)
        self.deliver_others("grant")

    @stateful.rule(index=ANY_NODE)
    def change_owner_with_late_grants(self, index: int) -> None:
        """Completes a change of owner while old grants are under way."""
        self.take_over(index)
        self.deliver_others("grant")
        self.consume(index)

    @stateful.rule(index=ANY_NODE, owner=ANY_NODE)
    def send_request(self, index: int, owner: int) -> None:
        node = self.nodes[index]
        if node.is_running and index != owner:
            message = Message("request", index, owner, node.holdings.epoch)
            message.call = self.start_call(node)
            message.units = 100_000
            message.tokens = rates.ONE_TOKEN
            self.messages.append(message)

    @stateful.rule(index=ANY_NODE, successor=ANY_NODE)
    def lend_to_successor(self, index: int, successor: int) -> None:
        node = self.nodes[index]
        ledger = node.ledger
        name = self.nodes[successor].holder
        if not node.is_running or ledger is None or index == successor:
            return
        if name not in ledger.holders or name in ledger.unreported:
            return
        pool = self.share(node)
        units = rates.successor_units(0, pool)
        transfer = rates.lend(
            ledger, pool, ORGANISATION, name, units, self.now, ALLOWANCE
        )
        message = Message("lend", index, successor, ledger.epoch)
        message.units, message.tokens = transfer.units, transfer.tokens
        self.messages.append(message)

    def on_lend(self, node: Node, message: Message) -> None:
        if node.ledger is None and rates.accept_epoch(
            node.holdings, message.epoch
        ):
            transfer = rates.Transfer(message.units, message.tokens)
            rates.add_to_share(self.share(node), transfer, self.now, ALLOWANCE)

    @stateful.rule(index=ANY_NODE)
    def recall(self, index: int) -> None:
        node = self.nodes[index]
        if not node.is_running or node.ledger is None:
            return
        call = self.start_call(node)
        for name in rates.recall_targets(node.ledger, ORGANISATION)[:1]:
            target = self.index_of(name)
            message = Message("recall", index, target, node.ledger.epoch, call)
            message.tokens = 2 * rates.ONE_TOKEN
            self.messages.append(message)

    @stateful.rule(index=ANY_NODE, owner=ANY_NODE)
    def return_units(self, index: int, owner: int) -> None:
        node = self.nodes[index]
        share = self.share(node)
        if not node.is_running or node.ledger is not None or index == owner:
            return
        transfer = rates.remove_from_share(
            share, share.units // 2 + 1, share.level, self.now, ALLOWANCE
        )
        message = Message("return", index, owner, node.holdings.epoch)
        message.units, message.tokens = transfer.units, transfer.tokens
        self.messages.append(message)

    @stateful.rule(index=ANY_NODE)
    def consume(self, index: int) -> None:
        node = self.nodes[index]
        if node.is_running and rates.consume(
            self.share(node), self.now, ALLOWANCE
        ):
            self.grants.append(self.now)

    @stateful.rule(position=strategies.integers(0, 30))
    def lose(self, position: int) -> None:
        if self.messages:
            self.messages.pop(position % len(self.messages))

    @stateful.rule(position=strategies.integers(0, 30))
    def deliver(self, position: int) -> None:
        if not self.messages:
            return
        message = self.messages.pop(position % len(self.messages))
        node = self.nodes[message.target]
        if node.is_running:
            getattr(self, f"on_{message.kind}")(node, message)

    def on_request(self, node: Node, request: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch < request.epoch:
            return
        requester = self.nodes[request.source].holder
        pool = self.share(node)
        drawn = rates.draw(pool, request.tokens, self.now, ALLOWANCE)
        self.grants += [self.now] * (drawn // rates.ONE_TOKEN)
        answer = Message(
            "grant", request.target, request.source, ledger.epoch, request.call
        )
        if requester not in ledger.holders:
            if self.epoch == ledger.epoch:
                self.holders.add(requester)
                ledger.holders.add(requester)
        elif requester not in ledger.unreported:
            transfer = rates.lend(
                ledger,
                pool,
                ORGANISATION,
                requester,
                request.units,
                self.now,
                ALLOWANCE,
            )
            answer.units, answer.tokens = transfer.units, transfer.tokens
        self.messages.append(answer)

    def on_grant(self, node: Node, grant: Message) -> None:
        if node.pending_call != grant.call:
            return
        node.pending_call = 0
        if rates.accept_epoch(node.holdings, grant.epoch):
            transfer = rates.Transfer(grant.units, grant.tokens)
            rates.add_to_share(self.share(node), transfer, self.now, ALLOWANCE)

    def on_recall(self, node: Node, request: Message) -> None:
        if not rates.accept_epoch(node.holdings, request.epoch) or node.ledger:
            return
        share = self.share(node)
        transfer = rates.remove_recalled(
            share, request.tokens, self.now, ALLOWANCE
        )
        answer = Message(
            "recalled", request.target, request.source, request.epoch
        )
        answer.call = request.call
        answer.units, answer.tokens = transfer.units, transfer.tokens
        self.messages.append(answer)

    def on_recalled(self, node: Node, answer: Message) -> None:
        if node.pending_call == answer.call:
            self.on_return(node, answer)

    def on_return(self, node: Node, message: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch != message.epoch:
            return
        holder = self.nodes[message.source].holder
        transfer = rates.Transfer(message.units, message.tokens)
        pool = self.share(node)
        rates.accept_return(
            ledger, pool, ORGANISATION, holder, transfer, self.now, ALLOWANCE
        )

    def on_collect(self, node: Node, request: Message) -> None:
        for share in node.holdings.shares.values():
            rates.refill(share, self.now, ALLOWANCE)
        owned = node.ledger is not None
        reported = rates.report_shares(
            node.holdings, request.epoch, was_owner=owned
        )
        if reported is None:
            return
        node.ledger = None
        answer = Message(
            "report",
            request.target,
            request.source,
            request.epoch,
            request.call,
        )
        answer.reported = reported
        self.messages.append(answer)

    def on_report(self, node: Node, answer: Message) -> None:
        ledger = node.ledger
        if ledger is None or ledger.epoch != answer.epoch:
            return
        if node.pending_call == answer.call:
            holder = self.nodes[answer.source].holder
            rates.record_report(ledger, holder, answer.reported, self.now)

    def is_acceptable(self, message: Message) -> bool:
        node = self.nodes[message.target]
        return node.is_running and node.holdings.epoch <= message.epoch

    @stateful.invariant()
    def units_are_conserved(self) -> None:
        """Guards against units that exist at two VMs."""
        total_units = sum(
            share.units
            for node in self.nodes
            if node.is_running
            for share in node.holdings.shares.values()
        )
        assert total_units <= rates.ORGANISATION_UNITS

    @stateful.invariant()
    def tokens_fit_the_burst(self) -> None:
        """Guards against transfers that raise the tokens above the burst."""
        level = 0
        for node in self.nodes:
            for share in node.holdings.shares.values():
                rates.refill(share, self.now, ALLOWANCE)
                level += share.level if node.is_running else 0
        moving = sum(
            m.tokens
            for m in self.messages
            if m.kind in ("grant", "lend", "return", "recalled")
            and self.is_acceptable(m)
        )
        assert level + moving <= BURST

    @stateful.invariant()
    def windows_are_within_the_rate(self) -> None:
        """Guards against windows with more grants than rate and burst allow."""
        if not self.grants:
            return
        for start in sorted(set(self.grants)):
            count = sum(at >= start for at in self.grants)
            window_s = self.grants[-1] - start
            assert count <= ALLOWANCE.rate * window_s + ALLOWANCE.burst + 1e-6

    def teardown(self) -> None:
        """Guards against lost units that a change of owner does not recover."""
        self.messages.clear()
        index = next(n for n in range(NODE_COUNT) if self.nodes[n].is_running)
        self.take_over(index)
        while self.messages:
            self.deliver(0)
        self.remove_departed(index)
        total_units = sum(
            self.share(n).units for n in self.nodes if n.is_running
        )
        assert total_units == rates.ORGANISATION_UNITS


Transfers.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestTransfers = Transfers.TestCase


def test_request_draws_when_its_share_would_be_small() -> None:
    """Guards against fractions of tokens spread over many VMs."""
    share = rates.Share()
    rates.record_demand(share, 0.0)
    small = rates.Allowance(rate=10.0, burst=10.0)
    assert rates.wanted_units(share, small) == 0


def test_first_epoch_starts_full_and_later_ones_empty() -> None:
    """Guards against a change of owner that grants the burst again."""
    for epoch, level in ((1, BURST), (2, 0)):
        ledger = rates.Ledger(epoch, "a/0", set(), {"a/0"}, all_reported_s=5.0)
        holdings = rates.Holdings(epoch)
        pool = rates.refresh_pool(
            ledger, holdings, ORGANISATION, 5.0, ALLOWANCE
        )
        assert (pool.units, pool.level) == (rates.ORGANISATION_UNITS, level)


def test_units_of_an_unreported_holder_stay_unavailable() -> None:
    """Guards against lending units that a paused VM may still use."""
    ledger = rates.Ledger(2, "a/0", {"b/0"}, {"a/0", "b/0"})
    holdings = rates.Holdings(2)
    pool = rates.refresh_pool(ledger, holdings, ORGANISATION, 1.0, ALLOWANCE)
    assert pool.units == 0
    reported = {ORGANISATION: rates.Transfer(400_000, 0)}
    rates.record_report(ledger, "b/0", reported, 2.0)
    pool = rates.refresh_pool(ledger, holdings, ORGANISATION, 2.0, ALLOWANCE)
    assert pool.units == 600_000


def test_a_lower_rate_lowers_the_level_at_once() -> None:
    """Guards against tokens above the burst after the burst is lowered."""
    share = rates.Share(units=500_000, level=4 * rates.ONE_TOKEN)
    lower = rates.Allowance(rate=1.0, burst=2.0)
    transfer = rates.Transfer(100_000, 2 * rates.ONE_TOKEN)
    rates.add_to_share(share, transfer, 0.0, lower)
    assert share.level == rates.token_cap(600_000, lower)
