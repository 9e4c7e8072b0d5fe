"""Calls to a running fleet: operators, platform stand-ins and network."""

import pathlib
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import api_keys
from ibisknot import errors
from ibisknot import vmlist
from ibisknot.bench import _fleet_types
from ibisknot.bench import links

IN_FORCE_POLL_PERIOD_S = 0.02


class FleetControl:
    """State of a fleet, and the calls that start or end no process.

    Attributes:
        options: How the fleet is started.
        folder: Folder of the settings, logs and data of its processes.
        subnet: The first three numbers of its IP addresses.
        vms: Its VMs by name.
        endpoints: Its endpoints by name.
        platform_processes: Stand-ins of the platform and fault proxies by
            name.
        organisation_keys: The API key of each organisation by name.
        operator_key: The API key of the fleet's operator.
        listed_vms: The VMs that the platform's list should show, by name.
        crash_counts: Crashes so far by endpoint.
        network: The links of the fault proxies; None without proxies.
    """

    def __init__(
        self, options: _fleet_types.Options, folder: pathlib.Path
    ) -> None:
        self.options = options
        self.folder = folder
        self.subnet = _fleet_types.find_free_subnet()
        self.vms: dict[str, _fleet_types.Vm] = {}
        self.endpoints: dict[str, _fleet_types.Endpoint] = {}
        self.platform_processes: dict[str, _fleet_types.Process] = {}
        self.organisation_keys: dict[str, str] = {}
        self.operator_key = api_keys.create()
        self.listed_vms: dict[str, vmlist.ListedVm] = {}
        self.crash_counts: dict[str, int] = {}
        self.network: links.Network | None = None
        self.client = httpx.AsyncClient(timeout=10.0, trust_env=False)
        host = f"{self.subnet}.{_fleet_types.PLATFORM_HOST_OCTET}"
        self.key_value_url = f"http://{host}:2379"
        self.vm_list_url = f"http://{host}:2380"
        self.weights_url = f"http://{host}:2381"

    async def post(self, url: str, body: Any) -> Any:
        """Posts JSON to a stand-in and returns the JSON of its response."""
        response = await self.client.post(
            url, content=msgspec.json.encode(msgspec.to_builtins(body))
        )
        response.raise_for_status()
        return response.json()

    def operator_headers(self) -> dict[str, str]:
        """Returns the headers of an operator's call."""
        return {"authorization": f"Bearer {self.operator_key}"}

    async def call_operator(
        self, method: str, path: str, body: Any = None, *, vm: str = "vm-1"
    ) -> httpx.Response:
        """Calls the operator API of a VM; `path` follows `/operator`."""
        content = None if body is None else msgspec.json.encode(body)
        return await self.client.request(
            method,
            f"{self.vms[vm].direct_url()}/operator{path}",
            content=content,
            headers=self.operator_headers(),
        )

    async def confirm_intent(self, intent: Any, *, vm: str = "vm-1") -> int:
        """Plans and confirms an intent; returns the new version."""
        response = await self.call_operator("POST", "/plans", intent, vm=vm)
        response.raise_for_status()
        path = f"/plans/{response.json()['id']}/confirm"
        response = await self.call_operator("POST", path, vm=vm)
        response.raise_for_status()
        return int(response.json()["version"])

    async def wait_in_force(
        self, version: int, *, timeout_s: float = 30.0, vm: str = "vm-1"
    ) -> float:
        """Waits until a version is in force on every VM that the status lists.

        Args:
            version: The configuration version; a later one also counts.
            timeout_s: Longest wait, in seconds.
            vm: The VM whose status is polled.

        Returns:
            The seconds that it took.

        Raises:
            UnavailableError: It was not in force on all VMs in time.
        """
        start_s = anyio.current_time()
        while anyio.current_time() - start_s < timeout_s:
            response = await self.call_operator("GET", "/status", vm=vm)
            vms = response.json()["vms"]
            if vms and all((vm["version"] or 0) >= version for vm in vms):
                return anyio.current_time() - start_s
            await anyio.sleep(IN_FORCE_POLL_PERIOD_S)
        raise errors.UnavailableError(f"version {version} is not in force")

    async def drain_endpoint(self, name: str, *, vm: str = "vm-1") -> int:
        """Drains an endpoint by an intent; returns the new version."""
        intent = {"endpoints": {name: {"state": "leaving"}}}
        return await self.confirm_intent(intent, vm=vm)

    async def set_key_value_faults(self, **faults: Any) -> None:
        """Sets the faults of the key-value service."""
        await self.post(f"{self.key_value_url}/admin/faults", faults)

    async def read_key_value_calls(self) -> dict[str, Any]:
        """Returns the count of key-value calls so far by kind."""
        url = f"{self.key_value_url}/admin/calls"
        return (await self.client.get(url)).json()

    async def publish_vms(self) -> None:
        """Replaces the platform's list by `listed_vms`."""
        await self.post(
            f"{self.vm_list_url}/admin/vms", list(self.listed_vms.values())
        )

    async def unlist_vm(self, name: str) -> None:
        """Removes a VM from the platform's list, as after its departure."""
        self.listed_vms.pop(name, None)
        await self.publish_vms()

    async def list_vm(self, name: str, state: str = vmlist.ACTIVE) -> None:
        """Lists a VM in a state of `vmlist`: active or draining."""
        vm = self.vms[name]
        self.listed_vms[name] = vmlist.ListedVm(
            vm.name, vm.data_centre, vm.address, state, vm.has_disk
        )
        await self.publish_vms()

    async def set_link_faults(self, pattern: str, **faults: Any) -> int:
        """Changes faults of the links whose names match a pattern.

        Args:
            pattern: Shell pattern of link names (see `links`).
            **faults: Fields of `standin_proxy.Faults` to change.

        Returns:
            The number of links changed.

        Raises:
            UnavailableError: The fleet runs without fault proxies.
        """
        if self.network is None:
            raise errors.UnavailableError("the fleet has no fault proxies")
        changed_links = 0
        for centre in self.options.topology.data_centres:
            response = await self.post(
                f"{self.proxy_url(centre)}/admin/faults",
                {"pattern": pattern, "faults": faults},
            )
            changed_links += response["changed"]
        return changed_links

    def proxy_url(self, centre: str) -> str:
        """Returns the admin URL of a data centre's fault proxy."""
        host = links.proxy_host(self.options.topology, self.subnet, centre)
        return f"http://{host}:{links.ADMIN_PORT}"

    async def isolate_vm(self, name: str, *, drop_bytes: bool = True) -> None:
        """Cuts a VM off from peers, endpoints and platform, not from callers.

        Args:
            name: Name of the VM.
            drop_bytes: Whether the links drop all bytes and keep connections
                open, as when a switch fails; otherwise connections are closed
                and refused.
        """
        faults = {"half_open": True} if drop_bytes else {"cut": True}
        await self.set_link_faults(f"{name}/*", **faults)
        await self.set_link_faults(f"*/peer/{name}:*", **faults)

    async def heal_vm(self, name: str) -> None:
        """Ends `isolate_vm`; connections that lost bytes are closed."""
        faults = {"half_open": False, "cut": False}
        await self.set_link_faults(f"{name}/*", **faults)
        await self.set_link_faults(f"*/peer/{name}:*", **faults)

    def initial_intent(self) -> dict[str, Any]:
        """Creates the organisations' keys; returns the first intent."""
        organisations = {}
        for index, rate in enumerate(self.options.topology.rates):
            name = f"organisation-{index + 1}"
            key = api_keys.create()
            self.organisation_keys[name] = key
            organisations[name] = {
                "rate_per_s": rate,
                "burst": rate,
                "keys": {"first": {"digest": api_keys.digest(key)}},
            }
        endpoints = {
            e.name: {
                "kind": e.kind,
                "url": e.url,
                "serves": [_fleet_types.MODEL]
                if e.kind == "engine"
                else ["plain"],
                "data_centre": e.data_centre,
            }
            for e in self.endpoints.values()
        }
        return {
            "organisations": organisations,
            "models": {_fleet_types.MODEL: {"version": "1"}},
            "endpoints": endpoints,
            "routes": {
                _fleet_types.ANONYMOUS_ROUTE: {
                    "service": "plain",
                    "open": True,
                },
                _fleet_types.PLAIN_ROUTE: {"service": "plain"},
                _fleet_types.NON_IDEMPOTENT_ROUTE: {
                    "service": "plain",
                    "idempotent": False,
                },
            },
        }

    def describe(self) -> dict[str, Any]:
        """Returns URLs, keys and pids, as `ibisknot-load fleet` prints them."""
        return {
            "base_urls": [f"{vm.url()}/v1" for vm in self.vms.values()],
            "organisations": [
                {"name": name, "key": key}
                for name, key in self.organisation_keys.items()
            ],
            "models": [_fleet_types.MODEL],
            "plain_routes": [
                f"/services/{name}"
                for name in (
                    _fleet_types.ANONYMOUS_ROUTE,
                    _fleet_types.PLAIN_ROUTE,
                    _fleet_types.NON_IDEMPOTENT_ROUTE,
                )
            ],
            "operator_url": self.vms["vm-1"].direct_url(),
            "operator_key": self.operator_key,
            "key_value_url": self.key_value_url,
            "vms": [
                {
                    "name": vm.name,
                    "data_centre": vm.data_centre,
                    "pids": [p.handle.pid for p in vm.processes.values()],
                }
                for vm in self.vms.values()
            ],
            "endpoints": [
                {"name": e.name, "url": e.url, "pid": e.process.handle.pid}
                for e in self.endpoints.values()
            ],
        }
