"""Requests that leave a data centre, and those that stay."""

import collections
import math
import random

import pytest

from ibisknot import _admission_state
from ibisknot import admission
from ibisknot.locality import decision

SLOTS = 8


def _group(**endpoints: int) -> admission.Group:
    """Returns a group with a number of endpoints in each data centre."""
    group = admission.Group()
    group.policy = admission.Policy(
        displaced_per_online=1.0,
        consolidates_online=False,
        headroom_slots=0.0,
        in_arrival_order=True,
    )
    places = {
        f"{place}{n}": place
        for place, count in endpoints.items()
        for n in range(count)
    }
    slots = dict.fromkeys(places, SLOTS)
    admission.set_endpoints(
        group, 0.0, places, slots=slots, data_centres=places
    )
    return group


def _request(
    group: admission.Group, index: int, home: str = "a", kind: str = "online"
) -> list[admission.Action]:
    request = admission.QueuedRequest(
        f"{home}{index}",
        kind,
        "o",
        0.0,
        9.0,
        max_tokens=40,
        prompt_words=20,
        data_centre=home,
        expected_duration_s=5.0 if kind == admission.BATCH else 0.0,
    )
    return admission.request_ticket(group, 0.0, request)


def _used(group: admission.Group) -> collections.Counter[str]:
    """Returns the slots in use, by data centre."""
    used: collections.Counter[str] = collections.Counter()
    for endpoint in group.endpoints.values():
        used[endpoint.data_centre] += len(endpoint.tickets)
    return +used


@pytest.mark.parametrize(("count", "stay"), [(4, 5), (3, 24)])
def test_data_centre_is_left_when_it_is_clearly_fuller(
    count: int, stay: int
) -> None:
    """Guards against full endpoints beside idle ones, and against crossings.

    With fewer endpoints, the network's delay alone is counted, as before.
    """
    group = _group(a=count, b=count)
    for index in range(stay):
        _request(group, index)
    assert _used(group) == {"a": stay}
    for index in range(stay, 2 * count * SLOTS):
        _request(group, index)
    assert _used(group) == {"a": count * SLOTS, "b": count * SLOTS}
    group = _group(a=4, b=4)
    for index in range(32):
        _request(group, index)
    used = _used(group)
    assert 2 <= used["a"] - used["b"] <= 10


def test_batch_items_stay_until_two_slots_are_gained() -> None:
    """Guards against long items that slow each other at home.

    A difference of one slot is chance; items that leave for it cross nearly
    as often as without any preference.
    """
    group = _group(a=4, b=4)
    for index in range(32):
        _request(group, index, kind=admission.BATCH)
    used = _used(group)
    assert 4 < used["a"] - used["b"] <= 8


def test_callers_of_several_data_centres_do_not_crowd_an_endpoint() -> None:
    """Guards against gateways that all send to the same remote endpoint."""
    rng = random.Random(5)
    group = _group(a=4, b=4, c=4)
    for index in range(60):
        _request(group, index, rng.choice("ab"))
    loads = [len(e.tickets) for e in group.endpoints.values()]
    far = [e for e in group.endpoints.values() if e.data_centre == "c"]
    assert max(loads) < SLOTS
    assert max(len(e.tickets) for e in far) <= 1 + min(
        len(e.tickets) for e in far
    )


def test_no_request_waits_and_no_item_is_revoked_beside_a_free_slot() -> None:
    """Guards against waiting or revocation for a slot at home."""
    group = _group(a=4, b=4)
    for endpoint in group.endpoints.values():
        if endpoint.data_centre == "a":
            for n in range(SLOTS):
                ticket = _admission_state.Ticket(
                    f"{endpoint.name}/{n}", "batch", "o", "v", endpoint.name, 0
                )
                _admission_state.add_ticket(endpoint, 0.0, ticket)
    for index in range(4 * SLOTS):
        (action,) = _request(group, index)
        assert isinstance(action, admission.Grant)
    assert _used(group) == {"a": 32, "b": 32}


def _update(state: decision.State, home: int, other: int) -> bool:
    """Returns whether an online request at `a` goes to `b` at these loads."""
    loads = decision.loads([("a", home, 10)] * 4 + [("b", other, 10)] * 4)
    policy = decision.Policy()
    demand = decision.Demand("a", "online", 20, 20)
    assert decision.prefers_home(demand, loads, policy)
    decision.update(state, demand, loads, policy)
    return bool(state.flows)


def test_flow_has_hysteresis() -> None:
    """Guards against a data centre that is left and preferred in turns."""
    state = decision.State()
    steps = [(5, 4), (8, 4), (5, 3), (5, 5), (5, 3)]
    assert [_update(state, *s) for s in steps] == [
        False,
        True,
        True,
        False,
        False,
    ]


def test_changes_of_a_flow_are_reported_once_and_rarely() -> None:
    """Guards against a log line for each request."""
    state = decision.State()
    _update(state, 9, 0)
    (change,) = decision.take_changes(state, 1.0)
    assert change.has_begun
    _update(state, 5, 5)
    assert decision.take_changes(state, 1.0) == []
    (change,) = decision.take_changes(state, 1.0 + decision.LOG_PERIOD_S)
    assert not change.has_begun


def test_price_of_a_request_that_is_nearly_late_is_the_delay_alone() -> None:
    """Guards against a late request that saves bytes."""
    policy = decision.Policy()
    near = decision.Demand("a", "online", 20, 20, spare_s=0.001)
    far = decision.Demand("a", "online", 20, 20, spare_s=1.0)
    assert decision.price_s(near, policy) == policy.network_delay_s
    assert decision.price_s(far, policy) > policy.network_delay_s


def test_cost_of_a_crossing_weighs_bytes_and_duration() -> None:
    """Guards against large answers that cross for a small gain."""

    def is_worthwhile(kind: str, tokens: int, duration_s: float) -> bool:
        demand = decision.Demand("a", kind, 20, tokens, duration_s)
        cost_s = decision.crossing_s(
            decision.State(),
            demand,
            decision.Policy(),
            other="b",
            home_load=0.5,
            other_load=0.25,
        )
        return cost_s < 0.0

    assert is_worthwhile("online", 20, 0.0)
    assert not is_worthwhile("online", 200, 0.0)
    assert is_worthwhile("batch", 130, 5.0)
    assert not is_worthwhile("batch", 130, 0.1)


@pytest.mark.parametrize("bad", [math.nan, math.inf, -1.0])
def test_bad_durations_and_counts_are_ignored(bad: float) -> None:
    """Guards against a choice that follows absurd input."""
    policy = decision.Policy()
    demand = decision.Demand("a", "batch", -5, -5, duration_s=bad)
    assert decision.full_load_s(demand, policy) == policy.online_full_load_s
    assert decision.price_s(demand, policy) == policy.network_delay_s
    assert decision.loads([("a", -1, 0)])["a"].fraction() == 1.0
