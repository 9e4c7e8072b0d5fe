"""Sends and answers the probes that `membership` decides on."""

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

PROBE_METHOD = "membership_probe"
INDIRECT_PROBE_METHOD = "membership_indirect_probe"


def _to_wire(update: membership.Update) -> ttypes.News:
    return ttypes.News(
        members=[
            ttypes.MemberUpdate(
                vm=u.vm, suspect=u.is_suspected, incarnation=u.incarnation
            )
            for u in update.member_updates
        ],
        payloads=[
            ttypes.PayloadDelta(
                vm=p.vm, name=p.name, version=p.version, data=p.data
            )
            for p in update.payloads
        ],
    )


def _from_wire(update: ttypes.News) -> membership.Update:
    return membership.Update(
        member_updates=[
            membership.MemberUpdate(u.vm, u.suspect, u.incarnation)
            for u in update.members
        ],
        payloads=[
            membership.Payload(p.vm, p.name, p.version, p.data)
            for p in update.payloads
        ],
    )


class Runner:
    """Keeps one VM's membership view up to date.

    Attributes:
        view: The view.
        listed_vms: Returns the VMs on the platform's list.
        port: Peer port of every VM.
        last_answer_s: Monotonic time of the last answer from any peer.
    """

    def __init__(
        self,
        *,
        vm: str,
        listed_vms: Callable[[], list[vmlist.ListedVm]],
        peers: peer.Client,
        port: int,
        clock: timer.Timer,
    ) -> None:
        incarnation = int(time.time() * 1000)
        self.view = membership.create(vm, incarnation=incarnation)
        self.listed_vms = listed_vms
        self.peers = peers
        self.port = port
        self.clock = clock
        self.rng = random.Random()
        self.last_answer_s = clock.now()
        membership.apply_vm_list(self.view, listed_vms(), clock.now())

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic probe."""
        server.on(PROBE_METHOD, ttypes.Probe, self._on_probe)
        server.on(
            INDIRECT_PROBE_METHOD, ttypes.IndirectProbe, self._on_indirect_probe
        )
        self.clock.subscribe(
            "membership", membership.PROBE_PERIOD_S, self.probe_random_vm
        )

    def _compose_update(self, *, receiver: str = "") -> ttypes.News:
        return _to_wire(membership.compose_update(self.view, receiver=receiver))

    def _apply_update(self, update: ttypes.News) -> None:
        membership.apply_update(self.view, _from_wire(update), self.clock.now())

    async def _on_probe(self, probe: ttypes.Probe) -> ttypes.ProbeAck:
        """Peer method: applies the sender's update and returns the own one."""
        self._apply_update(probe.news)
        return ttypes.ProbeAck(
            vm=self.view.own_name, news=self._compose_update(receiver=probe.vm)
        )

    async def _on_indirect_probe(
        self, request: ttypes.IndirectProbe
    ) -> ttypes.ProbeAck:
        """Peer method: probes a third VM for the sender.

        Raises:
            PeerError: The target does not answer.
        """
        self._apply_update(request.news)
        if not await self._probe_directly(request.target):
            raise errors.PeerError(f"{request.target} does not answer")
        return ttypes.ProbeAck(vm=request.target, news=self._compose_update())

    async def _send(self, name: str, method: str, message: object) -> bool:
        """Sends a probe and applies the answer's update.

        Returns:
            Whether the VM answered in time. An indirect probe has twice the
            time because the VM sends a probe itself.
        """
        member = self.view.members.get(name)
        if member is None:
            return False
        timeout_s = membership.PROBE_TIMEOUT_S
        if method == INDIRECT_PROBE_METHOD:
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
        self._apply_update(ack.news)
        self.last_answer_s = self.clock.now()
        return True

    async def _probe_directly(self, name: str) -> bool:
        message = ttypes.Probe(
            vm=self.view.own_name, news=self._compose_update(receiver=name)
        )
        return await self._send(name, PROBE_METHOD, message)

    async def probe_random_vm(self, now: float) -> None:
        """Timer callback: probes one random VM and records the result."""
        membership.apply_vm_list(self.view, self.listed_vms(), now)
        name = membership.choose_probe_target(self.view, self.rng)
        if name is None:
            return
        if await self._probe_directly(name) or await self._probe_indirectly(
            name
        ):
            membership.record_ack(self.view, name, self.clock.now())
            return
        member = self.view.members.get(name)
        if member is not None and member.suspected_s is None:
            logs.event("vm_suspected", vm=name)
        membership.record_probe_failure(self.view, name, self.clock.now())

    async def _probe_indirectly(self, name: str) -> bool:
        """Returns whether a VM answers a probe through any other VM."""
        message = ttypes.IndirectProbe(
            vm=self.view.own_name, target=name, news=self._compose_update()
        )
        answered = [False]

        async def probe_through(helper: str) -> None:
            if await self._send(helper, INDIRECT_PROBE_METHOD, message):
                answered[0] = True

        helpers = membership.choose_helpers(self.view, name, self.rng)
        async with anyio.create_task_group() as task_group:
            for helper in helpers:
                task_group.start_soon(probe_through, helper)
        return answered[0]
