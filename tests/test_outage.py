"""Calls of the key-value service while it rejects one process or all."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import fake_fleet
import fake_pairs_store
import pytest

from ibisknot import errors
from ibisknot import pairs
from ibisknot import store_relay
from ibisknot.outage import access
from ibisknot.outage import gate

WAITING = 20
"""Calls that wait for the service at the same time."""
PUT = [pairs.Put("k", b"v")]


class _World:
    """A worker `w3` of four, whose calls may be relayed."""

    def __init__(self) -> None:
        self.direct = fake_pairs_store.FakeStore()
        self.view = fake_fleet.view(gateways=0, workers=4)
        self.peers = fake_fleet.Peers()
        self.peers.answers["store_call"] = self.reject
        self.clock = fake_fleet.Clock()
        self.store = store_relay.RelayingStore(
            self.direct,
            self.view,
            self.peers,  # type: ignore[arg-type]
            "w3",
            self.clock.now,
        )

    def reject(self, _address: str, _message: object) -> None:
        """Answers a relayed call as a helper that is rejected as well."""
        raise errors.KeyValueError("the service rejects the helper")

    async def call_until_success(self) -> None:
        """Repeats a call as often as the gate lets it."""
        while True:
            try:
                await self.store.get("k")
            except errors.KeyValueError:
                await self.store.gate.wait()
            else:
                return

    def relayed_through(self) -> list[str]:
        """Returns the addresses of the helpers, in order."""
        return [address for address, _, _ in self.peers.calls]


def test_waiting_calls_are_not_all_repeated_in_an_outage() -> None:
    """Guards against calls that grow with the jobs that wait for the store.

    All of them are repeated at once when it is back.
    """
    world = _World()
    world.view.endpoints_read_s = fake_fleet.START_S - 10.0
    world.direct.is_down = True

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            for _ in range(WAITING):
                task_group.start_soon(world.call_until_success)
            for _ in range(4):
                await anyio.sleep(0.1)
                world.clock.time_s += access.RETRY_PAUSE_S
            assert world.direct.calls["get"] <= WAITING + 4
            world.direct.is_down = False
            world.clock.time_s += access.RETRY_PAUSE_S

    anyio.run(main)


def test_calls_are_repeated_when_a_peer_has_reached_the_service() -> None:
    """Guards against a pause that goes on after the end of an outage."""
    state = access.Access()
    access.record_failure(state, 10.0)
    assert access.retry_wait_s(state, 10.1, peers_read_s=10.05) == 0.0
    access.record_failure(state, 10.1)
    assert access.retry_wait_s(state, 10.15, peers_read_s=10.05) > 0.0


def test_calls_are_not_relayed_again_when_no_helper_gets_an_answer() -> None:
    """Guards against three calls for each one at the start of an outage."""
    world = _World()
    world.direct.is_down = True

    async def main() -> None:
        for _ in range(WAITING):
            with pytest.raises(errors.KeyValueError):
                await world.store.get("k")

    anyio.run(main)
    assert len(world.peers.calls) == store_relay.MAX_HELPERS


def test_active_scheduler_is_the_last_helper() -> None:
    """Guards against all relayed calls of a fleet at the active scheduler."""
    world = _World()
    world.direct.is_down = True
    with pytest.raises(errors.KeyValueError):
        anyio.run(world.store.get, "k")
    assert sorted(world.relayed_through()) == ["w1:1", "w2:1"]


@pytest.mark.parametrize("workers", [2, 3])
def test_small_fleet_relays_through_the_active_scheduler(workers: int) -> None:
    """Guards against a process without a helper."""
    world = _World()
    world.store.own_name = f"w{workers - 1}"
    world.view.members = fake_fleet.view(gateways=0, workers=workers).members
    world.direct.is_down = True
    with pytest.raises(errors.KeyValueError):
        anyio.run(world.store.get, "k")
    assert world.relayed_through()[-1] == "w0:1"


def test_write_does_not_test_whether_direct_calls_succeed_again() -> None:
    """Guards against writes of unknown outcome while one process is cut off.

    A write that gets no answer makes a job's record doubtful.
    """
    world = _World()
    world.direct.is_down = True

    async def attempt(call: Callable[[], Awaitable[object]]) -> None:
        with pytest.raises(errors.KeyValueError):
            await call()

    async def main() -> None:
        await attempt(lambda: world.store.get("k"))
        world.clock.time_s += store_relay.DIRECT_CALL_PAUSE_S
        world.view.endpoints_read_s = world.clock.now()
        await attempt(lambda: world.store.transact([], PUT))
        assert world.direct.calls == {"get": 1}
        world.direct.is_down = False
        world.clock.time_s += store_relay.RELAY_PAUSE_S
        await world.store.get("k")
        await world.store.transact([], PUT)
        assert world.direct.calls == {"get": 2, "transact": 1}

    anyio.run(main)


@pytest.mark.parametrize("age_s", [0.1, 2.0])
@pytest.mark.parametrize("is_write", [True, False])
def test_call_from_an_outage_is_given_up_when_it_is_over(
    is_write: bool, age_s: float
) -> None:
    """Guards against results that wait for the time-out of a lost write."""
    world = _World()
    store_gate = world.store.gate
    expected = errors.KeyValueUnknownError if is_write else errors.KeyValueError

    async def lose() -> None:
        with pytest.raises(errors.KeyValueError) as raised:
            await store_gate.run(anyio.sleep_forever, is_write=is_write)
        assert type(raised.value) is expected

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            world.clock.time_s += 3.0
            await store_gate.check(world.clock.now())
            task_group.start_soon(lose)
            await anyio.wait_all_tasks_blocked()
            world.clock.time_s += age_s
            await store_gate.check(world.clock.now())
            assert store_gate.started_s
            world.view.endpoints_read_s = world.clock.now()
            await store_gate.check(world.clock.now())
            world.clock.time_s += gate.LOST_CALL_S
            await store_gate.check(world.clock.now())

    anyio.run(main)


def test_slow_call_is_not_given_up_without_an_outage() -> None:
    """Guards against writes of unknown outcome when the store is only slow."""
    world = _World()
    store_gate = world.store.gate

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_run_for_ever, store_gate)
            await anyio.wait_all_tasks_blocked()
            store_gate.record_failure()
            for _ in range(3):
                world.clock.time_s += 1.0
                world.view.endpoints_read_s = world.clock.now()
                await store_gate.check(world.clock.now())
            await anyio.wait_all_tasks_blocked()
            assert store_gate.started_s
            task_group.cancel_scope.cancel()

    anyio.run(main)


async def _run_for_ever(outage_gate: gate.Gate) -> None:
    await outage_gate.run(anyio.sleep_forever, is_write=True)
