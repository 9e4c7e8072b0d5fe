"""Chooses the endpoint with the least expected time to first token."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import xxhash

from ibisknot import _capacity

BLOCK_WORDS = 16
"""Words in a block of the engines' prefix cache."""
MAX_PROMPT_BLOCKS = 64
MAX_RECORDED_BLOCKS = 4096
"""Limit of the blocks that are recorded for each endpoint."""
SENT_CACHED_PROBABILITY = 0.9
"""Probability that a block of a recently sent prompt is still cached."""
MISSED_EVENT_CACHED_PROBABILITY = 0.5
"""Highest probability of a cached block after a missed cache event."""
LOAD_REPORT_WINDOW_S = 1.5
"""Own counts of this window are compared with a load report.

It covers the unknown lag of the report.
"""
OTHER_DATA_CENTRE_S = 0.003
"""Expected delay of a first token that comes from another data centre."""
STEPS_TO_FIRST_TOKEN = 1.5
"""A new sequence waits half a step on average, and then runs its own."""


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's leading complete blocks.

    The hash of a block covers all blocks before it. At most
    `MAX_PROMPT_BLOCKS` are hashed.

    >>> long = " ".join(str(k) for k in range(40))
    >>> prompt_blocks(long) == prompt_blocks(long + " x")
    True
    """
    words = prompt.split()[: MAX_PROMPT_BLOCKS * BLOCK_WORDS]
    chained_hash = 0
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        chained_hash = xxhash.xxh3_64_intdigest(
            f"{chained_hash}/{block}".encode()
        )
        hashes.append(chained_hash)
    return tuple(to_signed(hashes))


def to_signed(hashes: Iterable[int]) -> list[int]:
    """Maps unsigned 64-bit hashes to the signed ones of the peer protocol.

    >>> to_signed([0, 2**64 - 1]) == [-(2**63), 2**63 - 1]
    True
    """
    return [unsigned - (1 << 63) for unsigned in hashes]


@dataclasses.dataclass(slots=True)
class LoadReport:
    """An engine's load report; it lags the engine's load.

    Attributes:
        running: Number of sequences that run.
        queued: Number of sequences that the engine has queued.
    """

    running: int
    queued: int


@dataclasses.dataclass(slots=True)
class EndpointView:
    """One endpoint's cache and load, as this process has them.

    Attributes:
        cached_blocks: Probability that a block is cached, by the block's
            hash; the least recently recorded first.
        last_event: Number of the last cache event that was applied.
        own_counts: Monotonic times and numbers of this process's sequences
            in flight, oldest first.
        foreign_sequences: Number of sequences of other processes, by the last
            load report.
    """

    cached_blocks: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    last_event: int = 0
    own_counts: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    foreign_sequences: float = 0.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that can be chosen for a request.

    Attributes:
        name: Name of the endpoint.
        running: Number of this process's sequences in flight there.
        capacity: Estimated capacity of its engine.
        view: Its cache and load.
        delay_s: Seconds that the network adds to the first token.
    """

    name: str
    running: int
    capacity: _capacity.Capacity
    view: EndpointView
    delay_s: float = 0.0


def record_prompt(view: EndpointView, blocks: Iterable[int]) -> None:
    """Records the blocks of a prompt that was sent to an endpoint."""
    for block in blocks:
        view.cached_blocks[block] = SENT_CACHED_PROBABILITY
        view.cached_blocks.move_to_end(block)
    while len(view.cached_blocks) > MAX_RECORDED_BLOCKS:
        view.cached_blocks.popitem(last=False)


def apply_cache_event(
    view: EndpointView,
    event_number: int,
    *,
    added: Iterable[int],
    evicted: Iterable[int],
) -> None:
    """Applies a cache event of an endpoint.

    A missed event may have evicted any block, so a gap in the event numbers
    lowers the probability of every block.

    Args:
        view: Updated in place.
        event_number: Number of the event; an old event is ignored.
        added: Hashes of the blocks that were added to the cache.
        evicted: Hashes of the blocks that were evicted.
    """
    if event_number <= view.last_event:
        return
    if event_number > view.last_event + 1:
        for block, probability in view.cached_blocks.items():
            view.cached_blocks[block] = min(
                probability, MISSED_EVENT_CACHED_PROBABILITY
            )
    view.last_event = event_number
    for block in evicted:
        view.cached_blocks.pop(block, None)
    for block in added:
        view.cached_blocks[block] = 1.0
        view.cached_blocks.move_to_end(block)


def record_running(view: EndpointView, now: float, running: int) -> None:
    """Records the number of this process's sequences on an endpoint."""
    view.own_counts.append((now, running))
    while view.own_counts[0][0] < now - LOAD_REPORT_WINDOW_S:
        view.own_counts.popleft()


def apply_load_report(view: EndpointView, report: LoadReport) -> None:
    """Applies a load report of an endpoint.

    The report's lag is unknown. Only sequences in excess of every own count
    of the window are certainly those of other processes. Own sequences are
    counted separately, so a low report never makes an endpoint look free.
    """
    total = report.running + report.queued
    own = max((running for _, running in view.own_counts), default=0)
    view.foreign_sequences = float(max(0, total - own))


def expected_cached_words(view: EndpointView, blocks: Sequence[int]) -> float:
    """Returns the expected number of leading words that are cached."""
    probability = 1.0
    expected = 0.0
    for block in blocks:
        probability = min(probability, view.cached_blocks.get(block, 0.0))
        if probability == 0.0:
            break
        expected += probability * BLOCK_WORDS
    return expected


def expected_first_token_s(
    candidate: Candidate, blocks: Sequence[int], words: int
) -> float:
    """Returns the expected seconds to the first token at an endpoint.

    Args:
        candidate: The endpoint.
        blocks: Chained hashes of the prompt's leading blocks.
        words: Words in the prompt.
    """
    running = candidate.running + candidate.view.foreign_sequences
    gap_s = _capacity.expected_token_gap_s(candidate.capacity, running + 1)
    excess = max(0.0, running + 1 - candidate.capacity.limit)
    cached_words = expected_cached_words(candidate.view, blocks)
    uncached_words = max(1.0, words - cached_words)
    # Each sequence over the limit waits until a running one ends. The wait in
    # tokens is the mean remaining length divided by the number of running ones.
    queue_s = excess * gap_s
    prefill_s = uncached_words * _capacity.PREFILL_S_PER_WORD
    engine_s = STEPS_TO_FIRST_TOKEN * gap_s + prefill_s + queue_s
    return engine_s + candidate.delay_s


def network_delay_s(data_centre: str, other: str) -> float:
    """Returns the expected delay between a caller's VM and an endpoint.

    Args:
        data_centre: Data centre of the VM; empty if it is not known.
        other: Data centre of the endpoint; empty if it is not known.

    >>> network_delay_s("a", "a"), network_delay_s("a", "b")
    (0.0, 0.003)
    """
    if not data_centre or not other or data_centre == other:
        return 0.0
    return OTHER_DATA_CENTRE_S


def choose(
    candidates: Sequence[Candidate], blocks: Sequence[int], words: int
) -> Candidate:
    """Returns the candidate with the least expected time to first token.

    Ties are broken by load and then by a hash of the prompt and the endpoint,
    so that prompts without a cached prefix spread over the endpoints.

    Args:
        candidates: The endpoints to choose from; at least one.
        blocks: Chained hashes of the prompt's leading blocks.
        words: Words in the prompt.
    """
    seed = blocks[0] if blocks else words

    def cost(candidate: Candidate) -> tuple[float, float, int]:
        tie_breaker = xxhash.xxh3_64_intdigest(
            f"{seed}/{candidate.name}".encode()
        )
        expected_s = expected_first_token_s(candidate, blocks, words)
        load = candidate.running / max(1.0, candidate.capacity.limit)
        return expected_s, load, tie_breaker

    return min(candidates, key=cost)
