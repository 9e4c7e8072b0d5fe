"""Idempotency claims: which request runs, joins, or gets a recorded answer.

A claim is held for an Idempotency-Key of an organisation, or for a request id
on routes that may not be repeated. Claims on such routes are durable: they are
committed in the key-value service before the request may run.
"""

from collections import abc
import dataclasses
import enum
import hashlib

import msgspec
import xxhash

KIND = "claims"
SHARD_COUNT = 8
PREFIX = "/ibisknot/claims/"
KEEP_S = 600.0
"""Time for which a resend is recognised."""
RUNNING_LIMIT_S = 180.0
"""Time after which a claim without an end counts as unknown."""
SHARD_CLAIMS = 10_000
SHARD_BYTES = 4 * 1024 * 1024
RECORDED_BYTES = 64 * 1024
"""Longest answer that is recorded."""


class State(enum.Enum):
    """State of a claim."""

    PENDING = "pending"
    """Not yet committed; nothing has run."""
    RUNNING = "running"
    RELEASED = "released"
    """It did not run, or may be repeated; the next request may run."""
    ENDED = "ended"
    UNKNOWN = "unknown"
    """It may have run; nothing runs under it ever again."""


class Outcome(enum.Enum):
    """What a request that asks for a claim has to do."""

    RUN = "run"
    JOIN = "join"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FULL = "full"


class Recorded(msgspec.Struct, frozen=True):
    """An endpoint's answer kept for resends."""

    status: int
    headers: dict[str, str]
    body: bytes


class Ask(msgspec.Struct, frozen=True):
    """A request for a claim.

    Attributes:
        claim: Id of the claim.
        digest: Digest of the request; another one is a conflict.
        vm: VM that wants to run the request.
        request: Request id of this try.
        durable: Whether the claim must be committed before anything runs.
    """

    claim: str
    digest: str
    vm: str
    request: str
    durable: bool


class Commit(msgspec.Struct):
    """The value of one group commit."""

    operation: str
    claims: list[Ask]


@dataclasses.dataclass(slots=True)
class Claim:
    """One claim at its owner."""

    ask: Ask
    state: State
    since_s: float
    recorded: Recorded | None = None


@dataclasses.dataclass(slots=True)
class Table:
    """The claims of one shard, oldest first.

    Attributes:
        claims: Claims by id.
        recorded_bytes: Size of all recorded answers.
    """

    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    recorded_bytes: int = 0


def claim_id(organisation: str, key: str) -> str:
    """Returns the id of an organisation's claim."""
    text = f"{len(organisation)}/{organisation}/{key}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def request_digest(method: str, path: str, query: str, body: bytes) -> str:
    """Returns the digest that a resend must have too."""
    found = hashlib.sha256()
    for part in (method.encode(), path.encode(), query.encode(), body):
        found.update(len(part).to_bytes(8, "big"))
        found.update(part)
    return found.hexdigest()


def shard_of(claim: str) -> int:
    """Returns the shard that a claim belongs to."""
    return xxhash.xxh3_64_intdigest(claim.encode()) % SHARD_COUNT


def commit_key(shard: int, epoch: int, sequence: int) -> str:
    """Returns the key of a group commit.

    >>> commit_key(1, 2, 3)
    '/ibisknot/claims/0001/00000002/0000000003'
    """
    return f"{PREFIX}{shard:04d}/{epoch:08d}/{sequence:010d}"


def begin(table: Table, ask: Ask, now: float) -> Outcome:
    """Decides about a request; `RUN` makes it the holder of the claim.

    A durable claim is then pending, and only `committed` lets it run.
    """
    found = table.claims.get(ask.claim)
    if found is None:
        if not _make_room(table):
            return Outcome.FULL
        _hold(table, ask, now)
        return Outcome.RUN
    if found.ask.digest != ask.digest:
        return Outcome.CONFLICT
    if found.state == State.RELEASED:
        _hold(table, ask, now)
        return Outcome.RUN
    return {
        State.PENDING: Outcome.JOIN,
        State.RUNNING: Outcome.JOIN,
        State.ENDED: Outcome.RECORDED,
        State.UNKNOWN: Outcome.UNKNOWN,
    }[found.state]


def _hold(table: Table, ask: Ask, now: float) -> None:
    state = State.PENDING if ask.durable else State.RUNNING
    table.claims.pop(ask.claim, None)
    table.claims[ask.claim] = Claim(ask, state, now)


def _make_room(table: Table) -> bool:
    """Drops the oldest claim that may be repeated when the table is full."""
    if len(table.claims) < SHARD_CLAIMS:
        return True
    for name, claim in table.claims.items():
        if not claim.ask.durable and claim.state != State.RUNNING:
            _drop(table, name)
            return True
    return False


def _drop(table: Table, name: str) -> None:
    claim = table.claims.pop(name)
    _unrecord(table, claim)


def _unrecord(table: Table, claim: Claim) -> None:
    if claim.recorded is not None:
        table.recorded_bytes -= len(claim.recorded.body)
        claim.recorded = None


def committed(table: Table, ask: Ask) -> bool:
    """Lets a pending claim run; False when its request has given it up."""
    found = table.claims.get(ask.claim)
    if found is None or found.ask.request != ask.request:
        return False
    if found.state != State.PENDING:
        return False
    found.state = State.RUNNING
    return True


def end(
    table: Table,
    claim: str,
    request: str,
    *,
    not_run: bool = False,
    recorded: Recorded | None = None,
    ran: bool = False,
) -> bool:
    """Ends a claim; returns whether it was this request's.

    Args:
        table: The shard's claims.
        claim: Id of the claim.
        request: Request id of the try that held it.
        not_run: It certainly did not run.
        recorded: Its answer, if kept.
        ran: It ran to its end, whether its answer is kept or not.
    """
    found = table.claims.get(claim)
    if found is None or found.ask.request != request:
        return False
    if found.state in (State.ENDED, State.RELEASED):
        return False
    if not_run:
        found.state = State.RELEASED
    elif ran:
        found.state = State.ENDED
        _record(table, found, recorded)
    else:
        found.state = _without_answer(found)
    return True


def _without_answer(claim: Claim) -> State:
    return State.UNKNOWN if claim.ask.durable else State.RELEASED


def _record(table: Table, claim: Claim, recorded: Recorded | None) -> None:
    if recorded is not None and len(recorded.body) <= RECORDED_BYTES:
        claim.recorded = recorded
        table.recorded_bytes += len(recorded.body)
    elif not claim.ask.durable:
        claim.state = State.RELEASED
    for other in table.claims.values():
        if table.recorded_bytes <= SHARD_BYTES:
            return
        if other.recorded is not None:
            _unrecord(table, other)
            if not other.ask.durable:
                other.state = State.RELEASED


def load(table: Table, asks: abc.Iterable[Ask], now: float) -> None:
    """Adds the committed claims that a new owner read, in order of commits.

    Their runs are unknown, except for those that this VM itself decided.
    """
    newest = {ask.claim: ask for ask in asks}
    for ask in newest.values():
        found = table.claims.get(ask.claim)
        if found is not None and found.ask.request == ask.request:
            continue
        if found is not None:
            _drop(table, ask.claim)
        table.claims[ask.claim] = Claim(ask, State.UNKNOWN, now)


def expire(
    table: Table, now: float, vm_gone: abc.Callable[[str], bool]
) -> list[str]:
    """Drops old claims and ends those whose VM is gone.

    Returns:
        Ids of the claims that changed.
    """
    changed = []
    for name, claim in list(table.claims.items()):
        age_s = now - claim.since_s
        if claim.state == State.RUNNING:
            if age_s >= RUNNING_LIMIT_S or vm_gone(claim.ask.vm):
                claim.state = _without_answer(claim)
                changed.append(name)
        elif claim.state != State.PENDING and age_s >= KEEP_S:
            _drop(table, name)
            changed.append(name)
    return changed
