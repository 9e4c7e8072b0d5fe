"""Data of a local fleet: options, processes, VMs and endpoints."""

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
PLATFORM_HOST_OCTET = 200
FIRST_PROXY_OCTET = 201
FIRST_ENGINE_OCTET = 100
PLAIN_SERVICE_OCTET = 150


@dataclasses.dataclass(slots=True)
class Process:
    """A started program."""

    name: str
    command: list[str]
    log_path: pathlib.Path
    handle: subprocess.Popen[bytes]

    def is_running(self) -> bool:
        """Returns whether it still runs."""
        return self.handle.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal unless it has ended."""
        if self.is_running():
            self.handle.send_signal(signal_number)


def spawn(
    folder: pathlib.Path, name: str, program: str, *arguments: str
) -> Process:
    """Starts a program of this installation; its output goes to a log file."""
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
    """A VM of the fleet with its processes by program.

    Attributes:
        number: Its position in the topology, from 0.
        entry_url: Base URL that callers use; with delays it leads through
            the fault proxy.
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
        """Returns the base URL of its entry, past the fault proxy."""
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
        delays: Whether the fault proxies add the delays between data centres
            and between callers and VMs. Implies `proxied`.
        proxied: Whether all traffic of VMs goes through the fault proxies,
            which `cut_vm` needs.
        programs: Programs to start on each VM; a store only with a disk.
        entry: Extra settings of the entries.
        batch: Extra settings of the batch processes.
        store: Extra settings of the stores.
        trace_folder: Where each daemon writes its spans, if anywhere.
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
        UnavailableError: None was found.
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
