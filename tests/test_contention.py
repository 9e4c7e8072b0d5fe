"""Batch items that cannot all be on time: which run, and which are revoked."""

import dataclasses

import contention_world
import msgspec
import pytest

from ibisknot import admission
from ibisknot import breaker
from ibisknot import request_limits
from ibisknot import scheduler
from ibisknot.contention import losses
from ibisknot.contention import ranking
from ibisknot.platform import configuration

POLICY = scheduler.ACTIVE_POLICY
EARLIER_POLICY = dataclasses.replace(POLICY, weighs_losses=False)
SEEDS = (1, 2, 3)
MAX_SIZE_DIFFERENCE = 0.1


def _play(
    policy: admission.Policy, **load: object
) -> list[contention_world.World]:
    worlds = []
    for seed in SEEDS:
        sent = contention_world.Load(seed=seed, duration_s=40.0)
        sent = dataclasses.replace(sent, **load)  # type: ignore[arg-type]
        world = contention_world.World(sent, policy)
        world.run()
        worlds.append(world)
    return worlds


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


@pytest.mark.parametrize("batch_fraction", [0.6, 0.9])
def test_no_size_of_items_starves(batch_fraction: float) -> None:
    """Guards against large items that are late first and then never run."""
    before = _play(EARLIER_POLICY, batch_fraction=batch_fraction)
    after = _play(POLICY, batch_fraction=batch_fraction)
    smallest, all_items, largest = (
        _mean([world.shares()[k] for world in after]) for k in range(3)
    )
    assert abs(smallest - all_items) <= MAX_SIZE_DIFFERENCE
    assert abs(largest - all_items) <= MAX_SIZE_DIFFERENCE
    assert largest > _mean([world.shares()[2] for world in before])
    assert _mean([world.value() for world in after]) >= 0.98 * _mean(
        [world.value() for world in before]
    )


def test_flood_of_one_organisation_leaves_room_for_others() -> None:
    """Guards against small organisations that wait behind a large one."""
    shares = {"flood": 12.0} | {f"o{n}": 1.0 for n in range(11)}
    world = _play(POLICY, organisations=shares)[0]
    flood = [i for i in world.items if i.organisation == "flood"]
    others = [i for i in world.items if i.organisation != "flood"]
    assert contention_world.on_time_share(
        others
    ) > 0.2 + contention_world.on_time_share(flood)


def test_order_is_the_earlier_one_while_there_is_room() -> None:
    """Guards against another order where every item is on time anyway."""
    for due_s, expected in ((99.0, "small"), (45.0, "large")):
        group = admission.Group(policy=POLICY)
        admission.set_endpoints(group, 0.0, ["e"], slots={"e": 1})
        for request in (
            _queued("first", due_s=99.0, duration_s=0.1),
            _queued("large", due_s=due_s, duration_s=40.0),
            _queued("small", due_s=due_s - 9.0, duration_s=1.0),
        ):
            admission.request_ticket(group, 0.0, request)
        actions = admission.release_ticket(
            group, 0.5, "first", admission.Measurement()
        )
        (grant,) = actions
        assert isinstance(grant, admission.Grant)
        assert grant.ticket.id == expected


def _queued(
    name: str, *, due_s: float, duration_s: float, organisation: str = "o"
) -> admission.QueuedRequest:
    return admission.QueuedRequest(
        name,
        admission.BATCH,
        organisation,
        0.0,
        99.0,
        due_s=due_s,
        expected_duration_s=duration_s,
    )


def test_next_item_has_the_least_slack_of_those_that_can_be_on_time() -> None:
    """Guards against a start that is late in place of one on time."""
    late = _queued("late", due_s=5.0, duration_s=6.0)
    small = _queued("small", due_s=15.0, duration_s=2.0)
    large = _queued("large", due_s=18.0, duration_s=12.0)
    choose = ranking.next_request(0.0, {})
    assert choose([late, small, large]) is large
    assert choose([late, small]) is small
    without_spare = _queued("tight", due_s=10.2, duration_s=10.0)
    assert choose([late, without_spare]) is without_spare


def test_item_with_output_resumes_before_others_start() -> None:
    """Guards against work that was done and is lost for lack of the rest."""
    resumes = _queued("resumes", due_s=15.0, duration_s=2.0)
    resumes.software_version = "1"
    fresh = _queued("fresh", due_s=15.0, duration_s=12.0)
    assert ranking.next_request(0.0, {})([fresh, resumes]) is resumes


def test_organisation_with_less_in_flight_goes_first() -> None:
    """Guards against a flood that gets every slot because it is due first."""
    flood = _queued("a", due_s=8.0, duration_s=4.0, organisation="flood")
    other = _queued("b", due_s=18.0, duration_s=4.0)
    levels = ranking.levels({"flood": 20}, ["flood", "o", "p", "q"])
    assert ranking.next_request(0.0, levels)([flood, other]) is other


def _ticket(
    name: str, *, due_s: float, end_s: float, tokens: int = 100
) -> admission.Ticket:
    return admission.Ticket(
        name,
        admission.BATCH,
        "o",
        "h",
        "e",
        0.0,
        max_tokens=tokens,
        due_s=due_s,
        expected_end_s=end_s,
    )


@pytest.mark.parametrize(
    ("revoked", "kept"),
    [
        # A late one before one that can spare the time.
        ({"due_s": 3.0, "end_s": 6.0}, {"due_s": 20.0, "end_s": 6.0}),
        # One that can spare the time, though it is due earlier.
        ({"due_s": 9.0, "end_s": 2.0}, {"due_s": 10.0, "end_s": 9.0}),
        # The one that can spare more of it.
        ({"due_s": 30.0, "end_s": 6.0}, {"due_s": 12.0, "end_s": 6.0}),
        # The one with most of its work ahead, where both become late.
        (
            {"due_s": 9.0, "end_s": 8.0, "tokens": 300},
            {"due_s": 5.0, "end_s": 4.0, "tokens": 300},
        ),
    ],
)
def test_revoked_item_loses_least(
    revoked: dict[str, float], kept: dict[str, float]
) -> None:
    """Guards against a revocation that makes an item late without need."""
    first = _ticket("first", **revoked)  # type: ignore[arg-type]
    second = _ticket("second", **kept)  # type: ignore[arg-type]
    assert losses.least_loss([second, first], 0.0) is first
    assert losses.least_loss([first, second], 0.0) is first


def _group_with_memory(tokens: int) -> admission.Group:
    group = admission.Group(policy=POLICY)
    group.memory_tokens = tokens
    slots = {"e0": 8, "e1": 8}
    admission.set_endpoints(group, 0.0, slots, slots=slots)
    return group


def _ask(
    group: admission.Group, name: str, tokens: int, kind: str = admission.BATCH
) -> list[str]:
    """Returns the names of the actions that a request leads to."""
    request = admission.QueuedRequest(
        name, kind, "o", 1.0, 99.0, max_tokens=tokens, due_s=60.0
    )
    actions = admission.request_ticket(group, 1.0, request)
    return [type(action).__name__ for action in actions]


def test_endpoints_hold_no_more_tokens_than_their_memory() -> None:
    """Guards against endpoints that crash because they hold too much."""
    group = _group_with_memory(100)
    for index in range(12):
        _ask(group, f"b{index}", 40)
    held = [e.held_tokens for e in group.endpoints.values()]
    assert held == [80, 80]
    admission.release_ticket(group, 2.0, "b0", admission.Measurement())
    assert [e.held_tokens for e in group.endpoints.values()] == held


def test_revoked_ticket_counts_until_it_is_released() -> None:
    """Guards against an online request beside a batch item that still runs."""
    group = _group_with_memory(100)
    for index in range(2):
        _ask(group, f"b{index}", 90)
    assert _ask(group, "r", 20, admission.ONLINE) == ["Revoke"]
    assert admission.tick(group, 1.1) == []
    (revoked,) = [t for t in admission.all_tickets(group) if t.revoked]
    actions = admission.release_ticket(
        group, 1.2, revoked.id, admission.Measurement(admission.CANCELLED)
    )
    assert [type(action).__name__ for action in actions] == ["Grant"]


def test_large_request_is_not_overtaken_for_ever() -> None:
    """Guards against small requests that take all memory that is released."""
    group = _group_with_memory(100)
    for index in range(4):
        _ask(group, f"b{index}", 50)
    _ask(group, "large", 100)
    for index in range(4, 9):
        _ask(group, f"b{index}", 50)
    for step in range(20):
        tickets = admission.all_tickets(group)
        if any(t.id == "large" for t in tickets):
            return
        _ask(group, f"n{step}", 50)
        oldest = min(tickets, key=lambda t: t.granted_s)
        admission.release_ticket(
            group, 2.0 + step, oldest.id, admission.Measurement()
        )
    pytest.fail("the large request was never granted")


def test_request_that_no_memory_holds_is_refused() -> None:
    """Guards against a request that blocks the queue or crashes endpoints."""
    group = _group_with_memory(100)
    assert _ask(group, "r", 101, admission.ONLINE) == ["Refuse"]
    assert _ask(_group_with_memory(0), "r", 101) == ["Grant"]


@pytest.mark.parametrize(
    ("engine", "tokens"),
    [
        ({"KvCapacityTokens": 5000}, {"s": 5000}),
        ({}, {}),
        (None, {}),
        (7, {}),
        ({"KvCapacityTokens": "5000"}, {}),
        ({"KvCapacityTokens": -1}, {}),
        ({"KvCapacityTokens": 1e300}, {}),
        ({"KvCapacityTokens": True}, {}),
    ],
)
def test_stated_memory_is_decoded(
    engine: object, tokens: dict[str, int]
) -> None:
    """Guards against a bad value that makes the configuration unusable."""
    value = {"Version": 1, "Services": [{"Name": "s", "Engine": engine}]}
    decoded = configuration.decode(msgspec.json.encode(value))
    assert decoded.memory_tokens == tokens


def test_small_request_passes_a_large_one_beside_an_unusable_endpoint() -> None:
    """Guards against a queue that waits for memory which nothing may use."""
    group = admission.Group(policy=POLICY)
    group.memory_tokens = 100
    slots = {"e0": 8, "e1": 8, "e2": 8}
    admission.set_endpoints(group, 0.0, slots, slots=slots)
    breaker.record_failure(
        group.endpoints["e0"].circuit, 1.0, endpoint_down=True
    )
    for name, tokens in (("b0", 50), ("b1", 50), ("b2", 100), ("b3", 60)):
        _ask(group, name, tokens)
    assert _ask(group, "b4", 40) == ["Grant"]


def test_room_for_a_large_request_is_made_at_one_endpoint() -> None:
    """Guards against revocations all over the fleet for one request."""
    group = admission.Group(policy=POLICY)
    group.memory_tokens = 100
    slots = {f"e{n}": 8 for n in range(4)}
    admission.set_endpoints(group, 0.0, slots, slots=slots)
    for index in range(20):
        _ask(group, f"b{index}", 20)
    _ask(group, "r", 60, admission.ONLINE)
    for step in range(20):
        admission.tick(group, 1.0 + 0.01 * step)
    revoked = [t for t in admission.all_tickets(group) if t.revoked]
    assert len(revoked) == 3
    assert len({t.endpoint for t in revoked}) == 1


def test_cold_endpoint_revokes_nothing_while_a_warm_one_makes_room() -> None:
    """Guards against two revocations for one online request."""
    group = _group_with_memory(100)
    cold = request_limits.ColdLimit(rate_per_s=50.0, burst=50.0)
    admission.set_endpoints(group, 0.0, ["e0", "e1"], cold={"e1": cold})
    admission.add_accrued(group, 1.0, 1.0)
    for name in ("e0", "e1"):
        ticket = admission.Ticket(
            f"b-{name}", admission.BATCH, "o", "h", name, 1.0, 90, due_s=60.0
        )
        admission.adopt_ticket(group, 1.0, ticket)
    assert _ask(group, "r", 20, admission.ONLINE) == ["Revoke"]
    assert admission.tick(group, 1.1) == []
    revoked = [t.id for t in admission.all_tickets(group) if t.revoked]
    assert revoked == ["b-e0"]
