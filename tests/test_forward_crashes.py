"""Forwarding of requests that crash endpoints, and of those that do not."""

import contextlib

import anyio
import pytest
import scripted

from ibisknot import crash_confirmation
from ibisknot import errors
from ibisknot import request_crashes


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


@pytest.mark.parametrize("has_output", [False, True])
@pytest.mark.parametrize("resumable", [False, True])
def test_request_that_crashes_several_endpoints_is_refused(
    resumable: bool, has_output: bool
) -> None:
    """Guards against a request whose resends crash one engine after another."""
    endpoints = _crashing_endpoints(6, has_output=has_output)

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        statuses = []
        for _ in range(5):
            try:
                statuses.append((await scripted.send_request(address))[0])
            except errors.EndpointError:
                statuses.append(0)
            await _confirm_crashes(tickets)
        assert statuses[3:] == [503, 503]
        assert sum(len(e.received_heads) for e in endpoints) == 3

    scripted.run_forwarder(
        endpoints,
        scripted.make_route(resumable=resumable, max_attempts=1),
        check,
    )


def test_failed_attempts_at_living_endpoints_refuse_no_request() -> None:
    """Guards against a caller who is refused for answers that were cut.

    Endpoints that live have not crashed, whatever they have answered.
    """
    endpoints = [
        scripted.ScriptedEndpoint(f"e{n}", [script, script])
        for n, script in enumerate(
            [
                scripted.close_connection,
                scripted.script_bytes(b"HTTP/1.1 000 ?\r\n\r\n", closes=True),
                scripted.script_bytes(b"not an answer", closes=True),
                scripted.script_stream(b"id: 1\nda", ends=False),
            ]
        )
    ]
    sound = scripted.ScriptedEndpoint(
        "sound", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        for _ in endpoints:
            with contextlib.suppress(errors.EndpointError):
                await scripted.send_request(address)
            await _confirm_crashes(tickets)
        assert (await scripted.send_request(address))[0] == 200

    scripted.run_forwarder(
        [*endpoints, sound], scripted.make_route(max_attempts=1), check
    )


def test_process_that_starts_sends_nothing_before_it_is_informed() -> None:
    """Guards against a crash that others could have warned of."""
    endpoints = _crashing_endpoints(4)

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        notices = tickets.prompt_crashes
        assert notices is not None
        for _ in range(3):
            with contextlib.suppress(errors.EndpointError):
                await scripted.send_request(address)
            await _confirm_crashes(tickets)
        known, notices.requests = notices.requests, request_crashes.History()
        notices.is_learning = True
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(scripted.send_request, address)
            await anyio.sleep(0.1)
            notices.requests = known
            notices._end_learning()
        assert sum(len(e.received_heads) for e in endpoints) == 3

    scripted.run_forwarder(
        endpoints, scripted.make_route(max_attempts=1), check
    )


def test_request_that_ran_before_its_refusal_gets_no_503() -> None:
    """Guards against a refusal that denies the runs of the same request."""
    endpoints = [scripted.ScriptedEndpoint(f"e{n}", []) for n in range(6)]
    for endpoint in endpoints:
        endpoint.scripts.append(endpoint.close)

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502
        assert sum(len(e.received_heads) for e in endpoints) == 3

    scripted.run_forwarder(
        endpoints, scripted.make_route(max_attempts=5), check
    )


async def _confirm_crashes(tickets: scripted.ScriptedTickets) -> None:
    """Waits until the forwarder has judged all broken responses."""
    assert tickets.prompt_crashes is not None
    while tickets.prompt_crashes.confirmation.collected:
        await anyio.sleep(0.01)


def _crashing_endpoints(
    count: int, *, has_output: bool = False
) -> list[scripted.ScriptedEndpoint]:
    endpoints = []
    for index in range(count):
        endpoint = scripted.ScriptedEndpoint(f"e{index}", [])
        endpoint.scripts.append(
            endpoint.crash_with_output if has_output else endpoint.crash
        )
        endpoints.append(endpoint)
    return endpoints


def test_prompt_part_that_crashes_endpoints_is_refused() -> None:
    """Guards against new requests that crash one endpoint after another."""
    endpoints = _crashing_endpoints(9)
    sound = scripted.ScriptedEndpoint(
        "sound", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        for index in range(8):
            prompt = f"a:9,b{index}:9,bad:9,own{index}:9".encode()
            try:
                await scripted.send_request(
                    address,
                    f"body {index}".encode(),
                    headers=[(b"X-Ibisknot-Prompt-Prefix", prompt)],
                )
            except errors.EndpointError:
                pass
            await _confirm_crashes(tickets)
        assert sum(len(e.received_heads) for e in endpoints) <= 5
        tickets.remaining = [sound]
        status, _ = await scripted.send_request(
            address,
            b"another",
            headers=[(b"X-Ibisknot-Prompt-Prefix", b"a:9,b1:9,own:9")],
        )
        assert status == 200

    scripted.run_forwarder(
        [*endpoints, sound],
        scripted.make_route(resumable=False, max_attempts=1),
        check,
    )


def test_sound_part_is_not_refused_for_lost_answers() -> None:
    """Guards against refusing parts because answers of live endpoints break."""
    endpoints = [
        scripted.ScriptedEndpoint(
            f"e{n}", [scripted.close_connection, scripted.close_connection]
        )
        for n in range(6)
    ]

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        statuses = []
        for index in range(6):
            status, _ = await scripted.send_request(
                address,
                f"body {index}".encode(),
                headers=[(b"X-Ibisknot-Prompt-Prefix", b"a:9,b:9,own:9")],
            )
            statuses.append(status)
            await _confirm_crashes(tickets)
        assert statuses == [502] * 6

    scripted.run_forwarder(
        endpoints, scripted.make_route(resumable=False, max_attempts=1), check
    )


def test_request_is_not_sent_when_its_part_is_refused_while_it_waits() -> None:
    """Guards against sending what was queued before the refusal."""
    endpoints = _crashing_endpoints(6)

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        async def send(index: int) -> None:
            try:
                await scripted.send_request(
                    address,
                    f"body {index}".encode(),
                    headers=[(b"X-Ibisknot-Prompt-Prefix", b"bad:9,own:9")],
                )
            except errors.EndpointError:
                pass

        opened = anyio.Event()
        opened.set()
        gate = anyio.Event()
        tickets.gates = [opened, opened, opened, gate, gate, gate]
        async with anyio.create_task_group() as task_group:
            for index in range(6):
                task_group.start_soon(send, index)
            assert tickets.prompt_crashes is not None
            while not tickets.prompt_crashes.history.refusals:
                await anyio.sleep(0.01)
            gate.set()
        assert sum(len(e.received_heads) for e in endpoints) == 3

    scripted.run_forwarder(
        endpoints, scripted.make_route(resumable=False), check
    )
