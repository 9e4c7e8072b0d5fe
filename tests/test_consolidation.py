"""Consolidation of online requests in an admission group."""

from ibisknot import _admission_state
from ibisknot import _batch_revocation
from ibisknot import _decisions


def group_of(
    count: int, *, online: int, limit: float = 20.0
) -> _admission_state.Group:
    group = _admission_state.Group()
    for index in range(count):
        endpoint = _admission_state.Endpoint(f"e{index}")
        endpoint.capacity.limit = limit
        group.endpoints[endpoint.name] = endpoint
    for index in range(online):
        ticket = _admission_state.Ticket(
            f"t{index}", _admission_state.ONLINE, "o", "v", "e0", 0.0
        )
        _admission_state.add_ticket(group.endpoints["e0"], 0.0, ticket)
    return group


def preferred_endpoints(group: _admission_state.Group) -> list[str]:
    _decisions._consolidate_online(group, 0.0)
    return [e.name for e in group.endpoints.values() if e.prefers_online]


def test_online_prefers_as_few_endpoints_as_have_capacity_for_it() -> None:
    """Guards against online requests beside a full batch on every endpoint."""
    assert preferred_endpoints(group_of(4, online=0)) == []
    assert preferred_endpoints(group_of(4, online=5)) == ["e0"]
    assert preferred_endpoints(group_of(4, online=15)) == ["e0", "e1"]


def test_one_endpoint_is_left_to_batch() -> None:
    """Guards against batch that never runs during a high online load."""
    assert len(preferred_endpoints(group_of(3, online=100))) == 2
    assert preferred_endpoints(group_of(1, online=5)) == []


def test_batch_limit_is_lower_where_online_is_preferred() -> None:
    """Guards against a full batch beside consolidated online requests."""
    group = group_of(2, online=5)
    _decisions._consolidate_online(group, 0.0)
    policy = group.policy
    beside = _batch_revocation.batch_limit(group.endpoints["e0"], 0.0, policy)
    elsewhere = _batch_revocation.batch_limit(
        group.endpoints["e1"], 0.0, policy
    )
    assert beside == 3
    assert elsewhere == 19
