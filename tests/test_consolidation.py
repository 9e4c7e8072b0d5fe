"""Where online requests gather in an admission group."""

from ibisknot import _admission_state
from ibisknot import _decisions


def group(
    count: int, *, online: int, limit: float = 20.0
) -> _admission_state.Group:
    made = _admission_state.Group()
    for number in range(count):
        endpoint = _admission_state.Endpoint(f"e{number}")
        endpoint.capacity.limit = limit
        made.endpoints[endpoint.name] = endpoint
    for number in range(online):
        held = _admission_state.Ticket(
            f"t{number}", _admission_state.ONLINE, "o", "v", "e0", 0.0
        )
        _admission_state.add_ticket(made.endpoints["e0"], 0.0, held)
    return made


def gathering(made: _admission_state.Group) -> list[str]:
    _decisions._consolidate_online(made, 0.0)
    return [e.name for e in made.endpoints.values() if e.prefers_online]


def test_online_gathers_on_as_few_endpoints_as_hold_it() -> None:
    """Guards against online requests that meet batch on every endpoint."""
    assert gathering(group(4, online=0)) == []
    assert gathering(group(4, online=5)) == ["e0"]
    assert gathering(group(4, online=15)) == ["e0", "e1"]


def test_one_endpoint_is_left_to_batch() -> None:
    """Guards against batch that never runs beside a high online load."""
    assert len(gathering(group(3, online=100))) == 2
    assert gathering(group(1, online=5)) == []


def test_batch_yields_where_online_gathers() -> None:
    """Guards against a full batch beside gathered online requests."""
    made = group(2, online=5)
    _decisions._consolidate_online(made, 0.0)
    policy = made.policy
    beside = _decisions._batch_limit(made.endpoints["e0"], 0.0, policy)
    elsewhere = _decisions._batch_limit(made.endpoints["e1"], 0.0, policy)
    assert beside == 3
    assert elsewhere == 19
