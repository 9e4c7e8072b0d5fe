"""Types of a local fleet: options, processes, VMs and endpoints."""

import dataclasses
import pathlib
import random
import signal
import socket
import subprocess
import sys
from typing import Any

from ibisknot import errors
from ibisknot.bench import topology as topology_module

MODEL = "small"
ANONYMOUS_ROUTE = "notice"
NON_IDEMPOTENT_ROUTE = "bids"
PLAIN_ROUTE = "quotes"
ENTRY_PORT = 8080
# The last number of loopback addresses; those named FIRST count up from there.
PLATFORM_HOST_OCTET = 200
FIRST_PROXY_OCTET = 201
FIRST_ENGINE_OCTET = 100
PLAIN_SERVICE_OCTET = 150


@dataclasses.dataclass(slots=True)
class Process:
    """A started program.

    Attributes:
        name: Name within the fleet, as in `vm-1-entry`.
        command: The program's path and its arguments.
        log_path: File that receives standard output and standard error.
        handle: The process of the operating system.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    handle: subprocess.Popen[bytes]

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.handle.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        if self.is_running():
            self.handle.send_signal(signal_number)


def spawn(
    folder: pathlib.Path, name: str, program: str, *arguments: str
) -> Process:
    """Starts a program of this installation with its output in a log file.

    Args:
        folder: Folder of the log file, `NAME.log`.
        name: Name of the process within the fleet.
        program: Name of the installed program.
        *arguments: Its command line arguments.
    """
    binary = pathlib.Path(sys.executable).parent / program
    command = [str(binary), *arguments]
    log = folder / f"{name}.log"
    with log.open("ab") as stream:
        handle = subprocess.Popen(
            command,
            stdout=stream,
            stderr=stream,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
    return Process(name, command, log, handle)


@dataclasses.dataclass(slots=True)
class Vm:
    """A VM of the fleet.

    Attributes:
        name: Name, as in `vm-1`.
        index: Index in the topology, from 0.
        data_centre: Name of its data centre.
        address: Its IP address.
        has_disk: Whether it runs a store.
        entry_url: Base URL that callers use; through the fault proxy if the
            fleet has fault proxies.
        processes: Its processes by program (`entry`, `batch`, `store`).
    """

    name: str
    index: int
    data_centre: str
    address: str
    has_disk: bool
    entry_url: str
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)

    def url(self) -> str:
        """Returns the base URL of its entry, as callers reach it."""
        return self.entry_url

    def direct_url(self) -> str:
        """Returns the base URL of its entry without the fault proxy."""
        return f"http://{self.address}:{ENTRY_PORT}"


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An engine or plain service of the fleet.

    Attributes:
        name: Name, as in `engine-1`.
        kind: `engine` or `service`.
        url: Base URL.
        data_centre: Name of its data centre.
        process: Its stand-in.
    """

    name: str
    kind: str
    url: str
    data_centre: str
    process: Process


@dataclasses.dataclass(slots=True)
class Options:
    """How a fleet is started.

    Attributes:
        topology: The deployment to start.
        policy: `fleet`, or `naive` for the baseline.
        seed: Seed of the random choices of stand-ins and fault proxies.
        engine_flags: Additional arguments of the engine stand-ins.
        delays: Whether the fault proxies add the delays between data centres
            and between callers and VMs. Implies `proxied`.
        proxied: Whether all traffic of VMs goes through the fault proxies,
            which `isolate_vm` needs.
        programs: Programs to start on each VM; `store` only where there is a
            disk.
        entry: Additional settings of `ibisknot-entry`.
        batch: Additional settings of `ibisknot-batch`.
        store: Additional settings of `ibisknot-store`.
        trace_folder: Folder for the spans of each program; None for no spans.
    """

    topology: topology_module.Topology
    policy: str = "fleet"
    seed: int = 0
    engine_flags: list[str] = dataclasses.field(default_factory=list)
    delays: bool = False
    programs: tuple[str, ...] = ("entry", "batch", "store")
    proxied: bool = False
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    batch: dict[str, Any] = dataclasses.field(default_factory=dict)
    store: dict[str, Any] = dataclasses.field(default_factory=dict)
    trace_folder: pathlib.Path | None = None


def find_free_subnet() -> str:
    """Returns the first three numbers of an unused loopback subnet.

    Raises:
        UnavailableError: No unused subnet was found.
    """
    rng = random.SystemRandom()
    for _ in range(200):
        subnet = f"127.{rng.randint(16, 250)}.{rng.randint(0, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{subnet}.{PLATFORM_HOST_OCTET}", 2379))
            except OSError:
                continue
            return subnet
    raise errors.UnavailableError("no free loopback subnet found")
