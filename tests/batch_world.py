"""Stores, key-value service and owners in one process, step by step."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
import shutil
from typing import Any

import anyio
import msgspec

from ibisknot import errors
from ibisknot import items
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import ownership
from ibisknot import replicas
from ibisknot import runs
from ibisknot import segments
from ibisknot import store
from ibisknot import vmlist

PORT = 7002
SHARD = 0
SHARD_KEY = ownership.shard_key("jobs", SHARD)

Gate = Callable[[str], Awaitable[None]]


async def open_gate(_owner: str) -> None:
    """Lets every step pass at once."""


class KeyValue:
    """The key-value service, with compare-and-swap and lost answers."""

    def __init__(self) -> None:
        self.pairs: dict[str, keyvalue.Pair] = {}
        self.revision = 0
        self.lose_answers = 0
        self.before_write: Callable[[], None] = lambda: None

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.pairs[key] = keyvalue.Pair(key, value, self.revision)

    def holds(self, guard: keyvalue.Guard) -> bool:
        pair = self.pairs.get(guard.key)
        return (pair.revision if pair else 0) == guard.revision


class KeyValueClient:
    """One owner's connection to the key-value service."""

    def __init__(self, data: KeyValue, owner: str, gate: Gate) -> None:
        self.data = data
        self.owner = owner
        self.gate = gate

    async def get(self, key: str) -> keyvalue.Pair | None:
        await self.gate(self.owner)
        return self.data.pairs.get(key)

    async def transact(
        self,
        guards: list[keyvalue.Guard],
        puts: list[keyvalue.Put],
        *,
        deletes: list[str] | None = None,
    ) -> bool:
        await self.gate(self.owner)
        self.data.before_write()
        done = all(self.data.holds(guard) for guard in guards)
        if done:
            for put in puts:
                self.data.put(put.key, put.value)
            for key in deletes or []:
                self.data.pairs.pop(key, None)
        await self.gate(self.owner)
        if self.data.lose_answers:
            self.data.lose_answers -= 1
            raise errors.KeyValueUnknownError("answer lost")
        return done


class World:
    """Three stores with real files, and the platform's list."""

    def __init__(self, folder: pathlib.Path, *, stores: int = 3) -> None:
        self.folder = folder
        self.kv = KeyValue()
        self.services: dict[str, store.Service] = {}
        self.listed: dict[str, vmlist.ListedVm] = {}
        self.away: set[str] = set()
        self.lose_answers = 0
        for number in range(stores):
            name = f"vm-{number}"
            self.listed[name] = vmlist.ListedVm(
                name, f"dc-{number}", name, has_disk=True
            )
            self.start(name)

    @property
    def by_name(self) -> dict[str, vmlist.ListedVm]:
        return self.listed

    def store_vms(self) -> list[vmlist.ListedVm]:
        return list(self.listed.values())

    def start(self, name: str) -> None:
        kept = segments.SegmentStore(self.folder / name)
        self.services[name] = store.Service(kept)

    def empty_disk(self, name: str) -> None:
        shutil.rmtree(self.folder / name)
        self.start(name)

    def unlist(self, name: str) -> None:
        self.listed.pop(name, None)
        self.services.pop(name, None)

    def copies(
        self, owner: str, gate: Gate = open_gate
    ) -> replicas.ReplicaClient:
        peers: Any = Peers(self, owner, gate)
        view: Any = self
        return replicas.ReplicaClient(peers, view, port=PORT)

    def job(self) -> jobs.JobRecord:
        value = self.kv.pairs[jobs.job_key("batch-1")].value
        return msgspec.json.decode(value, type=jobs.JobRecord)

    def bodies(self, name: str) -> dict[int, bytes]:
        """Returns the results that a store holds."""
        service = self.services.get(name)
        if service is None or service.segment_store.missing_groups(["batch-1"]):
            return {}
        page = service.segment_store.read_results("batch-1", 0)
        return {result.index: result.body for result in page.results}

    def complete(self) -> dict[int, bytes]:
        """Returns the results that are on every copy of the record."""
        first, *others = [self.bodies(vm) for vm in self.job().replicas]
        return {
            index: body
            for index, body in first.items()
            if all(index in other for other in others)
        }


METHODS = {
    "segment_write": "write_segment",
    "segment_link": "link_segments",
    "segment_read": "read_segment",
    "segment_seal": "seal_group",
    "result_append": "append_results",
    "result_read": "read_results",
    "group_state": "group_state",
    "groups_missing": "missing_groups",
    "segment_delete": "delete_group",
}


@dataclasses.dataclass(slots=True)
class Peers:
    """One owner's calls to the stores."""

    world: World
    owner: str
    gate: Gate

    async def call(
        self,
        address: str,
        method: str,
        message: Any,
        _kind: Any = None,
        *,
        timeout_s: float = 0.0,
    ) -> Any:
        name = address.removesuffix(f":{PORT}")
        await self.gate(self.owner)
        service = self.world.services.get(name)
        if service is None or name in self.world.away:
            raise errors.PeerError(f"{name} is away")
        answer = await getattr(service, METHODS[method])(message)
        await self.gate(self.owner)
        if self.world.lose_answers and method == "result_append":
            self.world.lose_answers -= 1
            raise errors.PeerError(f"answer of {name} lost")
        return answer


def line(number: int) -> bytes:
    """Returns one line of a batch input file."""
    item = jobs.Item(f"item-{number}", "/v1/completions", {"model": "m"})
    return msgspec.json.encode(item)


async def accept(world: World, counts: list[int]) -> jobs.JobRecord:
    """Accepts a job on the first two stores."""
    job = jobs.JobRecord(
        id="batch-1",
        organisation="a",
        input_file_id="file-1",
        endpoint="/v1/completions",
        completion_window="1h",
        created_at=0,
        deadline_at=2**40,
        counts=counts,
        replicas=["vm-0", "vm-1"],
    )
    copies = world.copies("caller")
    for number, count in enumerate(counts):
        lines = [line(job.first(number) + place) for place in range(count)]
        await copies.write_segment(job.replicas, job.id, number, lines)
    world.kv.put(jobs.job_key(job.id), jobs.encode(job))
    return job


def take(world: World, owner: str, epoch: int) -> None:
    """Makes an owner the holder of the shard."""
    holder = ownership.Owner(owner, epoch)
    world.kv.put(SHARD_KEY, msgspec.json.encode(holder))


def make_run(
    world: World, owner: str, epoch: int, gate: Gate = open_gate
) -> tuple[runs.Run, Any]:
    """Returns an owner's run of the job and its key-value connection."""
    client = KeyValueClient(world.kv, owner, gate)

    async def guard() -> keyvalue.Guard:
        pair = await client.get(SHARD_KEY)
        mine = msgspec.json.encode(ownership.Owner(owner, epoch))
        if pair is None or pair.value != mine:
            raise errors.FencedError("another owner")
        return keyvalue.Guard(SHARD_KEY, pair.revision)

    return runs.Run(world.job(), SHARD, epoch, guard), client


async def run_items(run: runs.Run, owner: str) -> None:
    """Gives each item that is ready a result, until cancelled."""
    number = 0
    while True:
        while run.active and run.ready:
            work: items.Work = run.ready.popleft()
            number += 1
            body = f"{owner}/{run.epoch}/{work.index}/{number}".encode()
            runs.record(run, work, body, failed=False)
        await anyio.sleep(0)


async def own(
    world: World, owner: str, epoch: int, gate: Gate = open_gate
) -> None:
    """Runs the job as one owner, to its final record or its loss."""
    run, client = make_run(world, owner, epoch, gate)
    async with anyio.create_task_group() as group:
        group.start_soon(run_items, run, owner)
        await runs.execute(run, world.copies(owner, gate), client)
        group.cancel_scope.cancel()
