"""Processes that tell each other of crashes, without sockets."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from anyio import abc
import fake_fleet
import fake_pairs_store

from ibisknot import earlier_crash_notices
from ibisknot import errors
from ibisknot import fleet_endpoint
from ibisknot import peer
from ibisknot import prompt_crash_notices
from ibisknot import prompt_crash_records
from ibisknot.gen.fleet import ttypes

SHARED, BAD = 1, 2


class Network:
    """Processes that reach each other without sockets.

    Attributes:
        processes: The processes by address.
        cut_off: Addresses that cannot be reached.
        calls: Number of calls.
        earlier: Messages for processes of earlier builds.
        crashed: Number of endpoints that have crashed.
        clock: The clock of all processes.
        store: The key-value service of all processes.
    """

    def __init__(self, task_group: abc.TaskGroup) -> None:
        self.task_group = task_group
        self.processes: dict[str, prompt_crash_notices.Notices] = {}
        self.cut_off: set[str] = set()
        self.calls = 0
        self.earlier: list[Any] = []
        self.crashed = 0
        self.clock = fake_fleet.Clock()
        self.store = fake_pairs_store.FakeStore()

    def start(self, address: str) -> prompt_crash_notices.Notices:
        """Starts a process, or starts it anew without what it knew."""
        process = prompt_crash_notices.Notices(
            self,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.task_group,
            lambda: [a for a in self.processes if a != address],
            prompt_crash_records.Records(
                self.store, self.clock.now, unix_time=self.clock.now
            ),
        )
        process.start(peer.Server())
        self.processes[address] = process
        return process

    async def call(
        self, address: str, method: str, message: Any, *_: Any, **__: Any
    ) -> Any:
        """Delivers a message as it is encoded."""
        self.calls += 1
        if address in self.cut_off:
            raise errors.PeerError(f"{address} does not answer")
        received = peer.decode(peer.encode(message), type(message))
        process = self.processes[address]
        if method == earlier_crash_notices.METHOD:
            self.earlier.append(received)
            return None
        if method == "prompt_crash_news":
            answer = await process.on_news(received)
        else:
            answer = await process.on_request(received)
        return peer.decode(peer.encode(answer), ttypes.PromptCrashNews)


def run(check: Callable[[Network], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            await check(Network(task_group))

    anyio.run(main)


def endpoint(index: int, address: str) -> fleet_endpoint.Endpoint:
    return fleet_endpoint.Endpoint(
        f"e{index}", "s", address, "d", slots=8, leaving=False
    )


async def closed_address() -> str:
    """Returns an address at which nothing listens."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return f"127.0.0.1:{port}"


async def settle(network: Network) -> None:
    """Waits until all processes have told what they know."""
    while any(
        p.confirmation.collected or p.clearing
        for p in network.processes.values()
    ):
        await anyio.sleep(0.01)
    await anyio.wait_all_tasks_blocked()
