"""Settings of a process that runs on the users' platform."""

import dataclasses

GATEWAY = "gateway"
WORKER = "worker"


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Limits that the deployment guarantees or allows, times in seconds.

    Attributes:
        drain_s: Time after which a draining endpoint gets no new requests.
        grace_s: Time from the stop signal until the process is killed.
        finish_s: Time in which batch jobs finish after the traffic has ended.
        status_s: Time for which the results of an ended job stay readable.
        cancel_s: Time after which no item of an ended job reaches an endpoint.
        settle_s: Time after which every process answers for a new batch job.
        evacuation_s: Time after which the endpoints of an evacuated data centre
            get no new requests.
        cold_overage: Requests that a cold endpoint may get within one second,
            as a multiple of those that it takes.
        cold_slack: Requests that it may get in addition.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    finish_s: float = 18.0
    status_s: float = 120.0
    cancel_s: float = 3.0
    settle_s: float = 1.0
    evacuation_s: float = 5.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0


@dataclasses.dataclass(slots=True)
class Process:
    """Settings of one process.

    Field names are written to the log when the settings file changes.

    Attributes:
        name: Name of the VM.
        kind: `gateway` or `worker`.
        ip: IP address at which peers and metrics are served.
        peer_port: Port for peers, the same on every VM.
        listen: Address for callers, or None.
        ready_listen: Address of the readiness check, or None.
        metrics_port: Port of the metrics.
        seeds: Peer addresses used while the key-value service does not answer.
        store: Address of the platform's key-value service.
        value_bytes: Maximum size of a value in the key-value service.
        lease_minimum_s: Shortest lease that the key-value service grants.
        memory_bytes: Memory limit, above which the process is killed.
        descriptors: Limit of open file descriptors.
        data_folder: Folder on the VM's disk, or None without one.
        regions: Region of each data centre for which it is stated.
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
    data_folder: str | None = None
    regions: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def peer_address(self) -> str:
        """Returns the address at which peers reach this process."""
        return f"{self.ip}:{self.peer_port}"
