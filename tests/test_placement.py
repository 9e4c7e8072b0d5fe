"""Acquiring tickets from schedulers, and without any that responds."""

import math
from typing import Any

import anyio
import fake_fleet
import pytest

from ibisknot import _queued_requests
from ibisknot import admission
from ibisknot import errors
from ibisknot import placement
from ibisknot import serving
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes


def _make_client(
    **fleet: int,
) -> tuple[placement.Client, fake_fleet.Peers, fake_fleet.Clock, Any]:
    peers = fake_fleet.Peers()
    clock = fake_fleet.Clock()
    task_group = fake_fleet.TaskGroup()
    client = placement.Client(
        fake_fleet.process(),
        fake_fleet.view(**fleet),
        peers,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        task_group,
    )
    return client, peers, clock, task_group


def _request(**changed: Any) -> ticket_types.TicketRequest:
    fields: dict[str, Any] = {
        "service": "s",
        "kind": admission.ONLINE,
        "request_id": "r",
        "organisation": None,
        "max_wait_s": 1.0,
    }
    return ticket_types.TicketRequest(**(fields | changed))


def test_unresponsive_scheduler_is_skipped_until_it_accepts_a_report() -> None:
    """Guards against each request waiting for a scheduler that is cut off."""

    async def main() -> None:
        client, peers, clock, task_group = _make_client()
        peers.unresponsive = {"w0:1", "w1:1"}
        first = await client.acquire(_request())
        assert first.granted_by == ""
        assert peers.count("place_ask") == 2
        task_group.tasks.clear()
        await client.acquire(_request())
        assert peers.count("place_ask") == 2
        peers.unresponsive.clear()
        await client._report(clock.now())
        await task_group.run()
        peers.answers["place_ask"] = _grant
        ticket = await client.acquire(_request())
        assert ticket.granted_by == "w0"

    anyio.run(main)


def test_grant_at_an_endpoint_that_has_gone_is_released() -> None:
    """Guards against sending requests to an endpoint that is draining."""

    async def main() -> None:
        client, peers, _, task_group = _make_client()
        answers = iter([_grant("", None, endpoint="gone"), _grant("", None)])
        peers.answers["place_ask"] = lambda _a, _m: next(answers)
        ticket = await client.acquire(_request())
        assert ticket.endpoint.name == "e0"
        await task_group.run()
        returned = [m for _, name, m in peers.calls if name == "place_returned"]
        assert returned[0].endpoint == "gone"
        first, second = (m for _, name, m in peers.calls if name == "place_ask")
        # A scheduler grants nothing under an id that was released.
        assert first.id == returned[0].id != second.id

    anyio.run(main)


def test_batch_request_uses_the_fallback_only_after_a_delay() -> None:
    """Guards against batch that floods endpoints while schedulers are slow."""

    async def main() -> None:
        client, peers, clock, _ = _make_client()
        peers.unresponsive = {"w0:1", "w1:1"}
        request = _request(kind=admission.BATCH, max_wait_s=10.0)
        with anyio.move_on_after(placement.BATCH_POLL_PERIOD_S / 2):
            await client.acquire(request)
        assert not client.tickets
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.acquire, request)
            await anyio.wait_all_tasks_blocked()
            clock.time_s += placement.BATCH_DELAY_S
        assert [ticket.granted_by for ticket in client.tickets.values()] == [""]

    anyio.run(main)


def test_queued_request_is_sent_to_the_next_scheduler_at_once() -> None:
    """Guards against slots that stay empty after a scheduler is lost."""

    async def main() -> None:
        client, peers, clock, task_group = _make_client()
        queued = ttypes.PlaceAnswer(
            id="",
            state=ttypes.PlaceState.QUEUED,
            endpoint="",
            retry_after_s=0.0,
            alone=False,
        )
        peers.answers["place_ask"] = lambda address, message: (
            queued if address == "w0:1" else _grant(address, message)
        )
        with anyio.fail_after(_queued_requests.RESEND_S[admission.BATCH] / 2):
            async with anyio.create_task_group() as tasks:
                request = _request(kind=admission.BATCH, max_wait_s=10.0)
                tasks.start_soon(client.acquire, request)
                await anyio.wait_all_tasks_blocked()
                peers.unresponsive = {"w0:1"}
                await client._report(clock.now())
                await task_group.run()
        assert [ticket.granted_by for ticket in client.tickets.values()] == [
            "w1"
        ]

    anyio.run(main)


@pytest.mark.parametrize("late_scheduler", ["w0", "w1"])
def test_late_answer_of_a_scheduler_that_was_given_up_is_ignored(
    late_scheduler: str,
) -> None:
    """Guards against a ticket that the wrong scheduler is said to grant.

    The one that is asked now would count the request as queued.
    """

    async def main() -> None:
        client, peers, clock, task_group = _make_client()
        queued = _grant("", None)
        queued.state = ttypes.PlaceState.QUEUED
        peers.answers["place_ask"] = lambda _address, _message: queued
        answer = _grant("", None)
        answer.scheduler = late_scheduler
        async with anyio.create_task_group() as tasks:
            request = _request(kind=admission.BATCH, max_wait_s=10.0)
            tasks.start_soon(client.acquire, request)
            await anyio.wait_all_tasks_blocked()
            (answer.id,) = client.pending
            peers.unresponsive = {"w0:1"}
            await client._report(clock.now())
            await task_group.run()
            await anyio.wait_all_tasks_blocked()
            await client.on_answer(answer)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        granted = [ticket.granted_by for ticket in client.tickets.values()]
        assert granted == (["w1"] if late_scheduler == "w1" else [])

    anyio.run(main)


def test_gateway_uses_only_its_share_while_no_scheduler_responds() -> None:
    """Guards against a cut-off gateway that admits the whole rate."""

    async def main() -> None:
        client, peers, clock, _ = _make_client(gateways=2)
        peers.unresponsive = {"w0:1", "w1:1"}
        organisation = serving.Organisation("o", rate_per_s=8.0, burst=8.0)
        granted = 0
        for _ in range(100):
            clock.time_s += 0.05
            try:
                await client.acquire(_request(organisation=organisation))
                granted += 1
            except errors.RateLimitError:
                pass
        # Half of 8 a second, and a token in advance.
        assert 19 <= granted <= 22

    anyio.run(main)


def _grant(
    _address: str, _message: Any, endpoint: str = "e0"
) -> ttypes.PlaceAnswer:
    return ttypes.PlaceAnswer(
        id="",
        state=ttypes.PlaceState.GRANTED,
        endpoint=endpoint,
        retry_after_s=0.0,
        alone=False,
    )


def test_standby_schedulers_hear_of_each_ticket() -> None:
    """Guards against two schedulers that grant the same slots.

    A scheduler that is busy for a moment loses some of its callers to the
    next one, while the others stay.
    """

    async def main() -> None:
        client, peers, _, task_group = _make_client(workers=5)
        peers.answers["place_ask"] = _grant
        ticket = await client.acquire(_request())
        client.release(ticket, admission.OK)
        await task_group.run()
        for name, told in (("w1", True), ("w2", True), ("w3", False)):
            methods = [m for a, m, _ in peers.calls if a == f"{name}:1"]
            assert methods == (
                ["place_taken", "place_returned"] if told else []
            )

    anyio.run(main)


def _name_limit(client: placement.Client, rate_per_s: float | None) -> None:
    client.record_limit(client.view.endpoints["e0"], rate_per_s)


def test_schedulers_hear_of_a_limit_at_once_and_in_each_report() -> None:
    """Guards against a limit that only one process knows."""

    async def main() -> None:
        client, peers, clock, task_group = _make_client(workers=2)
        for _ in range(3):
            _name_limit(client, 2.5)
        await task_group.run()
        assert peers.count("endpoint_limits") == 2
        clock.time_s += 1.0
        await client._report(clock.now())
        await task_group.run()
        limits = [m.limits for _, k, m in peers.calls if k == "places_held"]
        assert [(n.rate_per_s, n.age_s) for n in limits[0]] == [(2.5, 1.0)]
        _name_limit(client, math.inf)
        await task_group.run()
        assert peers.count("endpoint_limits") == 4

    anyio.run(main)


def test_scheduler_without_a_report_gets_the_limits_with_a_request() -> None:
    """Guards against grants over a limit by a scheduler that is new."""

    async def main() -> None:
        client, peers, clock, task_group = _make_client()
        peers.answers["place_ask"] = _grant
        _name_limit(client, 2.5)
        await client.acquire(_request())
        await client._report(clock.now())
        await task_group.run()
        await client.acquire(_request())
        asked = [m.limits for _, k, m in peers.calls if k == "place_ask"]
        assert [bool(limits) for limits in asked] == [True, False]

    anyio.run(main)


def test_unreadable_limit_changes_nothing() -> None:
    """Guards against a limit that malformed bytes end."""
    client, _, _, _ = _make_client()
    _name_limit(client, 2.5)
    _name_limit(client, None)
    assert client.limits.rate_per_s("e0") == 2.5


def test_grant_at_other_software_is_declined() -> None:
    """Guards against a stream that goes on at another version.

    A scheduler of an older build ignores the version, and one whose view is
    old names an endpoint that has restarted with other software.
    """

    async def main() -> None:
        client, peers, _, _ = _make_client(endpoints=2)
        client.view.endpoints["e1"] = fake_fleet.endpoint("e1", software="v2")
        stale = _grant("", None, endpoint="e1")
        stale.software = "v1"
        answers = iter(
            [
                _grant("", None, endpoint="e0"),
                stale,
                _grant("", None, endpoint="e1"),
            ]
        )
        peers.answers["place_ask"] = lambda _a, _m: next(answers)
        ticket = await client.acquire(_request(software_version="v2"))
        assert ticket.endpoint.name == "e1"
        assert peers.count("place_ask") == 3

    anyio.run(main)


def test_declined_grant_consumes_one_token_of_the_rate() -> None:
    """Guards against refusals below the limit after a gateway's start.

    It declines grants until it has heard of the endpoints.
    """

    async def main() -> None:
        client, peers, _, _ = _make_client()
        organisation = serving.Organisation("o", rate_per_s=5.0, burst=5.0)
        answers = iter([_grant("", None, endpoint="new")] * 3)
        peers.answers["place_ask"] = lambda address, message: (
            next(answers, None) or _grant(address, message)
        )
        await client.acquire(_request(organisation=organisation))
        rates = [
            message.rate_per_s
            for _, method, message in peers.calls
            if method == "place_ask"
        ]
        assert rates == [5.0, 0.0, 0.0, 0.0]

    anyio.run(main)


def test_fallback_keeps_a_stream_at_its_software() -> None:
    """Guards against a stream that is joined while no scheduler answers."""

    async def main() -> None:
        client, peers, _, _ = _make_client(endpoints=3)
        client.view.endpoints["e2"] = fake_fleet.endpoint("e2", software="v2")
        peers.unresponsive = {"w0:1", "w1:1"}
        for _ in range(4):
            ticket = await client.acquire(_request(software_version="v2"))
            assert ticket.endpoint.name == "e2"
        with pytest.raises(errors.OverloadedError):
            await client.acquire(_request(software_version="v3"))

    anyio.run(main)


def _stream_numbers(peers: fake_fleet.Peers) -> list[int]:
    """Returns the number of the stream's attempt in each request."""
    return [
        m.stream.number for _, name, m in peers.calls if name == "place_ask"
    ]


def test_scheduler_that_grants_too_late_is_not_believed() -> None:
    """Guards against the origin that a scheduler recorded for nobody.

    The first scheduler may still grant what the second one has granted since.
    """

    async def main() -> None:
        client, peers, _, _ = _make_client()
        peers.unresponsive = {"w0:1"}
        peers.answers["place_ask"] = _grant
        ticket = await client.acquire(_request(stream_id="a"))
        late, granted = _stream_numbers(peers)
        assert ticket.granted_by == "w1"
        assert ticket.number == granted > late

    anyio.run(main)


def test_declined_grant_is_not_believed() -> None:
    """Guards against the origin of a grant that its holder did not accept."""

    async def main() -> None:
        client, peers, _, _ = _make_client()
        answers = iter([_grant("", None, endpoint="gone"), _grant("", None)])
        peers.answers["place_ask"] = lambda _a, _m: next(answers)
        ticket = await client.acquire(_request(stream_id="a"))
        declined, granted = _stream_numbers(peers)
        assert ticket.number == granted > declined

    anyio.run(main)


def test_choice_without_a_scheduler_is_believed_before_a_late_grant() -> None:
    """Guards against schedulers that grant while a process chooses alone."""

    async def main() -> None:
        client, peers, _, _ = _make_client()
        peers.unresponsive = {"w0:1", "w1:1"}
        ticket = await client.acquire(_request(stream_id="a"))
        assert ticket.granted_by == ""
        assert ticket.number > max(_stream_numbers(peers))

    anyio.run(main)


def test_later_attempt_is_believed_before_all_grants_of_an_earlier_one() -> (
    None
):
    """Guards against an attempt that needed many requests for its ticket."""

    async def main() -> None:
        client, peers, _, _ = _make_client()
        peers.unresponsive = {"w0:1", "w1:1"}
        first = await client.acquire(_request(stream_id="a", attempt=0))
        second = await client.acquire(_request(stream_id="a", attempt=1))
        assert second.number > first.number

    anyio.run(main)


def test_holder_remembers_and_reports_its_streams() -> None:
    """Guards against a stream of which only a lost scheduler knew."""

    async def main() -> None:
        client, peers, clock, task_group = _make_client()
        peers.answers["place_ask"] = _grant
        ticket = await client.acquire(_request(stream_id="a", attempt=2))
        found = client.origins.find("a")
        assert found is not None
        assert (found.software_version, found.number) == ("v1", ticket.number)
        await client._report(clock.now())
        await task_group.run()
        taken = [m.place for _, name, m in peers.calls if name == "place_taken"]
        held = [
            place
            for _, name, m in peers.calls
            if name == "places_held"
            for place in m.places
        ]
        assert len(taken) == 1
        assert len(held) == 2
        for place in (*taken, *held):
            assert (place.stream.stream, place.software) == ("a", "v1")

    anyio.run(main)


def test_gone_software_is_told_apart_from_overload() -> None:
    """Guards against a caller that is asked to come back in vain."""

    async def main() -> None:
        client, peers, _, _ = _make_client()
        answer = _grant("", None)
        answer.state = ttypes.PlaceState.SOFTWARE_GONE
        peers.answers["place_ask"] = lambda _a, _m: answer
        with pytest.raises(errors.SoftwareGoneError) as raised:
            await client.acquire(_request(software_version="v2"))
        assert raised.value.retry_after_s is None

    anyio.run(main)


def test_grant_at_an_endpoint_that_has_said_that_it_leaves_is_declined() -> (
    None
):
    """Guards against a scheduler that has not heard of it."""

    async def main() -> None:
        client, peers, _, _ = _make_client(endpoints=2)
        client.leaving.record_answer(client.view.endpoints["e0"], True)
        grants = iter([_grant("", None), _grant("", None, endpoint="e1")])
        peers.answers["place_ask"] = lambda _a, _m: next(grants)
        ticket = await client.acquire(_request())
        assert ticket.endpoint.name == "e1"
        asked = [m.avoid for _, k, m in peers.calls if k == "place_ask"]
        assert asked == [["e0"], ["e0"]]
        peers.unresponsive = {"w0:1", "w1:1"}
        for _ in range(10):
            ticket = await client.acquire(_request())
            assert ticket.endpoint.name == "e1"

    anyio.run(main)
