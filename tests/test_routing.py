"""Choice of the endpoint with the least expected time to first token."""

from ibisknot import _capacity
from ibisknot import routing
from ibisknot.standins import _engine_batching


def candidate(
    name: str, running: int, view: routing.EndpointView | None = None
) -> routing.Candidate:
    return routing.Candidate(
        name, running, _capacity.Capacity(), view or routing.EndpointView()
    )


def test_prompt_blocks_match_those_of_the_engine() -> None:
    """Guards against cache events that never match a prompt."""
    prompt = " ".join(str(index) for index in range(100))
    expected = routing.to_signed(_engine_batching.prompt_blocks(prompt))
    assert list(routing.prompt_blocks(prompt)) == expected


def test_cached_prefix_wins_among_equal_loads() -> None:
    """Guards against prompts sent away from their cached prefix."""
    blocks = routing.prompt_blocks("w " * 640)
    view = routing.EndpointView()
    routing.record_prompt(view, blocks)
    chosen = routing.choose(
        [candidate("a", 3), candidate("b", 3, view)], blocks, 640
    )
    assert chosen.name == "b"


def test_endpoint_in_the_same_data_centre_wins_among_equal_loads() -> None:
    """Guards against streams that cross data centres without a reason."""
    near = candidate("b", 3)
    far = candidate("a", 3)
    far.delay_s = routing.network_delay_s("x", "y")
    assert routing.choose([far, near], (), 64).name == "b"


def test_load_outweighs_the_data_centre() -> None:
    """Guards against overload of the endpoints of one data centre."""
    near = candidate("b", 60)
    far = candidate("a", 3)
    far.delay_s = routing.network_delay_s("x", "y")
    assert routing.choose([far, near], (), 64).name == "a"


def test_long_queue_outweighs_a_cached_prefix() -> None:
    """Guards against overload of the endpoint that has a common prefix."""
    blocks = routing.prompt_blocks("w " * 64)
    view = routing.EndpointView()
    routing.record_prompt(view, blocks)
    chosen = routing.choose(
        [candidate("a", 3), candidate("b", 60, view)], blocks, 64
    )
    assert chosen.name == "a"


def test_missed_cache_event_lowers_the_expected_words() -> None:
    """Guards against counting blocks that a missed event evicted."""
    view = routing.EndpointView()
    routing.apply_cache_event(view, 1, added=[1, 2], evicted=[])
    assert (
        routing.expected_cached_words(view, (1, 2)) == 2 * routing.BLOCK_WORDS
    )
    routing.apply_cache_event(view, 3, added=[3], evicted=[])
    assert routing.expected_cached_words(view, (1, 2)) < 2 * routing.BLOCK_WORDS
    routing.apply_cache_event(view, 2, added=[9], evicted=[])
    assert 9 not in view.cached_blocks


def test_low_load_report_does_not_hide_own_sequences() -> None:
    """Guards against sending all requests to an endpoint with a low report."""
    view = routing.EndpointView()
    for index in range(10):
        routing.record_running(view, index * 0.01, index + 1)
    routing.apply_load_report(view, routing.LoadReport(running=0, queued=0))
    assert view.foreign_sequences == 0.0
    chosen = routing.choose(
        [candidate("a", 10, view), candidate("b", 4)], (), 8
    )
    assert chosen.name == "b"


def test_sequences_of_other_processes_count() -> None:
    """Guards against overload of an endpoint that another VM also uses."""
    view = routing.EndpointView()
    routing.record_running(view, 0.0, 2)
    routing.apply_load_report(view, routing.LoadReport(running=20, queued=5))
    assert view.foreign_sequences == 23.0
