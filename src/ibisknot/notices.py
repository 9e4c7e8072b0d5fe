"""Spreads crash fingerprints to all live VMs."""

from collections.abc import Callable

import anyio
from anyio import abc

from ibisknot import crashes
from ibisknot import errors
from ibisknot import logs
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.admission import ttypes

SPREAD_TIMEOUT_S = 0.3
"""The caller's answer waits for the spread, so that a resend meets it."""


class Notices:
    """Sends and takes crash notices.

    Attributes:
        register: What is known on this VM.
        down: Endpoints that crashed and have not answered since. They are
            asked before a request is sent there, because a request that meets
            a dead endpoint has not crashed it.
    """

    def __init__(
        self,
        server: peer.Server,
        peers: peer.Client,
        clock: timer.Timer,
        group: abc.TaskGroup,
        others: Callable[[], list[str]],
    ) -> None:
        """Starts to take notices.

        Args:
            server: Takes the notices of peers.
            peers: Calls peers.
            clock: The timer service.
            group: Runs what is not waited for.
            others: Returns the addresses of the other processes.
        """
        self.peers = peers
        self.clock = clock
        self.group = group
        self.others = others
        self.register = crashes.Register()
        self.down: set[str] = set()
        server.on("crash_notice", ttypes.CrashNotice, self.take)

    async def take(self, notice: ttypes.CrashNotice) -> None:
        """Peer method: takes a notice."""
        if notice.cleared:
            crashes.clear(self.register, notice.fingerprint)
            return
        crash = crashes.Crash(
            endpoint=notice.endpoint,
            request=notice.request,
            alone=notice.alone,
            strong=notice.strong,
        )
        now = self.clock.now()
        self.down.add(notice.endpoint)
        crashes.note(self.register, now, notice.fingerprint, crash)

    def verdict(self, mark: str) -> str:
        """Returns what is known about a fingerprint."""
        return crashes.verdict(self.register, mark)

    async def crashed(
        self, mark: str, crash: crashes.Crash, *, waits: bool = True
    ) -> str:
        """Notes and spreads a crash.

        Args:
            mark: The request's fingerprint.
            crash: What was seen.
            waits: Whether to return only when the others were told.

        Returns:
            The new verdict.
        """
        notice = ttypes.CrashNotice(
            fingerprint=mark,
            endpoint=crash.endpoint,
            request=crash.request,
            alone=crash.alone,
            cleared=False,
            strong=crash.strong,
        )
        await self.take(notice)
        logs.event(
            "crash_noted",
            level="warning",
            fingerprint=mark,
            endpoint=crash.endpoint,
            request=crash.request,
            alone=crash.alone,
            strong=crash.strong,
            verdict=self.verdict(mark),
        )
        if waits:
            await self._spread(notice)
        else:
            self.group.start_soon(self._spread, notice)
        return self.verdict(mark)

    def completed(self, mark: str) -> None:
        """Ends the suspicion of a request that ran to its end."""
        if not crashes.clear(self.register, mark):
            return
        notice = ttypes.CrashNotice(
            fingerprint=mark,
            endpoint="",
            request="",
            alone=False,
            cleared=True,
            strong=False,
        )
        self.group.start_soon(self._spread, notice)

    async def _spread(self, notice: ttypes.CrashNotice) -> None:
        with anyio.move_on_after(SPREAD_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for address in self.others():
                    group.start_soon(self._send, address, notice)

    async def _send(self, address: str, notice: ttypes.CrashNotice) -> None:
        try:
            await self.peers.call(address, "crash_notice", notice)
        except errors.IbisknotError:
            # A VM that is down needs no notice; a new one starts without
            # suspects and learns of them at the next crash.
            pass
