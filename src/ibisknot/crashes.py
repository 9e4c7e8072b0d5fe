"""Decides which requests are suspected of crashing endpoints."""

import dataclasses

import xxhash

CLEAN = "clean"
SUSPECT = "suspect"
REFUSED = "refused"
CRASHES_TO_REFUSE = 2
FAILURES_TO_REFUSE = 3
RETENTION_S = 900.0
MAX_RECORDS = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """One crash of an endpoint while a request was in flight on it.

    Attributes:
        request: Id of the request.
        alone: Whether nothing else was in flight there.
        strong: Whether no token of the request had come.
    """

    endpoint: str
    request_id: str
    exclusive: bool
    before_first_token: bool


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The crashes of one fingerprint."""

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    updated_s: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """What is known about requests that were in flight at crashes."""

    records: dict[str, CrashRecord] = dataclasses.field(default_factory=dict)


def request_fingerprint(kind: str, name: str, content: str | bytes) -> str:
    """Returns what a request and its resends have in common.

    Sampling options and streaming are left out: they do not change what the
    endpoint reads first.

    >>> request_fingerprint("engine", "m", "a") == request_fingerprint(
    ...     "engine", "m", b"a"
    ... )
    True
    """
    raw = content.encode() if isinstance(content, str) else content
    digest = xxhash.xxh3_128(f"{kind}/{name}/".encode())
    digest.update(raw)
    return digest.hexdigest()


def record_crash(
    history: CrashHistory, now: float, fingerprint: str, crash: Crash
) -> bool:
    """Records a crash; returns whether it was not known yet."""
    record = history.records.setdefault(fingerprint, CrashRecord())
    record.updated_s = now
    known = any(
        (c.request_id, c.endpoint, c.exclusive)
        == (crash.request_id, crash.endpoint, crash.exclusive)
        for c in record.crashes
    )
    if not known:
        record.crashes.add(crash)
    _expire(history, now)
    return not known


def clear(history: CrashHistory, fingerprint: str) -> bool:
    """Ends the suspicion of a request that ran to its end.

    A request that is refused stays refused.
    """
    if verdict(history, fingerprint) == REFUSED:
        return False
    return history.records.pop(fingerprint, None) is not None


def verdict(history: CrashHistory, fingerprint: str) -> str:
    """Returns `clean`, `suspect` or `refused`.

    A crash puts all requests in flight there under suspicion. Only one that
    crashed an endpoint alone is known to be the cause, so that requests which
    were merely beside it twice are not refused.

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
    if count >= CRASHES_TO_REFUSE and any(c.exclusive for c in crashes):
        return REFUSED
    if count >= CRASHES_TO_REFUSE or any(c.before_first_token for c in crashes):
        return SUSPECT
    return CLEAN


def has_failed_repeatedly(history: CrashHistory, fingerprint: str) -> bool:
    """Returns whether a request has failed wherever it was sent, for long.

    It holds for requests whose endpoints do not say whether they crashed, and
    which cannot be run alone.
    """
    record = history.records.get(fingerprint)
    if record is None:
        return False
    return len(record.crashes) >= FAILURES_TO_REFUSE


def _expire(history: CrashHistory, now: float) -> None:
    records = history.records
    old = [m for m, r in records.items() if r.updated_s < now - RETENTION_S]
    for fingerprint in old:
        del records[fingerprint]
    while len(records) > MAX_RECORDS:
        oldest = min(records, key=lambda m: records[m].updated_s)
        del records[oldest]
