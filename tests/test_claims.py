"""Claims: at most one run under every fault of owners and the service."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

import anyio
import fake_key_value
import hypothesis
from hypothesis import strategies
import pytest

from ibisknot import claims
from ibisknot import claims_owner
from ibisknot import errors
from ibisknot import ownership
from ibisknot import timer
from ibisknot.gen.claims import ttypes

VMS = ("vm-1", "vm-2", "vm-3")
CLAIM = claims.derive_claim_id("organisation", "key/1")
SAME_SHARD = next(
    name
    for name in map(str, range(1000))
    if claims.shard_of(name) == claims.shard_of(CLAIM)
)
ANSWER = ttypes.Recorded(status=200, headers={}, body=b"done")


class Clock:
    """A clock that moves a little each time it is read."""

    def __init__(self) -> None:
        self.value = 0.0

    def __call__(self) -> float:
        self.value += 0.2
        return self.value


@dataclasses.dataclass(slots=True)
class World:
    """VMs that each believe some VM to own the shard."""

    store: fake_key_value.FakeKeyValue
    owners: dict[str, claims_owner.Owner] = dataclasses.field(
        default_factory=dict
    )
    beliefs: dict[str, str] = dataclasses.field(default_factory=dict)
    held: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    requests: int = 0
    runs: int = 0

    def ask(self, vm: str, *, durable: bool = True) -> ttypes.ClaimBegin:
        self.requests += 1
        return ttypes.ClaimBegin(
            claim=CLAIM,
            digest="same",
            vm=vm,
            request=f"request-{self.requests}",
            durable=durable,
            wait_s=0.0,
        )

    async def request(self, vm: str, *, lost: bool) -> None:
        """Sends one try; a lost decision means that the VM gives up."""
        ask = self.ask(vm)
        owner = self.owners[self.beliefs[vm]]
        try:
            decision = await owner.on_begin(ask)
        except errors.IbisknotError:
            await self.end(vm, ask.request, errors.NOT_RUN)
            return
        if lost:
            await self.end(vm, ask.request, errors.NOT_RUN)
        elif decision.decision == ttypes.Decision.RUN:
            self.held.append((vm, ask.request))

    async def end(self, vm: str, request: str, ran: str) -> None:
        recorded = ANSWER if ran == errors.RAN else None
        message = ttypes.ClaimEnd(
            claim=CLAIM, request=request, ran=ran, recorded=recorded
        )
        await self.owners[self.beliefs[vm]].on_end(message)

    async def resume(self, ran: str) -> None:
        """Lets the oldest VM that may run do so, however late it is."""
        if not self.held:
            return
        vm, request = self.held.pop(0)
        self.runs += 1
        if ran != "lost":
            await self.end(vm, request, ran)

    async def try_once(self, vm: str) -> None:
        await self.request(vm, lost=False)


@contextlib.asynccontextmanager
async def world(faults: list[str]) -> AsyncIterator[World]:
    made = World(fake_key_value.FakeKeyValue(faults))
    async with anyio.create_task_group() as group:
        for vm in VMS:
            made.beliefs[vm] = VMS[0]
            made.owners[vm] = owner(made, vm, group)
        yield made
        group.cancel_scope.cancel()


def owner(made: World, vm: str, group: Any) -> claims_owner.Owner:
    return claims_owner.Owner(
        vm=vm,
        task_group=group,
        key_value=made.store,  # type: ignore[arg-type]
        clock=timer.Timer(clock=Clock()),
        preferred_owner=lambda _shard: made.beliefs[vm],
        is_departed=lambda _vm: False,
    )


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims_owner, "COMMIT_INTERVAL_S", 0.0)
    monkeypatch.setattr(claims_owner, "READ_BACK_RETRY_DELAY_S", 0.0)


STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("request"),
        strategies.sampled_from(VMS),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.sampled_from(["both", "split"]),
        strategies.sampled_from(VMS),
        strategies.sampled_from(VMS),
    ),
    strategies.tuples(
        strategies.just("believe"),
        strategies.sampled_from(VMS),
        strategies.sampled_from(VMS),
    ),
    strategies.tuples(
        strategies.just("resume"),
        strategies.sampled_from([errors.RAN, errors.UNKNOWN, "lost"]),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.sampled_from(["restart"]),
        strategies.sampled_from(VMS),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.sampled_from(["land", "down", "up"]),
        strategies.none(),
        strategies.none(),
    ),
)


async def play(steps: list[tuple[str, Any, Any]], faults: list[str]) -> int:
    """Plays steps and returns how often the request ran."""
    async with world([]) as made, anyio.create_task_group() as group:
        # An owner that has the shard already does not look at its record.
        first = made.ask(VMS[0])
        first.claim = SAME_SHARD
        await made.owners[VMS[0]].on_begin(first)
        made.store.faults = faults
        for kind, first, second in steps:
            if kind == "request":
                await made.request(first, lost=second)
            elif kind == "both":
                async with anyio.create_task_group() as both:
                    for vm in (first, second):
                        both.start_soon(made.try_once, vm)
            elif kind == "split":
                made.beliefs = dict.fromkeys(VMS, first)
                made.beliefs[second] = second
                for vm in (first, second):
                    await made.request(vm, lost=False)
            elif kind == "believe":
                made.beliefs[first] = second
            elif kind == "resume":
                await made.resume(first)
            elif kind == "restart":
                made.owners[first] = owner(made, first, group)
            elif kind == "land":
                made.store.apply_late()
            else:
                made.store.down = kind == "down"
        while made.held:
            await made.resume(errors.RAN)
        runs = made.runs
        group.cancel_scope.cancel()
    return runs


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    steps=strategies.lists(STEPS, min_size=3, max_size=14),
    faults=strategies.lists(
        strategies.sampled_from(fake_key_value.FAULTS), max_size=6
    ),
)
def test_a_claimed_request_runs_at_most_once(
    steps: list[tuple[str, Any, Any]], faults: list[str]
) -> None:
    """Guards against second runs after owner change, lost answers, pauses."""
    assert anyio.run(play, steps, faults) <= 1


@pytest.mark.anyio
async def test_resend_gets_the_recorded_answer() -> None:
    """Guards against a resend through another VM that runs again."""
    async with world([]) as made:
        await made.request("vm-2", lost=False)
        await made.resume(errors.RAN)
        decision = await made.owners["vm-1"].on_begin(made.ask("vm-3"))
        assert decision.decision == ttypes.Decision.RECORDED
        assert decision.recorded == ANSWER


@pytest.mark.anyio
async def test_resend_joins_the_running_request() -> None:
    """Guards against a resend that does not wait for the first run."""
    async with world([]) as made:
        await made.request("vm-2", lost=False)
        found = []

        async def resend() -> None:
            ask = made.ask("vm-3")
            ask.wait_s = 30.0
            found.append(await made.owners["vm-1"].on_begin(ask))

        async with anyio.create_task_group() as group:
            group.start_soon(resend)
            await anyio.sleep(0)
            await made.resume(errors.RAN)
        assert found[0].recorded == ANSWER


@pytest.mark.anyio
async def test_new_owner_answers_unknown() -> None:
    """Guards against a run that is repeated after its owner is lost."""
    async with world([]) as made:
        await made.request("vm-2", lost=False)
        made.beliefs = dict.fromkeys(VMS, "vm-3")
        decision = await made.owners["vm-3"].on_begin(made.ask("vm-1"))
        assert decision.decision == ttypes.Decision.UNKNOWN


@pytest.mark.anyio
async def test_different_body_is_a_conflict() -> None:
    """Guards against a recorded answer for another request."""
    async with world([]) as made:
        await made.request("vm-2", lost=False)
        ask = made.ask("vm-3")
        ask.digest = "other"
        decision = await made.owners["vm-1"].on_begin(ask)
        assert decision.decision == ttypes.Decision.CONFLICT


@pytest.mark.anyio
async def test_service_down_refuses_only_durable_claims() -> None:
    """Guards against an outage that stops requests that may be repeated."""
    async with world([]) as made:
        made.store.down = True
        with pytest.raises(errors.KeyValueError):
            await made.owners["vm-1"].on_begin(made.ask("vm-2"))
        ask = made.ask("vm-2", durable=False)
        decision = await made.owners["vm-1"].on_begin(ask)
        assert decision.decision == ttypes.Decision.RUN


@pytest.mark.anyio
async def test_one_write_commits_many_claims() -> None:
    """Guards against writes that grow with the traffic."""
    async with world([]) as made:
        number = claims.shard_of(CLAIM)
        names = [f"claim-{n}" for n in range(400)]
        names = [n for n in names if claims.shard_of(n) == number]
        first = made.owners["vm-1"]
        await first.on_begin(made.ask("vm-1"))
        before = made.store.writes

        async def begin(name: str) -> None:
            ask = made.ask("vm-2")
            ask.claim = name
            await first.on_begin(ask)

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(begin, name)
        assert len(names) > 20
        assert made.store.writes - before <= 2


def test_request_given_up_before_its_commit_leaves_the_claim_free() -> None:
    """Guards against a claim that is held by a request that has left."""
    table = claims.Table()
    first = claims.ClaimRequest("claim", "digest", "vm-1", "request-1", True)
    assert claims.begin(table, first, 0.0) == claims.BeginResult.RUN
    assert claims.end(table, "claim", "request-1", not_run=True)
    assert not claims.mark_committed(table, first)
    again = claims.ClaimRequest("claim", "digest", "vm-2", "request-2", True)
    assert claims.begin(table, again, 1.0) == claims.BeginResult.RUN


def test_table_stays_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against claims and answers that fill the memory."""
    monkeypatch.setattr(claims, "MAX_SHARD_CLAIMS", 20)
    monkeypatch.setattr(claims, "MAX_SHARD_RECORDED_BYTES", 50)
    table = claims.Table()
    for number in range(100):
        ask = claims.ClaimRequest(f"c{number}", "d", "vm", f"r{number}", False)
        assert claims.begin(table, ask, 0.0) == claims.BeginResult.RUN
        answer = claims.Recorded(200, {}, b"x" * 10)
        claims.end(table, ask.claim, ask.request, ran=True, recorded=answer)
    assert len(table.claims) <= 20
    assert table.recorded_bytes <= 50
    claims.expire(table, claims.RETENTION_S + 1.0, lambda _vm: False)
    assert not table.claims
    assert table.recorded_bytes == 0


@pytest.mark.anyio
async def test_old_commits_are_deleted() -> None:
    """Guards against claims that fill the key-value service."""
    async with world([]) as made:
        first = made.owners["vm-1"]
        await first.on_begin(made.ask("vm-2"))
        later_s = claims.RETENTION_S + claims_owner.TRIM_DELAY_S + 10.0
        clock = first.clock.clock
        assert isinstance(clock, Clock)
        clock.value += later_s
        await first.expire(clock.value)
        prefix = f"{claims.PREFIX}{claims.shard_of(CLAIM):04d}/"
        assert await made.store.list_prefix(prefix) == []


@pytest.mark.anyio
@pytest.mark.parametrize("fault", fake_key_value.FAULTS)
async def test_owner_resolves_a_lost_answer_by_reading(fault: str) -> None:
    """Guards against a shard that is taken twice, or not at all."""
    store: Any = fake_key_value.FakeKeyValue([fault])
    taken = None
    with contextlib.suppress(errors.KeyValueError):
        taken = await ownership.take_over(store, "rates", 1, vm="vm-1")
    record, revision = await ownership.read_record(store, "rates", 1)
    if fault in (fake_key_value.OK, fake_key_value.LOST_AFTER):
        assert taken == (record, revision)
    else:
        assert taken is None
    store.apply_late()
    again = await ownership.take_over(store, "rates", 1, vm="vm-2")
    assert again is not None
    assert again[0].epoch == (1 if store.writes == 1 else 2)
