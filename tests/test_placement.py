"""Places without a scheduler: no request waits for one that is silent."""

from typing import Any

import anyio
import fake_fleet
import pytest

from ibisknot import admission
from ibisknot import errors
from ibisknot import placement
from ibisknot import serving
from ibisknot.gen.fleet import ttypes


def _client(
    **fleet: int,
) -> tuple[placement.Client, fake_fleet.Peers, fake_fleet.Clock, Any]:
    peers = fake_fleet.Peers()
    clock = fake_fleet.Clock()
    group = fake_fleet.TaskGroup()
    made = placement.Client(
        fake_fleet.process(),
        fake_fleet.view(**fleet),
        peers,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        group,  # type: ignore[arg-type]
    )
    return made, peers, clock, group


def _ask(**changed: Any) -> placement.TicketRequest:
    fields: dict[str, Any] = {
        "service": "s",
        "kind": admission.ONLINE,
        "request_id": "r",
        "organisation": None,
        "max_wait_s": 1.0,
    }
    return placement.TicketRequest(**(fields | changed))


def test_silent_scheduler_is_left_out_until_it_answers_a_report() -> None:
    """Guards against each request waiting for a scheduler that is cut off."""

    async def main() -> None:
        made, peers, clock, group = _client()
        peers.unresponsive = {"w0:1", "w1:1"}
        first = await made.acquire(_ask())
        assert first.granted_by == ""
        assert peers.count("place_ask") == 2
        group.tasks.clear()
        await made.acquire(_ask())
        assert peers.count("place_ask") == 2
        peers.unresponsive.clear()
        await made._report(clock.now())
        await group.run()
        peers.answers["place_ask"] = _granted
        found = await made.acquire(_ask())
        assert found.granted_by == "w0"

    anyio.run(main)


def test_grant_of_an_endpoint_that_leaves_is_given_back() -> None:
    """Guards against sending work to an endpoint known to leave."""

    async def main() -> None:
        made, peers, _, group = _client()
        answers = iter(
            [_granted("", None, endpoint="gone"), _granted("", None)]
        )
        peers.answers["place_ask"] = lambda _a, _m: next(answers)
        found = await made.acquire(_ask())
        assert found.endpoint.name == "e0"
        await group.run()
        returned = [m for _, name, m in peers.calls if name == "place_returned"]
        assert returned[0].endpoint == "gone"
        first, second = (m for _, name, m in peers.calls if name == "place_ask")
        # A scheduler grants nothing under an id that was given back.
        assert first.id == returned[0].id != second.id

    anyio.run(main)


def test_batch_work_does_not_choose_alone_at_once() -> None:
    """Guards against batch work that floods endpoints past slow schedulers."""

    async def main() -> None:
        made, peers, clock, _ = _client()
        peers.unresponsive = {"w0:1", "w1:1"}
        ask = _ask(kind=admission.BATCH, max_wait_s=10.0)
        with anyio.move_on_after(placement.BATCH_POLL_PERIOD_S / 2):
            await made.acquire(ask)
        assert not made.tickets
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(made.acquire, ask)
            await anyio.wait_all_tasks_blocked()
            clock.time_s += placement.BATCH_DELAY_S
        assert [place.granted_by for place in made.tickets.values()] == [""]

    anyio.run(main)


def test_request_that_waits_asks_the_next_scheduler_at_once() -> None:
    """Guards against slots that stay empty after a scheduler was lost."""

    async def main() -> None:
        made, peers, clock, group = _client()
        queued = ttypes.PlaceAnswer(
            id="",
            state=ttypes.PlaceState.QUEUED,
            endpoint="",
            retry_after_s=0.0,
            alone=False,
        )
        peers.answers["place_ask"] = lambda address, message: (
            queued if address == "w0:1" else _granted(address, message)
        )
        with anyio.fail_after(placement.RESEND_S[admission.BATCH] / 2):
            async with anyio.create_task_group() as tasks:
                ask = _ask(kind=admission.BATCH, max_wait_s=10.0)
                tasks.start_soon(made.acquire, ask)
                await anyio.wait_all_tasks_blocked()
                peers.unresponsive = {"w0:1"}
                await made._report(clock.now())
                await group.run()
        assert [p.granted_by for p in made.tickets.values()] == ["w1"]

    anyio.run(main)


def test_part_of_the_rate_holds_while_no_scheduler_answers() -> None:
    """Guards against a cut gateway that admits a whole organisation's rate."""

    async def main() -> None:
        made, peers, _, _ = _client(gateways=2)
        peers.unresponsive = {"w0:1", "w1:1"}
        organisation = serving.Organisation("o", rate_per_s=8.0, burst=8.0)
        granted = 0
        with pytest.raises(errors.RateLimitError):
            for _ in range(9):
                await made.acquire(_ask(organisation=organisation))
                granted += 1
        assert granted == 4

    anyio.run(main)


def _granted(
    _address: str, _message: Any, endpoint: str = "e0"
) -> ttypes.PlaceAnswer:
    return ttypes.PlaceAnswer(
        id="",
        state=ttypes.PlaceState.GRANTED,
        endpoint=endpoint,
        retry_after_s=0.0,
        alone=False,
    )
