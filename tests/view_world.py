"""One process of a fleet, which keeps its view up to date."""

import anyio
import fake_fleet
import fake_pairs_store

from ibisknot import deployment
from ibisknot import http_server
from ibisknot import serving
from ibisknot import store_layout
from ibisknot import view_runner
from ibisknot.gen.fleet import ttypes

NEW_MEMBER = ttypes.Member("w9", deployment.WORKER, "d", "w9:1", 1)
MEMBERS_PREFIX = "m/"


class World:
    """One process of a fleet of two gateways and two workers.

    Attributes:
        runner: Keeps the process's view up to date.
        exchange: Exchanges it with peers.
    """

    def __init__(self, name: str = "g0") -> None:
        self.store = fake_pairs_store.FakeStore()
        self.view = fake_fleet.view(gateways=2, workers=2)
        self.view.configuration = serving.Configuration(
            1, [], frozenset(), {}, {}, False, http_server.Limits()
        )
        self.view.members_revision = 5
        self.peers = fake_fleet.Peers()
        self.clock = fake_fleet.Clock()
        self.view.members_read_s = self.clock.now()
        self.view.endpoints_read_s = self.clock.now()
        self.view.configuration_confirmed_s = self.clock.now()
        self.view.configuration_follower = "w1"
        self.task_group = fake_fleet.TaskGroup()
        process = fake_fleet.process(name)
        process.kind = self.view.members[name].kind
        self.runner = view_runner.Runner(
            process,
            self.store,
            self.store,
            self.view,
            store_layout.Layout(
                "o/",
                "o/c",
                "e/",
                MEMBERS_PREFIX,
                lambda _encoded: serving.Configuration(
                    2, [], frozenset(), {}, {}, False, http_server.Limits()
                ),
                lambda _pair: None,
            ),
            self.peers,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.task_group,
        )
        self.exchange = self.runner.exchange
        self.peers.answers["view_news"] = lambda _a, _m: ttypes.ViewAck(
            0, 0, False
        )
        self.peers.answers["view_ask"] = lambda _a, _m: ttypes.ViewNews(
            sender="w0",
            configuration_revision=0,
            endpoints_revision=0,
            endpoints_age_s=0.0,
            members_revision=9,
            endpoints_digest=0,
            members=[NEW_MEMBER],
        )

    def poll_members(self) -> None:
        """Runs the periodic check of the members."""
        anyio.run(self.runner._poll_members, self.clock.now())

    def sent(self) -> list[ttypes.ViewNews]:
        """Returns the updates that were sent."""
        return [m for _, method, m in self.peers.calls if method == "view_news"]
