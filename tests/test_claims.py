"""Claims: at most one run whatever fails at owners or the key-value service."""

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
    """A clock that advances by 0.2 s each time it is read."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        self.now_s += 0.2
        return self.now_s


@dataclasses.dataclass(slots=True)
class ClaimFleet:
    """VMs that claim one request, each at the VM that it assumes is the owner.

    Attributes:
        key_value: Key-value service of all VMs.
        owners: Owner of claims on each VM.
        assumed_owners: Name of the VM that each VM assumes to be the owner.
        granted: VM and request id of each request that may run and has not.
        request_count: Requests so far; their ids are numbered by it.
        run_count: Runs so far.
    """

    key_value: fake_key_value.FakeKeyValue
    owners: dict[str, claims_owner.Owner] = dataclasses.field(
        default_factory=dict
    )
    assumed_owners: dict[str, str] = dataclasses.field(default_factory=dict)
    granted: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    request_count: int = 0
    run_count: int = 0

    def begin_message(
        self, vm: str, *, durable: bool = True
    ) -> ttypes.ClaimBegin:
        self.request_count += 1
        return ttypes.ClaimBegin(
            claim=CLAIM,
            digest="same",
            vm=vm,
            request=f"request-{self.request_count}",
            durable=durable,
            wait_s=0.0,
        )

    async def begin(self, vm: str, *, decision_lost: bool) -> None:
        """Claims the request; with a lost decision the VM does not run it."""
        message = self.begin_message(vm)
        owner = self.owners[self.assumed_owners[vm]]
        try:
            decision = await owner.on_begin(message)
        except errors.IbisknotError:
            await self.end(vm, message.request, errors.NOT_RUN)
            return
        if decision_lost:
            await self.end(vm, message.request, errors.NOT_RUN)
        elif decision.decision == ttypes.Decision.RUN:
            self.granted.append((vm, message.request))

    async def end(self, vm: str, request: str, ran: str) -> None:
        recorded = ANSWER if ran == errors.RAN else None
        message = ttypes.ClaimEnd(
            claim=CLAIM, request=request, ran=ran, recorded=recorded
        )
        await self.owners[self.assumed_owners[vm]].on_end(message)

    async def run_oldest(self, ran: str) -> None:
        """Runs the oldest granted request, however long ago it was granted.

        Args:
            ran: How it ended, `lost` if its end is not reported.
        """
        if not self.granted:
            return
        vm, request = self.granted.pop(0)
        self.run_count += 1
        if ran != "lost":
            await self.end(vm, request, ran)

    async def begin_once(self, vm: str) -> None:
        await self.begin(vm, decision_lost=False)


@contextlib.asynccontextmanager
async def started_fleet(faults: list[str]) -> AsyncIterator[ClaimFleet]:
    fleet = ClaimFleet(fake_key_value.FakeKeyValue(faults))
    async with anyio.create_task_group() as task_group:
        for vm in VMS:
            fleet.assumed_owners[vm] = VMS[0]
            fleet.owners[vm] = owner(fleet, vm, task_group)
        yield fleet
        task_group.cancel_scope.cancel()


def owner(fleet: ClaimFleet, vm: str, task_group: Any) -> claims_owner.Owner:
    return claims_owner.Owner(
        vm=vm,
        task_group=task_group,
        key_value=fleet.key_value,  # type: ignore[arg-type]
        clock=timer.Timer(clock=Clock()),
        preferred_owner=lambda _shard: fleet.assumed_owners[vm],
        is_departed=lambda _vm: False,
    )


@pytest.fixture(autouse=True)
def without_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims_owner, "COMMIT_INTERVAL_S", 0.0)
    monkeypatch.setattr(claims_owner, "READ_BACK_RETRY_DELAY_S", 0.0)


STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("begin"),
        strategies.sampled_from(VMS),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.sampled_from(["both", "split"]),
        strategies.sampled_from(VMS),
        strategies.sampled_from(VMS),
    ),
    strategies.tuples(
        strategies.just("assume_owner"),
        strategies.sampled_from(VMS),
        strategies.sampled_from(VMS),
    ),
    strategies.tuples(
        strategies.just("run_oldest"),
        strategies.sampled_from([errors.RAN, errors.UNKNOWN, "lost"]),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.sampled_from(["restart"]),
        strategies.sampled_from(VMS),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.sampled_from(["apply_late", "down", "up"]),
        strategies.none(),
        strategies.none(),
    ),
)


async def run_steps(
    steps: list[tuple[str, Any, Any]], faults: list[str]
) -> int:
    """Takes the steps and returns how often the request ran."""
    async with (
        started_fleet([]) as fleet,
        anyio.create_task_group() as task_group,
    ):
        # The first owner takes over the shard here, so that it does not read
        # the ownership record at the steps.
        first = fleet.begin_message(VMS[0])
        first.claim = SAME_SHARD
        await fleet.owners[VMS[0]].on_begin(first)
        fleet.key_value.faults = faults
        for kind, first, second in steps:
            if kind == "begin":
                await fleet.begin(first, decision_lost=second)
            elif kind == "both":
                async with anyio.create_task_group() as begin_group:
                    for vm in (first, second):
                        begin_group.start_soon(fleet.begin_once, vm)
            elif kind == "split":
                fleet.assumed_owners = dict.fromkeys(VMS, first)
                fleet.assumed_owners[second] = second
                for vm in (first, second):
                    await fleet.begin(vm, decision_lost=False)
            elif kind == "assume_owner":
                fleet.assumed_owners[first] = second
            elif kind == "run_oldest":
                await fleet.run_oldest(first)
            elif kind == "restart":
                fleet.owners[first] = owner(fleet, first, task_group)
            elif kind == "apply_late":
                fleet.key_value.apply_late()
            else:
                fleet.key_value.down = kind == "down"
        while fleet.granted:
            await fleet.run_oldest(errors.RAN)
        run_count = fleet.run_count
        task_group.cancel_scope.cancel()
    return run_count


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
def test_claimed_request_runs_at_most_once(
    steps: list[tuple[str, Any, Any]], faults: list[str]
) -> None:
    """Guards against second runs after owner changes and lost answers.

    Runs may also start late, because their VM was paused.
    """
    assert anyio.run(run_steps, steps, faults) <= 1


@pytest.mark.anyio
async def test_resend_gets_the_recorded_response() -> None:
    """Guards against a second run of a request resent through another VM."""
    async with started_fleet([]) as fleet:
        await fleet.begin("vm-2", decision_lost=False)
        await fleet.run_oldest(errors.RAN)
        decision = await fleet.owners["vm-1"].on_begin(
            fleet.begin_message("vm-3")
        )
        assert decision.decision == ttypes.Decision.RECORDED
        assert decision.recorded == ANSWER


@pytest.mark.anyio
async def test_resend_joins_the_running_request() -> None:
    """Guards against a resend that does not wait for the first run to end."""
    async with started_fleet([]) as fleet:
        await fleet.begin("vm-2", decision_lost=False)
        found = []

        async def resend() -> None:
            message = fleet.begin_message("vm-3")
            message.wait_s = 30.0
            found.append(await fleet.owners["vm-1"].on_begin(message))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(resend)
            await anyio.sleep(0)
            await fleet.run_oldest(errors.RAN)
        assert found[0].recorded == ANSWER


@pytest.mark.anyio
async def test_new_owner_answers_unknown() -> None:
    """Guards against a second run after the owner of the claim is lost."""
    async with started_fleet([]) as fleet:
        await fleet.begin("vm-2", decision_lost=False)
        fleet.assumed_owners = dict.fromkeys(VMS, "vm-3")
        decision = await fleet.owners["vm-3"].on_begin(
            fleet.begin_message("vm-1")
        )
        assert decision.decision == ttypes.Decision.UNKNOWN


@pytest.mark.anyio
async def test_different_body_is_a_conflict() -> None:
    """Guards against the recorded response of another request."""
    async with started_fleet([]) as fleet:
        await fleet.begin("vm-2", decision_lost=False)
        message = fleet.begin_message("vm-3")
        message.digest = "other"
        decision = await fleet.owners["vm-1"].on_begin(message)
        assert decision.decision == ttypes.Decision.CONFLICT


@pytest.mark.anyio
async def test_service_down_refuses_only_durable_claims() -> None:
    """Guards against refusing requests that may be repeated in an outage."""
    async with started_fleet([]) as fleet:
        fleet.key_value.down = True
        with pytest.raises(errors.KeyValueError):
            await fleet.owners["vm-1"].on_begin(fleet.begin_message("vm-2"))
        message = fleet.begin_message("vm-2", durable=False)
        decision = await fleet.owners["vm-1"].on_begin(message)
        assert decision.decision == ttypes.Decision.RUN


@pytest.mark.anyio
async def test_one_write_commits_many_claims() -> None:
    """Guards against a number of writes that grows with the traffic."""
    async with started_fleet([]) as fleet:
        shard = claims.shard_of(CLAIM)
        claim_ids = [f"claim-{n}" for n in range(400)]
        claim_ids = [n for n in claim_ids if claims.shard_of(n) == shard]
        owner = fleet.owners["vm-1"]
        await owner.on_begin(fleet.begin_message("vm-1"))
        writes_before = fleet.key_value.writes

        async def begin(claim_id: str) -> None:
            message = fleet.begin_message("vm-2")
            message.claim = claim_id
            await owner.on_begin(message)

        async with anyio.create_task_group() as task_group:
            for claim_id in claim_ids:
                task_group.start_soon(begin, claim_id)
        assert len(claim_ids) > 20
        assert fleet.key_value.writes - writes_before <= 2


def test_request_ended_before_its_commit_releases_the_claim() -> None:
    """Guards against a claim held by a request that ended before the commit."""
    table = claims.Table()
    first = claims.ClaimRequest("claim", "digest", "vm-1", "request-1", True)
    assert claims.begin(table, first, 0.0) == claims.BeginResult.RUN
    assert claims.end(table, "claim", "request-1", not_run=True)
    assert not claims.mark_committed(table, first)
    second = claims.ClaimRequest("claim", "digest", "vm-2", "request-2", True)
    assert claims.begin(table, second, 1.0) == claims.BeginResult.RUN


def test_table_stays_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against claims and responses that exhaust the memory."""
    monkeypatch.setattr(claims, "MAX_SHARD_CLAIMS", 20)
    monkeypatch.setattr(claims, "MAX_SHARD_RECORDED_BYTES", 50)
    table = claims.Table()
    for number in range(100):
        request = claims.ClaimRequest(
            f"c{number}", "d", "vm", f"r{number}", False
        )
        assert claims.begin(table, request, 0.0) == claims.BeginResult.RUN
        recorded = claims.Recorded(200, {}, b"x" * 10)
        claims.end(
            table, request.claim, request.request, ran=True, recorded=recorded
        )
    assert len(table.claims) <= 20
    assert table.recorded_bytes <= 50
    claims.expire(table, claims.RETENTION_S + 1.0, lambda _vm: False)
    assert not table.claims
    assert table.recorded_bytes == 0


@pytest.mark.anyio
async def test_old_commits_are_deleted() -> None:
    """Guards against commits that accumulate in the key-value service."""
    async with started_fleet([]) as fleet:
        owner = fleet.owners["vm-1"]
        await owner.on_begin(fleet.begin_message("vm-2"))
        later_s = claims.RETENTION_S + claims_owner.TRIM_DELAY_S + 10.0
        clock = owner.clock.clock
        assert isinstance(clock, Clock)
        clock.now_s += later_s
        await owner.expire(clock.now_s)
        prefix = f"{claims.COMMIT_KEY_PREFIX}{claims.shard_of(CLAIM):04d}/"
        assert await fleet.key_value.list_prefix(prefix) == []


@pytest.mark.anyio
@pytest.mark.parametrize("fault", fake_key_value.FAULTS)
async def test_owner_resolves_a_lost_answer_by_reading(fault: str) -> None:
    """Guards against a shard that is taken over twice, or not at all."""
    key_value: Any = fake_key_value.FakeKeyValue([fault])
    taken = None
    with contextlib.suppress(errors.KeyValueError):
        taken = await ownership.take_over(key_value, "rates", 1, vm="vm-1")
    record, revision = await ownership.read_record(key_value, "rates", 1)
    if fault in (fake_key_value.OK, fake_key_value.LOST_AFTER):
        assert taken == (record, revision)
    else:
        assert taken is None
    key_value.apply_late()
    second = await ownership.take_over(key_value, "rates", 1, vm="vm-2")
    assert second is not None
    assert second[0].epoch == (1 if key_value.writes == 1 else 2)
