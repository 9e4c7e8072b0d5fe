"""Choice of the endpoint with the least expected time to first token."""

from ibisknot import _capacity
from ibisknot import routing
from ibisknot.standins import _engine_model


def candidate(
    name: str, running: int, known: routing.EndpointView | None = None
) -> routing.Candidate:
    return routing.Candidate(
        name, running, _capacity.Capacity(), known or routing.EndpointView()
    )


def test_blocks_are_those_of_the_engine() -> None:
    """Guards against cache events that never match a prompt."""
    prompt = " ".join(str(number) for number in range(100))
    wanted = routing.to_signed(_engine_model.prompt_blocks(prompt))
    assert list(routing.prompt_blocks(prompt)) == wanted


def test_cached_prefix_wins_among_equal_loads() -> None:
    """Guards against prompts that leave their cached prefix."""
    blocks = routing.prompt_blocks("w " * 640)
    known = routing.EndpointView()
    routing.record_prompt(known, blocks)
    chosen = routing.choose(
        [candidate("a", 3), candidate("b", 3, known)], blocks, 640
    )
    assert chosen.name == "b"


def test_long_queue_outweighs_a_cached_prefix() -> None:
    """Guards against a herd on the endpoint that has a common prefix."""
    blocks = routing.prompt_blocks("w " * 64)
    known = routing.EndpointView()
    routing.record_prompt(known, blocks)
    chosen = routing.choose(
        [candidate("a", 3), candidate("b", 60, known)], blocks, 64
    )
    assert chosen.name == "a"


def test_gap_in_events_lowers_trust() -> None:
    """Guards against blocks that were evicted by an event that was lost."""
    known = routing.EndpointView()
    routing.apply_cache_event(known, 1, added=[1, 2], evicted=[])
    assert (
        routing.expected_cached_words(known, (1, 2)) == 2 * routing.BLOCK_WORDS
    )
    routing.apply_cache_event(known, 3, added=[3], evicted=[])
    assert (
        routing.expected_cached_words(known, (1, 2)) < 2 * routing.BLOCK_WORDS
    )
    routing.apply_cache_event(known, 2, added=[9], evicted=[])
    assert 9 not in known.cached_blocks


def test_low_report_does_not_hide_what_was_sent_since() -> None:
    """Guards against a herd to the endpoint that just reported low."""
    known = routing.EndpointView()
    for number in range(10):
        routing.record_running(known, number * 0.01, number + 1)
    routing.apply_load_report(known, routing.LoadReport(running=0, queued=0))
    assert known.foreign_sequences == 0.0
    chosen = routing.choose(
        [candidate("a", 10, known), candidate("b", 4)], (), 8
    )
    assert chosen.name == "b"


def test_work_of_others_counts() -> None:
    """Guards against an endpoint that another VM also sends to."""
    known = routing.EndpointView()
    routing.record_running(known, 0.0, 2)
    routing.apply_load_report(known, routing.LoadReport(running=20, queued=5))
    assert known.foreign_sequences == 23.0
