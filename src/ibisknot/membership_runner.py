"""Sends and answers the probes of `membership`."""

from collections.abc import Callable
import random
import time

import anyio

from ibisknot import errors
from ibisknot import logs
from ibisknot import membership
from ibisknot import peer
from ibisknot import timer
from ibisknot import vmlist
from ibisknot.gen.membership import ttypes

PROBE = "membership_probe"
INDIRECT = "membership_indirect_probe"


def _to_wire(news: membership.News) -> ttypes.News:
    return ttypes.News(
        members=[
            ttypes.MemberUpdate(
                vm=u.vm, suspect=u.suspect, incarnation=u.incarnation
            )
            for u in news.updates
        ],
        payloads=[
            ttypes.PayloadDelta(
                vm=p.vm, name=p.name, version=p.version, data=p.data
            )
            for p in news.payloads
        ],
    )


def _from_wire(news: ttypes.News) -> membership.News:
    return membership.News(
        updates=[
            membership.Update(u.vm, u.suspect, u.incarnation)
            for u in news.members
        ],
        payloads=[
            membership.Payload(p.vm, p.name, p.version, p.data)
            for p in news.payloads
        ],
    )


class Runner:
    """Keeps one VM's view current.

    Attributes:
        view: The view.
        overheard_s: Monotonic time of the last answer from any peer.
    """

    def __init__(
        self,
        *,
        vm: str,
        listed: Callable[[], list[vmlist.ListedVm]],
        peers: peer.Client,
        port: int,
        clock: timer.Timer,
    ) -> None:
        incarnation = int(time.time() * 1000)
        self.view = membership.create(vm, incarnation=incarnation)
        self.listed = listed
        self.peers = peers
        self.port = port
        self.clock = clock
        self.choice = random.Random()
        self.overheard_s = clock.now()
        membership.seed(self.view, listed(), clock.now())

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic probe."""
        server.on(PROBE, ttypes.Probe, self._on_probe)
        server.on(INDIRECT, ttypes.IndirectProbe, self._on_indirect)
        self.clock.subscribe(
            "membership", membership.PROBE_PERIOD_S, self.probe_one
        )

    def _news(self, *, to: str = "") -> ttypes.News:
        return _to_wire(membership.compose(self.view, to=to))

    def _take(self, news: ttypes.News) -> None:
        membership.on_news(self.view, _from_wire(news), self.clock.now())

    async def _on_probe(self, probe: ttypes.Probe) -> ttypes.ProbeAck:
        self._take(probe.news)
        return ttypes.ProbeAck(vm=self.view.me, news=self._news(to=probe.vm))

    async def _on_indirect(self, ask: ttypes.IndirectProbe) -> ttypes.ProbeAck:
        self._take(ask.news)
        if not await self._probe(ask.target):
            raise errors.PeerError(f"{ask.target} does not answer")
        return ttypes.ProbeAck(vm=ask.target, news=self._news())

    async def _call(self, name: str, method: str, message: object) -> bool:
        member = self.view.members.get(name)
        if member is None:
            return False
        timeout_s = membership.PROBE_TIMEOUT_S
        if method == INDIRECT:
            timeout_s *= 2
        try:
            with anyio.fail_after(timeout_s):
                ack = await self.peers.call(
                    f"{member.vm.address}:{self.port}",
                    method,
                    message,
                    ttypes.ProbeAck,
                    timeout_s=timeout_s,
                )
        except (errors.IbisknotError, TimeoutError):
            return False
        self._take(ack.news)
        self.overheard_s = self.clock.now()
        return True

    async def _probe(self, name: str) -> bool:
        message = ttypes.Probe(vm=self.view.me, news=self._news(to=name))
        return await self._call(name, PROBE, message)

    async def probe_one(self, now: float) -> None:
        """Timer callback: probes one random VM."""
        membership.seed(self.view, self.listed(), now)
        name = membership.choose_target(self.view, self.choice)
        if name is None:
            return
        if await self._probe(name) or await self._probe_indirectly(name):
            membership.on_ack(self.view, name, self.clock.now())
            return
        member = self.view.members.get(name)
        if member is not None and member.suspected_s is None:
            logs.event("vm_suspected", vm=name)
        membership.on_probe_failed(self.view, name, self.clock.now())

    async def _probe_indirectly(self, name: str) -> bool:
        message = ttypes.IndirectProbe(
            vm=self.view.me, target=name, news=self._news()
        )
        answered = [False]

        async def ask(helper: str) -> None:
            if await self._call(helper, INDIRECT, message):
                answered[0] = True

        helpers = membership.choose_helpers(self.view, name, self.choice)
        async with anyio.create_task_group() as group:
            for helper in helpers:
                group.start_soon(ask, helper)
        return answered[0]
