"""Which parts of prompts are refused after crashes, and which are not."""

import random

import pytest

from ibisknot import prompt_crashes

SHARED, BAD, OTHER = 1, 2, 3


def _crash(
    history: prompt_crashes.History,
    time_s: float,
    *requests: tuple[int, ...],
) -> None:
    """Records a crash of an endpoint of its own; requests are new ones."""
    name = f"e{time_s}"
    candidates = {hash((name, n)): parts for n, parts in enumerate(requests)}
    prompt_crashes.record_crash(history, time_s, name, time_s, dict(candidates))


def _is_refused(
    history: prompt_crashes.History, time_s: float, *parts: int
) -> bool:
    return prompt_crashes.find_refusal(history, time_s, parts) is not None


def test_sound_requests_that_share_other_parts_are_admitted() -> None:
    """Guards against refusing all parts of the requests that crash."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (SHARED, OTHER, BAD))
    assert _is_refused(history, 3, SHARED, OTHER, BAD)
    assert not _is_refused(history, 3, SHARED, OTHER)
    assert not _is_refused(history, 3, SHARED, BAD)


def test_refusal_narrows_as_requests_with_its_parts_are_answered() -> None:
    """Guards against admitting the part that crashes beside other parts."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (SHARED, OTHER, BAD))
    prompt_crashes.record_completion(history, 3, (SHARED, OTHER))
    assert _is_refused(history, 4, BAD)
    assert not _is_refused(history, 4, SHARED, OTHER)


def test_part_that_crashes_beside_different_parts_is_refused() -> None:
    """Guards against looking only for requests that are alike."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (10 + n, BAD), (20 + n,))
    assert _is_refused(history, 3, 50, BAD)
    assert not _is_refused(history, 3, 10)


def test_part_is_refused_beside_other_parts_than_at_first() -> None:
    """Guards against a part that crashes on in requests of another kind."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (OTHER, BAD))
    for n in range(3, 5):
        assert not _is_refused(history, n, 10 + n, BAD)
        _crash(history, n, (10 + n, BAD))
    assert _is_refused(history, 5, BAD)
    assert not _is_refused(history, 5, OTHER)


def test_known_part_is_not_refused_for_a_wave_of_other_crashes() -> None:
    """Guards against refusing a common part when many endpoints crash."""
    history = prompt_crashes.History()
    prompt_crashes.record_completion(history, 0.0, (SHARED,))
    for n in range(15):
        _crash(history, 1.0 + n / 10, (SHARED, 100 + n), (SHARED, 200 + n))
    assert not history.refusals


def test_known_part_that_begins_to_crash_is_refused() -> None:
    """Guards against trusting a part for ever, as after a new version."""
    history = prompt_crashes.History()
    prompt_crashes.record_completion(history, 0.0, (BAD,))
    for n in range(5):
        assert not _is_refused(history, n + 1, BAD)
        _crash(history, n + 1, (BAD, 100 + n))
    assert _is_refused(history, 6, BAD)


def test_more_crashes_are_needed_while_endpoints_crash_by_themselves() -> None:
    """Guards against refusing a part for a few crashes of other causes."""
    history = prompt_crashes.History()
    for n in range(4):
        _crash(history, n, (BAD, 100 + n))
        _crash(history, n + 0.5, (200 + n,))
        assert not _is_refused(history, n + 0.5, BAD)
    _crash(history, 4, (BAD, 104))
    assert _is_refused(history, 5, BAD)


def test_answer_between_crashes_clears_a_part() -> None:
    """Guards against adding up crashes of other causes over a long time."""
    history = prompt_crashes.History()
    for n in range(20):
        _crash(history, 2 * n, (OTHER, 100 + n))
        prompt_crashes.record_completion(history, 2 * n + 1, (OTHER,))
    assert not history.refusals


def test_candidates_that_are_reported_late_stay_cleared() -> None:
    """Guards against a report that arrives after the answer of its part."""
    history = prompt_crashes.History()
    prompt_crashes.record_completion(history, 5.0, (OTHER,))
    for n in range(3):
        prompt_crashes.record_crash(history, 6.0, f"e{n}", 4.0, {n: (OTHER,)})
    assert not history.crashes


def test_one_request_alone_does_not_get_its_parts_refused() -> None:
    """Guards against refusing a session for one unlucky request."""
    history = prompt_crashes.History()
    for n in range(4):
        prompt_crashes.record_crash(
            history, n, f"e{n}", n, {7: (SHARED, OTHER)}
        )
    assert not history.refusals


def test_crash_that_is_reported_twice_counts_once() -> None:
    """Guards against counting each gateway's report of a crash."""
    history = prompt_crashes.History()
    for n in range(6):
        prompt_crashes.record_crash(history, 1.0, "e", 1.0, {n: (BAD,)})
    assert not history.refusals


def test_refusal_ends_and_one_more_crash_doubles_it() -> None:
    """Guards against refusing for ever, and against three crashes again."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (BAD, 100 + n))
    end_s = 2 + prompt_crashes.REFUSAL_S
    assert _is_refused(history, end_s - 0.1, BAD)
    assert not _is_refused(history, end_s, BAD)
    _crash(history, end_s + 1, (BAD, 200))
    assert _is_refused(history, end_s + 2 * prompt_crashes.REFUSAL_S, BAD)


def test_sound_parts_at_an_explained_crash_are_not_refused() -> None:
    """Guards against blaming requests that run beside the cause."""
    history = prompt_crashes.History()
    for n in range(3):
        _crash(history, n, (SHARED, OTHER, BAD))
    for n in range(3, 9):
        _crash(history, n, (SHARED, OTHER, BAD), (SHARED, OTHER))
    assert not _is_refused(history, 9, SHARED, OTHER)


def test_refusal_of_a_peer_is_not_adopted_for_known_parts() -> None:
    """Guards against a process that has just started and knows no part."""
    history = prompt_crashes.History()
    prompt_crashes.record_completion(history, 1.0, (SHARED,))
    parts = frozenset((SHARED,))
    refusal = prompt_crashes.Refusal(2.0, 3, 62.0)
    objection = prompt_crashes.adopt_refusal(history, 2.0, parts, refusal)
    assert objection == {SHARED: 1.0}
    assert not history.refusals
    other = prompt_crashes.History()
    prompt_crashes.adopt_refusal(other, 2.0, parts, refusal)
    assert _is_refused(other, 2.0, SHARED)
    prompt_crashes.adopt_completion(other, 2.1, SHARED, 1.0)
    assert not _is_refused(other, 2.2, SHARED)


def test_refusal_of_a_peer_lacks_the_parts_that_were_answered_since() -> None:
    """Guards against a peer that has not heard of an answer yet."""
    history = prompt_crashes.History()
    for n in range(2):
        _crash(history, n, (OTHER, BAD))
    prompt_crashes.record_completion(history, 3.0, (OTHER,))
    refusal = prompt_crashes.Refusal(2.0, 3, 62.0)
    prompt_crashes.adopt_refusal(history, 3.1, frozenset((OTHER, BAD)), refusal)
    assert list(history.refusals) == [frozenset((BAD,))]


def test_bad_part_is_found_among_more_parts_than_are_kept() -> None:
    """Guards against long prompts whose last parts are not looked at."""
    history = prompt_crashes.History()
    sound = tuple(range(1000, 1000 + 3 * prompt_crashes.MAX_PARTS))
    prompt_crashes.record_completion(history, 0, sound)
    for n in range(1, 4):
        _crash(history, n, (*sound, BAD))
    assert _is_refused(history, 4, *sound, BAD)
    assert not _is_refused(history, 4, *sound)


@pytest.mark.parametrize("seed", range(3))
def test_memory_is_bounded(seed: int) -> None:
    """Guards against memory that grows with crashes and parts."""
    rng = random.Random(seed)
    history = prompt_crashes.History()
    for n in range(400):
        requests = [
            tuple(rng.randrange(10**9) for _ in range(60)) for _ in range(30)
        ]
        _crash(history, n, *requests)
        parts = [rng.randrange(10**9) for _ in range(200)]
        prompt_crashes.record_completion(history, n + 0.5, parts)
    assert len(history.crashes) <= prompt_crashes.MAX_CRASHES
    for crash in history.crashes.values():
        assert len(crash.candidates) <= prompt_crashes.MAX_CANDIDATES
    assert len(history.known_s) <= prompt_crashes.MAX_KNOWN
    assert len(history.suspects) <= (
        prompt_crashes.MAX_CRASHES
        * prompt_crashes.MAX_CANDIDATES
        * prompt_crashes.MAX_PARTS
    )
    prompt_crashes.expire(history, 10_000.0)
    assert not history.crashes
    assert not history.suspects


@pytest.mark.parametrize("seed", range(20))
def test_one_bad_part_among_sound_ones_is_found(seed: int) -> None:
    """Guards against refusing sound parts, or missing the bad one.

    Endpoints crash under the bad part and by themselves; sound requests share
    all of their parts with bad ones, and are answered unless they are
    candidates of a crash.
    """
    rng = random.Random(seed)
    history = prompt_crashes.History()
    crashed_s: list[float] = []
    for n in range(-100, 400):
        now = n / 10
        sound = (rng.randrange(8), 100 + rng.randrange(40))
        is_bad = n >= 0 and rng.random() < 0.15
        if is_bad and not _is_refused(history, now, *sound, 999):
            _crash(history, now, (*sound, 999), (rng.randrange(8),))
            crashed_s.append(now)
        elif n >= 0 and rng.random() < 0.1:
            _crash(history, now, sound)
        else:
            assert not _is_refused(history, now, *sound)
            prompt_crashes.record_completion(history, now, sound)
    assert _is_refused(history, 40.0, 999)
    late = [time_s for time_s in crashed_s[5:] if time_s > crashed_s[4] + 3.0]
    assert len(late) <= 3
