"""Runs a small fleet of real processes on loopback for the platform tests."""

import base64
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any

import httpx

BIN = pathlib.Path(sys.executable).parent
KEY = "k-one"
OTHER_KEY = "k-two"
HOST = "chat.example"
BATCH_HOST = "batch.example"
PEER_PORT = 7400
CALLER_PORT = 8400
READY_PORT = 8401
STORE_PORT = 8688
WAIT_S = 20.0
GRACE_S = 8
"""Seconds from SIGTERM until the platform kills a process."""

SETTINGS = """\
Node = "{name}"
Role = "role"
MachineClass = "{kind}"
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
PortRange = [{peer_port}, {peer_port}]
Seeds = ["{seed}:1"]
[Listen]
{listen}
[Limits]
MemoryMb = {memory_mb}
MaxFds = {descriptors}
[Bounds]
DrainMs = 2000
GraceS = {grace_s}
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
[Platform]
Address = "{store}"
ValueBytes = 1048576
TtlMinMs = 1000
"""


def configuration(version: int = 1, **changed: Any) -> dict[str, Any]:
    """Returns an operator's configuration with some sections replaced."""
    value: dict[str, Any] = {
        "Version": version,
        "Routes": [
            {
                "Name": "chat",
                "Host": HOST,
                "Prefix": "/chat/",
                "Kind": "streaming",
                "Service": "llm",
                "TimeoutMs": 5000,
                "TargetLatencyMs": 1000,
                "Priority": 0,
                "MaxAttempts": 2,
                "Anonymous": False,
                "Resumable": True,
                "GapAimMs": 500,
            },
            {
                "Name": "batch",
                "Host": BATCH_HOST,
                "Prefix": "/batch/",
                "Kind": "batch",
                "Service": "llm",
                "TimeoutMs": 15000,
                "TargetLatencyMs": 1000,
                "Priority": 2,
                "MaxAttempts": 3,
                "CompletionTargetMs": 18000,
                "MaxWaitS": 60,
                "MaxCount": 10000,
            },
        ],
        "Services": [{"Name": "llm", "HealthPath": "/health"}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": "one", "ApiKeys": [KEY], "RatePerS": 100, "Burst": 100},
            {"Name": "two", "ApiKeys": [OTHER_KEY]},
        ],
    }
    return value | changed


@dataclasses.dataclass
class Program:
    """A program and its process.

    Attributes:
        command: Command line.
        environment: Environment variables of the process.
        log: File that receives standard output and standard error.
        process: The last process started, or None.
    """

    command: list[str]
    environment: dict[str, str]
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts a process; its output is appended to the log."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, env=self.environment, stdout=log, stderr=log
            )

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(signal_number)

    def stop(self, signal_number: int = signal.SIGKILL) -> int:
        """Stops the process by a signal and returns its exit code."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.process.wait(timeout=30)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log entries of one event."""
        matching = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                entry = json.loads(line)
                if entry["event"] == name:
                    matching.append(entry)
        return matching


class Fleet:
    """A store, engines, gateways and workers.

    Attributes:
        folder: Folder of settings and logs.
        subnet: Network on loopback, with a random part so that fleets do not
            share addresses.
        store_url: URL of the stand-in store.
        programs: The started programs by name.
        memory_mb: Memory limit in the settings of gateways and workers.
        descriptors: Their limit of descriptors.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        memory_mb: int = 300,
        descriptors: int = 4100,
    ) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.subnet = f"127.{random.randint(50, 250)}.{random.randint(1, 250)}"
        self.store_url = f"http://{self.subnet}.1:{STORE_PORT}"
        self.programs: dict[str, Program] = {}
        self.client = httpx.Client(trust_env=False, timeout=10.0)

    def start_program(
        self, name: str, command: list[str], **environment: str
    ) -> Program:
        """Starts a program."""
        program = Program(
            [str(BIN / command[0]), *command[1:]],
            dict(os.environ) | environment,
            self.folder / f"{name}.log",
        )
        program.start()
        self.programs[name] = program
        return program

    def ip(self, host: int) -> str:
        """Returns the address of a host in this fleet's network."""
        return f"{self.subnet}.{host}"

    def start(
        self,
        *,
        engines: int,
        gateways: int,
        workers: int,
        engine_options: tuple[str, ...] = (),
    ) -> None:
        """Starts all programs and waits until a request succeeds."""
        address, _, port = self.store_url.removeprefix("http://").partition(":")
        self.start_program(
            "store",
            ["ibisknot-standin-platform", "--address", address, "--port", port],
        )
        wait_for(lambda: self.call_store_admin("/admin/calls") is not None)
        self.write_as_operator({"op/config": configuration()})
        for index in range(engines):
            self.start_engine(index, *engine_options)
        for index in range(gateways):
            self.start_node(f"front-{index}", "front", 20 + index)
        for index in range(workers):
            self.start_node(f"store-{index}", "store", 40 + index)
        for index in range(gateways):
            wait_for(lambda n=index: self.is_ready(n))
        for index in range(engines):
            wait_for(lambda n=index: self.is_listed(f"e-{n}"))
            self.wait_for_endpoint(f"e-{index}")
        wait_for(lambda: self.chat().status_code == 200)

    def start_engine(self, index: int, *options: str) -> Program:
        """Starts the stand-in engine with an index."""
        return self.start_program(
            f"engine-{index}",
            [
                "ibisknot-standin-platform-engine",
                f"--store={self.store_url}",
                f"--name=e-{index}",
                f"--address={self.ip(60 + index)}",
                "--port=8080",
                *options,
            ],
        )

    def start_node(self, name: str, kind: str, host: int) -> Program:
        """Starts a gateway or a worker.

        Args:
            name: Name of the process.
            kind: The platform's machine class: `front` for a gateway, `store`
                for a worker.
            host: Last part of the process's address.
        """
        ip = self.ip(host)
        listen = ""
        if kind == "front":
            listen = (
                f'Front = "{ip}:{CALLER_PORT}"\nReady = "{ip}:{READY_PORT}"'
            )
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                kind=kind,
                ip=ip,
                zone="d1",
                seed=self.ip(20),
                peer_port=PEER_PORT,
                listen=listen,
                store=self.store_url.removeprefix("http://"),
                grace_s=GRACE_S,
                memory_mb=self.memory_mb,
                descriptors=self.descriptors,
            )
        )
        program = "ibisknot-gateway" if kind == "front" else "ibisknot-worker"
        return self.start_program(name, [program], IBISKNOT_SETTINGS=str(path))

    def call_store_admin(
        self, path: str, body: Any = None
    ) -> httpx.Response | None:
        """Calls the stand-in store; returns None if it is unreachable."""
        try:
            if body is None:
                return self.client.get(self.store_url + path)
            return self.client.post(self.store_url + path, json=body)
        except httpx.HTTPError:
            return None

    def write_as_operator(self, values: dict[str, Any]) -> None:
        """Writes keys to the store as the operator."""
        answer = self.call_store_admin("/admin/operator", values)
        assert answer is not None
        assert answer.status_code == 200

    def set_store_faults(self, **faults: Any) -> None:
        """Replaces the faults that the stand-in store simulates."""
        answer = self.call_store_admin("/admin/faults", faults)
        assert answer is not None
        assert answer.status_code == 200

    def set_engine_faults(self, engine: int, **faults: Any) -> None:
        """Sets the faults that an engine simulates."""
        url = f"http://{self.ip(60 + engine)}:8080/admin/faults"
        assert self.client.post(url, json=faults).status_code == 200

    def runs(self, engine: int) -> list[dict[str, str]]:
        """Returns the requests that an engine has run."""
        url = f"http://{self.ip(60 + engine)}:8080/admin/runs"
        recorded: list[dict[str, str]] = self.client.get(url).json()
        return recorded

    def is_listed(self, engine: str) -> bool:
        """Returns whether an engine has registered itself."""
        answer = self.call_store_admin(f"/kv-key?Key=servers/{engine}")
        return answer is not None and answer.status_code == 200

    def wait_for_endpoint(self, engine: str) -> None:
        """Waits until every gateway and worker has an engine as active."""
        for name, program in self.programs.items():
            if name.startswith(("front-", "store-")):
                wait_for(
                    lambda p=program: any(
                        e["endpoint"] == engine
                        for e in p.events("endpoint_active")
                    )
                )

    def wait_for_version(self, version: int) -> None:
        """Waits until every gateway has adopted a configuration version."""
        for name, program in self.programs.items():
            if name.startswith("front-"):
                wait_for(
                    lambda p=program: any(
                        e["version"] == version
                        for e in p.events("configuration_adopted")
                    )
                )

    def is_ready(self, gateway: int) -> bool:
        """Returns whether a gateway's readiness check succeeds."""
        url = f"http://{self.ip(20 + gateway)}:{READY_PORT}/ready"
        try:
            return self.client.get(url).status_code == 200
        except httpx.HTTPError:
            return False

    def chat(
        self,
        gateway: int = 0,
        *,
        key: str = KEY,
        request_id: str = "",
        events: int = 5,
        path: str = "/chat/a%2Fb?x=1",
        deadline_ms: int = 5000,
        timeout_s: float = 30.0,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Sends an online request."""
        return self.client.post(
            f"http://{self.ip(20 + gateway)}:{CALLER_PORT}{path}",
            content=b"prompt",
            headers={
                "Host": HOST,
                "Authorization": f"Token {key}",
                "X-Ibisknot-Request-Id": request_id or new_id(),
                "X-Ibisknot-Deadline-Ms": str(deadline_ms),
                "X-Ibisknot-Token-Usage": f"9,{events}",
                **(headers or {}),
            },
            timeout=timeout_s,
        )

    def call_batch(
        self,
        method: str,
        path: str,
        *,
        gateway: int = 0,
        key: str = KEY,
        body: Any = None,
        request_id: str = "",
        wait_ms: int = 0,
    ) -> httpx.Response:
        """Calls the interface of batch jobs."""
        return self.client.request(
            method,
            f"http://{self.ip(20 + gateway)}:{CALLER_PORT}{path}",
            json=body,
            headers={
                "Host": BATCH_HOST,
                "Authorization": f"Token {key}",
                "X-Ibisknot-Request-Id": request_id or new_id(),
                "X-Ibisknot-Wait-Ms": str(wait_ms),
                "X-Ibisknot-Deadline-Ms": "4000",
            },
        )

    def submit(
        self, job_id: str, items: int, *, gateway: int = 0, events: int = 5
    ) -> httpx.Response:
        """Submits a job with a number of items."""
        body = {
            "Items": [
                {
                    "Id": f"{job_id}-{n}",
                    "Path": f"/batch/{n}",
                    "Headers": {"X-Ibisknot-Token-Usage": f"9,{events}"},
                    "Body": base64.b64encode(f"body {n}".encode()).decode(),
                    "Tokens": 10,
                }
                for n in range(items)
            ]
        }
        return self.call_batch(
            "POST", "/batch/job", gateway=gateway, body=body, request_id=job_id
        )

    def results(self, job_id: str, *, gateway: int = 0) -> list[Any]:
        """Reads all results that a job has so far."""
        collected: list[Any] = []
        while True:
            path = f"/lots/{job_id}?After={len(collected)}"
            answer = self.call_batch("GET", path, gateway=gateway)
            assert answer.status_code == 200, answer.text
            page = answer.json()
            if not page["Results"]:
                return collected
            collected.extend(page["Results"])

    def entries_of(self, request_id: str) -> list[dict[str, Any]]:
        """Returns the log entries of all processes that name a request."""
        return [
            {"program": name} | json.loads(line)
            for name, program in self.programs.items()
            for line in program.log.read_text().splitlines()
            if line.startswith("{") and request_id in line
        ]

    def stop(self) -> None:
        """Kills all processes."""
        for program in self.programs.values():
            program.stop()
        self.client.close()


def new_id() -> str:
    """Returns a random id."""
    return f"{random.getrandbits(64):016x}"


def wait_for(condition: Any, timeout_s: float = WAIT_S) -> None:
    """Polls until a condition holds.

    Raises:
        AssertionError: It does not hold within `timeout_s` seconds.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("the condition was not met within the timeout")


@contextlib.contextmanager
def run_fleet(
    folder: pathlib.Path,
    *,
    engines: int = 2,
    gateways: int = 2,
    workers: int = 2,
    memory_mb: int = 300,
    descriptors: int = 4100,
) -> Iterator[Fleet]:
    """Runs a fleet until the context ends."""
    fleet = Fleet(folder, memory_mb=memory_mb, descriptors=descriptors)
    try:
        fleet.start(engines=engines, gateways=gateways, workers=workers)
        yield fleet
    finally:
        fleet.stop()
