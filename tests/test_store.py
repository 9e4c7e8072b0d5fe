"""The store's service and the choice of places for items."""

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


def message(index: int, epoch: int = 1) -> ttypes.ResultAppend:
    result = ttypes.Result(index=index, body=b"r", failed=False)
    return ttypes.ResultAppend(group="g", epoch=epoch, results=[result])


async def test_waiting_appends_share_an_fsync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an fsync for each append, and against a lost one."""
    kept = segments.SegmentStore(tmp_path)
    kept.write_segment("g", 0, [b"a"])
    kept.seal_group("g", 1)
    service = store.Service(kept)
    count = [0]
    sync = os.fsync

    def counted(descriptor: int) -> None:
        count[0] += 1
        sync(descriptor)

    monkeypatch.setattr(os, "fsync", counted)
    refused: list[errors.IbisknotError] = []

    async def append(index: int, epoch: int) -> None:
        try:
            await service.append_results(message(index, epoch))
        except errors.FencedError as error:
            refused.append(error)

    async with anyio.create_task_group() as group:
        for index in range(50):
            group.start_soon(append, index, 1)
        group.start_soon(append, 50, 2)
    found = segments.SegmentStore(tmp_path).read_results("g", 0).results
    assert [r.index for r in found] == list(range(50))
    assert len(refused) == 1
    assert count[0] < 10
    assert service.group_locks == service.pending_appends == {}


async def test_failing_store_is_replaced_in_an_upload(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a second copy that lacks the earlier segments."""
    world = batch_world.World(tmp_path)
    copies = world.copies("caller")
    names = await copies.write_segment(["vm-0", "vm-1"], "up-1", 0, [b"a"])
    world.away = {"vm-1"}
    names = await copies.write_segment(names, "up-1", 1, [b"b"])
    assert names == ["vm-0", "vm-2"]
    for name in names:
        assert world.services[name].segment_store.read_segment("up-1", 0) == [
            b"a"
        ]
        assert world.services[name].segment_store.read_segment("up-1", 1) == [
            b"b"
        ]
    world.away = {"vm-1", "vm-2"}
    with pytest.raises(errors.UnavailableError):
        await copies.write_segment(names, "up-1", 2, [b"c"])


class Source:
    """A configuration with two engines."""

    def __init__(self) -> None:
        self.current = self
        self.endpoints = {name: self for name in "ab"}
        self.url = "http://127.0.0.1:1"

    def engines(self, _model: str) -> list[str]:
        return ["a", "b"]


async def test_suspect_item_runs_alone() -> None:
    """Guards against items lost to a neighbour that crashes the engine."""
    source: Any = Source()
    lanes = batch_tickets.EndpointUse()
    acquire = batch_tickets.at_random(source, lanes, random.Random(1))
    seen: list[tuple[str, int, bool]] = []

    async def run(alone: bool) -> None:
        ask = batch_tickets.BatchTicketRequest("m", "o", "r", exclusive=alone)
        async with acquire(ask) as place:
            await anyio.sleep(0)
            flying = lanes.running_items[place.endpoint]
            seen.append((place.endpoint, flying, place.exclusive))
            await anyio.sleep(0)

    async with anyio.create_task_group() as group:
        for number in range(30):
            group.start_soon(run, number % 5 == 4)
    alone = [flying for _, flying, apart in seen if apart]
    assert alone == [1] * 6
    assert len(seen) == 30
    assert not lanes.reserved
