"""Compares the store's appends with plain file appends.

Both write the same result bodies in calls of the same size and fsync once for
each call. The store also frames, checksums and indexes results and drops
repeated ones. Rounds alternate, so that other load on the machine slows both.

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
ITEMS_PER_CALL = 100
BODY_BYTES = 600


@dataclasses.dataclass
class Arguments:
    """Measures the throughput of the store relative to plain appends."""

    folder: Annotated[
        str | None, cappa.Arg(long=True, help="Where to write.")
    ] = None


def result_calls() -> list[list[ttypes.Result]]:
    """Returns the results to append, by call."""
    body = b"x" * BODY_BYTES
    return [
        [
            ttypes.Result(
                index=call * ITEMS_PER_CALL + n, body=body, failed=False
            )
            for n in range(ITEMS_PER_CALL)
        ]
        for call in range(CALLS)
    ]


def plain_items_per_s(
    path: pathlib.Path, batches: list[list[ttypes.Result]]
) -> float:
    """Returns the items per second of plain appends, one fsync per call."""
    start_s = time.perf_counter()
    with path.open("ab") as file:
        for batch in batches:
            for result in batch:
                file.write(result.body)
            file.flush()
            os.fsync(file.fileno())
    elapsed_s = time.perf_counter() - start_s
    return CALLS * ITEMS_PER_CALL / elapsed_s


def store_items_per_s(
    path: pathlib.Path, batches: list[list[ttypes.Result]]
) -> float:
    """Returns the items per second of the store's appends."""
    segment_store = segments.SegmentStore(path)
    segment_store.write_segment("g", 0, [b"item"])
    segment_store.seal_group("g", 1)
    start_s = time.perf_counter()
    for batch in batches:
        segment_store.append_results("g", [(1, batch)])
    elapsed_s = time.perf_counter() - start_s
    return CALLS * ITEMS_PER_CALL / elapsed_s


def main() -> None:
    """Prints the items per second of both and their ratio as JSON."""
    arguments = cappa.parse(Arguments)
    batches = result_calls()
    rates: dict[str, list[float]] = {"plain": [], "store": []}
    with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
        folder = pathlib.Path(name)
        for round_index in range(ROUNDS):
            rates["plain"].append(
                plain_items_per_s(folder / f"plain-{round_index}", batches)
            )
            rates["store"].append(
                store_items_per_s(folder / f"store-{round_index}", batches)
            )
    ratios = [
        store / plain
        for store, plain in zip(rates["store"], rates["plain"], strict=True)
    ]
    report = {
        "plain_items_per_s": round(statistics.median(rates["plain"])),
        "store_items_per_s": round(statistics.median(rates["store"])),
        "ratio": round(statistics.median(ratios), 3),
        "ratio_min": round(min(ratios), 3),
    }
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
