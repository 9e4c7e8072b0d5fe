"""Forwarding of streams: what may continue a stream that has begun."""

from anyio import abc
import pytest
import scripted

from ibisknot import crash_confirmation
from ibisknot import errors
from ibisknot import http_response
from ibisknot import stream_origins


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets a busy machine take its time to refuse a connection."""
    monkeypatch.setattr(crash_confirmation, "CONNECT_TIMEOUT_S", 30.0)


RESUMED = [(b"Last-Event-Id", b"1"), (b"Resumes", b"r0")]
"""Headers of a caller that has had the first event of the stream `r0`."""


def _endpoint(
    name: str, *scripts: scripted.Script, version: str = "v1"
) -> scripted.ScriptedEndpoint:
    return scripted.ScriptedEndpoint(
        name, list(scripts), software_version=version
    )


MAX_FLOOD_BYTES = 8 * http_response.MAX_USELESS_BYTES
"""What a flood may send, with what the sockets' buffers take."""


@pytest.mark.parametrize("data", scripted.FLOODS)
def test_flood_without_progress_does_not_keep_a_stream(data: bytes) -> None:
    """Guards against answers that hold up a gateway until the deadline.

    The stream goes on at another endpoint after what it has had.
    """
    flood = scripted.Flood(data, first=scripted.encode_event(7, "x"))
    rest = scripted.script_stream(scripted.encode_event(8, "y"))
    endpoints = [_endpoint("e1", flood), _endpoint("e2", rest)]

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert status == 200
        assert body.startswith(scripted.encode_event(7, "x"))
        assert body.endswith(scripted.encode_event(8, "y"))
        assert body.count(b"id: ") == 2

    scripted.run_forwarder(endpoints, scripted.make_route(), check)
    assert flood.sent_bytes <= MAX_FLOOD_BYTES


@pytest.mark.parametrize("data", scripted.FLOODS)
def test_flood_in_the_last_attempt_is_broken_off(data: bytes) -> None:
    """Guards against an answer of nothing that lasts until the deadline.

    The last attempt has no time without progress.
    """
    flood = scripted.Flood(data)

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)

    scripted.run_forwarder(
        [_endpoint("e1", flood)], scripted.make_route(max_attempts=1), check
    )
    assert flood.sent_bytes <= MAX_FLOOD_BYTES


def test_blank_events_do_not_bind_a_stream_to_a_software_version() -> None:
    """Guards against a stream that waits for a version that began nothing."""
    flood = scripted.Flood(b"\n\n")
    rest = scripted.script_stream(scripted.encode_event(1, "a"))
    endpoints = [
        _endpoint("e1", flood, version="v1"),
        _endpoint("e2", rest, version="v2"),
    ]

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert status == 200
        assert body.endswith(scripted.encode_event(1, "a"))

    scripted.run_forwarder(endpoints, scripted.make_route(), check)


def test_stream_that_a_caller_resumes_goes_on_at_its_software() -> None:
    """Guards against text that is joined over a caller's requests."""
    cut = scripted.script_stream(scripted.encode_event(2, "b"), ends=False)
    rest = scripted.script_stream(scripted.encode_event(3, "c"))
    endpoints = [
        _endpoint("e1", version="v1"),
        _endpoint("e2", cut, version="v2"),
        _endpoint("e3", version="v3"),
        _endpoint("e4", rest, version="v2"),
    ]

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        tickets.origins["r0"] = stream_origins.Origin("s", "v2", 1)
        status, body = await scripted.send_request(address, headers=RESUMED)
        assert status == 200
        assert body.count(b"data: ") == 2
        assert [r.stream_id for r in tickets.requests] == ["r0", "r0"]
        assert [r.software_version for r in tickets.requests] == ["v2", "v2"]

    scripted.run_forwarder(endpoints, scripted.make_route(), check)


def test_stream_of_unknown_software_is_refused_as_not_run() -> None:
    """Guards against a guess, and against a refusal that comes late."""
    endpoint = _endpoint("e1")

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address, headers=RESUMED)
        assert status == 503
        assert tickets.requests == []
        assert endpoint.received_heads == []

    scripted.run_forwarder([endpoint], scripted.make_route(), check)


def test_stream_of_a_service_that_the_route_has_left_is_refused() -> None:
    """Guards against an answer that is joined from two services."""

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        tickets.origins["r0"] = stream_origins.Origin("moved", "v1", 1)
        status, _ = await scripted.send_request(address, headers=RESUMED)
        assert status == 503
        assert tickets.requests == []

    scripted.run_forwarder([_endpoint("e1")], scripted.make_route(), check)


def test_stream_may_begin_at_other_software_before_its_first_event() -> None:
    """Guards against a caller that waits for software it has nothing of."""
    second = _endpoint(
        "e2",
        scripted.script_stream(scripted.encode_event(1, "a")),
        version="v2",
    )

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 200
        assert [r.attempt for r in tickets.requests] == [0, 1]

    scripted.run_forwarder(
        [_endpoint("e1", scripted.close_connection), second],
        scripted.make_route(),
        check,
    )


def test_request_that_has_run_and_finds_no_endpoint_gets_no_503() -> None:
    """Guards against a refusal as not run after an attempt that ran."""

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502

    scripted.run_forwarder(
        [_endpoint("e1", scripted.close_connection)],
        scripted.make_route(),
        check,
    )


ERROR_HEAD = (
    b"HTTP/1.1 %s Late\r\nX-Ibisknot-Request-Id: r1\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 10\r\n\r\ntext here\n"
)


@pytest.mark.parametrize("status", [b"400", b"404", b"422", b"500", b"206"])
def test_error_of_a_later_attempt_is_not_joined_to_the_stream(
    status: bytes,
) -> None:
    """Guards against an error's text in a stream that then looks complete."""
    cut = scripted.script_stream(scripted.encode_event(1, "a"), ends=False)
    endpoints = [
        _endpoint("e1", cut),
        _endpoint("e2", scripted.script_bytes(ERROR_HEAD % status)),
    ]

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)

    scripted.run_forwarder(endpoints, scripted.make_route(), check)


def test_stream_goes_on_elsewhere_after_the_error_of_an_attempt() -> None:
    """Guards against a stream that is given up with attempts left."""
    cut = scripted.script_stream(scripted.encode_event(1, "a"), ends=False)
    rest = scripted.script_stream(scripted.encode_event(2, "b"))
    endpoints = [
        _endpoint("e1", cut),
        _endpoint("e2", scripted.script_bytes(ERROR_HEAD % b"404")),
        _endpoint("e3", rest),
    ]

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        _, body = await scripted.send_request(address)
        assert body.count(b"data: ") == 2

    scripted.run_forwarder(
        endpoints, scripted.make_route(max_attempts=3), check
    )


@pytest.mark.parametrize(
    "noise",
    [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"overloaded, try again\n\n",
        b'{"error": "overloaded"}\n\n',
        scripted.encode_event(4, "a gap before it"),
    ],
    ids=["head", "text", "json", "gap"],
)
def test_bytes_that_are_no_event_end_the_attempt(noise: bytes) -> None:
    """Guards against an error's head or text in the middle of a stream."""
    spoiled = scripted.script_stream(scripted.encode_event(1, "a"), noise)
    rest = scripted.script_stream(scripted.encode_event(2, "b"))
    endpoints = [_endpoint("e1", spoiled), _endpoint("e2", rest)]

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        _, body = await scripted.send_request(address)
        assert body == scripted.encode_event(1, "a") + scripted.encode_event(
            2, "b"
        )

    scripted.run_forwarder(endpoints, scripted.make_route(), check)


REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Ibisknot-Request-Id: r1\r\n"
    b"X-Ibisknot-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)


def test_late_copy_of_a_refusal_is_not_taken_for_a_later_attempt() -> None:
    """Guards against a refusal as not run of a request that runs.

    Both attempts are made at one endpoint. It writes the first refusal once
    more while it runs the request.
    """
    ran: list[bytes] = []

    async def run_after_late_copy(
        stream: abc.SocketStream, head: bytes
    ) -> None:
        ran.append(head)
        if len(endpoint.connections) == 1:
            await stream.send(REFUSAL)
        await stream.send(scripted.STREAM_HEAD)
        await stream.send(
            scripted.encode_chunk(scripted.encode_event(1, "a"))
            + scripted.STREAM_END
        )

    endpoint = _endpoint(
        "e1", scripted.script_bytes(REFUSAL), run_after_late_copy
    )

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        tickets.remaining.append(endpoint)
        status, body = await scripted.send_request(address)
        assert len(ran) == 1
        assert (status, body) == (200, scripted.encode_event(1, "a"))

    scripted.run_forwarder(
        [endpoint], scripted.make_route(resumable=False), check
    )


@pytest.mark.parametrize("resumable", [True, False])
def test_success_without_the_stamp_of_an_endpoint_is_not_passed_on(
    resumable: bool,
) -> None:
    """Guards against the answer of a server that is no endpoint."""
    foreign = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"Content-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nno"
    )
    first = scripted.ScriptedEndpoint("e1", [scripted.script_bytes(foreign)])
    event = scripted.encode_event(1, "a")
    second = scripted.ScriptedEndpoint("e2", [scripted.script_stream(event)])

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        if resumable:
            assert (status, body) == (200, event)
        else:
            assert status == 502
            assert second.received_heads == []

    scripted.run_forwarder(
        [first, second], scripted.make_route(resumable=resumable), check
    )
