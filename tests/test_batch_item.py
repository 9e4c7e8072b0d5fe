"""Runs of batch items at endpoints that are slow, stalled or never end."""

from collections.abc import Sequence

import anyio
from anyio import abc
import pytest
import scripted

from ibisknot import batch_item
from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http_client
from ibisknot import http_response
from ibisknot import http_server
from ibisknot import serving
from ibisknot import timer
from ibisknot.platform import headers
from ibisknot.platform import programs

MAX_OUTPUT_BYTES = 700_000
COMPLETE = scripted.encode_event(1, "a") + scripted.encode_event(2, "b")


def _view(route: serving.Route) -> fleetview.View:
    configuration = serving.Configuration(
        1, [route], frozenset(), {}, {}, False, http_server.Limits()
    )
    return fleetview.View(configuration=configuration)


def _run(
    *scripts: scripted.Script,
    versions: tuple[str, ...] = (),
    item: batch_records.Item | None = None,
    refusals: Sequence[errors.IbisknotError | None] = (),
) -> tuple[batch_records.ItemResult | None, batch_task.Task]:
    """Runs an item at one endpoint after another.

    Args:
        *scripts: What the endpoints do.
        versions: Versions of their software; all `v1` if left out.
        item: The item; a plain one if left out.
        refusals: What the first requests for tickets get; None grants.
    """
    route = scripted.make_route(kind=serving.BATCH, max_attempts=3)
    endpoints = [
        scripted.ScriptedEndpoint(f"e{n}", [script])
        for n, script in enumerate(scripts)
    ]
    for endpoint, version in zip(endpoints, versions, strict=False):
        endpoint.software_version = version
    clock = timer.Timer()
    run_item = item or batch_records.Item("r1", "/a/x", [], b"", 10)
    outcome: list[tuple[batch_records.ItemResult | None, batch_task.Task]] = []

    async def main() -> None:
        task = batch_task.Task(
            "j", 0, run_item, "r", "h", serving.Organisation("one"), clock.now()
        )
        tickets = scripted.ScriptedTickets(endpoints)
        tickets.refusals = list(refusals)
        async with scripted.serving_endpoints(*endpoints):
            runner = batch_item.Runner(
                tickets,  # type: ignore[arg-type]
                http_client.Client(
                    connect_timeout_s=scripted.CONNECT_TIMEOUT_S
                ),
                programs.REQUEST_DIALECT,
                headers.item_headers,
                clock.now,
                _view(route),
                MAX_OUTPUT_BYTES,
            )
            outcome.append((await runner.run(task), task))

    anyio.run(main)
    return outcome[0]


async def _complete(stream: abc.SocketStream, _head: bytes) -> None:
    await stream.send(scripted.STREAM_HEAD)
    await stream.send(scripted.encode_chunk(COMPLETE))
    await stream.send(scripted.STREAM_END)


def _script_repeated(
    data: bytes, *, pause_s: float, first: bytes = b""
) -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        try:
            await stream.send(scripted.STREAM_HEAD)
            if first:
                await stream.send(scripted.encode_chunk(first))
            while True:
                await stream.send(scripted.encode_chunk(data))
                await anyio.sleep(pause_s)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    return script


@pytest.fixture
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the time without progress, so that the tests are quick."""
    monkeypatch.setattr(batch_item, "MIN_STALL_TIMEOUT_S", 0.4)


@pytest.mark.usefixtures("short_timeout")
@pytest.mark.parametrize(
    "data",
    [b":", b"data: without id\n\n", scripted.encode_event(1, "again")],
    ids=["comment bytes", "events without id", "old events"],
)
def test_stalled_item_goes_on_at_another_endpoint(data: bytes) -> None:
    """Guards against an item that holds its slot for ever.

    A byte now and then, or events that add nothing, are no progress.
    """
    stalled = _script_repeated(
        data, pause_s=0.05, first=scripted.encode_event(1, "a")
    )
    result, task = _run(stalled, _complete)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert task.stalls == 1


@pytest.mark.parametrize("data", scripted.FLOODS)
def test_flood_without_progress_does_not_keep_an_item(data: bytes) -> None:
    """Guards against an answer that holds up a worker, and with it the fleet.

    A worker grants the tickets of all gateways.
    """
    flood = scripted.Flood(data, first=scripted.encode_event(1, "a"))
    result, _ = _run(flood, _complete)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert flood.sent_bytes <= 8 * http_response.MAX_USELESS_BYTES


def test_speed_of_an_item_is_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against tickets that are released without a measurement."""
    released = []
    monkeypatch.setattr(
        scripted.ScriptedTickets,
        "release",
        lambda _self, ticket, _outcome: released.append(ticket),
    )
    _run(_complete)
    (ticket,) = released
    assert ticket.pace.sent_s is not None
    assert ticket.pace.first_s is not None


@pytest.mark.usefixtures("short_timeout")
def test_slow_but_sound_endpoint_is_given_more_time() -> None:
    """Guards against an item that is cut at each endpoint and never ends."""

    async def slow(stream: abc.SocketStream, head: bytes) -> None:
        try:
            await anyio.sleep(0.6)
            await _complete(stream, head)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    result, task = _run(slow, slow)
    assert result is not None
    assert result.state == batch_records.DONE
    assert task.stalls == 1


def test_output_without_end_is_discarded() -> None:
    """Guards against memory for events that never end."""
    result, task = _run(_script_events(), _complete)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert task.failures == 1


def test_item_whose_output_never_ends_is_given_up() -> None:
    """Guards against an item that is run without end."""
    endless = _script_events()
    result, _ = _run(endless, endless, endless)
    assert result is not None
    assert result.state == batch_records.FAILED


def test_output_is_measured_in_bytes_and_not_in_characters() -> None:
    """Guards against a result that no value of the store can hold."""
    letters = "\u044f" * (MAX_OUTPUT_BYTES // 20)
    script = _script_cut(
        *[scripted.encode_event(n, letters) for n in range(1, 11)]
    )
    result, task = _run(script, script, script)
    assert result is not None
    assert result.state == batch_records.FAILED
    assert task.failures == 3


def _script_events() -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        try:
            await stream.send(scripted.STREAM_HEAD)
            event_id = 0
            while True:
                event_id += 1
                event = scripted.encode_event(event_id, "x" * 50_000)
                await stream.send(scripted.encode_chunk(event))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    return script


def test_item_under_which_many_endpoints_crash_is_placed_again() -> None:
    """Guards against an item that is taken for the cause of crashes."""

    async def crash(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(scripted.STREAM_HEAD)
        await anyio.aclose_forcefully(stream)

    result, task = _run(*[crash] * 10, _complete)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert (task.attempts, task.failures) == (11, 0)


def _script_cut(*events: bytes) -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(scripted.STREAM_HEAD)
        for event in events:
            await stream.send(scripted.encode_chunk(event))
        await stream.aclose()

    return script


def test_item_goes_on_only_at_the_software_that_began_it() -> None:
    """Guards against a result that is joined from two software versions."""
    cut = _script_cut(scripted.encode_event(1, "old a"))
    rest = _script_cut(scripted.encode_event(2, "never asked"))
    result, task = _run(cut, rest, _complete, versions=("v1", "v2", "v1"))
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "old a\nb")
    assert task.attempts == 2


def test_item_begins_anew_when_its_software_is_gone() -> None:
    """Guards against an item that waits for endpoints that have left."""
    cut = _script_cut(scripted.encode_event(1, "old a"))
    result, task = _run(cut, _complete, versions=("v1", "v2"))
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert task.software_version == "v2"


def test_item_keeps_its_output_while_tickets_are_refused() -> None:
    """Guards against output that is lost when no slot is free for a moment."""
    cut = _script_cut(scripted.encode_event(1, "a"))
    refusals = [None, errors.OverloadedError("full", retry_after_s=0.01)]
    result, task = _run(cut, _complete, refusals=refusals)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert task.output_resets == 0


def test_error_head_within_an_item_does_not_end_it() -> None:
    """Guards against an item that is done without its last events."""
    head = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

    async def spoiled(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(scripted.STREAM_HEAD)
        body = scripted.encode_event(1, "a") + head
        await stream.send(scripted.encode_chunk(body) + scripted.STREAM_END)

    result, task = _run(spoiled, _complete)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert task.attempts == 2


def test_header_in_any_letters_is_sent_in_utf_8() -> None:
    """Guards against a header that ends its worker at each start."""
    heads: list[bytes] = []

    async def record(stream: abc.SocketStream, head: bytes) -> None:
        heads.append(head)
        await _complete(stream, head)

    headers = [("X-Lot-Name", " Gy\u0171jt\u0151 "), ("Last-Event-Id", "5")]
    item = batch_records.Item("r1", "/a/x", headers, b"", 10)
    result, _ = _run(record, item=item)
    assert result is not None
    assert (result.state, result.output) == (batch_records.DONE, "a\nb")
    assert b"X-Lot-Name: Gy\xc5\xb1jt\xc5\x91\r\n" in heads[0]
    assert b"last-event-id" not in heads[0].lower()


@pytest.mark.parametrize(
    "item",
    [
        batch_records.Item("r1", "/a b", [], b"", 10),
        batch_records.Item("r1", "/\u0171", [], b"", 10),
        batch_records.Item("r1", "/a", [("X", "a\r\nY: b")], b"", 10),
        batch_records.Item("r1", "/a", [("X:Y Z", "a")], b"", 10),
        batch_records.Item("\u0171", "/a", [], b"", 10),
    ],
)
def test_item_that_cannot_be_sent_is_given_up(
    item: batch_records.Item, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an item of an earlier build that ends its worker."""
    monkeypatch.setattr(batch_item, "UNEXPECTED_FAILURE_PAUSE_S", 0.01)
    result, task = _run(*[_complete] * 4, item=item)
    assert result is not None
    assert result.state == batch_records.FAILED
    assert task.last_event_id is None


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_item_whose_route_was_removed_is_given_up(is_confirmed: bool) -> None:
    """Guards against items that hold the places of other jobs for ever.

    A route that is not known yet is waited for.
    """
    clock = timer.Timer()
    view = _view(scripted.make_route(kind=serving.BATCH, name="other"))
    item = batch_records.Item("r1", "/a", [], b"", 10)

    async def main() -> batch_records.ItemResult | None:
        task = batch_task.Task(
            "j", 0, item, "r", "h", serving.Organisation("one"), clock.now()
        )
        runner = batch_item.Runner(
            scripted.ScriptedTickets([]),  # type: ignore[arg-type]
            http_client.Client(),
            programs.REQUEST_DIALECT,
            headers.item_headers,
            clock.now,
            view,
            MAX_OUTPUT_BYTES,
        )
        async with anyio.create_task_group() as task_group:
            if is_confirmed:
                task_group.start_soon(_confirm_soon, view, clock)
            with anyio.move_on_after(3.0 * batch_item.ROUTE_POLL_PAUSE_S):
                return await runner.run(task)
        return None

    result = anyio.run(main)
    if is_confirmed:
        assert result is not None
        assert result.state == batch_records.FAILED
    else:
        assert result is None


async def _confirm_soon(view: fleetview.View, clock: timer.Timer) -> None:
    await anyio.sleep(0.1)
    view.configuration_confirmed_s = clock.now()
