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

NOTIFY_TIMEOUT_S = 0.3
"""The caller's answer waits for the spread, so that a resend meets it."""


class CrashNotices:
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
        task_group: abc.TaskGroup,
        peer_addresses: Callable[[], list[str]],
    ) -> None:
        """Starts to take notices.

        Args:
            server: Takes the notices of peers.
            peers: Calls peers.
            clock: The timer service.
            task_group: Runs the sends that no caller waits for.
            peer_addresses: Returns the addresses of the other processes.
        """
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.peer_addresses = peer_addresses
        self.history = crashes.CrashHistory()
        self.crashed_endpoints: set[str] = set()
        server.on("crash_notice", ttypes.CrashNotice, self.receive)

    async def receive(self, notice: ttypes.CrashNotice) -> None:
        """Peer method: takes a notice."""
        if notice.cleared:
            crashes.clear(self.history, notice.fingerprint)
            return
        crash = crashes.Crash(
            endpoint=notice.endpoint,
            request_id=notice.request,
            exclusive=notice.alone,
            before_first_token=notice.strong,
        )
        now = self.clock.now()
        self.crashed_endpoints.add(notice.endpoint)
        crashes.record_crash(self.history, now, notice.fingerprint, crash)

    def verdict(self, fingerprint: str) -> str:
        """Returns what is known about a fingerprint."""
        return crashes.verdict(self.history, fingerprint)

    async def report_crash(
        self,
        fingerprint: str,
        crash: crashes.Crash,
        *,
        wait_for_peers: bool = True,
    ) -> str:
        """Notes and spreads a crash.

        Args:
            fingerprint: The request's fingerprint.
            crash: What was seen.
            wait_for_peers: Whether to return only when the peers have been
                notified, or have timed out.

        Returns:
            The new verdict.
        """
        notice = ttypes.CrashNotice(
            fingerprint=fingerprint,
            endpoint=crash.endpoint,
            request=crash.request_id,
            alone=crash.exclusive,
            cleared=False,
            strong=crash.before_first_token,
        )
        await self.receive(notice)
        logs.event(
            "crash_noted",
            level="warning",
            fingerprint=fingerprint,
            endpoint=crash.endpoint,
            request=crash.request_id,
            alone=crash.exclusive,
            strong=crash.before_first_token,
            verdict=self.verdict(fingerprint),
        )
        if wait_for_peers:
            await self._notify_peers(notice)
        else:
            self.task_group.start_soon(self._notify_peers, notice)
        return self.verdict(fingerprint)

    def record_completion(self, fingerprint: str) -> None:
        """Ends the suspicion of a request that ran to its end."""
        if not crashes.clear(self.history, fingerprint):
            return
        notice = ttypes.CrashNotice(
            fingerprint=fingerprint,
            endpoint="",
            request="",
            alone=False,
            cleared=True,
            strong=False,
        )
        self.task_group.start_soon(self._notify_peers, notice)

    async def _notify_peers(self, notice: ttypes.CrashNotice) -> None:
        with anyio.move_on_after(NOTIFY_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for address in self.peer_addresses():
                    group.start_soon(self._send, address, notice)

    async def _send(self, address: str, notice: ttypes.CrashNotice) -> None:
        try:
            await self.peers.call(address, "crash_notice", notice)
        except errors.IbisknotError:
            # A VM that is down needs no notice; a new one starts without
            # suspects and learns of them at the next crash.
            pass
