"""Settings of a process that serves through a platform's adapter."""

import dataclasses

GATEWAY = "gateway"
WORKER = "worker"


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Times that the deployment promises or allows, in seconds.

    Attributes:
        drain_s: A leaving endpoint gets no new work after this time.
        grace_s: Time from the stop signal to the kill.
        finish_s: Time for batch jobs after traffic has ended.
        status_s: How long a batch job's results stay readable.
        cancel_s: Items of an ended job reach no endpoint after this time.
        settle_s: A batch job is known everywhere after this time.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    finish_s: float = 18.0
    status_s: float = 120.0
    cancel_s: float = 3.0
    settle_s: float = 1.0


@dataclasses.dataclass(slots=True)
class Process:
    """Where a process runs, what it serves and whom it can ask.

    Attributes:
        kind: `gateway` or `worker`.
        peer_port: The same on every VM.
        listen: Address for callers, or None.
        ready_listen: Address of the readiness check, or None.
        metrics_port: Port of counters and histograms.
        seeds: Peer addresses to ask when the store does not answer.
        store: Address of the platform's key-value service.
        memory_bytes: The process is killed above this.
    """

    name: str
    kind: str
    ip: str
    data_centre: str
    peer_port: int
    listen: str | None
    ready_listen: str | None
    metrics_port: int
    seeds: tuple[str, ...]
    store: str
    value_bytes: int
    lease_minimum_s: float
    memory_bytes: int
    descriptors: int
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """Returns the address at which peers reach this process."""
        return f"{self.ip}:{self.peer_port}"
