"""Client of the platform's list of live and leaving VMs."""

import httpx
import msgspec

from ibisknot import errors
from ibisknot import settings

ACTIVE = "live"
DRAINING = "leaving"


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
    state: str = ACTIVE
    has_disk: bool = False


class VmList:
    """Reads the platform's list and keeps the last answer."""

    def __init__(self, list_settings: settings.VmList) -> None:
        self.list_settings = list_settings
        self.client = httpx.AsyncClient(
            timeout=list_settings.period_s * 2, trust_env=False
        )
        self.by_name: dict[str, ListedVm] = {}

    async def refresh(self) -> None:
        """Reads the list once.

        Raises:
            UnavailableError: The platform did not answer; the last list stays.
        """
        try:
            response = await self.client.get(self.list_settings.url)
            response.raise_for_status()
            vms = msgspec.json.decode(response.content, type=list[ListedVm])
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            message = f"the VM list is not available: {error!r}"
            raise errors.UnavailableError(message) from None
        self.by_name = {vm.name: vm for vm in vms}

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    def active_vms(self) -> list[ListedVm]:
        """Returns the live VMs by name."""
        return [
            self.by_name[name]
            for name in sorted(self.by_name)
            if self.by_name[name].state == ACTIVE
        ]

    def store_vms(self) -> list[ListedVm]:
        """Returns the live VMs that run a store."""
        return [vm for vm in self.active_vms() if vm.has_disk]
