"""Chooses the endpoint with the least expected time to first token."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import xxhash

from ibisknot import _capacity

BLOCK_WORDS = 16
MAXIMUM_BLOCKS = 64
RECORD_BLOCKS = 4096
SENT_TRUST = 0.9
"""Chance that a block that was sent lately is still cached."""
GAP_TRUST = 0.5
"""Chance for a block that an event announced before a gap in the events."""
REPORT_WINDOW_S = 1.5
"""Own counts of this time are compared with a lagged load report."""
STEPS_TO_FIRST_TOKEN = 1.5
"""A new sequence waits for half a step on average, then for its own."""


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's leading whole blocks.

    >>> long = " ".join(str(k) for k in range(40))
    >>> prompt_blocks(long) == prompt_blocks(long + " x")
    True
    """
    words = prompt.split()[: MAXIMUM_BLOCKS * BLOCK_WORDS]
    chain = 0
    found = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        chain = xxhash.xxh3_64_intdigest(f"{chain}/{block}".encode())
        found.append(chain)
    return tuple(signed(found))


def signed(hashes: Iterable[int]) -> list[int]:
    """Returns unsigned 64-bit hashes as the peer protocol's signed ones.

    >>> signed([0, 2**64 - 1]) == [-(2**63), 2**63 - 1]
    True
    """
    return [number - (1 << 63) for number in hashes]


@dataclasses.dataclass(slots=True)
class Report:
    """An engine's lagged load report."""

    running: int
    waiting: int


@dataclasses.dataclass(slots=True)
class Known:
    """What is known about one endpoint's cache and load.

    Attributes:
        blocks: Chance that a block is cached, oldest first.
        event: Number of the last cache event.
        counts: Own counts of sequences with their monotonic times.
        foreign: Sequences of others, by the last load report.
    """

    blocks: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    event: int = 0
    counts: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    foreign: float = 0.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that could take a request.

    Attributes:
        running: Own sequences in flight there.
        capacity: What has been learnt about the engine.
        known: Its cache and load.
    """

    name: str
    running: int
    capacity: _capacity.Capacity
    known: Known


def sent(known: Known, blocks: Iterable[int]) -> None:
    """Records the blocks of a prompt that was sent to an endpoint."""
    for block in blocks:
        known.blocks[block] = SENT_TRUST
        known.blocks.move_to_end(block)
    while len(known.blocks) > RECORD_BLOCKS:
        known.blocks.popitem(last=False)


def cache_event(
    known: Known, number: int, *, added: Iterable[int], evicted: Iterable[int]
) -> None:
    """Applies one cache event; after a gap nothing is certain any more."""
    if number <= known.event:
        return
    if number > known.event + 1:
        for block, chance in known.blocks.items():
            known.blocks[block] = min(chance, GAP_TRUST)
    known.event = number
    for block in evicted:
        known.blocks.pop(block, None)
    for block in added:
        known.blocks[block] = 1.0
        known.blocks.move_to_end(block)


def count(known: Known, now: float, running: int) -> None:
    """Notes the own number of sequences on an endpoint."""
    known.counts.append((now, running))
    while known.counts[0][0] < now - REPORT_WINDOW_S:
        known.counts.popleft()


def reported(known: Known, report: Report) -> None:
    """Applies a load report.

    The report is as old as its lag, which is not known. Only what exceeds
    every own count of the window must be the work of others; all else is
    already counted, so a low report never makes an endpoint look free.
    """
    total = report.running + report.waiting
    own = max((number for _, number in known.counts), default=0)
    known.foreign = float(max(0, total - own))


def cached_words(known: Known, blocks: Sequence[int]) -> float:
    """Returns the expected number of leading words that are cached."""
    chance = 1.0
    expected = 0.0
    for block in blocks:
        chance = min(chance, known.blocks.get(block, 0.0))
        if chance == 0.0:
            break
        expected += chance * BLOCK_WORDS
    return expected


def first_token_s(
    candidate: Candidate, blocks: Sequence[int], words: int
) -> float:
    """Returns the expected time to the first token at an endpoint."""
    running = candidate.running + candidate.known.foreign
    gap_s = _capacity.gap_s(candidate.capacity, running + 1)
    over = max(0.0, running + 1 - candidate.capacity.limit)
    cached = cached_words(candidate.known, blocks)
    fresh = max(1.0, words - cached)
    # Each sequence over the limit waits until a running one has ended; the
    # wait in tokens is the mean remaining length shared by all running ones.
    queue_s = over * gap_s
    prefill_s = fresh * _capacity.PREFILL_WORD_S
    return STEPS_TO_FIRST_TOKEN * gap_s + prefill_s + queue_s


def choose(
    candidates: Sequence[Candidate], blocks: Sequence[int], words: int
) -> Candidate:
    """Returns the candidate with the least expected time to first token.

    Equal candidates are told apart by load and then by a hash of the prompt,
    so that prompts without a cached prefix spread over the endpoints.
    """
    seed = blocks[0] if blocks else words

    def cost(candidate: Candidate) -> tuple[float, float, int]:
        spread = xxhash.xxh3_64_intdigest(f"{seed}/{candidate.name}".encode())
        expected_s = first_token_s(candidate, blocks, words)
        load = candidate.running / max(1.0, candidate.capacity.limit)
        return expected_s, load, spread

    return min(candidates, key=cost)
