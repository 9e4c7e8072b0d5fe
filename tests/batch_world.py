"""Test fleet for batch jobs: stores, key-value service and owners.

All run in one process. Each call of an owner passes a gate, at which a test can
pause it.
"""

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
from ibisknot import job_run
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import ownership
from ibisknot import replicas
from ibisknot import segments
from ibisknot import store
from ibisknot import vmlist

PORT = 7002
SHARD = 0
SHARD_KEY = ownership.shard_key("jobs", SHARD)

Gate = Callable[[str], Awaitable[None]]
"""Called with the owner's name before and after each of its calls."""


async def open_gate(_owner: str) -> None:
    """Gate that never pauses a call."""


class KeyValueState:
    """State of the key-value service.

    Attributes:
        pairs: Key-value pairs by key.
        revision: Revision of the last write.
        answers_to_lose: Number of next writes whose response is lost.
        before_write: Called before each write of an owner.
    """

    def __init__(self) -> None:
        self.pairs: dict[str, keyvalue.Pair] = {}
        self.revision = 0
        self.answers_to_lose = 0
        self.before_write: Callable[[], None] = lambda: None

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.pairs[key] = keyvalue.Pair(key, value, self.revision)

    def is_met(self, guard: keyvalue.Guard) -> bool:
        pair = self.pairs.get(guard.key)
        return (pair.revision if pair else 0) == guard.revision


class KeyValueClient:
    """One owner's connection to the key-value service."""

    def __init__(self, state: KeyValueState, owner: str, gate: Gate) -> None:
        self.state = state
        self.owner = owner
        self.gate = gate

    async def get(self, key: str) -> keyvalue.Pair | None:
        await self.gate(self.owner)
        return self.state.pairs.get(key)

    async def transact(
        self,
        guards: list[keyvalue.Guard],
        puts: list[keyvalue.Put],
        *,
        deletes: list[str] | None = None,
    ) -> bool:
        await self.gate(self.owner)
        self.state.before_write()
        is_done = all(self.state.is_met(guard) for guard in guards)
        if is_done:
            for put in puts:
                self.state.put(put.key, put.value)
            for key in deletes or []:
                self.state.pairs.pop(key, None)
        await self.gate(self.owner)
        if self.state.answers_to_lose:
            self.state.answers_to_lose -= 1
            raise errors.KeyValueUnknownError("the response was lost")
        return is_done


class World:
    """Stores with real files, the key-value service and the list of VMs.

    Attributes:
        folder: Folder of the stores' files.
        key_value: State of the key-value service.
        services: Stores by VM name.
        listed: Listed VMs by name.
        unreachable: Names of VMs whose store does not respond.
        answers_to_lose: Number of next appends whose response is lost.
    """

    def __init__(self, folder: pathlib.Path, *, stores: int = 3) -> None:
        self.folder = folder
        self.key_value = KeyValueState()
        self.services: dict[str, store.Service] = {}
        self.listed: dict[str, vmlist.ListedVm] = {}
        self.unreachable: set[str] = set()
        self.answers_to_lose = 0
        for index in range(stores):
            name = f"vm-{index}"
            self.listed[name] = vmlist.ListedVm(
                name, f"dc-{index}", name, has_disk=True
            )
            self.start_store(name)

    @property
    def by_name(self) -> dict[str, vmlist.ListedVm]:
        return self.listed

    def store_vms(self) -> list[vmlist.ListedVm]:
        return list(self.listed.values())

    def start_store(self, name: str) -> None:
        segment_store = segments.SegmentStore(self.folder / name)
        self.services[name] = store.Service(segment_store)

    def empty_disk(self, name: str) -> None:
        shutil.rmtree(self.folder / name)
        self.start_store(name)

    def unlist(self, name: str) -> None:
        self.listed.pop(name, None)
        self.services.pop(name, None)

    def replica_client(
        self, owner: str, gate: Gate = open_gate
    ) -> replicas.ReplicaClient:
        peers: Any = Peers(self, owner, gate)
        view: Any = self
        return replicas.ReplicaClient(peers, view, port=PORT)

    def job_record(self) -> jobs.JobRecord:
        value = self.key_value.pairs[jobs.job_key("batch-1")].value
        return msgspec.json.decode(value, type=jobs.JobRecord)

    def result_bodies(self, name: str) -> dict[int, bytes]:
        """Returns the results in a VM's copy, by item index."""
        service = self.services.get(name)
        if service is None or service.segment_store.missing_groups(["batch-1"]):
            return {}
        page = service.segment_store.read_results("batch-1", 0)
        return {result.index: result.body for result in page.results}

    def complete_results(self) -> dict[int, bytes]:
        """Returns the results that are on every copy, by item index."""
        first, *others = [
            self.result_bodies(vm) for vm in self.job_record().replicas
        ]
        return {
            index: body
            for index, body in first.items()
            if all(index in other for other in others)
        }


STORE_METHODS = {
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
        if service is None or name in self.world.unreachable:
            raise errors.PeerError(f"{name} is unreachable")
        answer = await getattr(service, STORE_METHODS[method])(message)
        await self.gate(self.owner)
        if self.world.answers_to_lose and method == "result_append":
            self.world.answers_to_lose -= 1
            raise errors.PeerError(f"the response of {name} was lost")
        return answer


def input_line(index: int) -> bytes:
    """Returns one line of a batch input file."""
    item = jobs.Item(f"item-{index}", "/v1/completions", {"model": "m"})
    return msgspec.json.encode(item)


async def accept_job(world: World, counts: list[int]) -> jobs.JobRecord:
    """Records a job with its copies on the first two stores.

    Args:
        world: The test fleet.
        counts: Number of items in each segment.
    """
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
    replica_client = world.replica_client("caller")
    for segment_index, count in enumerate(counts):
        lines = [
            input_line(job.first_item_index(segment_index) + offset)
            for offset in range(count)
        ]
        await replica_client.write_segment(
            job.replicas, job.id, segment_index, lines
        )
    world.key_value.put(jobs.job_key(job.id), jobs.encode_record(job))
    return job


def set_owner(world: World, owner: str, epoch: int) -> None:
    """Records an owner of the shard."""
    record = ownership.Owner(owner, epoch)
    world.key_value.put(SHARD_KEY, msgspec.json.encode(record))


def make_run(
    world: World, owner: str, epoch: int, gate: Gate = open_gate
) -> tuple[job_run.JobRun, Any]:
    """Returns an owner's run of the job and its key-value connection."""
    client = KeyValueClient(world.key_value, owner, gate)

    async def make_guard() -> keyvalue.Guard:
        pair = await client.get(SHARD_KEY)
        own_record = msgspec.json.encode(ownership.Owner(owner, epoch))
        if pair is None or pair.value != own_record:
            raise errors.FencedError("another owner")
        return keyvalue.Guard(SHARD_KEY, pair.revision)

    return job_run.JobRun(world.job_record(), SHARD, epoch, make_guard), client


async def answer_items(run: job_run.JobRun, owner: str) -> None:
    """Records a result for each item that is ready, until cancelled."""
    count = 0
    while True:
        while run.may_start_items and run.ready:
            task: items.Task = run.ready.popleft()
            count += 1
            body = f"{owner}/{run.epoch}/{task.index}/{count}".encode()
            job_run.record_result(run, task, body, failed=False)
        await anyio.sleep(0)


async def run_owner(
    world: World, owner: str, epoch: int, gate: Gate = open_gate
) -> None:
    """Runs the job as one owner, until it ends or the shard is lost."""
    run, client = make_run(world, owner, epoch, gate)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(answer_items, run, owner)
        await job_run.execute(run, world.replica_client(owner, gate), client)
        task_group.cancel_scope.cancel()
