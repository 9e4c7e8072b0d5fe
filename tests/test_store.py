"""The store's service, its client, and tickets of crash suspects."""

import os
import pathlib
import random
from typing import Any

import anyio
import batch_world
import pytest

from ibisknot import batch_tickets
from ibisknot import errors
from ibisknot import segments
from ibisknot import store
from ibisknot.gen.segments import ttypes

pytestmark = pytest.mark.anyio


def append_message(index: int, epoch: int = 1) -> ttypes.ResultAppend:
    result = ttypes.Result(index=index, body=b"r", failed=False)
    return ttypes.ResultAppend(group="g", epoch=epoch, results=[result])


async def test_concurrent_appends_share_an_fsync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an fsync for each append, and against lost appends."""
    segment_store = segments.SegmentStore(tmp_path)
    segment_store.write_segment("g", 0, [b"a"])
    segment_store.seal_group("g", 1)
    service = store.Service(segment_store)
    sync_count = [0]
    fsync = os.fsync

    def counting_fsync(descriptor: int) -> None:
        sync_count[0] += 1
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", counting_fsync)
    refused: list[errors.IbisknotError] = []

    async def append(index: int, epoch: int) -> None:
        try:
            await service.append_results(append_message(index, epoch))
        except errors.FencedError as error:
            refused.append(error)

    async with anyio.create_task_group() as task_group:
        for index in range(50):
            task_group.start_soon(append, index, 1)
        task_group.start_soon(append, 50, 2)
    results = segments.SegmentStore(tmp_path).read_results("g", 0).results
    assert [r.index for r in results] == list(range(50))
    assert len(refused) == 1
    assert sync_count[0] < 10
    assert service.group_locks == service.pending_appends == {}


async def test_failing_store_is_replaced_in_an_upload(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a new copy that lacks the earlier segments."""
    world = batch_world.World(tmp_path)
    replica_client = world.replica_client("caller")
    vms = await replica_client.write_segment(
        ["vm-0", "vm-1"], "up-1", 0, [b"a"]
    )
    world.unreachable = {"vm-1"}
    vms = await replica_client.write_segment(vms, "up-1", 1, [b"b"])
    assert vms == ["vm-0", "vm-2"]
    for vm in vms:
        assert world.services[vm].segment_store.read_segment("up-1", 0) == [
            b"a"
        ]
        assert world.services[vm].segment_store.read_segment("up-1", 1) == [
            b"b"
        ]
    world.unreachable = {"vm-1", "vm-2"}
    with pytest.raises(errors.UnavailableError):
        await replica_client.write_segment(vms, "up-1", 2, [b"c"])


class Source:
    """A configuration with two engines."""

    def __init__(self) -> None:
        self.current = self
        self.endpoints = {name: self for name in "ab"}
        self.url = "http://127.0.0.1:1"

    def active_engines(self, _model: str) -> list[str]:
        return ["a", "b"]


async def test_crash_suspect_runs_exclusively() -> None:
    """Guards against items that fail because another crashes the engine."""
    source: Any = Source()
    endpoint_use = batch_tickets.EndpointUse()
    acquire = batch_tickets.at_random(source, endpoint_use, random.Random(1))
    seen: list[tuple[str, int, bool]] = []

    async def run(exclusive: bool) -> None:
        request = batch_tickets.BatchTicketRequest(
            "m", "o", "r", exclusive=exclusive
        )
        async with acquire(request) as ticket:
            await anyio.sleep(0)
            running = endpoint_use.running_items[ticket.endpoint]
            seen.append((ticket.endpoint, running, ticket.exclusive))
            await anyio.sleep(0)

    async with anyio.create_task_group() as task_group:
        for index in range(30):
            task_group.start_soon(run, index % 5 == 4)
    running_counts = [running for _, running, exclusive in seen if exclusive]
    assert running_counts == [1] * 6
    assert len(seen) == 30
    assert not endpoint_use.reserved
