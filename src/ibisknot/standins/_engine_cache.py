"""Cache events of the engine stand-in, and export and import of KV cache."""

import collections
import dataclasses
import random
import struct

import msgspec

from ibisknot import errors
from ibisknot.standins import _engine_batching

MAX_EVENTS = 20_000
EXPORTED_BLOCK_BYTES = 256
"""Size of an exported block; a real one is far larger."""
_HASH = struct.Struct("!Q")


class CacheEvent(msgspec.Struct):
    """Blocks that the cache stored or evicted.

    Attributes:
        number: Rises by one; a gap in what a reader gets is a lost event.
        stored: Hashes of the blocks that were added.
        evicted: Hashes of the blocks that were removed.
    """

    number: int
    stored: list[int]
    evicted: list[int]


class CacheEvents(msgspec.Struct):
    """Answer to a reader of cache events.

    Attributes:
        events: The events after the number that was asked for.
        following: The number to ask for next.
    """

    events: list[CacheEvent]
    following: int


@dataclasses.dataclass(slots=True)
class _DelayedEvent:
    visible_s: float
    event: CacheEvent


class EventLog:
    """Cache events that show late, and some never.

    Attributes:
        lag_s: Seconds until an event shows.
        loss: Fraction of events that never show.
    """

    def __init__(self, *, lag_s: float, loss: float, seed: int) -> None:
        self.lag_s = lag_s
        self.loss = loss
        self.rng = random.Random(seed)
        self.next_number = 1
        self.events: collections.deque[_DelayedEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def record(self, now: float, stored: list[int], evicted: list[int]) -> None:
        """Records a change of the cache."""
        if not stored and not evicted:
            return
        event = CacheEvent(self.next_number, stored, evicted)
        self.next_number += 1
        if self.rng.random() >= self.loss:
            self.events.append(_DelayedEvent(now + self.lag_s, event))

    def read(self, now: float, after: int) -> CacheEvents:
        """Returns the events after a number that show by now.

        >>> log = EventLog(lag_s=1.0, loss=0.0, seed=0)
        >>> log.record(0.0, [7], [])
        >>> log.read(0.5, 0).events, log.read(1.0, 0).following
        ([], 1)
        """
        visible = [
            late.event
            for late in self.events
            if late.visible_s <= now and late.event.number > after
        ]
        following = visible[-1].number if visible else after
        return CacheEvents(visible, following)


def export_blocks(cache: _engine_batching.PrefixCache, prompt: str) -> bytes:
    """Returns the cached leading blocks of a prompt: hash and content each."""
    parts = []
    for block in _engine_batching.prompt_blocks(prompt):
        if block not in cache.blocks:
            break
        parts.append(_HASH.pack(block))
        parts.append(_HASH.pack(block) * (EXPORTED_BLOCK_BYTES // _HASH.size))
    return b"".join(parts)


def import_blocks(
    cache: _engine_batching.PrefixCache, data: bytes
) -> tuple[list[int], list[int]]:
    """Adds exported blocks to a cache; returns those added and evicted.

    Raises:
        BadRequestError: The data is no whole export.
    """
    exported_bytes = _HASH.size + EXPORTED_BLOCK_BYTES
    if len(data) % exported_bytes:
        raise errors.BadRequestError("the export is not whole")
    blocks = []
    for start in range(0, len(data), exported_bytes):
        (block,) = _HASH.unpack_from(data, start)
        content = data[start + _HASH.size : start + exported_bytes]
        if content != _HASH.pack(block) * (EXPORTED_BLOCK_BYTES // _HASH.size):
            raise errors.BadRequestError("a block of the export is damaged")
        blocks.append(block)
    _, added, evicted = cache.record_use(blocks)
    return added, evicted
