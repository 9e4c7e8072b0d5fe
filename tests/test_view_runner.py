"""What a process reads from the store itself, and what it gets from peers."""

from typing import Any

import anyio
import fake_fleet
import pytest
import view_world

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import operator_watch
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot import view_encoding
from ibisknot import view_exchange
from ibisknot import view_runner
from ibisknot.gen.fleet import ttypes


def test_process_without_access_to_the_store_gets_members_from_peers() -> None:
    """Guards against a VM that has no worker to relay its store calls."""
    world = view_world.World()
    world.clock.time_s += view_exchange.MEMBERS_STALE_S + 0.1
    anyio.run(world.exchange.gossip, world.clock.now())
    assert world.peers.count("view_ask") == view_exchange.GOSSIP_PEERS
    first = fleetview.by_precedence(world.view.members.values())[0]
    assert first.name == "w9"


def test_process_with_current_members_requests_no_view() -> None:
    """Guards against full views that are sent in every gossip period."""
    world = view_world.World()
    world.clock.time_s += 1.1 * view_exchange.CALM_AGE_S
    anyio.run(world.exchange.gossip, world.clock.now())
    assert world.peers.count("view_ask") == 0
    assert len(_receivers(world)) == view_exchange.GOSSIP_PEERS


def test_process_that_gets_updates_rarely_gossips() -> None:
    """Guards against idle processes that are not idle."""
    world = view_world.World()
    for _ in range(3):
        anyio.run(world.exchange.gossip, world.clock.now())
        world.clock.time_s += view_exchange.GOSSIP_PERIOD_S
        world.view.endpoints_read_s = world.clock.now()
        world.view.configuration_confirmed_s = world.clock.now()
    assert len(_receivers(world)) == 1


def _receivers(world: view_world.World) -> set[str]:
    return {address for address, _, _ in world.peers.calls}


@pytest.mark.parametrize(("name", "reads"), [("w1", 1), ("w0", 0), ("g0", 0)])
def test_only_the_first_process_reads_the_members(
    name: str, reads: int
) -> None:
    """Guards against store calls that grow with the number of processes."""
    world = view_world.World(name)
    world.clock.time_s += fleetview.MEMBERS_POLL_PERIOD_S
    world.poll_members()
    assert world.store.calls["list"] == reads


def test_members_are_read_when_no_peer_sends_them() -> None:
    """Guards against old members after the loss of the first worker."""
    world = view_world.World("g1")
    world.clock.time_s += view_exchange.MEMBERS_STALE_S
    world.poll_members()
    assert world.store.calls["list"] == 1
    world.poll_members()
    assert world.store.calls["list"] == 1


def test_equal_members_are_confirmed_without_being_sent() -> None:
    """Guards against lists of all members in every update of a large fleet."""
    world = view_world.World("g0")
    other = view_world.World("w0")
    other.view.members_revision = 8
    other.clock.time_s += 3.0
    other.view.members_read_s = other.clock.now() - 0.5
    update = other.exchange._compose_update()
    world.clock.time_s += 3.0
    ack = anyio.run(world.exchange.on_update, update)
    assert not ack.wants_members
    assert world.view.members_read_s == world.clock.now() - 0.5
    assert world.view.members_revision == 8


def test_process_with_other_members_asks_for_them() -> None:
    """Guards against a process that never hears of a new member."""
    world = view_world.World("g0")
    other = view_world.World("w0")
    other.view.members["g7"] = fake_fleet.member("g7", deployment.GATEWAY)
    other.view.members_revision = 8
    ack = anyio.run(world.exchange.on_update, other.exchange._compose_update())
    assert ack.wants_members
    full = other.exchange._compose_update(members=True)
    assert not anyio.run(world.exchange.on_update, full).wants_members
    assert "g7" in world.view.members


def test_only_the_parts_that_a_peer_lacks_are_sent() -> None:
    """Guards against configurations that are sent with every new member."""
    world = view_world.World("w0")
    world.view.encoded_configuration = b"configuration"
    world.view.configuration_revision = 3
    world.peers.answers["view_news"] = lambda _a, _m: ttypes.ViewAck(
        3, 0, False, True
    )
    update = world.exchange._compose_update()
    anyio.run(world.exchange._send_update, "g0:1", update)
    assert [m.members is not None for m in world.sent()] == [False, True]
    assert all(m.configuration is None for m in world.sent())


def test_requested_view_lacks_what_the_peer_has() -> None:
    """Guards against whole views that every process requests in an outage."""
    world, other = view_world.World("w0"), view_world.World("g0")
    for each in (world, other):
        each.view.encoded_configuration = b"configuration"
        each.view.configuration_revision = 3
    anyio.run(other.exchange._try_request_view, "w0:1")
    (ask,) = [m for _, method, m in other.peers.calls if method == "view_ask"]
    sent = anyio.run(world.exchange.on_view_request, ask)
    assert view_encoding.configuration_of(sent) is None
    assert view_encoding.entries_of(sent) is None
    assert sent.members is None
    earlier = anyio.run(
        world.exchange.on_view_request, ttypes.ViewAsk(sender="g0")
    )
    assert view_encoding.configuration_of(earlier) == b"configuration"
    assert earlier.members is not None


@pytest.mark.parametrize("reads_compressed", [None, True])
def test_parts_are_compressed_only_for_builds_that_read_it(
    reads_compressed: bool | None,
) -> None:
    """Guards against an earlier build that gets no configuration."""
    world = view_world.World("w0")
    world.view.encoded_configuration = b"configuration"
    world.view.configuration_revision = 3
    world.peers.answers["view_news"] = lambda _a, _m: ttypes.ViewAck(
        2, 0, False, reads_compressed=reads_compressed
    )
    update = world.exchange._compose_update()
    anyio.run(world.exchange._send_update, "g0:1", update)
    sent = world.sent()[-1]
    assert view_encoding.configuration_of(sent) == b"configuration"
    assert (sent.configuration is None) == bool(reads_compressed)


@pytest.mark.parametrize(("name", "is_needed"), [("g0", False), ("w1", True)])
def test_gateway_that_gets_updates_does_not_watch_the_store(
    name: str, is_needed: bool
) -> None:
    """Guards against a watch of the store by every gateway."""
    world = view_world.World(name)

    async def main() -> None:
        with anyio.move_on_after(0.05):
            await world.runner.operator_watch.run()

    anyio.run(main)
    assert bool(world.store.calls) == is_needed


def test_gateway_without_updates_watches_the_store() -> None:
    """Guards against a gateway that is cut off from its peers.

    It must still learn of a withdrawn key while it reaches the store.
    """
    world = view_world.World("g0")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    _follow_briefly(world)
    assert world.store.calls["changes"] == 1


def test_fresh_entries_do_not_hide_an_old_configuration() -> None:
    """Guards against a fleet without workers that misses all changes.

    Another gateway reads the endpoints' entries for all and publishes them.
    """
    world = view_world.World("g0")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    world.view.endpoints_read_s = world.clock.now()
    _follow_briefly(world)
    assert world.store.calls["changes"] == 1


def test_gateways_follow_the_operator_one_after_the_other() -> None:
    """Guards against a whole fleet that reads the store at once."""
    world = view_world.World("g1")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    _follow_briefly(world)
    assert not world.store.calls
    world.clock.time_s += fleetview.POLL_STAGGER_S
    _follow_briefly(world)
    assert world.store.calls["changes"] == 1


def _follow_briefly(world: view_world.World) -> None:
    """Runs the watch of the operator's keys for a moment."""

    async def main() -> None:
        with anyio.move_on_after(operator_watch.UNNEEDED_PAUSE_S / 2):
            await world.runner.operator_watch.run()

    anyio.run(main)


@pytest.mark.parametrize(
    ("name", "source", "sends"),
    [
        ("w0", view_runner.STORE, 3),
        ("g1", "w0", 0),
        ("g1", view_runner.STORE, 3),
    ],
)
def test_only_few_processes_publish_a_configuration(
    name: str, source: str, sends: int
) -> None:
    """Guards against messages that grow with the square of the fleet.

    A gateway that reads the store itself may be the only one that does.
    """
    world = view_world.World(name)
    world.runner.adopt_configuration(7, b"new", source)
    anyio.run(world.task_group.run)
    assert len(_receivers(world)) == sends


@pytest.mark.parametrize(("name", "sends"), [("w0", 3), ("g1", 0)])
def test_first_configuration_is_published_by_workers_only(
    name: str, sends: int
) -> None:
    """Guards against a start that is slow, and one that floods the fleet.

    With the update the others learn of the members as well.
    """
    world = view_world.World(name)
    world.view.configuration = None
    world.runner.adopt_configuration(7, b"new", view_runner.STORE)
    anyio.run(world.task_group.run)
    assert len(_receivers(world)) == sends


@pytest.mark.parametrize(
    ("follower", "is_followed"), [("w1", False), ("g1", True)]
)
def test_gateway_follows_until_one_before_it_does(
    follower: str, is_followed: bool
) -> None:
    """Guards against two gateways that stop because of each other."""
    world = view_world.World("g0")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    _follow_briefly(world)
    world.clock.time_s += 1.0
    update = view_world.World("w0").exchange._compose_update()
    update.configuration_age_s = 0.0
    update.configuration_follower = follower
    anyio.run(world.exchange.on_update, update)
    assert world.runner._needs_own_watch() == is_followed


def test_gateway_that_hears_from_a_worker_stops_following() -> None:
    """Guards against gateways that follow the store for good."""
    world = view_world.World("g0")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    _follow_briefly(world)
    update = view_world.World("w0").exchange._compose_update()
    update.configuration_age_s = 0.0
    anyio.run(world.exchange.on_update, update)
    world.runner.operator_watch.on_current(0.0)
    assert not world.runner._needs_own_watch()


def test_keys_are_followed_again_after_a_failed_wait() -> None:
    """Guards against a worker after which all gateways follow the store."""
    world = view_world.World("w1")
    world.store.revision = 5
    watch = world.runner.operator_watch
    wait_for_changes = world.store.changes

    async def fail_once(
        prefix: str, after: int, wait_s: float
    ) -> pairs.Changes:
        world.store.changes = wait_for_changes  # type: ignore[method-assign]
        raise errors.KeyValueError("the wait was cut")

    async def main() -> None:
        world.store.changes = fail_once  # type: ignore[method-assign]
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch.run)
            await anyio.wait_all_tasks_blocked()
            assert not watch.is_following
            with anyio.fail_after(10.0):
                while not watch.is_following:
                    await anyio.sleep(0.01)
            task_group.cancel_scope.cancel()

    anyio.run(main)


def test_wait_that_may_be_cut_confirms_nothing() -> None:
    """Guards against an old configuration that a worker calls the newest.

    Its wait for changes hangs on a connection from before a cut.
    """
    world = view_world.World("w1")
    watch = world.runner.operator_watch

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch.run)
            await anyio.wait_all_tasks_blocked()
            assert watch.is_following
            world.store.is_down = True
            world.clock.time_s += fleetview.POLL_PERIOD_S
            await world.runner._poll_entries(world.clock.now())
            await anyio.wait_all_tasks_blocked()
            assert not watch.is_following
            world.store.is_down = False
            world.store.calls.clear()
            with anyio.fail_after(10.0):
                while not watch.is_following:
                    await anyio.sleep(0.01)
            assert world.store.calls["list"] == 1
            task_group.cancel_scope.cancel()

    anyio.run(main)


def test_peer_with_a_newer_configuration_confirms_no_older_one() -> None:
    """Guards against a gateway that keeps an old configuration for good."""
    world = view_world.World("g0")
    world.clock.time_s += fleetview.FOLLOW_AFTER_S + 0.1
    update = view_world.World("w0").exchange._compose_update()
    update.configuration_age_s = 0.0
    update.configuration_revision = 9
    anyio.run(world.exchange.on_update, update)
    assert world.runner._needs_own_watch()


def test_process_that_is_not_listed_registers_at_once() -> None:
    """Guards against a process that stays unknown until its next renewal."""
    world = view_world.World("g0")
    anyio.run(world.runner.registration.renew, 0.0)
    world.runner._adopt_members(
        9, [registration.from_wire(view_world.NEW_MEMBER)], 0.0
    )
    anyio.run(world.task_group.run)
    assert world.store.calls["keep_alive"] == 1


@pytest.mark.parametrize("name", ["g0", "w0"])
def test_process_whose_entry_is_lost_becomes_a_member_again(name: str) -> None:
    """Guards against a process that renews its lease but is no member."""
    world = view_world.World(name)
    entry = world.runner.registration
    anyio.run(entry.renew, 0.0)
    anyio.run(lambda: world.store.transact([], [], deletes=[entry.entry.key]))
    world.runner._adopt_members(
        world.store.revision,
        [registration.from_wire(view_world.NEW_MEMBER)],
        0.0,
    )
    anyio.run(world.task_group.run)
    assert entry.entry.key in world.store.stored
    assert world.store.leases[entry.entry.key] == entry.lease_id


def test_updates_survive_their_encoding() -> None:
    """Guards against fields that the wire does not carry."""
    update = view_world.World().exchange._compose_update(members=True)
    decoded: Any = peer.decode(peer.encode(update), ttypes.ViewNews)
    assert decoded.members_digest == update.members_digest
    assert len(decoded.members) == 4


def _full_update(age_s: float) -> ttypes.ViewNews:
    return ttypes.ViewNews(
        sender="g1",
        configuration_revision=4,
        configuration=b"old",
        endpoints_revision=4,
        endpoints_age_s=age_s,
        endpoints=[ttypes.ListedEntry("e/left", b"", 3)],
        members_revision=9,
        endpoints_digest=0,
        configuration_age_s=age_s,
        configuration_follower="w0",
    )


def test_started_process_does_not_use_what_a_cut_off_peer_has() -> None:
    """Guards against a withdrawn key that is in use again after a restart.

    The peer was cut off from the store when the key was withdrawn; the same
    holds for an endpoint that has left.
    """
    world = view_world.World()
    world.view.configuration = None
    anyio.run(world.exchange.on_update, _full_update(60.0))
    assert world.view.configuration is None
    assert world.view.entries == {}
    anyio.run(world.exchange.on_update, _full_update(0.5))
    assert world.view.configuration_revision == 4


def test_started_process_does_not_take_fresh_entries_for_a_fresh_key() -> None:
    """Guards against a withdrawn key from a peer that only reads entries."""
    world = view_world.World()
    world.view.configuration = None
    update = _full_update(0.5)
    update.configuration_age_s = 60.0
    anyio.run(world.exchange.on_update, update)
    assert world.view.configuration is None
    assert world.view.entries


def test_started_process_uses_old_state_if_there_is_no_other() -> None:
    """Guards against refusing all callers while the store is away."""
    world = view_world.World()
    world.view.configuration = None
    world.clock.time_s += view_exchange.START_WAIT_S
    anyio.run(world.exchange.on_update, _full_update(60.0))
    assert world.view.configuration_revision == 4


def test_next_read_does_not_wait_for_silent_members() -> None:
    """Guards against old entries everywhere because one member is lost."""
    world = view_world.World("w1")
    world.clock.time_s += fleetview.POLL_PERIOD_S

    async def never(*_: Any, **__: Any) -> None:
        await anyio.sleep_forever()

    world.peers.call = never  # type: ignore[method-assign]

    async def main() -> None:
        with anyio.fail_after(5.0):
            await world.runner._poll_entries(world.clock.now())

    anyio.run(main)
    assert world.store.calls["list"] == 1
    assert world.task_group.tasks
