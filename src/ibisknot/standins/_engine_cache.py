"""Cache events and cache transfer of the engine stand-in."""

import collections
import dataclasses
import random
import struct

import msgspec

from ibisknot import errors
from ibisknot.standins import _engine_batching

MAX_EVENTS = 20_000
EXPORTED_BLOCK_BYTES = 256
"""Bytes of an exported block; blocks of real engines are far larger."""
_HASH = struct.Struct("!Q")


class CacheEvent(msgspec.Struct):
    """Blocks that the cache stored or evicted.

    Attributes:
        number: Index of the event from 1 on; a gap means that an event was
            lost.
        stored: Hashes of the blocks that were added.
        evicted: Hashes of the blocks that were removed.
    """

    number: int
    stored: list[int]
    evicted: list[int]


class CacheEvents(msgspec.Struct):
    """Response to a read of cache events.

    Attributes:
        events: The events after the requested number.
        following: Number of the last event, after which to read next.
    """

    events: list[CacheEvent]
    following: int


@dataclasses.dataclass(slots=True)
class _DelayedEvent:
    visible_s: float
    event: CacheEvent


class EventLog:
    """Cache events, which become visible late or are lost.

    Attributes:
        lag_s: Seconds until an event becomes visible.
        loss: Fraction of the events that are lost.
        rng: Chooses the events that are lost.
        next_number: Number of the next event.
        events: The newest events, oldest first.
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
        """Returns the events after a number that are visible at a time.

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
    """Returns the hash and content of each cached leading block of a prompt."""
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
    """Adds exported blocks to a cache; returns the added and evicted ones.

    Raises:
        BadRequestError: The data is incomplete or damaged.
    """
    exported_bytes = _HASH.size + EXPORTED_BLOCK_BYTES
    if len(data) % exported_bytes:
        raise errors.BadRequestError("the export is incomplete")
    blocks = []
    for start in range(0, len(data), exported_bytes):
        (block,) = _HASH.unpack_from(data, start)
        content = data[start + _HASH.size : start + exported_bytes]
        if content != _HASH.pack(block) * (EXPORTED_BLOCK_BYTES // _HASH.size):
            raise errors.BadRequestError("a block of the export is damaged")
        blocks.append(block)
    _, added, evicted = cache.record_use(blocks)
    return added, evicted
