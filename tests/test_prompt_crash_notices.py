"""Processes tell each other which parts of prompts crash endpoints."""

import anyio
import crash_world
import pytest

from ibisknot import crash_confirmation
from ibisknot import prompt_crash_notices
from ibisknot import prompt_crash_records


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


def test_refusals_of_a_cut_link_are_no_crashes() -> None:
    """Guards against sound prompts that a gateway without links refuses."""

    async def is_path_lost(_address: str) -> bool:
        return True

    async def check(network: crash_world.Network) -> None:
        process = network.start("a")
        process.confirmation.is_path_lost = is_path_lost
        await _crash_endpoints(network, ["a"] * 6)
        assert (
            process.refused_parts((crash_world.SHARED, crash_world.BAD, 999))
            is None
        )
        process.confirmation.is_path_lost = None
        await _crash_endpoints(network, ["a"] * 6)
        assert (
            process.refused_parts((crash_world.SHARED, crash_world.BAD, 999))
            is not None
        )

    crash_world.run(check)


async def _crash_endpoints(
    network: crash_world.Network,
    reporters: list[str],
    part: int = crash_world.BAD,
) -> None:
    """Each reporter sees one endpoint crash."""
    address = await crash_world.closed_address()
    for index, reporter in enumerate(reporters):
        network.processes[reporter].confirmation.report_broken(
            crash_world.endpoint(index, address),
            index,
            crash_confirmation.Candidate(
                (crash_world.SHARED, part, 100 + index)
            ),
        )
        await crash_world.settle(network)
        network.clock.time_s += 1.0


def _is_refused(
    network: crash_world.Network, address: str, *parts: int
) -> bool:
    return network.processes[address].refused_parts(parts) is not None


def test_crashes_that_different_processes_see_add_up() -> None:
    """Guards against a part that crashes some endpoints for each process."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b", "c", "d"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "c"])
        for address in ("a", "b", "c", "d"):
            assert _is_refused(
                network, address, crash_world.SHARED, crash_world.BAD
            )
            assert not _is_refused(network, address, crash_world.SHARED)

    crash_world.run(check)


def test_answer_at_one_process_clears_a_part_at_all() -> None:
    """Guards against refusing a part that other processes see answered."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "c"])
        network.processes["b"].record_completion((crash_world.SHARED,))
        await crash_world.settle(network)
        for address in ("a", "b", "c"):
            assert _is_refused(network, address, crash_world.BAD)

    crash_world.run(check)


def test_process_that_starts_again_refuses_what_its_peers_refuse() -> None:
    """Guards against crashes that each restart costs."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "a"])
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        await network.processes["b"].compare(network.clock.now())
        started = network.start("a")
        assert not _is_refused(
            network, "a", crash_world.SHARED, crash_world.BAD
        )
        await started.compare(network.clock.now())
        assert _is_refused(network, "a", crash_world.SHARED, crash_world.BAD)

    crash_world.run(check)


def test_process_that_was_cut_off_hears_the_refusal_afterwards() -> None:
    """Guards against news that is lost with one message."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.cut_off = {"b"}
        await _crash_endpoints(network, ["a", "a", "a"])
        assert not _is_refused(
            network, "b", crash_world.SHARED, crash_world.BAD
        )
        network.cut_off.clear()
        await network.processes["b"].compare(network.clock.now())
        assert _is_refused(network, "b", crash_world.SHARED, crash_world.BAD)

    crash_world.run(check)


def test_peer_that_has_just_started_does_not_count_as_one_that_knows() -> None:
    """Guards against two processes that start together and ask each other."""

    async def check(network: crash_world.Network) -> None:
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

    crash_world.run(check)


def test_refusal_of_a_known_part_is_withdrawn() -> None:
    """Guards against a new process that refuses what others see answered."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        network.processes["b"].record_completion((crash_world.SHARED,))
        network.cut_off = {"b"}
        address = await crash_world.closed_address()
        for index in range(3):
            network.clock.time_s += 0.1
            if index == 2:
                network.cut_off.clear()
            network.processes["a"].confirmation.report_broken(
                crash_world.endpoint(index, address),
                index,
                crash_confirmation.Candidate((crash_world.SHARED,)),
            )
            await crash_world.settle(network)
        for process in ("a", "b", "c"):
            assert not _is_refused(network, process, crash_world.SHARED)
            assert (
                crash_world.SHARED in network.processes[process].history.known_s
            )

    crash_world.run(check)


def test_refusal_outlasts_a_restart_of_all_processes() -> None:
    """Guards against crashes that a restart of the whole fleet costs."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        await _crash_endpoints(network, ["a", "b", "a"])
        network.processes["b"].record_completion((crash_world.SHARED,))
        await crash_world.settle(network)
        network.processes.clear()
        network.clock.time_s += 5.0
        network.start("a")
        await crash_world.settle(network)
        assert _is_refused(network, "a", crash_world.BAD)
        assert not _is_refused(network, "a", crash_world.SHARED)
        network.clock.time_s += 60.0
        assert not _is_refused(network, "a", crash_world.BAD)

    crash_world.run(check)


def test_refusal_is_written_when_the_store_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal that only the processes' memory has."""
    monkeypatch.setattr(prompt_crash_records, "WRITE_PAUSE_S", 0.1)

    async def check(network: crash_world.Network) -> None:
        network.start("a")
        network.store.is_down = True
        await _crash_endpoints(network, ["a", "a", "a"])
        network.processes.clear()
        started = network.start("a")
        await started.compare(network.clock.now())
        assert not _is_refused(
            network, "a", crash_world.SHARED, crash_world.BAD
        )
        network.store.is_down = False
        while not network.store.stored:
            await anyio.sleep(0.01)
        await started.compare(network.clock.now())
        await crash_world.settle(network)
        assert _is_refused(network, "a", crash_world.SHARED, crash_world.BAD)

    crash_world.run(check)


def test_calm_fleet_exchanges_nothing() -> None:
    """Guards against messages that a fleet without crashes pays for."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        network.clock.time_s += prompt_crash_notices.SETTLING_S
        await crash_world.settle(network)
        # Processes that start ask each other.
        network.calls = 0
        for process in network.processes.values():
            await process.compare(network.clock.now())
            process.record_completion((crash_world.SHARED, 7), 1)
        await crash_world.settle(network)
        assert network.calls == 0

    crash_world.run(check)


def test_endpoint_that_still_listens_has_not_crashed() -> None:
    """Guards against counting lost answers and cut links as crashes."""

    async def check(network: crash_world.Network) -> None:
        process = network.start("a")
        async with await anyio.create_tcp_listener(
            local_host="127.0.0.1"
        ) as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            for index in range(4):
                process.confirmation.report_broken(
                    crash_world.endpoint(index, f"127.0.0.1:{port}"),
                    index,
                    crash_confirmation.Candidate((crash_world.BAD,)),
                )
                await crash_world.settle(network)
        assert not process.history.crashes

    crash_world.run(check)
