"""Online filter that runs a request at most once under its claim.

Requests with an Idempotency-Key and requests on routes that must not be
repeated are claimed. The latter have durable claims.
"""

from collections.abc import AsyncIterator
import dataclasses

from anyio import abc

from ibisknot import background
from ibisknot import claims
from ibisknot import claims_client
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import relay
from ibisknot.gen.claims import ttypes

KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "idempotency-replayed"
"""Header that marks a recorded response."""
MAX_KEY_CHARACTERS = 256
RECORDED_HEADERS = ("content-type",)
"""Headers that are recorded with a response."""


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim of one request, to be ended once.

    Attributes:
        claim_id: Id of the claim.
        request_id: Id of the request.
        client: Client of the claim's owner.
        task_group: Runs the call of the owner; it outlives the request.
        ended: Whether the end was reported.
    """

    claim_id: str
    request_id: str
    client: claims_client.Client
    task_group: abc.TaskGroup
    ended: bool = False

    def end(self, ran: str, recorded: claims.Recorded | None = None) -> None:
        """Reports to the owner, once, how the request ended.

        Args:
            ran: `not_run`, `ran` or `unknown`.
            recorded: The response to record, if any.
        """
        if self.ended:
            return
        self.ended = True
        wire = None
        if recorded is not None:
            wire = ttypes.Recorded(
                status=recorded.status,
                headers=recorded.headers,
                body=recorded.body,
            )
        message = ttypes.ClaimEnd(
            claim=self.claim_id, request=self.request_id, ran=ran, recorded=wire
        )
        background.start(self.task_group, self.client.end, message)


def claim_once(
    client: claims_client.Client, task_group: abc.TaskGroup
) -> exchange_module.Filter:
    """Returns the filter that runs claimed requests at most once.

    Args:
        client: Client of the claims' owners.
        task_group: Runs the calls that end claims; it outlives requests.
    """

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        key = exchange.request.headers.get(KEY_HEADER)
        durable = not exchange.require_target().idempotent
        if key is None and not durable:
            return await following(exchange)
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
            message = (
                f"{KEY_HEADER} must have 1 to {MAX_KEY_CHARACTERS} characters"
            )
            raise errors.BadRequestError(message)
        # The prefixes keep a caller's key from equalling a request id.
        claim_key = (
            f"key/{key}" if key is not None else f"request/{exchange.id}"
        )
        claim = HeldClaim(
            claims.derive_claim_id(exchange.organisation, claim_key),
            exchange.id,
            client,
            task_group,
        )
        decision = await _begin_claim(claim, exchange, durable=durable)
        if decision is not None and decision.decision != ttypes.Decision.RUN:
            return _reply_without_run(exchange, decision)
        if decision is None:
            return await following(exchange)
        return await _run_claimed(claim, exchange, following, durable=durable)

    return run


async def _begin_claim(
    claim: HeldClaim, exchange: exchange_module.Exchange, *, durable: bool
) -> ttypes.ClaimDecision | None:
    """Claims a request.

    Returns:
        The owner's decision. None if the claim failed and the request may be
        repeated: it then runs without a claim.

    Raises:
        UnavailableError: A durable claim failed; the request did not run.
    """
    request = exchange.request
    digest = claims.request_digest(
        request.method, request.url.path, request.url.query, exchange.body
    )
    try:
        return await claim.client.begin(
            claim.claim_id, digest, claim.request_id, durable=durable
        )
    except errors.IbisknotError as error:
        if not durable:
            return None
        # The owner may hold the claim, but nothing was sent to an endpoint.
        claim.end(errors.NOT_RUN)
        message = f"the request cannot be claimed: {error.message}"
        raise errors.UnavailableError(message, retry_after_s=1.0) from None
    except BaseException:
        claim.end(errors.NOT_RUN)
        raise


def _reply_without_run(
    exchange: exchange_module.Exchange, decision: ttypes.ClaimDecision
) -> exchange_module.Reply:
    """Returns the reply to a request that does not run.

    Another request has the claim.

    Raises:
        ConflictError: The other request differs.
        UnavailableError: The other request still runs.
        OutcomeUnknownError: The other request may have run.
        AnswerNotKeptError: The other request ran; its response is not recorded.
    """
    kind = decision.decision
    if kind == ttypes.Decision.CONFLICT:
        message = f"{KEY_HEADER} was used with a different request"
        raise errors.ConflictError(message)
    if kind == ttypes.Decision.RUNNING:
        message = "another request with this key or id still runs"
        raise errors.UnavailableError(
            message, ran=errors.UNKNOWN, retry_after_s=5.0
        )
    if kind == ttypes.Decision.UNKNOWN:
        message = "it is unknown whether the request ran; it is not repeated"
        raise errors.OutcomeUnknownError(message)
    recorded = decision.recorded
    if recorded is None:
        message = "the request ran; its response is not recorded"
        raise errors.AnswerNotKeptError(message)
    exchange.ran = errors.RAN
    headers = dict(recorded.headers)
    headers["x-request-id"] = exchange.id
    headers[REPLAYED_HEADER] = "true"
    return exchange_module.Reply(
        recorded.status, headers, _chunks([recorded.body])
    )


async def _run_claimed(
    claim: HeldClaim,
    exchange: exchange_module.Exchange,
    following: exchange_module.Handler,
    *,
    durable: bool,
) -> exchange_module.Reply:
    """Runs a request that holds its claim, and ends the claim with it."""
    try:
        reply = await following(exchange)
        exchange.cleanup.callback(claim.end, errors.UNKNOWN)
        recording = _record_body(claim, reply, reply.body, durable=durable)
        if durable:
            # The response is read before it is relayed, so that a caller that
            # disconnects while it is relayed does not end the run, and a
            # resend gets the response.
            return await _read_ahead(reply, recording)
    except errors.IbisknotError as error:
        not_run = error.ran == errors.NOT_RUN
        claim.end(errors.NOT_RUN if not_run else errors.UNKNOWN)
        raise
    except BaseException:
        claim.end(errors.UNKNOWN)
        raise
    reply.body = recording
    return reply


async def _record_body(
    claim: HeldClaim,
    reply: exchange_module.Reply,
    body: AsyncIterator[bytes],
    *,
    durable: bool,
) -> AsyncIterator[bytes]:
    """Relays a response, and ends the claim with it when it is complete."""
    recorded_chunks: list[bytes] | None = []
    size = 0
    try:
        async for chunk in body:
            size += len(chunk)
            if size > claims.MAX_RECORDED_BYTES:
                recorded_chunks = None
            if recorded_chunks is not None:
                recorded_chunks.append(chunk)
            yield chunk
    except BaseException:
        claim.end(errors.UNKNOWN)
        raise
    complete_body = (
        b"".join(recorded_chunks) if recorded_chunks is not None else None
    )
    claim.end(*_run_result(reply, complete_body, durable=durable))


def _run_result(
    reply: exchange_module.Reply, body: bytes | None, *, durable: bool
) -> tuple[str, claims.Recorded | None]:
    """Returns how a request whose answer is complete ended.

    Args:
        reply: The response.
        body: Its body, None if it is too long to be recorded.
        durable: Whether the claim is durable.

    Returns:
        `ran` or `unknown`, and the response to record, if any.
    """
    if not durable and reply.status >= 500:
        return errors.UNKNOWN, None
    if body is None:
        return errors.RAN, None
    if relay.is_event_stream(reply) and relay.DONE_EVENT not in body[-64:]:
        return errors.UNKNOWN, None
    headers = {
        name: reply.headers[name]
        for name in RECORDED_HEADERS
        if name in reply.headers
    }
    return errors.RAN, claims.Recorded(reply.status, headers, body)


async def _read_ahead(
    reply: exchange_module.Reply, recording: AsyncIterator[bytes]
) -> exchange_module.Reply:
    """Reads a response up to the size that is recorded.

    A longer response is relayed from there on as it arrives.
    """
    chunks = []
    size = 0
    async for chunk in recording:
        chunks.append(chunk)
        size += len(chunk)
        if size > claims.MAX_RECORDED_BYTES:
            reply.body = _chunks(chunks, recording)
            return reply
    reply.body = _chunks(chunks)
    return reply


async def _chunks(
    chunks: list[bytes], rest: AsyncIterator[bytes] | None = None
) -> AsyncIterator[bytes]:
    """Yields chunks that were read, then those still to be read."""
    for chunk in chunks:
        yield chunk
    if rest is not None:
        async for chunk in rest:
            yield chunk
