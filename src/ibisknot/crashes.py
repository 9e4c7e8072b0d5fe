"""Decides which requests are suspected of crashing endpoints."""

import dataclasses

import xxhash

CLEAN = "clean"
SUSPECT = "suspect"
REFUSED = "refused"
CRASHES_TO_REFUSE = 2
FAILURES_TO_REFUSE = 3
KEEP_S = 900.0
MAXIMUM_RECORDS = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """One crash of an endpoint while a request was in flight on it.

    Attributes:
        request: Id of the request.
        alone: Whether nothing else was in flight there.
        strong: Whether no token of the request had come.
    """

    endpoint: str
    request: str
    alone: bool
    strong: bool


@dataclasses.dataclass(slots=True)
class Record:
    """The crashes of one fingerprint."""

    crashes: set[Crash] = dataclasses.field(default_factory=set)
    updated_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Register:
    """What is known about requests that were in flight at crashes."""

    records: dict[str, Record] = dataclasses.field(default_factory=dict)


def fingerprint(kind: str, name: str, content: str | bytes) -> str:
    """Returns what a request and its resends have in common.

    Sampling options and streaming are left out: they do not change what the
    endpoint reads first.

    >>> fingerprint("engine", "m", "a") == fingerprint("engine", "m", b"a")
    True
    """
    raw = content.encode() if isinstance(content, str) else content
    digest = xxhash.xxh3_128(f"{kind}/{name}/".encode())
    digest.update(raw)
    return digest.hexdigest()


def note(register: Register, now: float, mark: str, crash: Crash) -> bool:
    """Records a crash; returns whether it was not known yet."""
    record = register.records.setdefault(mark, Record())
    record.updated_s = now
    known = any(
        (c.request, c.endpoint, c.alone)
        == (crash.request, crash.endpoint, crash.alone)
        for c in record.crashes
    )
    if not known:
        record.crashes.add(crash)
    _forget(register, now)
    return not known


def clear(register: Register, mark: str) -> bool:
    """Ends the suspicion of a request that ran to its end.

    A request that is refused stays refused.
    """
    if verdict(register, mark) == REFUSED:
        return False
    return register.records.pop(mark, None) is not None


def verdict(register: Register, mark: str) -> str:
    """Returns `clean`, `suspect` or `refused`.

    A crash puts all requests in flight there under suspicion. Only one that
    crashed an endpoint alone is known to be the cause, so that requests which
    were merely beside it twice are not refused.

    >>> register = Register()
    >>> for name in ("e1", "e2"):
    ...     crash = Crash(name, "r", alone=name == "e2", strong=True)
    ...     verdict(register, "m"), note(register, 0.0, "m", crash)
    ('clean', True)
    ('suspect', True)
    >>> verdict(register, "m")
    'refused'
    """
    record = register.records.get(mark)
    if record is None:
        return CLEAN
    crashes = record.crashes
    count = len(crashes)
    if count >= CRASHES_TO_REFUSE and any(c.alone for c in crashes):
        return REFUSED
    if count >= CRASHES_TO_REFUSE or any(c.strong for c in crashes):
        return SUSPECT
    return CLEAN


def is_repeated(register: Register, mark: str) -> bool:
    """Returns whether a request has failed wherever it was sent, for long.

    It holds for requests whose endpoints do not say whether they crashed, and
    which cannot be run alone.
    """
    record = register.records.get(mark)
    if record is None:
        return False
    return len(record.crashes) >= FAILURES_TO_REFUSE


def _forget(register: Register, now: float) -> None:
    records = register.records
    old = [m for m, r in records.items() if r.updated_s < now - KEEP_S]
    for mark in old:
        del records[mark]
    while len(records) > MAXIMUM_RECORDS:
        oldest = min(records, key=lambda m: records[m].updated_s)
        del records[oldest]
