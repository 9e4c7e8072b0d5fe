"""Results of a batch job in the order in which the store lists them."""

from collections.abc import Sequence
import dataclasses
import sys

import msgspec

from ibisknot import batch_records
from ibisknot import pairs

MAX_PAGE_BYTES = 900_000
"""Largest size of a page's results as JSON."""


@dataclasses.dataclass(slots=True)
class ListedResults:
    """The first results of one job, without gaps.

    Attributes:
        results: The results in the order in which they were listed.
        revision: Store revision up to which `results` is complete.
        last_key: Key of the last value of results that was added.
    """

    results: list[batch_records.ItemResult] = dataclasses.field(
        default_factory=list
    )
    revision: int = 0
    last_key: str = ""

    def memory_bytes(self) -> int:
        """Returns the memory that all outputs take."""
        return sum(sys.getsizeof(result.output) for result in self.results)


def add(
    listed: ListedResults, key: str, results: Sequence[batch_records.ItemResult]
) -> None:
    """Adds the results under one key if they directly follow those known.

    >>> listed = ListedResults()
    >>> result = batch_records.ItemResult("i", batch_records.DONE, "text")
    >>> add(listed, batch_records.results_key("j", 1), [result])
    >>> add(listed, batch_records.results_key("j", 0), [result])
    >>> add(listed, batch_records.results_key("j", 0), [result])
    >>> len(listed.results)
    1
    """
    first_index = int(key.rpartition("/")[2])
    if first_index == len(listed.results):
        listed.results.extend(results)
        listed.last_key = key


async def load(
    store: pairs.KeyValueStore, job_id: str, listed: ListedResults
) -> None:
    """Adds the results that the store lists after those known.

    Raises:
        KeyValueError: The store does not respond.
    """
    prefix = batch_records.results_prefix(job_id)
    listing = await store.list_prefix(prefix, after=listed.last_key)
    listed.revision = max(listed.revision, listing.revision)
    for pair in listing.pairs:
        add(listed, pair.key, batch_records.decode_results(pair.value))


def first_page(
    results: Sequence[batch_records.ItemResult],
) -> list[batch_records.ItemResult]:
    """Returns the leading results that fit one page, at least one if any."""
    size_bytes = 0
    page: list[batch_records.ItemResult] = []
    for result in results:
        size_bytes += len(msgspec.json.encode(result))
        if page and size_bytes > MAX_PAGE_BYTES:
            break
        page.append(result)
    return page
