"""The key-value stand-in, called by the product's client."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

import anyio
import conftest
import pytest

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings

StartStandIn = Callable[..., conftest.StandIn]
pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def connect(
    service: conftest.StandIn,
) -> AsyncIterator[keyvalue.KeyValue]:
    key_value = keyvalue.KeyValue(settings.KeyValue(url=service.url))
    try:
        yield key_value
    finally:
        await key_value.aclose()


async def write(
    key_value: keyvalue.KeyValue, key: str, value: bytes, revision: int = 0
) -> bool:
    return await key_value.transact(
        [keyvalue.Guard(key, revision)], [keyvalue.Put(key, value)]
    )


async def test_only_one_compare_and_swap_wins(standin: StartStandIn) -> None:
    """Guards against two writers whose writes both succeed."""
    async with connect(standin("keyvalue")) as key_value:
        results: list[bool] = []

        async def attempt(value: bytes) -> None:
            results.append(await write(key_value, "/a", value))

        async with anyio.create_task_group() as task_group:
            for number in range(8):
                task_group.start_soon(attempt, str(number).encode())
        assert sorted(results) == [False] * 7 + [True]
        pair = await key_value.get("/a")
        assert pair is not None
        assert await write(key_value, "/a", b"next", pair.revision)
        assert not await write(key_value, "/a", b"stale", pair.revision)


async def test_lease_end_deletes_its_keys(standin: StartStandIn) -> None:
    """Guards against ownership that outlives its lease."""
    async with connect(standin("keyvalue")) as key_value:
        lease_id = await key_value.grant(1.0)
        put = keyvalue.Put("/owner", b"vm-1", lease_id=lease_id)
        assert await key_value.transact([keyvalue.Guard("/owner", 0)], [put])
        assert await key_value.keep_alive(lease_id)
        await key_value.revoke(lease_id)
        assert await key_value.get("/owner") is None
        assert not await key_value.keep_alive(lease_id)


async def test_lease_expires_by_itself(standin: StartStandIn) -> None:
    """Guards against a lease that is never renewed but does not end."""
    async with connect(standin("keyvalue")) as key_value:
        lease_id = await key_value.grant(1.0)
        put = keyvalue.Put("/owner", b"vm-1", lease_id=lease_id)
        assert await key_value.transact([], [put])
        with anyio.fail_after(30):
            while await key_value.get("/owner") is not None:
                await anyio.sleep(0.1)


async def test_watch_from_a_revision_replays(standin: StartStandIn) -> None:
    """Guards against changes lost between a read and the watch after it."""
    async with connect(standin("keyvalue")) as key_value:
        await write(key_value, "/w/a", b"1")
        pair = await key_value.get("/w/a")
        assert pair is not None
        await write(key_value, "/w/b", b"2")
        await key_value.transact([], [], deletes=["/w/a"])
        received: list[tuple[str, bytes | None]] = []
        start = pair.revision + 1
        with anyio.fail_after(30):
            async for changes in key_value.watch("/w/", start_revision=start):
                received.extend((c.key, c.value) for c in changes)
                if len(received) == 2:
                    break
        assert received == [("/w/b", b"2"), ("/w/a", None)]


async def test_write_with_a_lost_response_takes_effect(
    standin: StartStandIn,
) -> None:
    """Guards against a lost response that is reported as a failed write."""
    service = standin("keyvalue")
    async with connect(service) as key_value:
        service.post("/admin/faults", {"lose_answers": 1.0})
        with pytest.raises(errors.KeyValueUnknownError):
            await write(key_value, "/lost", b"1")
        pair = await key_value.get("/lost")
        assert pair is not None and pair.value == b"1"


async def test_value_over_one_megabyte_is_refused(
    standin: StartStandIn,
) -> None:
    """Guards against designs that rely on larger values."""
    async with connect(standin("keyvalue")) as key_value:
        assert await write(key_value, "/fits", bytes(1024 * 1024))
        with pytest.raises(errors.KeyValueError):
            await write(key_value, "/big", bytes(1024 * 1024 + 1))
        assert await key_value.get("/big") is None


async def test_calls_are_limited_and_counted(standin: StartStandIn) -> None:
    """Guards against a fleet that exceeds the service's rate limits."""
    service = standin("keyvalue")
    async with connect(service) as key_value:
        service.post("/admin/faults", {"writes_per_s": 0.0})
        with pytest.raises(errors.KeyValueError):
            await write(key_value, "/a", b"1")
        assert await key_value.get("/a") is None
        service.post("/admin/faults", {"reads_per_s": 0.0})
        with pytest.raises(errors.KeyValueError):
            await key_value.get("/a")
        service.post("/admin/faults", {"down": True})
        with pytest.raises(errors.KeyValueError):
            await write(key_value, "/a", b"1")
        calls = service.get("/admin/calls").json()["calls"]
        assert calls == {"txn": 2, "range": 2}


async def test_open_watch_is_counted_and_ends_without_errors(
    standin: StartStandIn,
) -> None:
    """Guards against stack traces at shutdown with an open watch."""
    service = standin("keyvalue")
    async with connect(service) as key_value:
        async with anyio.create_task_group() as task_group:
            ended = anyio.Event()

            async def watch() -> None:
                with contextlib.suppress(errors.KeyValueError):
                    async for _ in key_value.watch("/w/"):
                        pass
                ended.set()

            task_group.start_soon(watch)
            with anyio.fail_after(30):
                while service.get("/admin/calls").json()["watching"] != 1:
                    await anyio.sleep(0.05)
                service.process.terminate()
                await ended.wait()
        assert service.process.wait(timeout=20) == 0
