"""Links of the fault proxies between the processes of a local fleet.

A link is one proxied route. Its name is `FROM/KIND/TO`, for example
`vm-1/peer/vm-2:7000`, so that a shell pattern selects all links from or to a
VM, endpoint or service.
"""

import dataclasses
from urllib import parse

from ibisknot.bench import _fleet_types
from ibisknot.bench import topology as topology_module
from ibisknot.standins import standin_proxy

PEER_PORTS = {"entry": 7000, "batch": 7001, "store": 7002}
"""Port at which each program of a VM receives its peers' messages."""
FIRST_LINK_PORT = 10_000
ADMIN_PORT = 9300


@dataclasses.dataclass(slots=True)
class Network:
    """All links of a fleet.

    Attributes:
        links: The links that each data centre's proxy serves.
        address_overrides: For each VM, the address of the link to connect to
            by the address that it replaces.
        urls: Base URL of each link, by link name.
    """

    links: dict[str, list[standin_proxy.Link]]
    address_overrides: dict[str, dict[str, str]]
    urls: dict[str, str]


@dataclasses.dataclass(slots=True)
class _Builder:
    topology: topology_module.Topology
    delays: bool
    subnet: str
    network: Network

    def add_link(
        self, name: str, target: str, *, centre: str, delay_s: float
    ) -> str:
        """Adds a link to a data centre's proxy; returns its listen address."""
        links = self.network.links[centre]
        host = proxy_host(self.topology, self.subnet, centre)
        listen = f"{host}:{FIRST_LINK_PORT + len(links)}"
        faults = standin_proxy.Faults(delay_s=delay_s if self.delays else 0.0)
        links.append(standin_proxy.Link(name, listen, target, faults))
        self.network.urls[name] = f"http://{listen}"
        return listen

    def delay_between(self, one: str, other: str) -> float:
        """Returns the one-way delay between two data centres, in seconds."""
        return 0.0 if one == other else self.topology.delay_s


def proxy_host(
    topology: topology_module.Topology, subnet: str, centre: str
) -> str:
    """Returns the IP address of a data centre's fault proxy."""
    index = topology.data_centres.index(centre)
    return f"{subnet}.{_fleet_types.FIRST_PROXY_OCTET + index}"


def build_network(
    options: _fleet_types.Options,
    subnet: str,
    vms: list[_fleet_types.Vm],
    endpoints: list[tuple[str, str, str]],
    platform: dict[str, str],
) -> Network:
    """Returns all links of a fleet, and sets the VMs' `entry_url` to theirs.

    Args:
        options: How the fleet is started.
        subnet: The first three numbers of its IP addresses.
        vms: Its VMs.
        endpoints: Name, base URL and data centre of each endpoint.
        platform: Base URLs of the platform's services by name.
    """
    topology = options.topology
    links: dict[str, list[standin_proxy.Link]] = {
        centre: [] for centre in topology.data_centres
    }
    address_overrides: dict[str, dict[str, str]] = {vm.name: {} for vm in vms}
    network = Network(links, address_overrides, {})
    builder = _Builder(topology, options.delays, subnet, network)
    for vm in vms:
        _link_peers(builder, vm, vms)
        _link_endpoints(builder, vm, endpoints)
        for name, url in platform.items():
            builder.add_link(
                f"{vm.name}/platform/{name}",
                parse.urlsplit(url).netloc,
                centre=vm.data_centre,
                delay_s=0.0,
            )
        vm.entry_url = "http://" + builder.add_link(
            f"callers/entry/{vm.name}",
            f"{vm.address}:{_fleet_types.ENTRY_PORT}",
            centre=vm.data_centre,
            delay_s=topology.client_delay_s,
        )
    return network


def _link_peers(
    builder: _Builder, vm: _fleet_types.Vm, vms: list[_fleet_types.Vm]
) -> None:
    for other in vms:
        if other.name == vm.name:
            continue
        for program, port in PEER_PORTS.items():
            if program == "store" and not other.has_disk:
                continue
            address = f"{other.address}:{port}"
            builder.network.address_overrides[vm.name][address] = (
                builder.add_link(
                    f"{vm.name}/peer/{other.name}:{port}",
                    address,
                    centre=vm.data_centre,
                    delay_s=builder.delay_between(
                        vm.data_centre, other.data_centre
                    ),
                )
            )


def _link_endpoints(
    builder: _Builder,
    vm: _fleet_types.Vm,
    endpoints: list[tuple[str, str, str]],
) -> None:
    for name, url, centre in endpoints:
        address = parse.urlsplit(url).netloc
        builder.network.address_overrides[vm.name][address] = builder.add_link(
            f"{vm.name}/endpoint/{name}",
            address,
            centre=vm.data_centre,
            delay_s=builder.delay_between(vm.data_centre, centre),
        )
