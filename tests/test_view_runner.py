"""What a process learns of the fleet from its peers."""

from typing import Any

import anyio
import fake_fleet

from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import http_server
from ibisknot import serving
from ibisknot import view_runner
from ibisknot.gen.fleet import ttypes

NEW = ttypes.Member("w9", deployment.WORKER, "d", "w9:1", 1)


def _runner() -> tuple[view_runner.Runner, fake_fleet.Peers, fake_fleet.Clock]:
    view = fake_fleet.view(gateways=1, workers=1)
    view.configuration = serving.Configuration(
        1, [], frozenset(), {}, {}, False, http_server.Limits()
    )
    view.members_revision = 5
    peers = fake_fleet.Peers()
    clock = fake_fleet.Clock()
    layout = view_runner.Layout("o/", "o/c", "e/", "m/", _undecoded, _no_entry)
    made = view_runner.Runner(
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
        members=[NEW],
    )
    return made, peers, clock


def _undecoded(_stated: bytes) -> serving.Configuration:
    raise AssertionError


def _no_entry(_pair: Any) -> None:
    return None


def test_process_turned_away_learns_of_new_members_from_peers() -> None:
    """Guards against a VM that knows no worker to reach the store through."""
    made, peers, clock = _runner()
    made.view.members_read_s = clock.now() - view_runner.MEMBERS_STALE_S - 0.1
    anyio.run(made._gossip, clock.now())
    assert peers.count("view_ask") == 1
    assert fleetview.by_precedence(made.view.members.values())[0].name == "w9"


def test_process_that_reads_the_members_itself_asks_nobody() -> None:
    """Guards against whole beliefs that are sent twice a second."""
    made, peers, clock = _runner()
    made.view.members_read_s = clock.now() - view_runner.MEMBERS_POLL_PERIOD_S
    anyio.run(made._gossip, clock.now())
    assert peers.count("view_ask") == 0
    assert peers.count("view_news") == 1
