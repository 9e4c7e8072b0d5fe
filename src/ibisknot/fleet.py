"""Starts a local fleet with its stand-ins, and injects faults into it."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import errors
from ibisknot import keys
from ibisknot import topology as topology_module
from ibisknot import vmlist

MODEL = "small"
OPEN_ROUTE = "notice"
ONCE_ROUTE = "bids"
PLAIN_ROUTE = "quotes"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
ENTRY_PORT = 8080
PLATFORM_HOST = 200
ENGINE_HOST = 100
PLAIN_HOST = 150


@dataclasses.dataclass(slots=True)
class Process:
    """A started program."""

    name: str
    command: list[str]
    log: pathlib.Path
    handle: subprocess.Popen[bytes]

    def alive(self) -> bool:
        """Returns whether it still runs."""
        return self.handle.poll() is None


@dataclasses.dataclass(slots=True)
class Vm:
    """A VM of the fleet with its processes by program."""

    name: str
    data_centre: str
    address: str
    has_disk: bool
    processes: dict[str, Process]

    def url(self) -> str:
        """Returns the base URL of its entry."""
        return f"http://{self.address}:{ENTRY_PORT}"


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An engine or plain service of the fleet."""

    name: str
    kind: str
    url: str
    data_centre: str
    process: Process


@dataclasses.dataclass(slots=True)
class Options:
    """How a fleet is started.

    Attributes:
        topology: Sizes and delays.
        policy: `fleet`, or `naive` for the baseline.
        seed: Seed of all random choices of the bench.
        engine_flags: Extra arguments of the engine stand-ins.
        delays: Whether the fault proxy adds the delays between data centres.
        programs: Programs to start on each VM; a store only with a disk.
        entry: Extra settings of the entries.
        batch: Extra settings of the batch processes.
    """

    topology: topology_module.Topology
    policy: str = "fleet"
    seed: int = 0
    engine_flags: list[str] = dataclasses.field(default_factory=list)
    delays: bool = False
    programs: tuple[str, ...] = ("entry", "batch", "store")
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    batch: dict[str, Any] = dataclasses.field(default_factory=dict)


def free_subnet() -> str:
    """Returns the first three numbers of an unused loopback subnet."""
    choice = random.SystemRandom()
    for _ in range(200):
        subnet = f"127.{choice.randint(16, 250)}.{choice.randint(0, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{subnet}.{PLATFORM_HOST}", 2379))
            except OSError:
                continue
            return subnet
    raise errors.UnavailableError("no free loopback subnet found")


class Fleet:
    """A running local fleet.

    Attributes:
        vms: Its VMs by name.
        endpoints: Its endpoints by name.
        organisations: The key of each organisation by name.
    """

    def __init__(self, options: Options, folder: pathlib.Path) -> None:
        self.options = options
        self.folder = folder
        self.subnet = free_subnet()
        self.vms: dict[str, Vm] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.platform: dict[str, Process] = {}
        self.organisations: dict[str, str] = {}
        self.operator_key = keys.create()
        self.listed: dict[str, vmlist.ListedVm] = {}
        self.client = httpx.AsyncClient(timeout=10.0, trust_env=False)
        host = f"{self.subnet}.{PLATFORM_HOST}"
        self.key_value_url = f"http://{host}:2379"
        self.vm_list_url = f"http://{host}:2380"
        self.weights_url = f"http://{host}:2381"
        self.proxy_url = f"http://{host}:9300"

    def spawn(self, name: str, program: str, *arguments: str) -> Process:
        """Starts a program; its output goes to a log file."""
        binary = pathlib.Path(sys.executable).parent / program
        command = [str(binary), *arguments]
        log = self.folder / f"{name}.log"
        with log.open("ab") as stream:
            handle = subprocess.Popen(
                command,
                stdout=stream,
                stderr=stream,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        return Process(name, command, log, handle)

    def _start_platform(self) -> None:
        host = f"{self.subnet}.{PLATFORM_HOST}"
        seed = str(self.options.seed)
        table = {
            "keyvalue": ("2379", ["--seed", seed]),
            "vms": ("2380", []),
            "weights": ("2381", []),
            "proxy": ("9300", ["--seed", seed]),
        }
        for name, (port, flags) in table.items():
            self.platform[name] = self.spawn(
                name,
                f"ibisknot-standin-{name}",
                "--address",
                host,
                "--port",
                port,
                *flags,
            )

    def _start_endpoints(self) -> None:
        for number in range(self.options.topology.engines):
            self.start_engine(number)
        host = f"{self.subnet}.{PLAIN_HOST}"
        process = self.spawn(
            "plain-1", "ibisknot-standin-plain", "--address", host
        )
        self.endpoints["plain-1"] = Endpoint(
            "plain-1",
            "service",
            f"http://{host}:9100",
            self.options.topology.centre(0),
            process,
        )

    def start_engine(self, number: int) -> None:
        """Starts an engine, also after it crashed."""
        name = f"engine-{number + 1}"
        host = f"{self.subnet}.{ENGINE_HOST + number}"
        process = self.spawn(
            name,
            "ibisknot-standin-engine",
            "--address",
            host,
            "--models",
            MODEL,
            *self.options.engine_flags,
        )
        self.endpoints[name] = Endpoint(
            name,
            "engine",
            f"http://{host}:9000",
            self.options.topology.centre(number),
            process,
        )

    def _settings(self, vm: Vm, program: str) -> pathlib.Path:
        common: dict[str, Any] = {
            "vm": {
                "name": vm.name,
                "data_centre": vm.data_centre,
                "address": vm.address,
            },
            "key_value": {"url": self.key_value_url},
            "vm_list": {"url": f"{self.vm_list_url}/vms"},
        }
        if program == "entry":
            common["policy"] = self.options.policy
            operator = {
                "name": "bench",
                "key_hash": keys.digest(self.operator_key),
            }
            common["operators"] = [operator]
            common.update(self.options.entry)
        elif program == "batch":
            common["policy"] = self.options.policy
            common.update(self.options.batch)
        else:
            data = self.folder / f"{vm.name}-data"
            common["data_folder"] = str(data)
        path = self.folder / f"{vm.name}-{program}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(common)))
        return path

    def start_vm(self, number: int) -> None:
        """Starts the processes of a VM."""
        topology = self.options.topology
        vm = Vm(
            name=f"vm-{number + 1}",
            data_centre=topology.centre(number),
            address=f"{self.subnet}.{number + 1}",
            has_disk=number < topology.stores,
            processes={},
        )
        for program in self.options.programs:
            if program == "store" and not vm.has_disk:
                continue
            vm.processes[program] = self.spawn(
                f"{vm.name}-{program}",
                f"ibisknot-{program}",
                str(self._settings(vm, program)),
            )
        self.vms[vm.name] = vm
        self.listed[vm.name] = vmlist.ListedVm(
            vm.name,
            vm.data_centre,
            vm.address,
            vmlist.LIVE,
            vm.has_disk,
        )

    async def publish_vms(self) -> None:
        """Gives the platform's list the current VMs."""
        await self._post(
            f"{self.vm_list_url}/admin/vms", list(self.listed.values())
        )

    async def _post(self, url: str, body: Any) -> Any:
        response = await self.client.post(
            url, content=msgspec.json.encode(msgspec.to_builtins(body))
        )
        response.raise_for_status()
        return response.json()

    async def start(self) -> None:
        """Starts everything and confirms the first configuration.

        Raises:
            UnavailableError: A program did not become ready in time.
        """
        self._start_platform()
        self._start_endpoints()
        await self._wait(f"{self.vm_list_url}/vms")
        await self._wait(f"{self.key_value_url}/admin/calls")
        for number in range(self.options.topology.vms):
            topology = self.options.topology
            self.listed[f"vm-{number + 1}"] = vmlist.ListedVm(
                f"vm-{number + 1}",
                topology.centre(number),
                f"{self.subnet}.{number + 1}",
                vmlist.LIVE,
                number < topology.stores,
            )
        await self.publish_vms()
        for number in range(self.options.topology.vms):
            self.start_vm(number)
        for endpoint in self.endpoints.values():
            path = "/engine/load" if endpoint.kind == "engine" else "/"
            await self._wait(endpoint.url + path)
        for vm in self.vms.values():
            await self._wait(f"{vm.url()}/readyz")
        version = await self.confirm(self.first_intent())
        await self.wait_in_force(version)

    async def _wait(self, url: str) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                self._check_alive()
                try:
                    response = await self.client.get(url)
                    if response.status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await anyio.sleep(0.1)
        raise errors.UnavailableError(f"{url} did not become ready")

    def _check_alive(self) -> None:
        for process in self.processes():
            if not process.alive():
                tail = process.log.read_text(errors="replace")[-2000:]
                message = f"{process.name} ended at the start:\n{tail}"
                raise errors.UnavailableError(message)

    def processes(self) -> list[Process]:
        """Returns all started processes."""
        found = list(self.platform.values())
        found.extend(e.process for e in self.endpoints.values())
        for vm in self.vms.values():
            found.extend(vm.processes.values())
        return found

    def first_intent(self) -> dict[str, Any]:
        """Returns the intent of the fleet's first configuration."""
        organisations = {}
        for number, rate in enumerate(self.options.topology.rates):
            name = f"organisation-{number + 1}"
            key = keys.create()
            self.organisations[name] = key
            organisations[name] = {
                "rate_per_s": rate,
                "burst": rate,
                "keys": {"first": {"digest": keys.digest(key)}},
            }
        endpoints = {
            e.name: {
                "kind": e.kind,
                "url": e.url,
                "serves": [MODEL] if e.kind == "engine" else ["plain"],
                "data_centre": e.data_centre,
            }
            for e in self.endpoints.values()
        }
        return {
            "organisations": organisations,
            "models": {MODEL: {"version": "1"}},
            "endpoints": endpoints,
            "routes": {
                OPEN_ROUTE: {"service": "plain", "open": True},
                PLAIN_ROUTE: {"service": "plain"},
                ONCE_ROUTE: {"service": "plain", "idempotent": False},
            },
        }

    def operator_headers(self) -> dict[str, str]:
        """Returns the headers of an operator's call."""
        return {"authorization": f"Bearer {self.operator_key}"}

    async def operator(
        self, method: str, path: str, body: Any = None, *, vm: str = "vm-1"
    ) -> httpx.Response:
        """Calls the operators' interface of a VM."""
        content = None if body is None else msgspec.json.encode(body)
        return await self.client.request(
            method,
            f"{self.vms[vm].url()}/operator{path}",
            content=content,
            headers=self.operator_headers(),
        )

    async def confirm(self, intent: Any, *, vm: str = "vm-1") -> int:
        """Plans and confirms an intent; returns the new version."""
        response = await self.operator("POST", "/plans", intent, vm=vm)
        response.raise_for_status()
        path = f"/plans/{response.json()['id']}/confirm"
        response = await self.operator("POST", path, vm=vm)
        response.raise_for_status()
        return int(response.json()["version"])

    async def wait_in_force(
        self, version: int, *, timeout_s: float = 30.0
    ) -> float:
        """Waits until a version is in force on every listed VM.

        Returns:
            The seconds that it took.

        Raises:
            UnavailableError: It was not in force everywhere in time.
        """
        start_s = anyio.current_time()
        while anyio.current_time() - start_s < timeout_s:
            response = await self.operator("GET", "/status")
            found = response.json()["vms"]
            if found and all((vm["version"] or 0) >= version for vm in found):
                return anyio.current_time() - start_s
            await anyio.sleep(0.02)
        raise errors.UnavailableError(f"version {version} is not in force")

    async def key_value_faults(self, **faults: Any) -> None:
        """Sets the faults of the key-value service."""
        await self._post(f"{self.key_value_url}/admin/faults", faults)

    async def key_value_calls(self) -> dict[str, Any]:
        """Returns the key-value calls so far by kind."""
        url = f"{self.key_value_url}/admin/calls"
        return (await self.client.get(url)).json()

    def signal_vm(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to all processes of a VM."""
        for process in self.vms[name].processes.values():
            if process.alive():
                process.handle.send_signal(number)

    async def stop(self) -> None:
        """Ends every process that this fleet started."""
        for process in self.processes():
            if process.alive():
                process.handle.send_signal(signal.SIGCONT)
                process.handle.terminate()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while any(p.alive() for p in self.processes()):
                await anyio.sleep(0.05)
        for process in self.processes():
            if process.alive():
                process.handle.kill()
            process.handle.wait()
        await self.client.aclose()

    def describe(self) -> dict[str, Any]:
        """Returns what a person needs to use the fleet."""
        return {
            "base_urls": [f"{vm.url()}/v1" for vm in self.vms.values()],
            "organisations": [
                {"name": name, "key": key}
                for name, key in self.organisations.items()
            ],
            "models": [MODEL],
            "plain_routes": [
                f"/services/{name}"
                for name in (OPEN_ROUTE, PLAIN_ROUTE, ONCE_ROUTE)
            ],
            "operator_url": self.vms["vm-1"].url(),
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


@contextlib.asynccontextmanager
async def running(options: Options) -> AsyncIterator[Fleet]:
    """Starts a fleet and stops it at the end."""
    keep = os.environ.get("IBISKNOT_KEEP_LOGS")
    with tempfile.TemporaryDirectory(prefix="ibisknot-") as name:
        folder = pathlib.Path(keep or name)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(options, folder)
        try:
            await fleet.start()
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.stop()
