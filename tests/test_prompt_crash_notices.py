"""Processes tell each other which parts of prompts crash endpoints."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from anyio import abc
import fake_fleet
import fake_pairs_store
import pytest

from ibisknot import crash_confirmation
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


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


def _run(check: Callable[[Network], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            await check(Network(task_group))

    anyio.run(main)


def _endpoint(index: int, address: str) -> fleet_endpoint.Endpoint:
    return fleet_endpoint.Endpoint(
        f"e{index}", "s", address, "d", slots=8, leaving=False
    )


def test_refusals_of_a_cut_link_are_no_crashes() -> None:
    """Guards against sound prompts that a gateway without links refuses."""

    async def is_path_lost(_address: str) -> bool:
        return True

    async def check(network: Network) -> None:
        process = network.start("a")
        process.confirmation.is_path_lost = is_path_lost
        await _crash_endpoints(network, ["a"] * 6)
        assert process.refused_parts((SHARED, BAD, 999)) is None
        process.confirmation.is_path_lost = None
        await _crash_endpoints(network, ["a"] * 6)
        assert process.refused_parts((SHARED, BAD, 999)) is not None

    _run(check)


async def _closed_address() -> str:
    """Returns an address at which nothing listens."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return f"127.0.0.1:{port}"


async def _settle(network: Network) -> None:
    """Waits until all processes have told what they know."""
    while any(
        p.confirmation.collected or p.clearing
        for p in network.processes.values()
    ):
        await anyio.sleep(0.01)
    await anyio.wait_all_tasks_blocked()


async def _crash_endpoints(
    network: Network, reporters: list[str], part: int = BAD
) -> None:
    """Each reporter sees one endpoint crash."""
    address = await _closed_address()
    for index, reporter in enumerate(reporters):
        network.processes[reporter].confirmation.report_broken(
            _endpoint(index, address),
            index,
            crash_confirmation.Candidate((SHARED, part, 100 + index)),
        )
        await _settle(network)
        network.clock.time_s += 1.0


def _is_refused(network: Network, address: str, *parts: int) -> bool:
    return network.processes[address].refused_parts(parts) is not None


def test_crashes_that_different_processes_see_add_up() -> None:
    """Guards against a part that crashes some endpoints for each process."""

    async def check(network: Network) -> None:
        for address in ("a", "b", "c", "d"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "c"])
        for address in ("a", "b", "c", "d"):
            assert _is_refused(network, address, SHARED, BAD)
            assert not _is_refused(network, address, SHARED)

    _run(check)


def test_answer_at_one_process_clears_a_part_at_all() -> None:
    """Guards against refusing a part that other processes see answered."""

    async def check(network: Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "c"])
        network.processes["b"].record_completion((SHARED,))
        await _settle(network)
        for address in ("a", "b", "c"):
            assert _is_refused(network, address, BAD)

    _run(check)


def test_process_that_starts_again_refuses_what_its_peers_refuse() -> None:
    """Guards against crashes that each restart costs."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "a"])
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        await network.processes["b"].compare(network.clock.now())
        started = network.start("a")
        assert not _is_refused(network, "a", SHARED, BAD)
        await started.compare(network.clock.now())
        assert _is_refused(network, "a", SHARED, BAD)

    _run(check)


def test_process_that_was_cut_off_hears_the_refusal_afterwards() -> None:
    """Guards against news that is lost with one message."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.cut_off = {"b"}
        await _crash_endpoints(network, ["a", "a", "a"])
        assert not _is_refused(network, "b", SHARED, BAD)
        network.cut_off.clear()
        await network.processes["b"].compare(network.clock.now())
        assert _is_refused(network, "b", SHARED, BAD)

    _run(check)


def test_peer_that_has_just_started_does_not_count_as_one_that_knows() -> None:
    """Guards against two processes that start together and ask each other."""

    async def check(network: Network) -> None:
        first = network.start("a")
        second = network.start("b")
        await first.compare(network.clock.now())
        await second.compare(network.clock.now())
        assert not first.is_settled
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        await first.compare(network.clock.now())
        await second.compare(network.clock.now())
        assert first.is_settled
        assert second.is_settled

    _run(check)


def test_refusal_of_a_known_part_is_withdrawn() -> None:
    """Guards against a new process that refuses what others see answered."""

    async def check(network: Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        network.processes["b"].record_completion((SHARED,))
        network.cut_off = {"b"}
        address = await _closed_address()
        for index in range(3):
            network.clock.time_s += 0.1
            if index == 2:
                network.cut_off.clear()
            network.processes["a"].confirmation.report_broken(
                _endpoint(index, address),
                index,
                crash_confirmation.Candidate((SHARED,)),
            )
            await _settle(network)
        for process in ("a", "b", "c"):
            assert not _is_refused(network, process, SHARED)
            assert SHARED in network.processes[process].history.known_s

    _run(check)


def test_refusal_outlasts_a_restart_of_all_processes() -> None:
    """Guards against crashes that a restart of the whole fleet costs."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "a"])
        network.processes["b"].record_completion((SHARED,))
        await _settle(network)
        network.processes.clear()
        network.clock.time_s += 5.0
        network.start("a")
        await _settle(network)
        assert _is_refused(network, "a", BAD)
        assert not _is_refused(network, "a", SHARED)
        network.clock.time_s += 60.0
        assert not _is_refused(network, "a", BAD)

    _run(check)


def test_refusal_is_written_when_the_store_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal that only the processes' memory has."""
    monkeypatch.setattr(prompt_crash_records, "WRITE_PAUSE_S", 0.1)

    async def check(network: Network) -> None:
        network.start("a")
        network.store.is_down = True
        await _crash_endpoints(network, ["a", "a", "a"])
        network.processes.clear()
        started = network.start("a")
        await started.compare(network.clock.now())
        assert not _is_refused(network, "a", SHARED, BAD)
        network.store.is_down = False
        while not network.store.stored:
            await anyio.sleep(0.01)
        await started.compare(network.clock.now())
        await _settle(network)
        assert _is_refused(network, "a", SHARED, BAD)

    _run(check)


def test_calm_fleet_exchanges_nothing() -> None:
    """Guards against messages that a fleet without crashes pays for."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        await _settle(network)
        # Processes that start ask each other.
        network.calls = 0
        for process in network.processes.values():
            await process.compare(network.clock.now())
            process.record_completion((SHARED, 7), 1)
        await _settle(network)
        assert network.calls == 0

    _run(check)


def test_endpoint_that_still_listens_has_not_crashed() -> None:
    """Guards against counting lost answers and cut links as crashes."""

    async def check(network: Network) -> None:
        process = network.start("a")
        async with await anyio.create_tcp_listener(
            local_host="127.0.0.1"
        ) as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            for index in range(4):
                process.confirmation.report_broken(
                    _endpoint(index, f"127.0.0.1:{port}"),
                    index,
                    crash_confirmation.Candidate((BAD,)),
                )
                await _settle(network)
        assert not process.history.crashes

    _run(check)


DEADLY = 77
"""Fingerprint of a request that crashes each endpoint that runs it."""


async def _crash_request(
    network: Network, reporters: list[str], fingerprint: int = DEADLY
) -> None:
    """The same request crashes an endpoint at each reporter."""
    address = await _closed_address()
    for reporter in reporters:
        network.crashed += 1
        network.processes[reporter].confirmation.report_broken(
            _endpoint(100 + network.crashed, address),
            fingerprint,
            crash_confirmation.Candidate((SHARED,), "hash"),
        )
        await _settle(network)
        network.clock.time_s += 1.3


def _refusing(network: Network, fingerprint: int = DEADLY) -> list[str]:
    """Returns the processes that refuse a request."""
    return [
        address
        for address, process in network.processes.items()
        if process.is_request_refused(fingerprint)
    ]


async def _restart(network: Network, *addresses: str) -> None:
    """Kills processes together, and starts them again."""
    for address in addresses:
        del network.processes[address]
    for address in addresses:
        network.start(address)
    with anyio.fail_after(prompt_crash_notices.START_WAIT_S + 1.0):
        for address in addresses:
            await network.processes[address].wait_until_informed()


@pytest.mark.parametrize(
    "restarts",
    [
        [("a",), ("b",), ("c",)],
        [("a", "b")],
        [("a", "b"), ("c",)],
        [("a", "b", "c")],
        [("a", "b", "c"), ("b",), ("a", "c")],
    ],
    ids=str,
)
def test_restarted_processes_refuse_what_crashes_endpoints(
    restarts: list[tuple[str, ...]],
) -> None:
    """Guards against three more crashes that each restart costs.

    They know it before they send their first request.
    """

    async def check(network: Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        await _crash_request(network, ["a", "b", "a"])
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        for process in list(network.processes.values()):
            await process.compare(network.clock.now())
        for together in restarts:
            await _restart(network, *together)
            assert _refusing(network) == list(network.processes)
            network.clock.time_s += 1.0

    _run(check)


def test_two_requests_that_crash_endpoints_are_both_refused() -> None:
    """Guards against evidence that each of them casts doubt on."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        for _ in range(3):
            await _crash_request(network, ["a"], DEADLY)
            await _crash_request(network, ["b"], DEADLY + 1)
        assert len(_refusing(network, DEADLY)) == 2
        assert len(_refusing(network, DEADLY + 1)) == 2

    _run(check)


def test_process_that_was_out_of_touch_asks_what_it_has_missed() -> None:
    """Guards against a machine that comes back and crashes endpoints again.

    It has no news of its own, so that it would ask nobody.
    """

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        for process in network.processes.values():
            await process.compare(network.clock.now())
        network.cut_off = {"b"}
        await _crash_request(network, ["a", "a", "a"])
        cut = network.processes["b"]
        cut.is_in_touch = lambda: False
        await cut.compare(network.clock.now())
        network.cut_off.clear()
        cut.is_in_touch = lambda: True
        network.clock.time_s += 1.0
        await cut.compare(network.clock.now())
        assert _refusing(network) == ["a", "b"]

    _run(check)


def test_process_whose_peer_knows_more_asks() -> None:
    """Guards against news that one message has lost, without a partition."""

    async def check(network: Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        for process in network.processes.values():
            await process.compare(network.clock.now())
        network.cut_off = {"b"}
        await _crash_request(network, ["a", "a", "a"])
        network.cut_off.clear()
        await network.processes["a"].compare(network.clock.now())
        await network.processes["b"].compare(network.clock.now())
        assert _refusing(network) == ["a", "b"]

    _run(check)


def test_answered_request_is_cleared_everywhere() -> None:
    """Guards against a question of many callers that is refused for long."""

    async def check(network: Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        await _crash_request(network, ["a", "b"])
        network.processes["c"].record_completion((SHARED,), DEADLY)
        await _settle(network)
        network.clock.time_s += 1.0
        await _crash_request(network, ["a", "b"])
        assert _refusing(network) == []
        for process in network.processes.values():
            assert len(process.requests.crashes[DEADLY]) == 2

    _run(check)


def test_earlier_builds_are_understood_and_told() -> None:
    """Guards against crashes that only one of two builds knows.

    Earlier builds name requests as candidates with parts, and count notices.
    """

    async def check(network: Network) -> None:
        process = network.start("a")
        for number in range(3):
            news = ttypes.PromptCrashNews(
                crashes=[
                    ttypes.EndpointCrash(
                        endpoint=f"e{number}/0",
                        age_s=float(number),
                        candidates=[
                            ttypes.CrashCandidate(DEADLY, [BAD]),
                            ttypes.CrashCandidate(DEADLY + 1, []),
                        ],
                    )
                ],
                completions=[],
                refusals=[],
            )
            await process.on_news(news)
        assert _refusing(network) == ["a"]
        assert _refusing(network, DEADLY + 1) == []
        network.start("b")
        await _crash_request(network, ["a"], DEADLY + 2)
        (notice,) = network.earlier
        assert notice.fingerprint == "hash"

    _run(check)


def test_start_without_peers_and_store_holds_requests_only_for_a_while() -> (
    None
):
    """Guards against a process that waits for ever for what others know."""

    async def check(network: Network) -> None:
        network.store.is_down = True
        process = network.start("a")
        with anyio.fail_after(prompt_crash_notices.START_WAIT_S + 5.0):
            await process.wait_until_informed()
        assert not process.is_loaded

    _run(check)
