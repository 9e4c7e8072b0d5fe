"""Decides which requests are suspected of crashing endpoints.

A request and its resends have one fingerprint. The history of its crashes
gives its verdict: `clean`, `suspect` (it runs exclusively) or `refused`.
"""

import dataclasses

import xxhash

CLEAN = "clean"
SUSPECT = "suspect"
REFUSED = "refused"
CRASHES_TO_REFUSE = 2
"""Crashes of a request, one of them exclusive, at which it is refused."""
RETENTION_S = 900.0
"""Time since its last crash for which a fingerprint is retained."""
MAX_RECORDS = 20_000
"""Most fingerprints that are retained."""


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """One crash of an endpoint while a request was in flight on it.

    Messages and log events call the last two fields `alone` and `strong`.

    Attributes:
        endpoint: Name of the endpoint.
        request_id: Id of the request.
        exclusive: Whether no other request was in flight at the endpoint.
        before_first_token: Whether no token of the request had arrived.
    """

    endpoint: str
    request_id: str
    exclusive: bool
    before_first_token: bool


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The crashes of one fingerprint.

    Attributes:
        crashes: The crashes.
        updated_s: Monotonic time of the last report of a crash.
    """

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    updated_s: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """Crashes of endpoints, by the requests that were in flight at them.

    Attributes:
        records: Crashes by the fingerprint of the request.
    """

    records: dict[str, CrashRecord] = dataclasses.field(default_factory=dict)


def request_fingerprint(kind: str, name: str, content: str | bytes) -> str:
    """Returns the hash that a request and its resends have in common.

    Sampling options and streaming are left out: they do not change what the
    endpoint reads first.

    Args:
        kind: Kind of the endpoint.
        name: Name of the model, service or organisation.
        content: The prompt or the body.

    >>> request_fingerprint("engine", "m", "a") == request_fingerprint(
    ...     "engine", "m", b"a"
    ... )
    True
    """
    content_bytes = content.encode() if isinstance(content, str) else content
    digest = xxhash.xxh3_128(f"{kind}/{name}/".encode())
    digest.update(content_bytes)
    return digest.hexdigest()


def record_crash(
    history: CrashHistory, now: float, fingerprint: str, crash: Crash
) -> bool:
    """Records a crash; returns whether it is new.

    A crash that is reported twice counts once.
    """
    record = history.records.setdefault(fingerprint, CrashRecord())
    record.updated_s = now
    is_known = any(
        (other.request_id, other.endpoint, other.exclusive)
        == (crash.request_id, crash.endpoint, crash.exclusive)
        for other in record.crashes
    )
    if not is_known:
        record.crashes.add(crash)
    _expire(history, now)
    return not is_known


def clear(history: CrashHistory, fingerprint: str) -> bool:
    """Removes the crashes of a request that ran to its end.

    A refused request stays refused.

    Returns:
        Whether there were crashes that were removed.
    """
    if verdict(history, fingerprint) == REFUSED:
        return False
    return history.records.pop(fingerprint, None) is not None


def verdict(history: CrashHistory, fingerprint: str) -> str:
    """Returns `clean`, `suspect` or `refused`.

    All requests that were in flight at a crash are suspects. Only a request
    that has also crashed an endpoint exclusively is refused, because one that
    ran beside the cause of two crashes may be harmless.

    >>> history = CrashHistory()
    >>> for name in ("e1", "e2"):
    ...     crash = Crash(
    ...         name, "r", exclusive=name == "e2", before_first_token=True
    ...     )
    ...     verdict(history, "m"), record_crash(history, 0.0, "m", crash)
    ('clean', True)
    ('suspect', True)
    >>> verdict(history, "m")
    'refused'
    """
    record = history.records.get(fingerprint)
    if record is None:
        return CLEAN
    crashes = record.crashes
    count = len(crashes)
    if count >= CRASHES_TO_REFUSE and any(crash.exclusive for crash in crashes):
        return REFUSED
    if count >= CRASHES_TO_REFUSE or any(
        crash.before_first_token for crash in crashes
    ):
        return SUSPECT
    return CLEAN


def _expire(history: CrashHistory, now: float) -> None:
    """Removes old records, and the oldest beyond `MAX_RECORDS`."""
    records = history.records
    expired = [
        key
        for key, record in records.items()
        if record.updated_s < now - RETENTION_S
    ]
    for fingerprint in expired:
        del records[fingerprint]
    while len(records) > MAX_RECORDS:
        oldest = min(records, key=lambda key: records[key].updated_s)
        del records[oldest]
