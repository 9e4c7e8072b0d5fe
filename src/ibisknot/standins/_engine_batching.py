"""Simulates the continuous batching of an engine and its run time."""

import collections
from collections.abc import Callable
import dataclasses

import anyio
import msgspec
import xxhash

BLOCK_WORDS = 16
"""Tokens in a block of the prefix cache; each word counts as one token."""


class Costs(msgspec.Struct, forbid_unknown_fields=True):
    """Times and sizes of an engine.

    Attributes:
        step_s: Seconds of a decoding step with an empty batch.
        sequence_s: Seconds added to a step for each sequence in the batch.
        prefill_s: Seconds for each prompt token that is not cached.
        slots: Sequences that run at once; others wait in order of arrival.
        cache_blocks: Maximum number of prompt blocks in the prefix cache.
    """

    step_s: float = 0.008
    sequence_s: float = 0.0004
    prefill_s: float = 0.00005
    slots: int = 32
    cache_blocks: int = 4096


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request in the engine.

    Attributes:
        id: Id of the request.
        prompt: Text of the prompt.
        first_index: Index of the first token to generate.
        end_index: Index after the last token to generate.
        next_index: Index of the next token.
        cancelled: Whether the request was cancelled.
        changed: Set, and then replaced, at each new token and at the end.
    """

    id: str
    prompt: str
    first_index: int
    end_index: int
    next_index: int
    cancelled: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def is_finished(self) -> bool:
        """Returns whether no more tokens are generated."""
        return self.cancelled or self.next_index >= self.end_index

    def notify(self) -> None:
        """Wakes the reader of this sequence."""
        self.changed.set()
        self.changed = anyio.Event()


def prompt_blocks(prompt: str) -> list[int]:
    """Returns the chained hashes of a prompt's complete blocks.

    >>> long = " ".join(str(k) for k in range(40))
    >>> prompt_blocks(long) == prompt_blocks(long + " x")
    True
    """
    words = prompt.split()
    block_hash = 0
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        block_hash = xxhash.xxh3_64_intdigest(f"{block_hash}/{block}".encode())
        hashes.append(block_hash)
    return hashes


class PrefixCache:
    """A least-recently-used cache of prompt blocks.

    Attributes:
        max_blocks: Number of blocks above which blocks are evicted.
        blocks: Hashes of the cached blocks, least recently used first.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def record_use(self, blocks: list[int]) -> tuple[int, list[int], list[int]]:
        """Looks the blocks of a prompt up and stores those that are missing.

        Returns:
            The number of leading blocks that were cached, the blocks that
            were added and those that were evicted.
        """
        hits = 0
        for block in blocks:
            if block not in self.blocks:
                break
            hits += 1
        added = [block for block in blocks if block not in self.blocks]
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.max_blocks:
            evicted.append(self.blocks.popitem(last=False)[0])
        return hits, added, evicted


class Batcher:
    """Runs queued sequences together, one token of each in a step.

    Attributes:
        costs: Times and sizes of the engine.
        on_cache_change: Called with the blocks that were added to the cache
            and those that were evicted.
        queued: Sequences that wait for a slot, in order of arrival.
        running: Sequences in the batch.
        cache: Cache of prompt blocks.
        sequence_added: Set when a sequence is queued.
        generated_tokens: Number of tokens generated since the start.
    """

    def __init__(
        self,
        costs: Costs,
        on_cache_change: Callable[[list[int], list[int]], None] | None = None,
    ) -> None:
        self.costs = costs
        self.on_cache_change = on_cache_change
        self.queued: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.cache = PrefixCache(costs.cache_blocks)
        self.sequence_added = anyio.Event()
        self.generated_tokens = 0

    def add(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self.queued.append(sequence)
        self.sequence_added.set()

    def cancel(self, request_id: str) -> bool:
        """Cancels a request's sequences; returns whether there were any."""
        found = False
        for sequence in [*self.queued, *self.running]:
            if sequence.id == request_id:
                sequence.cancelled = True
                sequence.notify()
                found = True
        return found

    def _admit(self) -> float:
        """Moves queued sequences into the batch; returns the prefill time."""
        prefill_s = 0.0
        while self.queued and len(self.running) < self.costs.slots:
            sequence = self.queued.popleft()
            if sequence.cancelled:
                continue
            blocks = prompt_blocks(sequence.prompt)
            hits, added, evicted = self.cache.record_use(blocks)
            if self.on_cache_change is not None:
                self.on_cache_change(added, evicted)
            input_tokens = len(sequence.prompt.split()) + sequence.first_index
            uncached_tokens = max(1, input_tokens - hits * BLOCK_WORDS)
            prefill_s += uncached_tokens * self.costs.prefill_s
            self.running.append(sequence)
        return prefill_s

    async def run_step(self) -> None:
        """Runs one step of the batch; waits for a sequence if there is none."""
        self.running = [s for s in self.running if not s.is_finished()]
        prefill_s = self._admit()
        if not self.running:
            self.sequence_added = anyio.Event()
            if not self.queued:
                await self.sequence_added.wait()
            return
        batch_s = self.costs.sequence_s * len(self.running)
        await anyio.sleep(self.costs.step_s + batch_s + prefill_s)
        for sequence in self.running:
            if not sequence.cancelled:
                sequence.next_index += 1
                self.generated_tokens += 1
            sequence.notify()

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            await self.run_step()
