"""Starts a local fleet and its stand-ins, and stops or kills processes."""

from collections.abc import AsyncIterator
import contextlib
import os
import pathlib
import signal
import tempfile
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import api_keys
from ibisknot import errors
from ibisknot import vmlist
from ibisknot.bench import _fleet_control
from ibisknot.bench import _fleet_types
from ibisknot.bench import links
from ibisknot.standins import standin_engine

MODEL = _fleet_types.MODEL
ANONYMOUS_ROUTE = _fleet_types.ANONYMOUS_ROUTE
NON_IDEMPOTENT_ROUTE = _fleet_types.NON_IDEMPOTENT_ROUTE
PLAIN_ROUTE = _fleet_types.PLAIN_ROUTE
START_TIMEOUT_S = 60.0
FLEET_STOP_TIMEOUT_S = 10.0
VM_SHUTDOWN_TIMEOUT_S = 90.0
POLL_PERIOD_S = 0.05
PLAIN_SERVICE = "plain-1"

Endpoint = _fleet_types.Endpoint
Options = _fleet_types.Options
Process = _fleet_types.Process
Vm = _fleet_types.Vm


class Fleet(_fleet_control.FleetControl):
    """A local fleet: starts, stops, kills and pauses its processes."""

    def spawn(self, name: str, program: str, *arguments: str) -> Process:
        """Starts a program with its output in a log file of `folder`."""
        return _fleet_types.spawn(self.folder, name, program, *arguments)

    def _start_platform(self) -> None:
        host = f"{self.subnet}.{_fleet_types.PLATFORM_HOST_OCTET}"
        seed = str(self.options.seed)
        programs = {
            "keyvalue": ("2379", ["--seed", seed]),
            "vms": ("2380", []),
            "weights": ("2381", []),
        }
        for name, (port, flags) in programs.items():
            self.platform_processes[name] = self.spawn(
                name,
                f"ibisknot-standin-{name}",
                "--address",
                host,
                "--port",
                port,
                *flags,
            )

    def _start_proxies(self) -> None:
        topology = self.options.topology
        for centre in topology.data_centres:
            self.platform_processes[f"proxy-{centre}"] = self.spawn(
                f"proxy-{centre}",
                "ibisknot-standin-proxy",
                "--address",
                links.proxy_host(topology, self.subnet, centre),
                "--port",
                str(links.ADMIN_PORT),
                "--seed",
                str(self.options.seed),
            )

    async def _start_links(self) -> None:
        """Routes the connections of all VMs through the fault proxies."""
        network = links.build_network(
            self.options,
            self.subnet,
            list(self.vms.values()),
            [(e.name, e.url, e.data_centre) for e in self.endpoints.values()],
            {"key-value": self.key_value_url, "vm-list": self.vm_list_url},
        )
        for centre, proxy_links in network.links.items():
            url = self.proxy_url(centre)
            await self._wait_until_ok(f"{url}/admin/links")
            await self.post(f"{url}/admin/links", proxy_links)
        self.network = network

    def _start_endpoints(self) -> None:
        for index in range(self.options.topology.engines):
            self.start_engine(index)
        host = f"{self.subnet}.{_fleet_types.PLAIN_SERVICE_OCTET}"
        process = self.spawn(
            PLAIN_SERVICE, "ibisknot-standin-plain", "--address", host
        )
        self.endpoints[PLAIN_SERVICE] = Endpoint(
            PLAIN_SERVICE,
            "service",
            f"http://{host}:9100",
            self.options.topology.data_centre_of(0),
            process,
        )

    def start_engine(self, index: int) -> None:
        """Starts an engine; also called after it has ended.

        Args:
            index: Index of the engine in the topology, from 0.
        """
        name = f"engine-{index + 1}"
        host = f"{self.subnet}.{_fleet_types.FIRST_ENGINE_OCTET + index}"
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
            self.options.topology.data_centre_of(index),
            process,
        )

    def _write_settings(self, vm: Vm, program: str) -> pathlib.Path:
        """Writes the settings file of a program of a VM; returns its path."""
        settings: dict[str, Any] = {
            "vm": {
                "name": vm.name,
                "data_centre": vm.data_centre,
                "address": vm.address,
            },
            "key_value": {
                "url": self._platform_url(vm, "key-value", self.key_value_url)
            },
            "vm_list": {
                "url": self._platform_url(vm, "vm-list", self.vm_list_url)
                + "/vms"
            },
        }
        if self.network is not None:
            settings["address_overrides"] = self.network.address_overrides[
                vm.name
            ]
        if self.options.trace_folder is not None:
            name = f"{vm.name}-{program}.spans"
            settings["trace"] = {"file": str(self.options.trace_folder / name)}
        if program == "entry":
            settings["policy"] = self.options.policy
            operator = {
                "name": "bench",
                "key_hash": api_keys.digest(self.operator_key),
            }
            settings["operators"] = [operator]
            settings.update(self.options.entry)
        elif program == "batch":
            settings["policy"] = self.options.policy
            settings.update(self.options.batch)
        else:
            data = self.folder / f"{vm.name}-data"
            settings["data_folder"] = str(data)
            settings.update(self.options.store)
        path = self.folder / f"{vm.name}-{program}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        return path

    def _platform_url(self, vm: Vm, name: str, url: str) -> str:
        """Returns the URL at which a VM reaches a service of the platform.

        With fault proxies this is the URL of the VM's link to the service.

        Args:
            vm: The VM.
            name: `key-value` or `vm-list`.
            url: The service's own URL.
        """
        if self.network is None:
            return url
        return self.network.urls[f"{vm.name}/platform/{name}"]

    def _add_vm(self, index: int) -> None:
        topology = self.options.topology
        address = f"{self.subnet}.{index + 1}"
        vm = Vm(
            name=f"vm-{index + 1}",
            index=index,
            data_centre=topology.data_centre_of(index),
            address=address,
            has_disk=index < topology.stores,
            entry_url=f"http://{address}:{_fleet_types.ENTRY_PORT}",
        )
        self.vms[vm.name] = vm
        self.listed_vms[vm.name] = vmlist.ListedVm(
            vm.name, vm.data_centre, vm.address, vmlist.ACTIVE, vm.has_disk
        )

    def start_vm(self, name: str) -> None:
        """Starts the processes of a VM; also called after they have ended."""
        vm = self.vms[name]
        for program in self.options.programs:
            if program == "store" and not vm.has_disk:
                continue
            vm.processes[program] = self.spawn(
                f"{vm.name}-{program}",
                f"ibisknot-{program}",
                str(self._write_settings(vm, program)),
            )

    async def start(self) -> None:
        """Starts all processes and puts the first configuration in force.

        Raises:
            UnavailableError: A program did not become ready in time.
        """
        self._start_platform()
        self._start_endpoints()
        await self._wait_until_ok(f"{self.vm_list_url}/vms")
        await self._wait_until_ok(f"{self.key_value_url}/admin/calls")
        for index in range(self.options.topology.vms):
            self._add_vm(index)
        await self.publish_vms()
        if self.options.delays or self.options.proxied:
            self._start_proxies()
            await self._start_links()
        for name in self.vms:
            self.start_vm(name)
        for endpoint in self.endpoints.values():
            path = "/engine/load" if endpoint.kind == "engine" else "/"
            await self._wait_until_ok(endpoint.url + path)
        for name in self.vms:
            await self.wait_ready(name)
        version = await self.confirm_intent(self.initial_intent())
        await self.wait_in_force(version)

    async def _wait_until_ok(self, url: str) -> None:
        """Waits until a GET request of a URL has the status 200."""
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                self._check_all_running()
                try:
                    response = await self.client.get(url)
                    if response.status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await anyio.sleep(2 * POLL_PERIOD_S)
        raise errors.UnavailableError(f"{url} did not become ready")

    async def wait_ready(self, name: str) -> None:
        """Waits until a VM's entry is ready and its other programs listen.

        Raises:
            UnavailableError: It was not ready within `START_TIMEOUT_S`.
        """
        vm = self.vms[name]
        with anyio.move_on_after(START_TIMEOUT_S):
            while not (await self._is_entry_ready(vm) and await _listens(vm)):
                self._check_running(list(vm.processes.values()))
                await anyio.sleep(2 * POLL_PERIOD_S)
            return
        raise errors.UnavailableError(f"{name} did not become ready")

    async def _is_entry_ready(self, vm: Vm) -> bool:
        """Returns whether a VM's entry says that it is ready."""
        try:
            response = await self.client.get(f"{vm.direct_url()}/readyz")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    def _check_all_running(self) -> None:
        self._check_running(self.processes())

    def _check_running(self, processes: list[Process]) -> None:
        for process in processes:
            if not process.is_running():
                log_tail = process.log_path.read_text(errors="replace")[-2000:]
                message = f"{process.name} has ended:\n{log_tail}"
                raise errors.UnavailableError(message)

    def processes(self) -> list[Process]:
        """Returns all processes of platform, endpoints and VMs."""
        started = list(self.platform_processes.values())
        started.extend(e.process for e in self.endpoints.values())
        for vm in self.vms.values():
            started.extend(vm.processes.values())
        return started

    def signal_vm(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to all processes of a VM."""
        for process in self.vms[name].processes.values():
            process.send_signal(signal_number)

    async def kill_vm(self, name: str) -> None:
        """Kills all processes of a VM; the platform still lists the VM."""
        self.signal_vm(name, signal.SIGKILL)
        await self._wait_until_ended(list(self.vms[name].processes.values()))

    def pause_vm(self, name: str) -> None:
        """Pauses all processes of a VM until `resume_vm`."""
        self.signal_vm(name, signal.SIGSTOP)

    def resume_vm(self, name: str) -> None:
        """Resumes the processes of a paused VM."""
        self.signal_vm(name, signal.SIGCONT)

    async def stop_vm(self, name: str) -> dict[str, int | None]:
        """Shuts a VM down gracefully and waits until its processes ended.

        Returns:
            The exit status by program; None for a program that still runs
            after `VM_SHUTDOWN_TIMEOUT_S`.
        """
        self.signal_vm(name, signal.SIGTERM)
        processes = self.vms[name].processes
        await self._wait_until_ended(list(processes.values()))
        return {key: p.handle.poll() for key, p in processes.items()}

    async def restart_vm(self, name: str) -> dict[str, int | None]:
        """Shuts a VM down gracefully and starts it with the same name.

        Programs that still run after `VM_SHUTDOWN_TIMEOUT_S` are killed.

        Returns:
            The exit statuses as in `stop_vm`.

        Raises:
            UnavailableError: It was not ready again in time.
        """
        statuses = await self.stop_vm(name)
        await self.kill_vm(name)
        self.start_vm(name)
        await self.wait_ready(name)
        return statuses

    async def _wait_until_ended(self, processes: list[Process]) -> None:
        with anyio.move_on_after(VM_SHUTDOWN_TIMEOUT_S):
            while any(p.is_running() for p in processes):
                await anyio.sleep(POLL_PERIOD_S)

    def kill_endpoint(self, name: str) -> None:
        """Kills an endpoint; `restart_engines` starts an engine again."""
        self.endpoints[name].process.send_signal(signal.SIGKILL)

    async def restart_engines(self) -> None:
        """Restarts engines that end and counts crashes, until cancelled.

        Raises:
            UnavailableError: A stand-in of the platform has ended, so the
                results of the run are not valid.
        """
        while True:
            self._check_running(list(self.platform_processes.values()))
            for index in range(self.options.topology.engines):
                name = f"engine-{index + 1}"
                status = self.endpoints[name].process.handle.poll()
                if status is None:
                    continue
                if status == standin_engine.CRASH_EXIT_STATUS:
                    self.crash_counts[name] = self.crash_counts.get(name, 0) + 1
                self.start_engine(index)
            await anyio.sleep(POLL_PERIOD_S)

    async def stop(self) -> None:
        """Ends every process that this fleet started."""
        for process in self.processes():
            # A paused process handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(FLEET_STOP_TIMEOUT_S):
            while any(p.is_running() for p in self.processes()):
                await anyio.sleep(0.05)
        for process in self.processes():
            if process.is_running():
                process.handle.kill()
            process.handle.wait()
        await self.client.aclose()


async def _listens(vm: Vm) -> bool:
    """Returns whether all programs of a VM accept their peers' connections."""
    for program in vm.processes:
        try:
            stream = await anyio.connect_tcp(
                vm.address, links.PEER_PORTS[program]
            )
        except OSError:
            return False
        await stream.aclose()
    return True


@contextlib.asynccontextmanager
async def running(options: Options) -> AsyncIterator[Fleet]:
    """Starts a fleet and stops it at the end.

    Engines that crash while the context is open are started again. If
    `IBISKNOT_KEEP_LOGS` is set, settings and logs of all processes are
    written to the folder that it names, which is not deleted.
    """
    log_folder = os.environ.get("IBISKNOT_KEEP_LOGS")
    with tempfile.TemporaryDirectory(prefix="ibisknot-") as name:
        folder = pathlib.Path(log_folder or name)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(options, folder)
        try:
            await fleet.start()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(fleet.restart_engines)
                yield fleet
                task_group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.stop()
