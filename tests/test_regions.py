"""Requests run, and their bodies go, only where they are allowed."""

import dataclasses
import json
import random
from typing import Any

import anyio
import fake_fleet
import platform_fleet
import pytest
import rate_world
import scripted
import test_batch_item
import test_platform_settings
import tunnel_world

from ibisknot import admission
from ibisknot import batch_item
from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import job_owners
from ibisknot import serving
from ibisknot import ticket_types
from ibisknot.platform import configuration
from ibisknot.platform import programs
from ibisknot.platform import settings

NORTH = frozenset({"north"})
NOWHERE = frozenset({"nowhere"})


def _place(view: fleetview.View) -> None:
    """Puts endpoint `e0` and half of the processes into region `north`."""
    view.regions = {"d": "south", "n": "north"}
    view.endpoints["e0"] = dataclasses.replace(
        view.endpoints["e0"], data_centre="n"
    )
    for name, member in view.members.items():
        if int(name[1:]) % 2:
            moved = dataclasses.replace(member, data_centre="n")
            view.members[name] = moved


def _request(allowed: frozenset[str] | None) -> ticket_types.TicketRequest:
    return ticket_types.TicketRequest(
        service="s",
        kind=admission.ONLINE,
        request_id="r",
        organisation=None,
        max_wait_s=1.0,
        allowed_regions=allowed,
    )


@pytest.mark.parametrize("has_scheduler", [True, False])
def test_request_runs_only_in_allowed_regions(has_scheduler: bool) -> None:
    """Guards against requests that leave their regions."""

    async def main() -> None:
        down = [] if has_scheduler else [0.0]
        world = rate_world.World(
            rate_world.Plan(killed_s={f"w{n}": down for n in range(3)}), 1
        )
        world.start_s = world.clock.time_s
        for name in ("e1", "e2"):
            world.view.endpoints[name] = fake_fleet.endpoint(name, slots=99)
        _place(world.view)
        client = world.clients["g0"]
        used = [
            (await client.acquire(_request(NORTH))).endpoint.name
            for _ in range(9)
        ]
        assert set(used) == {"e0"}
        client.leaving.check(_request(None))
        for allowed in (NOWHERE, frozenset[str]()):
            with pytest.raises(errors.OverloadedError) as raised:
                await client.acquire(_request(allowed))
            assert raised.value.ran == errors.NOT_RUN
            assert raised.value.retry_after_s

    anyio.run(main)


def test_grant_outside_the_allowed_regions_is_declined() -> None:
    """Guards against a scheduler that has no other endpoint free."""
    view = fake_fleet.view(endpoints=2)
    _place(view)
    table = rate_world.World(rate_world.Plan(), 1).clients["g0"].leaving
    table.view = view
    assert table.excluded(_request(NORTH)) == {"e1"}
    assert table.excluded(_request(None)) == frozenset()
    assert table.allows(_request(NORTH), view.endpoints["e0"])
    assert not table.allows(_request(NORTH), view.endpoints["e1"])


def test_no_helper_outside_the_allowed_regions_gets_the_request() -> None:
    """Guards against a body that is relayed by a process elsewhere."""

    async def main() -> None:
        async with tunnel_world.fleet(helpers=3) as processes:
            connector = processes[0].connector
            _place_members(connector.view)
            for allowed, expected in (
                (None, {"g1", "g2", "g3"}),
                (NORTH, {"g1", "g3"}),
                (NOWHERE, set()),
            ):
                helpers = connector._helpers_for("h:1", allowed)
                assert {m.name for m in helpers} == expected

    anyio.run(main)


def _place_members(view: fleetview.View) -> None:
    view.endpoints["e0"] = fake_fleet.endpoint("e0")
    _place(view)


def test_job_goes_only_to_workers_in_the_allowed_regions() -> None:
    """Guards against items at a worker elsewhere, also at a handover."""
    view = fake_fleet.view(workers=4)
    _place(view)
    view.configuration = rate_world._configuration()
    view.configuration.organisations = {
        "o": serving.Organisation("o", allowed_regions=NORTH)
    }
    assert job_owners.allowed_workers(view, "r", "o") == ["w1", "w3"]
    assert len(job_owners.allowed_workers(view, "r", "other")) == 4


def test_batch_item_stays_in_the_regions_of_its_organisation() -> None:
    """Guards against items that only the regions of their route restrict."""
    route = scripted.make_route(kind=serving.BATCH)
    view = test_batch_item._view(route)
    assert view.configuration is not None
    view.configuration.organisations = {
        "one": serving.Organisation("one", allowed_regions=NORTH)
    }
    asked: list[ticket_types.TicketRequest] = []

    class Tickets:
        rng = random.Random(1)

        async def acquire(self, request: ticket_types.TicketRequest) -> None:
            asked.append(request)

    unused: Any = None
    tickets: Any = Tickets()
    runner = batch_item.Runner(
        tickets, unused, programs.REQUEST_DIALECT, unused, unused, view, 1000
    )
    item = batch_records.Item("i", "/a/x", [], b"", 10)

    async def main() -> None:
        # A worker knows no more of a job's organisation than its name.
        task = batch_task.Task(
            "j", 0, item, "r", "h", serving.Organisation("one"), 0.0
        )
        await runner._acquire_ticket(task, route)

    anyio.run(main)
    assert [request.allowed_regions for request in asked] == [NORTH]


def test_configuration_and_settings_name_regions() -> None:
    """Guards against restrictions that are not read."""
    value = platform_fleet.configuration()
    value["Routes"][0]["AllowedRegions"] = ["r", "s"]
    value["Tenants"][0]["AllowedRegions"] = ["s", "t"]
    decoded = configuration.decode(json.dumps(value).encode())
    route, organisation = decoded.routes[0], decoded.organisations["one"]
    assert serving.regions_of(route, organisation) == {"s"}
    assert serving.regions_of(decoded.routes[1], None) is None
    text = test_platform_settings._settings_text() + '[Zones]\na = "s"\nb = 1'
    assert settings.decode(text).regions == {"a": "s", "z": "r"}
