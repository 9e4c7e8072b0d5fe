"""Where online requests gather in an admission group."""

from ibisknot import _group
from ibisknot import _pump


def group(count: int, *, online: int, limit: float = 20.0) -> _group.Group:
    made = _group.Group()
    for number in range(count):
        endpoint = _group.Endpoint(f"e{number}")
        endpoint.capacity.limit = limit
        made.endpoints[endpoint.name] = endpoint
    for number in range(online):
        held = _group.Held(f"t{number}", _group.ONLINE, "o", "v", "e0", 0.0)
        _group.put(made.endpoints["e0"], 0.0, held)
    return made


def gathering(made: _group.Group) -> list[str]:
    _pump._gather(made, 0.0)
    return [e.name for e in made.endpoints.values() if e.gathers]


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
    _pump._gather(made, 0.0)
    policy = made.policy
    beside = _pump._allowed_batch(made.endpoints["e0"], 0.0, policy)
    elsewhere = _pump._allowed_batch(made.endpoints["e1"], 0.0, policy)
    assert beside == 3
    assert elsewhere == 19
