"""Listings of the records of files and jobs."""

from typing import Any

import anyio
import fake_key_value
import msgspec
import pytest
from starlette import responses

from ibisknot import batches
from ibisknot import configuration
from ibisknot import files
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import online

OTHERS_COUNT = 2 * jobs.PAGE_SIZE + 1


class _Store(fake_key_value.FakeKeyValue):
    """A key-value service that records the size of its largest answer.

    Attributes:
        largest: Number of pairs in the largest answer.
    """

    largest = 0

    async def list_range(
        self, start: str, end: str, *, limit: int = 0
    ) -> list[keyvalue.Pair]:
        """Returns the pairs of a range of keys."""
        found = [p for k, p in sorted(self.pairs.items()) if start <= k < end]
        found = found[: limit or len(found)]
        self.largest = max(self.largest, len(found))
        return found

    def add(self, record: jobs.Record) -> None:
        """Stores a record."""
        key = jobs.record_key(record)
        self.pairs[key] = keyvalue.Pair(key, jobs.encode_record(record), 1)


def _file(record_id: str, organisation: str) -> jobs.FileRecord:
    return jobs.FileRecord(record_id, organisation, "f", "batch", 1, 1, [], [])


def _job(record_id: str, organisation: str) -> jobs.JobRecord:
    return jobs.JobRecord(
        record_id, organisation, "f", "/v1/completions", "24h", 1, 2, [], []
    )


def _handlers(kind: str, store: Any) -> Any:
    """Returns the handler that lists files or jobs."""
    unused: Any = None
    if kind == "file":
        return files.Files(unused, store, unused, unused).list_files
    return batches.Batches(
        unused, store, unused, unused, unused, unused
    ).list_batches


async def _list(handler: Any) -> dict[str, Any]:
    answer: responses.Response = await handler(None)
    listing: dict[str, Any] = msgspec.json.decode(answer.body)
    return listing


@pytest.fixture
def caller(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets all requests come from the organisation `own`."""
    owner = configuration.KeyOwner("own", "key")
    monkeypatch.setattr(online, "key_owner", lambda _source, _request: owner)


@pytest.mark.parametrize(("kind", "make"), [("file", _file), ("job", _job)])
@pytest.mark.usefixtures("caller")
def test_listing_reaches_behind_the_records_of_others(
    kind: str, make: Any
) -> None:
    """Guards against a listing that looks empty in a large fleet."""

    async def main() -> None:
        store = _Store()
        for index in range(OTHERS_COUNT):
            store.add(make(f"a-{index:06}", "other"))
        store.add(make("b", "own"))
        listing = await _list(_handlers(kind, store))
        assert [entry["id"] for entry in listing["data"]] == ["b"]
        assert not listing["has_more"]
        assert store.largest <= jobs.PAGE_SIZE

    anyio.run(main)


@pytest.mark.parametrize(("kind", "make"), [("file", _file), ("job", _job)])
@pytest.mark.parametrize("more", [0, 1])
@pytest.mark.usefixtures("caller")
def test_cut_listing_says_that_there_is_more(
    kind: str, make: Any, more: int
) -> None:
    """Guards against a listing that looks complete and is not."""

    async def main() -> None:
        store = _Store()
        for index in range(jobs.LIST_LIMIT + more):
            store.add(make(f"a-{index:06}", "own"))
        listing = await _list(_handlers(kind, store))
        assert len(listing["data"]) == jobs.LIST_LIMIT
        assert listing["has_more"] == bool(more)

    anyio.run(main)


@pytest.mark.usefixtures("caller")
def test_deleted_file_is_not_listed() -> None:
    """Guards against a file that callers see but cannot use."""

    async def main() -> None:
        store = _Store()
        deleted = _file("a", "own")
        deleted.deleting = True
        store.add(deleted)
        store.add(_file("b", "own"))
        listing = await _list(_handlers("file", store))
        assert [entry["id"] for entry in listing["data"]] == ["b"]

    anyio.run(main)
