"""The admitter of the product's own interface."""

import types
from typing import Any

import anyio
import fake_fleet
import pytest

from ibisknot import admission
from ibisknot import admitter

LEARNT_LIMIT = 2.0


@pytest.fixture
def names() -> list[str]:
    """The endpoints that are active; tests change it."""
    return ["e0"]


@pytest.fixture
def tickets(
    names: list[str], monkeypatch: pytest.MonkeyPatch
) -> admitter.Admitter:
    """An admitter with the group `g`, which never idles."""
    daemon: Any = types.SimpleNamespace(
        clock=fake_fleet.Clock(), task_group=fake_fleet.TaskGroup()
    )
    policy = types.SimpleNamespace(batch_weight=1.0)
    source: Any = types.SimpleNamespace(
        current=types.SimpleNamespace(policy=policy)
    )
    unused: Any = None
    made = admitter.Admitter(daemon, source, unused, unused, unused)
    monkeypatch.setattr(made, "_active_endpoints", lambda _group: list(names))
    state = admission.Group()
    made.groups["g"] = admitter.AdmittedGroup(
        "g", state, last_request_s=daemon.clock.now()
    )
    return made


def test_endpoint_that_comes_back_keeps_what_was_learnt_of_it(
    tickets: admitter.Admitter, names: list[str]
) -> None:
    """Guards against too many requests at an endpoint that was away."""

    async def main() -> None:
        endpoints = tickets.groups["g"].state.endpoints
        now = tickets.daemon.clock.now()
        await tickets.tick(now)
        endpoints["e0"].capacity.limit = LEARNT_LIMIT
        names.clear()
        await tickets.tick(now)
        assert not endpoints
        names.append("e0")
        await tickets.tick(now)
        assert endpoints["e0"].capacity.limit == LEARNT_LIMIT

    anyio.run(main)


def test_learnt_capacity_holds_for_the_first_requests(
    tickets: admitter.Admitter, names: list[str]
) -> None:
    """Guards against grants before the capacity of an endpoint is set."""

    async def main() -> None:
        group = tickets.groups["g"]
        state = group.state
        now = tickets.daemon.clock.now()
        names.append("e1")
        await tickets.tick(now)
        for endpoint in state.endpoints.values():
            endpoint.capacity.limit = LEARNT_LIMIT
        names.remove("e0")
        await tickets.tick(now)
        for index in range(8):
            request = admission.QueuedRequest(
                str(index), admission.ONLINE, "o", now, now + 9.0
            )
            group.pending[request.id] = admitter.PendingDecision()
            admission.request_ticket(state, now, request)
        names.append("e0")
        await tickets.tick(now)
        assert len(state.endpoints["e0"].tickets) == LEARNT_LIMIT

    anyio.run(main)
