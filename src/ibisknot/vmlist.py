"""Client of the platform's list of live and leaving VMs."""

import httpx
import msgspec

from ibisknot import errors
from ibisknot import settings

LIVE = "live"
LEAVING = "leaving"


class ListedVm(msgspec.Struct):
    """One VM in the platform's list.

    Attributes:
        name: The VM's unique name.
        data_centre: Where it runs.
        address: Its IP number.
        state: `live` or `leaving`; a VM that is gone is not listed.
        has_disk: Whether it runs a store.
    """

    name: str
    data_centre: str
    address: str
    state: str = LIVE
    has_disk: bool = False


class VmList:
    """Reads the platform's list and keeps the last answer."""

    def __init__(self, target: settings.VmList) -> None:
        self.target = target
        self.client = httpx.AsyncClient(
            timeout=target.period_s * 2, trust_env=False
        )
        self.vms: dict[str, ListedVm] = {}

    async def refresh(self) -> None:
        """Reads the list once.

        Raises:
            UnavailableError: The platform did not answer; the last list stays.
        """
        try:
            response = await self.client.get(self.target.url)
            response.raise_for_status()
            vms = msgspec.json.decode(response.content, type=list[ListedVm])
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            message = f"the VM list is not available: {error!r}"
            raise errors.UnavailableError(message) from None
        self.vms = {vm.name: vm for vm in vms}

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    def live(self) -> list[ListedVm]:
        """Returns the live VMs by name."""
        return [
            self.vms[name]
            for name in sorted(self.vms)
            if self.vms[name].state == LIVE
        ]

    def stores(self) -> list[ListedVm]:
        """Returns the live VMs that run a store."""
        return [vm for vm in self.live() if vm.has_disk]
