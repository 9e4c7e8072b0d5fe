"""Starts the project's programs and the stand-ins on loopback addresses."""

import base64
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "nony24.example"
FRONT_PORT = 8689
READY_PORT = 8687
CONTROL_PORT = 8683
STORE_PORT = 8688
ENGINE_PORT = 8080
MAX_RUN_S = 114
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

SETTINGS = """\
Node = "{name}"
Role = "role"
MachineClass = "{kind}"
Serves = {serves}
Ip = "{ip}"
Zone = "{zone}"
Region = "r1"
PortRange = [7360,7375]
Seeds = ["{seed}:8683"]
Bootstrap = true
InFaultDomain = {in_fault_domain}
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
{data}
[Zones]
z1 = "r1"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 200
[Bounds]
SeedLagS = 3
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case cannot be shown here."""


def stream_route(name: str, prefix: str, **changed: Any) -> dict[str, Any]:
    """Returns a route of streams."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": "streaming",
        "Service": "llm",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 300,
        "Priority": 0,
        "MaxAttempts": 2,
        "Resumable": True,
        "GapAimMs": 500,
        "Sticky": True,
    } | changed


def batch_route(name: str, prefix: str, **changed: Any) -> dict[str, Any]:
    """Returns a route of batch jobs."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": "batch",
        "Service": "llm",
        "TimeoutMs": 15000,
        "TargetLatencyMs": 500,
        "Priority": 2,
        "MaxAttempts": 3,
        "CompletionTargetMs": 18000,
        "MaxWaitS": 60,
        "MaxCount": 690000,
    } | changed


def desired_state(
    routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Returns a desired state with one tenant."""
    return {
        "Version": 3,
        "Routes": routes,
        "Services": [{"Name": s, "HealthPath": "/health"} for s in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "kaje80", "ApiKeys": [KEY]}],
    }


def new_id() -> str:
    """Returns a random id."""
    return f"{random.getrandbits(64):016x}"


class Fleet:
    """The processes of one test."""

    def __init__(self, case: pathlib.Path) -> None:
        self.case = case
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = f"127.{random.randint(50, 250)}.{random.randint(1, 250)}"
        self.store = f"{self.ip(1)}:{STORE_PORT}"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.started_s = time.monotonic()
        self.record_file = (case / "record.txt").open("w")
        self.lock = threading.Lock()
        self.is_stopped = False

    def note(self, text: str) -> str:
        """Writes a line to the record and returns it."""
        line = f"{time.monotonic() - self.started_s:7.2f} {text}"
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write(line + "\n")
                self.record_file.flush()
        return line

    def record(self, text: str) -> None:
        """Writes a line to the record and the output."""
        print(self.note(text), flush=True)

    def ip(self, host: int) -> str:
        """Returns the address of a machine."""
        return f"{self.subnet}.{host}"

    def spawn(self, name: str) -> None:
        """Starts a process again, or for the first time."""
        command, environment = self.commands[name]
        with self.lock, (self.folder / f"{name}.log").open("ab") as log:
            if self.is_stopped:
                return
            self.processes[name] = subprocess.Popen(
                command,
                env=environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_standin(self, name: str, program: str, *options: str) -> None:
        """Starts a stand-in of this folder."""
        command = [sys.executable, str(HERE / program), *options]
        self.commands[name] = command, dict(os.environ)
        self.spawn(name)

    def start_store(self, desired: dict[str, Any]) -> None:
        """Starts the store and writes the first desired state."""
        self.start_standin(
            "store", "store.py", "--address", self.ip(1), f"--port={STORE_PORT}"
        )
        self.wait(lambda: self.admin("put", {"values": {}}) is not None)
        self.put({"op/config": desired})

    def start_engine(self, name: str, host: int, *options: str) -> None:
        """Starts an engine."""
        self.start_standin(
            name,
            "engine.py",
            f"--store=http://{self.store}",
            f"--name={name}",
            f"--address={self.ip(host)}",
            f"--port={ENGINE_PORT}",
            *options,
        )

    def start_node(
        self,
        name: str,
        kind: str,
        host: int,
        memory_mb: int = 300,
    ) -> None:
        """Starts a gateway (`front`) or a worker (`store`)."""
        ip = self.ip(host)
        listen, data, serves = "", "", '["store"]'
        if kind == "front":
            serves = '["front","control"]'
            listen = (
                f'Front = "{ip}:{FRONT_PORT}"\nReady = "{ip}:{READY_PORT}"\n'
                f'Control = "{ip}:{CONTROL_PORT}"'
            )
        else:
            disk = self.folder / f"{name}-disk"
            disk.mkdir()
            data = f'DataDir = "{disk}"'
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                kind=kind,
                serves=serves,
                ip=ip,
                zone="z1",
                seed=self.ip(20),
                data=data,
                listen=listen,
                memory_mb=memory_mb,
                in_fault_domain="false" if kind == "front" else "true",
                store=self.store,
            )
        )
        program = "gateway" if kind == "front" else "worker"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "IBISKNOT_SETTINGS": str(path),
        }
        command = ["python3", f"deploy/{program}.py"]
        self.commands[name] = command, environment
        self.spawn(name)

    def admin(self, name: str, body: Any) -> Any:
        """Calls the store as the test; returns None if it is not up."""
        try:
            channel = http.client.HTTPConnection(self.store, timeout=5.0)
            channel.request("POST", f"/admin/{name}", json.dumps(body))
            answer = json.loads(channel.getresponse().read())
            channel.close()
        except OSError:
            return None
        return answer

    def put(self, values: dict[str, Any]) -> None:
        """Writes keys as the operator."""
        self.admin("put", {"values": values})

    def wait(
        self, condition: Callable[[], bool], timeout_s: float = 20.0
    ) -> None:
        """Waits for a condition.

        Raises:
            CannotRunError: It does not hold in time.
        """
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRunError("the fleet is not up in time")
            time.sleep(0.05)

    def wait_until_ready(self, hosts: list[int]) -> None:
        """Waits until gateways are ready."""
        for host in hosts:
            self.wait(lambda h=host: self.ready_status(h) == 200)

    def ready_status(self, host: int, timeout_s: float = 1.0) -> int:
        """Returns the status of the readiness check; 0 without an answer."""
        try:
            address = f"{self.ip(host)}:{READY_PORT}"
            channel = http.client.HTTPConnection(address, timeout=timeout_s)
            channel.request("GET", "/ready")
            status = channel.getresponse().status
            channel.close()
        except (OSError, http.client.HTTPException):
            return 0
        return status

    def call(
        self,
        host: int,
        method: str,
        target: str,
        *,
        request_id: str = "",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        key: str = KEY,
        timeout_s: float = 6.0,
    ) -> tuple[int, bytes]:
        """Sends a client's request; returns status 0 without an answer."""
        request_id = request_id or new_id()
        status, content = self._exchange(
            host,
            method,
            target,
            body=body,
            headers={"X-Ibisknot-Request-Id": request_id} | (headers or {}),
            key=key,
            timeout_s=timeout_s,
        )
        self.note(
            f"sent to {self.ip(host)}: {method} {target} {request_id}, "
            f"{len(body)} bytes; answered {status}, {len(content)} bytes"
        )
        return status, content

    def _exchange(
        self,
        host: int,
        method: str,
        target: str,
        *,
        body: bytes,
        headers: dict[str, str],
        key: str,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        channel = http.client.HTTPConnection(
            f"{self.ip(host)}:{FRONT_PORT}", timeout=timeout_s
        )
        try:
            channel.request(
                method,
                target,
                body=body or None,
                headers={
                    "Host": HOST,
                    "Authorization": f"Token {key}",
                    "X-Ibisknot-Deadline-Ms": "4000",
                    **headers,
                },
            )
            answer = channel.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            channel.close()

    def submit(
        self,
        host: int,
        target: str,
        job_id: str,
        items: list[dict[str, Any]],
        *,
        key: str = KEY,
    ) -> int:
        """Submits a batch job; returns the status."""
        body = json.dumps({"Items": items}).encode()
        headers = {"Content-Type": "application/json"}
        status, _ = self.call(
            host,
            "POST",
            target,
            request_id=job_id,
            body=body,
            headers=headers,
            key=key,
        )
        return status

    def read_results(
        self, host: int, job_id: str, after: int = 0, wait_ms: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Reads a page of results; returns the status and the page."""
        headers = {"X-Ibisknot-Wait-Ms": str(wait_ms)}
        status, body = self.call(
            host, "GET", f"/lots/{job_id}?After={after}", headers=headers
        )
        return status, json.loads(body) if status == 200 else {}

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log(self, name: str) -> list[dict[str, Any]]:
        """Returns the log entries of a process."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def record_runs(self) -> None:
        """Adds what the engines have run to the record."""
        for name, (command, _) in self.commands.items():
            if any(word.endswith("engine.py") for word in command):
                for entry in self.log(name):
                    self.record_file.write(json.dumps(entry) + "\n")

    def stop(self) -> None:
        """Ends all processes that were started; no other one starts then."""
        with self.lock:
            self.is_stopped = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        with self.lock:
            self.record_runs()
            self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def item(
    item_id: str, path: str, *, tokens: int, events: int, body: bytes = b"body"
) -> dict[str, Any]:
    """Returns an item of a batch job."""
    prompt = tokens - events
    return {
        "Id": item_id,
        "Path": path,
        "Headers": {
            "X-Ibisknot-Model": "m",
            "X-Ibisknot-Token-Usage": f"{prompt},{events}",
            "X-Ibisknot-Prompt-Prefix": f"9c2e41:100,{new_id()}:{prompt - 100}",
        },
        "Body": base64.b64encode(body).decode(),
        "Tokens": tokens,
    }


@contextlib.contextmanager
def running(case: pathlib.Path) -> Iterator[Fleet]:
    """Runs a fleet and ends all its processes."""
    fleet = Fleet(case)

    def on_signal(_number: int, _frame: Any) -> None:
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGALRM, on_signal)
    signal.alarm(MAX_RUN_S)
    try:
        yield fleet
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        fleet.stop()


def main(
    case: str, test: Callable[[Fleet, bool], int], *, has_trouble: bool
) -> None:
    """Runs a test and exits with its code."""
    with running(pathlib.Path(case).resolve().parent) as fleet:
        try:
            code = test(fleet, has_trouble)
        except Exception as error:
            fleet.record(f"cannot run: {error!r}")
            code = NOT_RUN
    raise SystemExit(code)
