"""Exchange of fleet views between processes."""

from typing import Any

import anyio
import fake_fleet

from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import http_server
from ibisknot import serving
from ibisknot import view_runner
from ibisknot.gen.fleet import ttypes

NEW_MEMBER = ttypes.Member("w9", deployment.WORKER, "d", "w9:1", 1)


def _runner() -> tuple[view_runner.Runner, fake_fleet.Peers, fake_fleet.Clock]:
    view = fake_fleet.view(gateways=1, workers=1)
    view.configuration = serving.Configuration(
        1, [], frozenset(), {}, {}, False, http_server.Limits()
    )
    view.members_revision = 5
    peers = fake_fleet.Peers()
    clock = fake_fleet.Clock()
    layout = view_runner.Layout(
        "o/", "o/c", "e/", "m/", _decode_nothing, _decode_no_endpoint
    )
    runner = view_runner.Runner(
        fake_fleet.process("g0"),
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        view,
        layout,
        peers,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        fake_fleet.TaskGroup(),  # type: ignore[arg-type]
    )
    peers.answers["view_news"] = lambda _a, _m: ttypes.ViewAck(0, 0, False)
    peers.answers["view_ask"] = lambda _a, _m: ttypes.ViewNews(
        sender="w0",
        configuration_revision=0,
        endpoints_revision=0,
        endpoints_age_s=0.0,
        members_revision=9,
        endpoints_digest=0,
        members=[NEW_MEMBER],
    )
    return runner, peers, clock


def _decode_nothing(_encoded: bytes) -> serving.Configuration:
    raise AssertionError


def _decode_no_endpoint(_pair: Any) -> None:
    return None


def test_process_without_access_to_the_store_gets_members_from_peers() -> None:
    """Guards against a VM that has no worker to relay its store calls."""
    runner, peers, clock = _runner()
    runner.view.members_read_s = clock.now() - view_runner.MEMBERS_STALE_S - 0.1
    anyio.run(runner._gossip, clock.now())
    assert peers.count("view_ask") == 1
    assert fleetview.by_precedence(runner.view.members.values())[0].name == "w9"


def test_process_that_reads_the_members_itself_requests_no_view() -> None:
    """Guards against full views that are sent in every gossip period."""
    runner, peers, clock = _runner()
    runner.view.members_read_s = clock.now() - view_runner.MEMBERS_POLL_PERIOD_S
    anyio.run(runner._gossip, clock.now())
    assert peers.count("view_ask") == 0
    assert peers.count("view_news") == 1
