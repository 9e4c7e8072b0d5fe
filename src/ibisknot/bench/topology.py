"""Deployments of the users, which the bench starts on loopback."""

import msgspec
from msgspec import structs


class Topology(msgspec.Struct, frozen=True):
    """Sizes and delays of a deployment.

    Attributes:
        name: Name, as in the flag `--topology`.
        data_centres: Names of the data centres.
        vms: Count of entry VMs.
        stores: Count of these VMs that have a disk and run a store.
        engines: Count of model engines.
        delay_s: One-way delay between data centres, in seconds.
        client_delay_s: One-way delay between callers and VMs, in seconds.
        rates: Rate of each organisation, in requests a second; also its
            burst, in requests.
    """

    name: str
    data_centres: tuple[str, ...]
    vms: int
    stores: int
    engines: int
    delay_s: float
    client_delay_s: float
    rates: tuple[float, ...]

    def data_centre_of(self, index: int) -> str:
        """Returns the data centre of the VM or endpoint with an index."""
        return self.data_centres[index % len(self.data_centres)]

    def resized(self, *, vms: int, engines: int) -> "Topology":
        """Returns the same deployment with other counts of VMs and engines."""
        return structs.replace(self, vms=vms, engines=engines)


UMURUNGA = Topology(
    name="umurunga",
    data_centres=("kigali-1", "kigali-2", "kigali-3", "kigali-4"),
    vms=9,
    stores=4,
    engines=5,
    delay_s=0.0012,
    client_delay_s=0.003,
    rates=(60.0, 40.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0),
)
AUTHORITY = Topology(
    name="authority",
    data_centres=("hungary-1", "hungary-2", "hungary-3"),
    vms=9,
    stores=3,
    engines=9,
    delay_s=0.0003,
    client_delay_s=0.003,
    rates=(80.0, 60.0, 20.0, 10.0, 10.0, 10.0, 10.0, 10.0),
)
TOPOLOGIES = {t.name: t for t in (UMURUNGA, AUTHORITY)}
