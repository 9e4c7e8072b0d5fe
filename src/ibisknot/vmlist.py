"""Client of the platform's list of active and draining VMs."""

import httpx
import msgspec

from ibisknot import errors
from ibisknot import settings

ACTIVE = "live"
DRAINING = "leaving"
"""The platform stops the VM soon; it gets no new work."""


class ListedVm(msgspec.Struct):
    """One VM in the platform's list.

    Attributes:
        name: The VM's unique name.
        data_centre: Name of its data centre.
        address: IP address of the VM.
        state: `ACTIVE` or `DRAINING`; a departed VM is not listed.
        has_disk: Whether it runs ibisknot-store.
    """

    name: str
    data_centre: str
    address: str
    state: str = ACTIVE
    has_disk: bool = False


class VmList:
    """Reads the platform's list and retains the last answer.

    Attributes:
        by_name: The listed VMs by name; empty before the first answer.
    """

    def __init__(self, list_settings: settings.VmList) -> None:
        self.list_settings = list_settings
        self.client = httpx.AsyncClient(
            timeout=list_settings.period_s * 2, trust_env=False
        )
        self.by_name: dict[str, ListedVm] = {}

    async def refresh(self) -> None:
        """Reads the list once.

        Raises:
            UnavailableError: The platform did not answer, or its answer is
                malformed; the last list is retained.
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
        """Returns the listed VMs that are not draining, sorted by name."""
        return [
            self.by_name[name]
            for name in sorted(self.by_name)
            if self.by_name[name].state == ACTIVE
        ]

    def store_vms(self) -> list[ListedVm]:
        """Returns the active VMs that run ibisknot-store, sorted by name."""
        return [vm for vm in self.active_vms() if vm.has_disk]
