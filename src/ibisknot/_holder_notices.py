"""Sends the holders of tickets what a scheduler decides by itself."""

from ibisknot import admission
from ibisknot import errors
from ibisknot import isolation
from ibisknot import logs
from ibisknot import peer
from ibisknot.gen.fleet import ttypes

NOTIFY_TIMEOUT_S = 0.3


class Notices:
    """Sends the notices of one scheduler; none is repeated.

    Attributes:
        name: Name of the scheduler.
        peers: Sends the messages.
        task_group: Runs the calls.
    """

    def __init__(
        self, name: str, peers: peer.Client, task_group: isolation.TaskStarter
    ) -> None:
        self.name = name
        self.peers = peers
        self.task_group = task_group

    def send_decision(self, holder: str, answer: ttypes.PlaceAnswer) -> None:
        """Sends the holder of a queued request the decision on it."""
        answer.scheduler = self.name
        self._send(holder, "place_answer", answer)

    def send_revocation(self, action: admission.Revoke) -> None:
        """Tells the holder of a ticket to give it back."""
        message = ttypes.PlaceRevoked(id=action.id, scheduler=self.name)
        self._send(action.holder, "place_revoked", message)

    def _send(self, address: str, method: str, message: object) -> None:
        self.task_group.start_soon(self._call, address, method, message)

    async def _call(self, address: str, method: str, message: object) -> None:
        try:
            await self.peers.call(
                address, method, message, timeout_s=NOTIFY_TIMEOUT_S
            )
        except errors.IbisknotError as error:
            logs.event(
                "push_failed", peer=address, method=method, cause=error.message
            )
