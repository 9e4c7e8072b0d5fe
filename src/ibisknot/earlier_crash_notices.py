"""Tells gateways of earlier builds of crashes under a request.

Builds up to c14e653 count the notices of a request themselves. Later ones do
not know this message.
"""

from collections.abc import Iterable

import anyio

from ibisknot import crash_confirmation
from ibisknot import errors
from ibisknot import peer
from ibisknot.gen.admission import ttypes

METHOD = "crash_notice"
TIMEOUT_S = 0.4


async def tell(
    peers: peer.Client,
    addresses: Iterable[str],
    endpoint: str,
    candidates: Iterable[crash_confirmation.Candidate],
) -> None:
    """Tells processes of a crash.

    Args:
        peers: Client of the other processes.
        addresses: Their addresses.
        endpoint: Name and start of the endpoint.
        candidates: The requests that were in progress.
    """
    notices = [
        ttypes.CrashNotice(
            fingerprint=candidate.name,
            endpoint=endpoint,
            request=endpoint,
            alone=False,
            cleared=False,
            strong=True,
        )
        for candidate in candidates
        if candidate.name
    ]
    async with anyio.create_task_group() as task_group:
        for address in addresses:
            for notice in notices:
                task_group.start_soon(_send, peers, address, notice)


async def _send(
    peers: peer.Client, address: str, notice: ttypes.CrashNotice
) -> None:
    try:
        await peers.call(address, METHOD, notice, timeout_s=TIMEOUT_S)
    except errors.IbisknotError:
        return
