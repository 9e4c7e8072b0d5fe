"""Idempotency claims: which request runs, waits, or gets a recorded response.

A claim stands for an Idempotency-Key of an organisation, or for a request id on
routes whose requests must not be repeated. Claims on such routes are durable:
they are committed in the key-value service before the request may run.

The functions here change the claims of one shard in memory. `claims_owner`
calls them at the VM that owns the shard and commits durable claims.
"""

from collections import abc
import dataclasses
import enum
import hashlib

import msgspec
import xxhash

SHARD_KIND = "claims"
"""Kind of the shards in the ownership records."""
SHARD_COUNT = 8
COMMIT_KEY_PREFIX = "/ibisknot/claims/"
"""Prefix of the keys of group commits."""
RETENTION_S = 600.0
"""Age, from its start, up to which a claim recognises a resend."""
RUNNING_TIMEOUT_S = 180.0
"""Time after which the outcome of a running request counts as unknown."""
MAX_SHARD_CLAIMS = 10_000
MAX_SHARD_RECORDED_BYTES = 4 * 1024 * 1024
MAX_RECORDED_BYTES = 64 * 1024
"""Longest body of a response that is recorded."""


class State(enum.Enum):
    """State of a claim."""

    PENDING = "pending"
    """Not yet committed; nothing has run."""
    RUNNING = "running"
    """The holder may run, or runs."""
    RELEASED = "released"
    """The holder did not run, or may be repeated; the next request may run."""
    ENDED = "ended"
    """The holder ran to its end; its response may be recorded."""
    UNKNOWN = "unknown"
    """The holder may have run; no request runs under the claim again."""


class BeginResult(enum.Enum):
    """What happens to a request that wants a claim."""

    RUN = "run"
    """It holds the claim and runs, once a durable claim is committed."""
    JOIN = "join"
    """It waits for the request that holds the claim."""
    RECORDED = "recorded"
    """It gets the recorded response, or an error if there is none."""
    CONFLICT = "conflict"
    """Its content differs from that of the request that holds the claim."""
    UNKNOWN = "unknown"
    """Another request may have run, so that this one must not."""
    FULL = "full"
    """The shard has no space for another claim."""


class Recorded(msgspec.Struct, frozen=True):
    """An endpoint's response, recorded for resends.

    Attributes:
        status: Status code.
        headers: The recorded ones of its headers.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ClaimRequest(msgspec.Struct, frozen=True):
    """A request for a claim.

    It is stored in group commits under these field names.

    Attributes:
        claim: Id of the claim.
        digest: Digest of the HTTP request, as of `request_digest`.
        vm: VM that wants to run the HTTP request.
        request: Request id; a resend under the same key has another one.
        durable: Whether the claim is committed before the request may run.
    """

    claim: str
    digest: str
    vm: str
    request: str
    durable: bool


class GroupCommit(msgspec.Struct):
    """Durable claims committed together, as stored in the key-value service.

    Attributes:
        operation: Id of this write, by which its writer recognises it.
        claims: The claims, in the order of their requests.
    """

    operation: str
    claims: list[ClaimRequest]


@dataclasses.dataclass(slots=True)
class Claim:
    """One claim at the owner of its shard.

    Attributes:
        holder: The request that holds the claim.
        started_s: Monotonic time at which the holder got the claim, or at
            which a new owner read it.
        recorded: The holder's response, if recorded.
    """

    holder: ClaimRequest
    state: State
    started_s: float
    recorded: Recorded | None = None


@dataclasses.dataclass(slots=True)
class Table:
    """The claims of one shard.

    Attributes:
        claims: Claims by id, oldest first.
        recorded_bytes: Size of the bodies of all recorded responses.
    """

    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    recorded_bytes: int = 0


def derive_claim_id(organisation: str, key: str) -> str:
    """Returns the id of the claim that an organisation's key stands for."""
    text = f"{len(organisation)}/{organisation}/{key}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def request_digest(method: str, path: str, query: str, body: bytes) -> str:
    """Returns the digest by which a resend of a request is recognised."""
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
    return f"{COMMIT_KEY_PREFIX}{shard:04d}/{epoch:08d}/{sequence:010d}"


def begin(table: Table, request: ClaimRequest, now: float) -> BeginResult:
    """Decides whether a request runs; with `RUN` it holds the claim.

    A durable claim is pending until `mark_committed` is called.
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
    """Adds a claim as the newest one of its table."""
    state = State.PENDING if request.durable else State.RUNNING
    table.claims.pop(request.claim, None)
    table.claims[request.claim] = Claim(request, state, now)


def _evict_if_full(table: Table) -> bool:
    """Returns whether the table has space, evicting a claim if it is full.

    Only claims whose requests may be repeated are evicted, the oldest first.
    """
    if len(table.claims) < MAX_SHARD_CLAIMS:
        return True
    for claim_id, claim in table.claims.items():
        if not claim.holder.durable and claim.state != State.RUNNING:
            _remove(table, claim_id)
            return True
    return False


def _remove(table: Table, claim_id: str) -> None:
    claim = table.claims.pop(claim_id)
    _discard_response(table, claim)


def _discard_response(table: Table, claim: Claim) -> None:
    if claim.recorded is not None:
        table.recorded_bytes -= len(claim.recorded.body)
        claim.recorded = None


def mark_committed(table: Table, request: ClaimRequest) -> bool:
    """Lets the holder of a pending claim run.

    Returns:
        False if the request no longer holds the claim, or has ended it.
    """
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
    """Ends a claim.

    Without `not_run` and `ran` the request may have run. A durable claim is
    then unknown, another one is released.

    Args:
        table: The shard's claims.
        claim_id: Id of the claim.
        request_id: Id of the request that ends.
        not_run: Whether the request certainly did not run.
        recorded: Its response, if it is to be recorded.
        ran: Whether the request ran to its end, with or without `recorded`.

    Returns:
        Whether the request held the claim, and the claim had not ended.
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
        _record_response(table, claim, recorded)
    else:
        claim.state = _state_without_response(claim)
    return True


def _state_without_response(claim: Claim) -> State:
    """Returns the state of a claim whose request may have run."""
    return State.UNKNOWN if claim.holder.durable else State.RELEASED


def _record_response(
    table: Table, claim: Claim, recorded: Recorded | None
) -> None:
    """Records a response, and discards the oldest beyond the shard's limit.

    A claim that is not durable and has no response is released: its request may
    be repeated.
    """
    if recorded is not None and len(recorded.body) <= MAX_RECORDED_BYTES:
        claim.recorded = recorded
        table.recorded_bytes += len(recorded.body)
    elif not claim.holder.durable:
        claim.state = State.RELEASED
    for other in table.claims.values():
        if table.recorded_bytes <= MAX_SHARD_RECORDED_BYTES:
            return
        if other.recorded is not None:
            _discard_response(table, other)
            if not other.holder.durable:
                other.state = State.RELEASED


def add_committed(
    table: Table, requests: abc.Iterable[ClaimRequest], now: float
) -> None:
    """Adds the committed claims that a new owner read.

    Their outcomes are unknown, except where the table already has the claim
    with the same holder, because this VM granted it.

    Args:
        table: The shard's claims.
        requests: The committed claims, in the order of their commits.
        now: Monotonic time in seconds.
    """
    newest = {request.claim: request for request in requests}
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
    """Removes old claims, and ends those of lost requests.

    A running request counts as lost when its VM has departed or when it has
    run for `RUNNING_TIMEOUT_S`.

    Args:
        table: The shard's claims.
        now: Monotonic time in seconds.
        is_departed: Returns whether a VM, given by name, has departed.

    Returns:
        Ids of the claims that changed.
    """
    changed = []
    for claim_id, claim in list(table.claims.items()):
        age_s = now - claim.started_s
        if claim.state == State.RUNNING:
            if age_s >= RUNNING_TIMEOUT_S or is_departed(claim.holder.vm):
                claim.state = _state_without_response(claim)
                changed.append(claim_id)
        elif claim.state != State.PENDING and age_s >= RETENTION_S:
            _remove(table, claim_id)
            changed.append(claim_id)
    return changed
