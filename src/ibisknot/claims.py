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
RETENTION_S = 600.0
"""Time for which a resend is recognised."""
RUNNING_TIMEOUT_S = 180.0
"""Time after which a claim without an end counts as unknown."""
MAX_SHARD_CLAIMS = 10_000
MAX_SHARD_RECORDED_BYTES = 4 * 1024 * 1024
MAX_RECORDED_BYTES = 64 * 1024
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


class BeginResult(enum.Enum):
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


class ClaimRequest(msgspec.Struct, frozen=True):
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


class GroupCommit(msgspec.Struct):
    """The value of one group commit."""

    operation: str
    claims: list[ClaimRequest]


@dataclasses.dataclass(slots=True)
class Claim:
    """One claim at its owner."""

    holder: ClaimRequest
    state: State
    started_s: float
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


def derive_claim_id(organisation: str, key: str) -> str:
    """Returns the id of an organisation's claim."""
    text = f"{len(organisation)}/{organisation}/{key}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def request_digest(method: str, path: str, query: str, body: bytes) -> str:
    """Returns the digest that a resend must have too."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), query.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def shard_of(claim_id: str) -> int:
    """Returns the shard that a claim belongs to."""
    return xxhash.xxh3_64_intdigest(claim_id.encode()) % SHARD_COUNT


def commit_key(shard: int, epoch: int, sequence: int) -> str:
    """Returns the key of a group commit.

    >>> commit_key(1, 2, 3)
    '/ibisknot/claims/0001/00000002/0000000003'
    """
    return f"{PREFIX}{shard:04d}/{epoch:08d}/{sequence:010d}"


def begin(table: Table, request: ClaimRequest, now: float) -> BeginResult:
    """Decides about a request; `RUN` makes it the holder of the claim.

    A durable claim is then pending, and only `committed` lets it run.
    """
    claim = table.claims.get(request.claim)
    if claim is None:
        if not _evict_if_full(table):
            return BeginResult.FULL
        _add_claim(table, request, now)
        return BeginResult.RUN
    if claim.holder.digest != request.digest:
        return BeginResult.CONFLICT
    if claim.state == State.RELEASED:
        _add_claim(table, request, now)
        return BeginResult.RUN
    return {
        State.PENDING: BeginResult.JOIN,
        State.RUNNING: BeginResult.JOIN,
        State.ENDED: BeginResult.RECORDED,
        State.UNKNOWN: BeginResult.UNKNOWN,
    }[claim.state]


def _add_claim(table: Table, request: ClaimRequest, now: float) -> None:
    state = State.PENDING if request.durable else State.RUNNING
    table.claims.pop(request.claim, None)
    table.claims[request.claim] = Claim(request, state, now)


def _evict_if_full(table: Table) -> bool:
    """Drops the oldest claim that may be repeated when the table is full."""
    if len(table.claims) < MAX_SHARD_CLAIMS:
        return True
    for claim_id, claim in table.claims.items():
        if not claim.holder.durable and claim.state != State.RUNNING:
            _remove(table, claim_id)
            return True
    return False


def _remove(table: Table, claim_id: str) -> None:
    claim = table.claims.pop(claim_id)
    _discard_answer(table, claim)


def _discard_answer(table: Table, claim: Claim) -> None:
    if claim.recorded is not None:
        table.recorded_bytes -= len(claim.recorded.body)
        claim.recorded = None


def mark_committed(table: Table, request: ClaimRequest) -> bool:
    """Lets a pending claim run; False when its request has given it up."""
    claim = table.claims.get(request.claim)
    if claim is None or claim.holder.request != request.request:
        return False
    if claim.state != State.PENDING:
        return False
    claim.state = State.RUNNING
    return True


def end(
    table: Table,
    claim_id: str,
    request_id: str,
    *,
    not_run: bool = False,
    recorded: Recorded | None = None,
    ran: bool = False,
) -> bool:
    """Ends a claim; returns whether it was this request's.

    Args:
        table: The shard's claims.
        claim_id: Id of the claim.
        request_id: Id of the request that holds it.
        not_run: It certainly did not run.
        recorded: Its answer, if kept.
        ran: It ran to its end, whether its answer is kept or not.
    """
    claim = table.claims.get(claim_id)
    if claim is None or claim.holder.request != request_id:
        return False
    if claim.state in (State.ENDED, State.RELEASED):
        return False
    if not_run:
        claim.state = State.RELEASED
    elif ran:
        claim.state = State.ENDED
        _record_answer(table, claim, recorded)
    else:
        claim.state = _state_without_answer(claim)
    return True


def _state_without_answer(claim: Claim) -> State:
    return State.UNKNOWN if claim.holder.durable else State.RELEASED


def _record_answer(
    table: Table, claim: Claim, recorded: Recorded | None
) -> None:
    if recorded is not None and len(recorded.body) <= MAX_RECORDED_BYTES:
        claim.recorded = recorded
        table.recorded_bytes += len(recorded.body)
    elif not claim.holder.durable:
        claim.state = State.RELEASED
    for other in table.claims.values():
        if table.recorded_bytes <= MAX_SHARD_RECORDED_BYTES:
            return
        if other.recorded is not None:
            _discard_answer(table, other)
            if not other.holder.durable:
                other.state = State.RELEASED


def add_committed(
    table: Table, requests: abc.Iterable[ClaimRequest], now: float
) -> None:
    """Adds the committed claims that a new owner read, in order of commits.

    Their runs are unknown, except for those that this VM itself decided.
    """
    newest = {ask.claim: ask for ask in requests}
    for request in newest.values():
        claim = table.claims.get(request.claim)
        if claim is not None and claim.holder.request == request.request:
            continue
        if claim is not None:
            _remove(table, request.claim)
        table.claims[request.claim] = Claim(request, State.UNKNOWN, now)


def expire(
    table: Table, now: float, is_departed: abc.Callable[[str], bool]
) -> list[str]:
    """Drops old claims and ends those whose VM is gone.

    Returns:
        Ids of the claims that changed.
    """
    changed = []
    for claim_id, claim in list(table.claims.items()):
        age_s = now - claim.started_s
        if claim.state == State.RUNNING:
            if age_s >= RUNNING_TIMEOUT_S or is_departed(claim.holder.vm):
                claim.state = _state_without_answer(claim)
                changed.append(claim_id)
        elif claim.state != State.PENDING and age_s >= RETENTION_S:
            _remove(table, claim_id)
            changed.append(claim_id)
    return changed
