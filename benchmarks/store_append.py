"""Compares the store's appends with plain file appends and the same fsync.

Both write the same result bodies in calls of the same size and fsync once for
each call. The store also frames, checksums, indexes and drops repeated items.
Rounds alternate, so that a noisy machine slows both.

    python benchmarks/store_append.py [--folder FOLDER]
"""

import dataclasses
import os
import pathlib
import statistics
import tempfile
import time
from typing import Annotated

import cappa
import msgspec

from ibisknot import segments
from ibisknot.gen.segments import ttypes

ROUNDS = 7
CALLS = 40
CALL_ITEMS = 100
BODY_BYTES = 600


@dataclasses.dataclass
class Arguments:
    """Measures the store's throughput as a ratio to plain appends."""

    folder: Annotated[
        str | None, cappa.Arg(long=True, help="Where to write.")
    ] = None


def calls() -> list[list[ttypes.Result]]:
    """Returns the results of each call."""
    body = b"x" * BODY_BYTES
    return [
        [
            ttypes.Result(index=call * CALL_ITEMS + n, body=body, failed=False)
            for n in range(CALL_ITEMS)
        ]
        for call in range(CALLS)
    ]


def plain(path: pathlib.Path, batches: list[list[ttypes.Result]]) -> float:
    """Returns the items a second of plain appends with an fsync a call."""
    start_s = time.perf_counter()
    with path.open("ab") as file:
        for batch in batches:
            for result in batch:
                file.write(result.body)
            file.flush()
            os.fsync(file.fileno())
    elapsed_s = time.perf_counter() - start_s
    return CALLS * CALL_ITEMS / elapsed_s


def store(path: pathlib.Path, batches: list[list[ttypes.Result]]) -> float:
    """Returns the items a second of the store's appends."""
    kept = segments.SegmentStore(path)
    kept.write_segment("g", 0, [b"item"])
    kept.seal_group("g", 1)
    start_s = time.perf_counter()
    for batch in batches:
        kept.append_results("g", [(1, batch)])
    elapsed_s = time.perf_counter() - start_s
    return CALLS * CALL_ITEMS / elapsed_s


def main() -> None:
    """Prints the items a second of both and their ratio as JSON."""
    arguments = cappa.parse(Arguments)
    batches = calls()
    found: dict[str, list[float]] = {"plain": [], "store": []}
    with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
        folder = pathlib.Path(name)
        for number in range(ROUNDS):
            found["plain"].append(plain(folder / f"plain-{number}", batches))
            found["store"].append(store(folder / f"store-{number}", batches))
    ratios = [
        s / p for s, p in zip(found["store"], found["plain"], strict=True)
    ]
    report = {
        "plain_items_per_s": round(statistics.median(found["plain"])),
        "store_items_per_s": round(statistics.median(found["store"])),
        "ratio": round(statistics.median(ratios), 3),
        "ratio_min": round(min(ratios), 3),
    }
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
