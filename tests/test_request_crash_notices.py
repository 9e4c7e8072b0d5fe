"""Processes tell each other which requests crash endpoints."""

import anyio
import crash_world
import pytest

from ibisknot import crash_confirmation
from ibisknot import prompt_crash_notices
from ibisknot.gen.fleet import ttypes

DEADLY = 77
"""Fingerprint of a request that crashes each endpoint that runs it."""


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


async def _crash_request(
    network: crash_world.Network,
    reporters: list[str],
    fingerprint: int = DEADLY,
) -> None:
    """The same request crashes an endpoint at each reporter."""
    address = await crash_world.closed_address()
    for reporter in reporters:
        network.crashed += 1
        network.processes[reporter].confirmation.report_broken(
            crash_world.endpoint(100 + network.crashed, address),
            fingerprint,
            crash_confirmation.Candidate((crash_world.SHARED,), "hash"),
        )
        await crash_world.settle(network)
        network.clock.time_s += 1.3


def _refusing(
    network: crash_world.Network, fingerprint: int = DEADLY
) -> list[str]:
    """Returns the processes that refuse a request."""
    return [
        address
        for address, process in network.processes.items()
        if process.is_request_refused(fingerprint)
    ]


async def _restart(network: crash_world.Network, *addresses: str) -> None:
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

    async def check(network: crash_world.Network) -> None:
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

    crash_world.run(check)


def test_two_requests_that_crash_endpoints_are_both_refused() -> None:
    """Guards against evidence that each of them casts doubt on."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b"):
            network.start(address)
        for _ in range(3):
            await _crash_request(network, ["a"], DEADLY)
            await _crash_request(network, ["b"], DEADLY + 1)
        assert len(_refusing(network, DEADLY)) == 2
        assert len(_refusing(network, DEADLY + 1)) == 2

    crash_world.run(check)


def test_process_that_was_out_of_touch_asks_what_it_has_missed() -> None:
    """Guards against a machine that comes back and crashes endpoints again.

    It has no news of its own, so that it would ask nobody.
    """

    async def check(network: crash_world.Network) -> None:
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

    crash_world.run(check)


def test_process_whose_peer_knows_more_asks() -> None:
    """Guards against news that one message has lost, without a partition."""

    async def check(network: crash_world.Network) -> None:
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

    crash_world.run(check)


def test_answered_request_is_cleared_everywhere() -> None:
    """Guards against a question of many callers that is refused for long."""

    async def check(network: crash_world.Network) -> None:
        for address in ("a", "b", "c"):
            network.start(address)
        await _crash_request(network, ["a", "b"])
        network.processes["c"].record_completion((crash_world.SHARED,), DEADLY)
        await crash_world.settle(network)
        network.clock.time_s += 1.0
        await _crash_request(network, ["a", "b"])
        assert _refusing(network) == []
        for process in network.processes.values():
            assert len(process.requests.crashes[DEADLY]) == 2

    crash_world.run(check)


def test_earlier_builds_are_understood_and_told() -> None:
    """Guards against crashes that only one of two builds knows.

    Earlier builds name requests as candidates with parts, and count notices.
    """

    async def check(network: crash_world.Network) -> None:
        process = network.start("a")
        for number in range(3):
            news = ttypes.PromptCrashNews(
                crashes=[
                    ttypes.EndpointCrash(
                        endpoint=f"e{number}/0",
                        age_s=float(number),
                        candidates=[
                            ttypes.CrashCandidate(DEADLY, [crash_world.BAD]),
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

    crash_world.run(check)


def test_start_without_peers_and_store_holds_requests_only_for_a_while() -> (
    None
):
    """Guards against a process that waits for ever for what others know."""

    async def check(network: crash_world.Network) -> None:
        network.store.is_down = True
        process = network.start("a")
        with anyio.fail_after(prompt_crash_notices.START_WAIT_S + 5.0):
            await process.wait_until_informed()
        assert not process.is_loaded

    crash_world.run(check)
