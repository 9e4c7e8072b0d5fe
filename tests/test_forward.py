"""Forwarding: retries, resumed streams and statuses of failed requests."""

import anyio
from anyio import abc
import pytest
import scripted

from ibisknot import crash_confirmation
from ibisknot import errors
from ibisknot import http_response


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


def test_resumed_stream_drops_an_incomplete_event() -> None:
    """Guards against joining data of two endpoints in one event.

    The first endpoint fails within an event; the second sends it again.
    """
    first = scripted.ScriptedEndpoint(
        "e1",
        [
            scripted.script_stream(
                scripted.encode_event(1, "a") + b"id: 2\ndat", ends=False
            )
        ],
    )
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(2, "b"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert status == 200
        assert body == scripted.encode_event(1, "a") + scripted.encode_event(
            2, "b"
        )
        assert b"last-event-id: 1" in second.received_heads[0].lower()

    scripted.run_forwarder([first, second], scripted.make_route(), check)


def test_stream_that_is_not_resumable_is_truncated() -> None:
    """Guards against a second run, and truncation that is not visible."""
    first = scripted.ScriptedEndpoint(
        "e1",
        [scripted.script_stream(scripted.encode_event(1, "a"), ends=False)],
    )
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(2, "b"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)
        assert second.received_heads == []

    scripted.run_forwarder(
        [first, second], scripted.make_route(resumable=False), check
    )


def test_request_that_may_have_run_gets_no_503() -> None:
    """Guards against a 503, which states that a request has not run."""
    first = scripted.ScriptedEndpoint("e1", [scripted.close_connection])
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502
        assert second.received_heads == []

    scripted.run_forwarder(
        [first, second], scripted.make_route(resumable=False), check
    )


def test_request_refused_by_an_endpoint_is_sent_to_another() -> None:
    """Guards against failing a request that no endpoint has run."""
    refusal = (
        b"HTTP/1.1 503 Busy\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    first = scripted.ScriptedEndpoint("e1", [scripted.script_bytes(refusal)])
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, scripted.encode_event(1, "a"))

    scripted.run_forwarder(
        [first, second],
        scripted.make_route(resumable=False, max_attempts=1),
        check,
    )


def test_late_response_to_an_earlier_request_is_skipped() -> None:
    """Guards against relaying a response that belongs to another request."""
    stale = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r0\r\n"
        b"X-Ibisknot-Response-Stamp: s\r\n"
        b"Content-Length: 5\r\n\r\nstale"
    )
    own = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Response-Stamp: s\r\n"
        b"Content-Length: 3\r\n\r\nown"
    )
    first = scripted.ScriptedEndpoint(
        "e1", [scripted.script_bytes(stale + own)]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        assert await scripted.send_request(address) == (200, b"own")

    scripted.run_forwarder([first], scripted.make_route(resumable=False), check)


def test_error_of_an_endpoint_is_relayed_unchanged() -> None:
    """Guards against replacing the status and body of an endpoint's error."""
    failure = (
        b"HTTP/1.1 500 Oops\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
    )
    first = scripted.ScriptedEndpoint("e1", [scripted.script_bytes(failure)])

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        assert await scripted.send_request(address) == (500, b"no")
        assert tickets.outcomes == ["failed"]

    scripted.run_forwarder([first], scripted.make_route(resumable=False), check)


CLOSING_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
    b"X-Ibisknot-Response-Stamp: s\r\n"
    b"Content-Type: text/event-stream; charset=utf-8\r\n"
)


@pytest.mark.parametrize("resumable", [False, True])
def test_stream_without_length_is_complete_at_the_end_of_an_event(
    resumable: bool,
) -> None:
    """Guards against failing a stream that ends with its connection."""
    event = scripted.encode_event(1, "a")
    endpoint = scripted.ScriptedEndpoint(
        "e1",
        [scripted.script_bytes(CLOSING_HEAD + b"\r\n" + event, closes=True)],
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, event)

    scripted.run_forwarder(
        [endpoint], scripted.make_route(resumable=resumable), check
    )


@pytest.mark.parametrize("has_length", [False, True])
def test_stream_that_ends_within_an_event_does_not_look_complete(
    has_length: bool,
) -> None:
    """Guards against half an event that reaches the caller as success."""
    data = scripted.encode_event(1, "a") + b"id: 2\ndat"
    length = f"Content-Length: {len(data)}\r\n".encode() * has_length
    endpoint = scripted.ScriptedEndpoint(
        "e1",
        [
            scripted.script_bytes(
                CLOSING_HEAD + length + b"\r\n" + data, closes=True
            )
        ],
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)

    scripted.run_forwarder(
        [endpoint], scripted.make_route(resumable=False), check
    )


def test_response_shorter_than_its_stated_length_is_incomplete() -> None:
    """Guards against relaying a truncated body as complete."""
    head = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Response-Stamp: s\r\n"
        b"Content-Length: 10\r\n\r\nhalf"
    )
    first = scripted.ScriptedEndpoint(
        "e1", [scripted.script_bytes(head, closes=True)]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)
        assert len(first.received_heads) == 1

    scripted.run_forwarder([first], scripted.make_route(resumable=False), check)


def _script_paced(
    *pieces: bytes, pause_s: float, head: bytes = scripted.STREAM_HEAD
) -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        try:
            await stream.send(head)
            for piece in pieces:
                await anyio.sleep(pause_s)
                await stream.send(scripted.encode_chunk(piece))
            await stream.send(scripted.STREAM_END)
        except anyio.BrokenResourceError:
            # The forwarder has given this endpoint up.
            return

    return script


def test_stream_that_sends_no_events_goes_on_at_another_endpoint() -> None:
    """Guards against a stalled stream that single bytes keep alive."""
    event = scripted.encode_event(1, "a")
    trickle = [event] + [b":"] * 200
    first = scripted.ScriptedEndpoint(
        "e1", [_script_paced(*trickle, pause_s=0.05)]
    )
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(2, "b"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, event + scripted.encode_event(2, "b"))

    scripted.run_forwarder([first, second], scripted.make_route(), check)


@pytest.mark.parametrize("event_gap_target_s", [0.4, 1.5])
def test_slow_stream_is_not_cut(event_gap_target_s: float) -> None:
    """Guards against sound streams that are cut because they are slow.

    A pause may be intended, and a sound endpoint may be silent for a second.
    """
    events = [scripted.encode_event(n, "a") for n in (1, 2)]
    first = scripted.ScriptedEndpoint(
        "e1", [_script_paced(*events, pause_s=1.3)]
    )
    second = scripted.ScriptedEndpoint("e2", [scripted.close_connection])

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        assert await scripted.send_request(address) == (200, b"".join(events))
        assert second.received_heads == []

    scripted.run_forwarder(
        [first, second],
        scripted.make_route(event_gap_target_s=event_gap_target_s),
        check,
    )


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Line: ",
        b"no answer at all ",
    ],
    ids=["informational", "late body", "head", "no HTTP"],
)
def test_endless_bytes_end_the_attempt(head: bytes) -> None:
    """Guards against memory and time for an answer that never comes."""
    sent_bytes = [0]

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        data = head * (1 + 16_384 // len(head))
        try:
            await stream.send(head)
            while True:
                await stream.send(data)
                sent_bytes[0] += len(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    first = scripted.ScriptedEndpoint("e1", [script])
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, scripted.encode_event(1, "a"))
        # What the connection's buffers hold comes on top of the limit.
        limit = http_response.MAX_SKIPPED_BYTES + 16 * 1024 * 1024
        assert sent_bytes[0] <= limit

    scripted.run_forwarder([first, second], scripted.make_route(), check)


def test_endless_event_ends_the_attempt() -> None:
    """Guards against memory for an event whose end never comes."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        try:
            await stream.send(scripted.STREAM_HEAD)
            while True:
                await stream.send(scripted.encode_chunk(b"x" * 16_384))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    first = scripted.ScriptedEndpoint("e1", [script])
    second = scripted.ScriptedEndpoint(
        "e2", [scripted.script_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, scripted.encode_event(1, "a"))

    scripted.run_forwarder([first, second], scripted.make_route(), check)
