"""Client of claims: begins and ends them at the VMs that own their shards."""

from collections.abc import Callable

import anyio

from ibisknot import claims
from ibisknot import claims_owner
from ibisknot import errors
from ibisknot import logs
from ibisknot import ownership
from ibisknot import peer
from ibisknot import vmlist
from ibisknot.gen.claims import ttypes

JOIN_WAIT_S = 25.0
"""Time for which a resend waits for the running request."""
BEGIN_TIMEOUT_S = 0.5
DURABLE_TIMEOUT_S = 8.0
"""Timeout to begin a durable claim, which includes its commit."""
END_TIMEOUT_S = 1.0
END_ATTEMPTS = 5
END_RETRY_DELAY_S = 0.5


class Client:
    """Begins and ends claims at the owners of their shards.

    Attributes:
        vm: Name of this VM.
        active_vms: Returns the VMs that may own shards.
        port: Port at which the VMs serve peers.
        owner: Owner of claims on this VM, called without the network.
    """

    def __init__(
        self,
        *,
        vm: str,
        peers: peer.Client,
        active_vms: Callable[[], list[vmlist.ListedVm]],
        port: int,
    ) -> None:
        self.vm = vm
        self.peers = peers
        self.active_vms = active_vms
        self.port = port
        self.owner: claims_owner.Owner | None = None

    def preferred_owner(self, shard: int) -> str | None:
        """Returns the VM that should own a shard, None if there is no VM."""
        names = [vm.name for vm in self.active_vms()]
        return ownership.preferred_owner(claims.SHARD_KIND, shard, names)

    def _address(self, vm: str | None) -> str:
        """Returns the address of a VM.

        Raises:
            PeerError: The VM is not active.
        """
        for listed in self.active_vms():
            if listed.name == vm:
                return f"{listed.address}:{self.port}"
        raise errors.PeerError(
            "no active VM owns the claims shard", ran=errors.NOT_RUN
        )

    async def begin(
        self, claim_id: str, digest: str, request_id: str, *, durable: bool
    ) -> ttypes.ClaimDecision:
        """Claims a request; waits while another one runs under the claim.

        Args:
            claim_id: Id of the claim.
            digest: Digest by which a resend is recognised.
            request_id: Id of this request.
            durable: Whether the claim is committed before the request may run.

        Returns:
            The decision; `RUNNING` if another request still runs after
            `JOIN_WAIT_S`.

        Raises:
            IbisknotError: The owner was not reached, or refused.
        """
        message = ttypes.ClaimBegin(
            claim=claim_id,
            digest=digest,
            vm=self.vm,
            request=request_id,
            durable=durable,
            wait_s=0.0,
        )
        timeout_s = DURABLE_TIMEOUT_S if durable else BEGIN_TIMEOUT_S
        decision = await self._call_begin(message, timeout_s)
        if decision.decision == ttypes.Decision.RUNNING:
            message.wait_s = JOIN_WAIT_S
            decision = await self._call_begin(message, JOIN_WAIT_S + timeout_s)
        return decision

    async def _call_begin(
        self, message: ttypes.ClaimBegin, timeout_s: float
    ) -> ttypes.ClaimDecision:
        owner_vm = self.preferred_owner(claims.shard_of(message.claim))
        if owner_vm == self.vm and self.owner is not None:
            return await self.owner.on_begin(message)
        return await self.peers.call(
            self._address(owner_vm),
            "claim_begin",
            message,
            ttypes.ClaimDecision,
            timeout_s=timeout_s,
        )

    async def end(self, message: ttypes.ClaimEnd) -> None:
        """Ends a claim at its owner, with `END_ATTEMPTS` attempts."""
        for _ in range(END_ATTEMPTS):
            owner_vm = self.preferred_owner(claims.shard_of(message.claim))
            try:
                if owner_vm == self.vm and self.owner is not None:
                    await self.owner.on_end(message)
                    return
                await self.peers.call(
                    self._address(owner_vm),
                    "claim_end",
                    message,
                    timeout_s=END_TIMEOUT_S,
                )
                return
            except errors.IbisknotError as error:
                cause = error.message
                await anyio.sleep(END_RETRY_DELAY_S)
        logs.event("claim_end_failed", level="warning", cause=cause)
