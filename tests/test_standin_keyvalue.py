"""The key-value stand-in, through the project's own client."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

import anyio
import conftest
import pytest

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings

Start = Callable[..., conftest.StandIn]
pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def opened(service: conftest.StandIn) -> AsyncIterator[keyvalue.KeyValue]:
    store = keyvalue.KeyValue(settings.KeyValue(url=service.url))
    try:
        yield store
    finally:
        await store.aclose()


async def write(
    store: keyvalue.KeyValue, key: str, value: bytes, revision: int = 0
) -> bool:
    return await store.transact(
        [keyvalue.Guard(key, revision)], [keyvalue.Put(key, value)]
    )


async def test_only_one_compare_and_swap_wins(standin: Start) -> None:
    """Guards against two writers that both believe they won."""
    async with opened(standin("keyvalue")) as store:
        results: list[bool] = []

        async def attempt(value: bytes) -> None:
            results.append(await write(store, "/a", value))

        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(attempt, str(number).encode())
        assert sorted(results) == [False] * 7 + [True]
        pair = await store.get("/a")
        assert pair is not None
        assert await write(store, "/a", b"next", pair.revision)
        assert not await write(store, "/a", b"stale", pair.revision)


async def test_lease_end_deletes_its_keys(standin: Start) -> None:
    """Guards against ownership that outlives its lease."""
    async with opened(standin("keyvalue")) as store:
        lease = await store.grant(1.0)
        put = keyvalue.Put("/owner", b"vm-1", lease_id=lease)
        assert await store.transact([keyvalue.Guard("/owner", 0)], [put])
        assert await store.keep_alive(lease)
        await store.revoke(lease)
        assert await store.get("/owner") is None
        assert not await store.keep_alive(lease)


async def test_lease_expires_by_itself(standin: Start) -> None:
    """Guards against a dead holder's lease lasting for ever."""
    async with opened(standin("keyvalue")) as store:
        lease = await store.grant(1.0)
        put = keyvalue.Put("/owner", b"vm-1", lease_id=lease)
        assert await store.transact([], [put])
        with anyio.fail_after(30):
            while await store.get("/owner") is not None:
                await anyio.sleep(0.1)


async def test_watch_from_a_revision_replays(standin: Start) -> None:
    """Guards against changes lost between a read and its watch."""
    async with opened(standin("keyvalue")) as store:
        await write(store, "/w/a", b"1")
        pair = await store.get("/w/a")
        assert pair is not None
        await write(store, "/w/b", b"2")
        await store.transact([], [], deletes=["/w/a"])
        found: list[tuple[str, bytes | None]] = []
        start = pair.revision + 1
        with anyio.fail_after(30):
            async for changes in store.watch("/w/", start_revision=start):
                found.extend((c.key, c.value) for c in changes)
                if len(found) == 2:
                    break
        assert found == [("/w/b", b"2"), ("/w/a", None)]


async def test_lost_answer_took_effect(standin: Start) -> None:
    """Guards against a lost answer being taken for a refusal."""
    service = standin("keyvalue")
    async with opened(service) as store:
        service.post("/admin/faults", {"lose_answers": 1.0})
        with pytest.raises(errors.KeyValueUnknownError):
            await write(store, "/lost", b"1")
        pair = await store.get("/lost")
        assert pair is not None and pair.value == b"1"


async def test_value_over_one_megabyte_is_refused(standin: Start) -> None:
    """Guards against designs that rely on larger values."""
    async with opened(standin("keyvalue")) as store:
        assert await write(store, "/fits", bytes(1024 * 1024))
        with pytest.raises(errors.KeyValueError):
            await write(store, "/big", bytes(1024 * 1024 + 1))
        assert await store.get("/big") is None


async def test_calls_are_limited_and_counted(standin: Start) -> None:
    """Guards against a fleet that needs more calls than the service takes."""
    service = standin("keyvalue")
    async with opened(service) as store:
        service.post("/admin/faults", {"writes_per_s": 0.0})
        with pytest.raises(errors.KeyValueError):
            await write(store, "/a", b"1")
        assert await store.get("/a") is None
        service.post("/admin/faults", {"reads_per_s": 0.0})
        with pytest.raises(errors.KeyValueError):
            await store.get("/a")
        service.post("/admin/faults", {"down": True})
        with pytest.raises(errors.KeyValueError):
            await write(store, "/a", b"1")
        calls = service.get("/admin/calls").json()["calls"]
        assert calls == {"txn": 2, "range": 2}


async def test_watch_is_one_call_and_ends_quietly(standin: Start) -> None:
    """Guards against stack traces when stopped with an open watch."""
    service = standin("keyvalue")
    async with opened(service) as store:
        async with anyio.create_task_group() as group:
            ended = anyio.Event()

            async def watch() -> None:
                with contextlib.suppress(errors.KeyValueError):
                    async for _ in store.watch("/w/"):
                        pass
                ended.set()

            group.start_soon(watch)
            with anyio.fail_after(30):
                while service.get("/admin/calls").json()["watching"] != 1:
                    await anyio.sleep(0.05)
                service.process.terminate()
                await ended.wait()
        assert service.process.wait(timeout=20) == 0
