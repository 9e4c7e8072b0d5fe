"""Shares the crash history of requests between the processes of all VMs."""

from collections.abc import Callable

import anyio

from ibisknot import crashes
from ibisknot import errors
from ibisknot import isolation
from ibisknot import logs
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.admission import ttypes

NOTIFY_TIMEOUT_S = 0.3
"""Time within which the other processes are notified.

The caller's response waits for it, so that a resend to another VM is refused.
"""


class CrashNotices:
    """Sends and receives crash notices.

    Attributes:
        history: Crashes that this process has recorded.
        crashed_endpoints: Names of endpoints that crashed and have not
            answered since. They are probed before a request is sent to them,
            because a request to an endpoint that is already down has not
            crashed it.
    """

    def __init__(
        self,
        server: peer.Server,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        peer_addresses: Callable[[], list[str]],
    ) -> None:
        """Registers the peer method that receives notices.

        Args:
            server: Server of the peer method.
            peers: Client of the other processes.
            clock: Gives the monotonic time.
            task_group: Runs the sends whose end the caller does not await.
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
        """Peer method: records a crash, or removes those of a request.

        The message calls `exclusive` `alone`, and `before_first_token`
        `strong`.
        """
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
        """Returns the verdict on a fingerprint: clean, suspect or refused."""
        return crashes.verdict(self.history, fingerprint)

    async def report_crash(
        self,
        fingerprint: str,
        crash: crashes.Crash,
        *,
        wait_for_peers: bool = True,
    ) -> str:
        """Records a crash and notifies the other processes.

        Args:
            fingerprint: The request's fingerprint.
            crash: The crash.
            wait_for_peers: Whether to return only when the others have been
                notified, or `NOTIFY_TIMEOUT_S` has passed.

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
        """Removes the crashes of a request that ran to its end, everywhere."""
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
        """Sends a notice to the other processes within the timeout."""
        with anyio.move_on_after(NOTIFY_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                for address in self.peer_addresses():
                    task_group.start_soon(self._send, address, notice)

    async def _send(self, address: str, notice: ttypes.CrashNotice) -> None:
        try:
            await self.peers.call(address, "crash_notice", notice)
        except errors.IbisknotError:
            # A VM that is down needs no notice. When it starts again, its
            # history is empty until the next crash is reported.
            pass
