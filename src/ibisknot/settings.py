"""Settings files: JSON with comments, decoded into validated structures."""

import pathlib
import sys
from typing import Annotated
from typing import TypeVar

import json5
import msgspec

from ibisknot import errors

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Bytes = Annotated[int, msgspec.Meta(ge=1)]
NAIVE_POLICY = "naive"
"""Value of `policy` with static rates and random endpoints."""


class Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections of the settings; unknown keys are refused."""


class Vm(Section):
    """The VM that the process runs on.

    Attributes:
        name: Name of the VM in the platform's list.
        data_centre: Name of its data centre.
        address: IP address that the process listens on.
    """

    name: str
    data_centre: str
    address: str


class Log(Section):
    """Structured log output.

    Attributes:
        level: Lowest level that is logged.
        file: Path of the log file, if any.
    """

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")]
    file: str | None = None


class Trace(Section):
    """Export of spans: to an OTLP/HTTP URL, to a file, or disabled."""

    otlp_url: str | None = None
    file: str | None = None


class KeyValue(Section):
    """The platform's key-value service.

    Attributes:
        url: Base URL of the service.
        timeout_s: Time limit of one call.
    """

    url: str
    timeout_s: Seconds = 2.0


class VmList(Section):
    """The platform's list of active and draining VMs.

    Attributes:
        url: URL of the list.
        period_s: Time between two reads of the list.
    """

    url: str
    period_s: Seconds = 1.0


class Tls(Section):
    """Certificate files of a listener or of the peer protocol.

    Attributes:
        certificate: Path of the certificate chain in PEM format.
        private_key: Path of the private key in PEM format.
        authority: Path of the certificates that peers are verified against.
    """

    certificate: str
    private_key: str
    authority: str | None = None


class Limits(Section):
    """Limits on the size and the duration of a caller's requests."""

    body_bytes: Bytes = 4 * 1024 * 1024
    """Largest size of a request body."""
    file_bytes: Bytes = 4 * 1024 * 1024 * 1024
    """Largest size of an uploaded file."""
    read_timeout_s: Seconds = 10.0
    """Time limit for a request body, or for each chunk of an upload."""
    idle_timeout_s: Seconds = 75.0
    """Longest time that a connection may stay without a whole request head."""
    send_timeout_s: Seconds = 30.0
    """Longest time that a caller may leave a part of its response unread."""
    request_timeout_s: Seconds = 60.0
    """Largest timeout of a request, also used if the caller sets none."""


class Admission(Section):
    """Settings of an admitter for its admission groups."""

    displaced: Annotated[float, msgspec.Meta(ge=1, le=64)] = 4.0
    """Batch sequences that are preempted for one online request."""
    revokes: bool = True
    """Whether batch tickets are revoked if they would slow online requests."""


class Operator(Section):
    """One operator who may use the operators' interface.

    Attributes:
        name: Name of the operator.
        key_hash: SHA-256 hash of the operator's key in hexadecimal.
    """

    name: str
    key_hash: str


class Orders(Section):
    """How orders to engines are issued.

    A new owner waits for `lease_s`, `longest_pause_s` and `longest_order_s`
    together before it sends an order to an engine that does not check fencing
    numbers, so that no order of an older owner can still be in flight.
    """

    lease_s: Seconds = 5.0
    """Duration of the lease under which a VM owns the orders shard."""
    longest_pause_s: Seconds = 10.0
    """Longest pause of a process that a new owner allows for."""
    longest_order_s: Seconds = 60.0
    """Time after which an order that has not taken effect has failed."""
    trial_s: Seconds = 10.0
    """Time that a new version must run on one engine before others load it."""
    crash_after_s: Seconds = 3.0
    """Time without an answer that counts as a crash of a version on trial."""
    weight_rate_bytes_s: Annotated[float, msgspec.Meta(gt=0)] = 64e6
    """Bytes per second that the store of model weights may deliver."""
    weight_bytes: Bytes = 16_000_000
    """Bytes of the largest model's weights on one engine."""


class Daemon(Section):
    """Settings common to all daemons."""

    vm: Vm
    key_value: KeyValue
    vm_list: VmList
    log: Log = msgspec.field(default_factory=lambda: Log(level="info"))
    trace: Trace = msgspec.field(default_factory=Trace)
    peer_port: Port = 7000
    """Port at which this process serves peers."""
    entry_port: Port = 7000
    """Peer port of `ibisknot-entry` on every VM."""
    batch_port: Port = 7001
    """Peer port of `ibisknot-batch` on every VM."""
    store_port: Port = 7002
    """Peer port of `ibisknot-store` on every VM that runs it."""
    admission_group_size: Annotated[int, msgspec.Meta(ge=1, le=64)] = 16
    """Largest number of endpoints in one admission group."""
    address_overrides: dict[str, str] = {}
    """Addresses to connect to in place of a peer's listed `host:port`."""


class Entry(Daemon, kw_only=True):
    """Settings of `ibisknot-entry`."""

    http_port: Port = 8080
    tls: Tls | None = None
    """Certificate for callers; without it they are served over plain HTTP."""
    peer_tls: Tls | None = None
    """Certificates between peers; without them peers use plain TCP."""
    limits: Limits = msgspec.field(default_factory=Limits)
    operators: list[Operator] = []
    orders: Orders = msgspec.field(default_factory=Orders)
    policy: Annotated[str, msgspec.Meta(pattern="^(naive|fleet)$")] = "fleet"
    admission: Admission = msgspec.field(default_factory=Admission)
    drain_notice_s: Seconds = 1.0
    """Time that the load balancer needs to detect a failed health check."""
    drain_timeout_s: Seconds = 60.0
    """Time for open requests to end at shutdown."""


class Batch(Daemon, kw_only=True):
    """Settings of `ibisknot-batch`."""

    peer_port: Port = 7001
    http_port: Port = 8081
    peer_tls: Tls | None = None
    policy: Annotated[str, msgspec.Meta(pattern="^(naive|fleet)$")] = "fleet"
    lease_s: Seconds = 5.0
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=10000)] = 16
    """Batch items that the process runs at the same time."""
    retention_s: Annotated[float, msgspec.Meta(gt=0)] = 30 * 86400.0
    """Time for which an ended job and its results are stored."""


class Store(Daemon, kw_only=True):
    """Settings of `ibisknot-store`."""

    peer_port: Port = 7002
    http_port: Port = 8082
    peer_tls: Tls | None = None
    data_folder: str


T = TypeVar("T", bound=Section)


def decode(text: str, kind: type[T], *, file_name: str = "settings") -> T:
    """Decodes the text of a settings file into a validated structure.

    Args:
        text: JSON with comments.
        kind: The type of the result.
        file_name: The file name to use in errors.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The text is not JSON, or a key is unknown, missing, of
            the wrong type or out of range.

    >>> decode('{"url": "http://127.0.0.1:1", /* x */}', KeyValue).timeout_s
    2.0
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        raise errors.SettingsError(
            f"{file_name}: not valid JSON: {error}"
        ) from None
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(f"{file_name}: {error}") from None


def load(path: str, kind: type[T]) -> T:
    """Reads and decodes a settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise errors.SettingsError(message) from None
    return decode(text, kind, file_name=path)


def load_or_exit(path: str, kind: type[T], *, check_only: bool = False) -> T:
    """Loads a program's settings, or exits with status 2 if they are invalid.

    Args:
        path: Path of the settings file.
        kind: The type of the result.
        check_only: Whether to exit with status 0 if they are valid.
    """
    try:
        settings = load(path, kind)
    except errors.SettingsError as error:
        print(error.message, file=sys.stderr)
        raise SystemExit(2) from None
    if check_only:
        print(f"{path}: valid")
        raise SystemExit(0)
    return settings
