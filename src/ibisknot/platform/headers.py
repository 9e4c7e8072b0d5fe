"""The platform's headers on requests and answers."""

import math

import xxhash

from ibisknot import http11
from ibisknot import request_metadata

REQUEST_ID = b"X-Ibisknot-Request-Id"
DEADLINE_MS = b"X-Ibisknot-Deadline-Ms"
PROMPT_PARTS = b"X-Ibisknot-Prompt-Prefix"
TOKENS = b"X-Ibisknot-Token-Usage"
LENGTH_HINT = b"X-Ibisknot-Length-Hint"
TENANT = b"X-Ibisknot-Tenant"
ENDPOINT = b"X-Ibisknot-Expect-Instance"
NOT_RUN = b"X-Ibisknot-Not-Run"
WAIT_MS = b"X-Ibisknot-Wait-Ms"
LAST_EVENT = b"Last-Event-Id"
RETRY_AFTER = b"Retry-After"
AUTHORIZATION = b"Authorization"
KEY_SCHEME = "token"
_SET_HERE = frozenset(
    name.lower()
    for name in (DEADLINE_MS, TENANT, ENDPOINT, NOT_RUN, AUTHORIZATION)
)
"""Headers that are never passed on as the caller sent them."""


def terms(headers: http11.Headers) -> request_metadata.CallerMetadata:
    """Decodes what a request says of itself; unreadable parts are absent."""
    prompt, output = _token_usage(_get(headers, TOKENS))
    return request_metadata.CallerMetadata(
        id=_get(headers, REQUEST_ID) or "",
        timeout_s=_seconds(_get(headers, DEADLINE_MS)),
        api_key=_key(_get(headers, AUTHORIZATION)),
        prompt_tokens=prompt,
        output_tokens=output,
        expected_tokens=_number(_get(headers, LENGTH_HINT)),
        prompt_blocks=_blocks(_get(headers, PROMPT_PARTS)),
        last_event_id=_number(_get(headers, LAST_EVENT)),
    )


def wait_s(headers: http11.Headers) -> float:
    """Returns how long a read may be kept waiting."""
    return _seconds(_get(headers, WAIT_MS)) or 0.0


def onward(
    headers: http11.Headers, sent: request_metadata.EndpointMetadata
) -> http11.Headers:
    """Returns the headers of the request to an endpoint."""
    left = [
        (name, value)
        for name, value in http11.end_to_end_headers(headers)
        if name.lower() not in _SET_HERE
        and (sent.last_event_id is None or name.lower() != LAST_EVENT.lower())
    ]
    left.append((ENDPOINT, sent.endpoint.encode("latin-1")))
    if sent.organisation:
        left.append((TENANT, sent.organisation.encode("utf-8")))
    if sent.remaining_s is not None:
        value = str(max(1, math.floor(sent.remaining_s * 1000)))
        left.append((DEADLINE_MS, value.encode()))
    if sent.last_event_id is not None:
        left.append((LAST_EVENT, str(sent.last_event_id).encode()))
    return left


def item_headers(request_id: str, host: str) -> http11.Headers:
    """Returns the headers that a batch item's request has by itself."""
    return [
        (b"Host", host.encode("latin-1")),
        (REQUEST_ID, request_id.encode("latin-1")),
    ]


def is_answer_to(request_id: str, headers: http11.Headers) -> bool:
    """Returns whether an answer belongs to a request."""
    echoed = _get(headers, REQUEST_ID)
    return echoed is None or not request_id or echoed == request_id


def says_not_run(status: int, headers: http11.Headers) -> bool:
    """Returns whether an engine states that it did not run a request."""
    return status == 421 or _get(headers, NOT_RUN) is not None


def refusal(retry_after_s: float | None) -> http11.Headers:
    """Returns the headers of a refusal."""
    if retry_after_s is None:
        return []
    return [(RETRY_AFTER, f"{retry_after_s:.2f}".encode())]


def _get(headers: http11.Headers, name: bytes) -> str | None:
    return http11.get_header(headers, name.lower())


def _number(text: str | None) -> int | None:
    return int(text) if text and text.strip().isdigit() else None


def _seconds(text: str | None) -> float | None:
    """Decodes milliseconds as seconds."""
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    if value is None or not math.isfinite(value):
        return None
    return max(0.0, value / 1000)


def _key(text: str | None) -> str | None:
    scheme, _, key = (text or "").partition(" ")
    return key.strip() or None if scheme.lower() == KEY_SCHEME else None


def _token_usage(text: str | None) -> tuple[int, int]:
    """Decodes `PROMPT,OUTPUT` counts of tokens.

    >>> _token_usage("1460,80"), _token_usage("x")
    ((1460, 80), (0, 0))
    """
    first, _, second = (text or "").partition(",")
    return _number(first) or 0, _number(second) or 0


def _blocks(text: str | None) -> tuple[int, ...]:
    """Returns chained hashes of a prompt's shared parts.

    The last part belongs to the request alone and is left out.
    """
    chain = ""
    found = []
    for part in (text or "").split(",")[:-1]:
        chain = f"{chain}/{part.partition(':')[0].strip()}"
        found.append(xxhash.xxh3_64_intdigest(chain.encode()) - (1 << 63))
    return tuple(found)
