"""Decodes and encodes the platform's headers of requests and responses."""

import math

import xxhash

from ibisknot import http11
from ibisknot import request_metadata

REQUEST_ID = b"X-Ibisknot-Request-Id"
DEADLINE_MS = b"X-Ibisknot-Deadline-Ms"
PROMPT_PREFIX = b"X-Ibisknot-Prompt-Prefix"
TOKEN_USAGE = b"X-Ibisknot-Token-Usage"
LENGTH_HINT = b"X-Ibisknot-Length-Hint"
TENANT = b"X-Ibisknot-Tenant"
EXPECTED_ENDPOINT = b"X-Ibisknot-Expect-Instance"
NOT_RUN = b"X-Ibisknot-Not-Run"
WAIT_MS = b"X-Ibisknot-Wait-Ms"
LAST_EVENT_ID = b"Last-Event-Id"
# Id of the caller's earlier request that brought the first event.
RESUMES = b"Resumes"
RETRY_AFTER = b"Retry-After"
REQUEST_LIMIT = b"Server-Limit"
LEAVING = b"Server-Leaving"
# By which the platform knows that an engine has made a response.
RESPONSE_STAMP = b"X-Ibisknot-Response-Stamp"
AUTHORIZATION = b"Authorization"
MAX_INTEGER_DIGITS = 15
"""Counts in headers are below 10^15, which every encoding keeps exactly."""
AUTHORIZATION_SCHEME = "token"
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (DEADLINE_MS, TENANT, EXPECTED_ENDPOINT, NOT_RUN, AUTHORIZATION)
)
"""Headers of callers that are not forwarded to endpoints."""


def decode_metadata(headers: http11.Headers) -> request_metadata.CallerMetadata:
    """Decodes a caller's metadata; malformed headers count as absent."""
    prompt_tokens, output_tokens = _decode_token_usage(
        _get(headers, TOKEN_USAGE)
    )
    part_ids = _decode_part_ids(_get(headers, PROMPT_PREFIX))
    return request_metadata.CallerMetadata(
        id=_get(headers, REQUEST_ID) or "",
        timeout_s=_decode_seconds(_get(headers, DEADLINE_MS)),
        api_key=_decode_key(_get(headers, AUTHORIZATION)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_tokens=_decode_integer(_get(headers, LENGTH_HINT)),
        prompt_blocks=_chained_hashes(part_ids),
        prompt_parts=tuple(_hash(part_id) for part_id in part_ids),
        last_event_id=_decode_integer(_get(headers, LAST_EVENT_ID)),
        resumed_id=_get(headers, RESUMES) or "",
    )


def decode_max_wait_s(headers: http11.Headers) -> float:
    """Returns the seconds that a read of results may wait for new ones."""
    return _decode_seconds(_get(headers, WAIT_MS)) or 0.0


def encode_headers(
    headers: http11.Headers, metadata: request_metadata.EndpointMetadata
) -> http11.Headers:
    """Returns the headers of the request to an endpoint.

    Args:
        headers: Headers of the caller's request.
        metadata: Metadata to set; it replaces the caller's headers.
    """
    encoded = [
        (name, value)
        for name, value in http11.end_to_end_headers(headers)
        if name.lower() not in _NOT_FORWARDED
        and (
            metadata.last_event_id is None
            or name.lower() != LAST_EVENT_ID.lower()
        )
    ]
    encoded.append((EXPECTED_ENDPOINT, metadata.endpoint.encode()))
    if metadata.organisation:
        encoded.append((TENANT, metadata.organisation.encode("utf-8")))
    if metadata.remaining_s is not None:
        value = str(max(1, math.floor(metadata.remaining_s * 1000)))
        encoded.append((DEADLINE_MS, value.encode()))
    if metadata.last_event_id is not None:
        encoded.append((LAST_EVENT_ID, str(metadata.last_event_id).encode()))
    return encoded


def item_headers(request_id: str, host: str) -> http11.Headers:
    """Returns the headers of a batch item's request that the product sets."""
    return [
        (b"Host", host.encode()),
        (REQUEST_ID, request_id.encode("latin-1")),
    ]


def is_valid_item_header(name: str, value: str) -> bool:
    """Returns whether the value of a batch item's header has its form.

    An endpoint that cannot read the sizes of an item never runs it.

    >>> is_valid_item_header("x-ibisknot-token-usage", "540,400")
    True
    >>> is_valid_item_header("X-Ibisknot-Token-Usage", "many")
    False
    >>> is_valid_item_header("X-Ibisknot-Prompt-Prefix", "9c2e41:300,5d07:2x")
    False
    >>> is_valid_item_header("X-Other", "anything")
    True
    """
    is_valid = _ITEM_HEADER_CHECKS.get(name.lower().encode())
    return is_valid is None or is_valid(value)


def _is_token_usage(text: str) -> bool:
    counts = text.split(",")
    return len(counts) == 2 and all(_is_count(count) for count in counts)


def _is_prompt_prefix(text: str) -> bool:
    parts = [part.rpartition(":") for part in text.split(",")]
    return all(part_id.strip() and _is_count(n) for part_id, _, n in parts)


def _is_count(text: str) -> bool:
    return _decode_integer(text) is not None


_ITEM_HEADER_CHECKS = {
    TOKEN_USAGE.lower(): _is_token_usage,
    PROMPT_PREFIX.lower(): _is_prompt_prefix,
    LENGTH_HINT.lower(): _is_count,
}


def is_response_to(request_id: str, headers: http11.Headers) -> bool:
    """Returns whether a response belongs to a request.

    Without an id on either side the response counts as the request's.
    """
    echoed = _get(headers, REQUEST_ID)
    return echoed is None or not request_id or echoed == request_id


def says_not_run(status: int, headers: http11.Headers) -> bool:
    """Returns whether a response states that the request was not run."""
    return status == 421 or _get(headers, NOT_RUN) is not None


def says_leaving(headers: http11.Headers) -> bool:
    """Returns whether a response says that its endpoint is about to leave.

    >>> says_leaving([(b"server-leaving", b"1")])
    True
    >>> says_leaving([(b"Server-Leaving", b"0")]), says_leaving([])
    (False, False)
    """
    return (_get(headers, LEAVING) or "").strip() == "1"


def is_from_endpoint(status: int, headers: http11.Headers) -> bool:
    """Returns whether a response can be that of an endpoint.

    A success that bears no stamp was made by something else.

    >>> stamp = (b"X-Ibisknot-Response-Stamp", b"3e1b.07")
    >>> is_from_endpoint(200, [stamp]), is_from_endpoint(503, [])
    (True, True)
    >>> is_from_endpoint(200, []), is_from_endpoint(204, [(stamp[0], b"")])
    (False, False)
    """
    return not 200 <= status < 300 or bool(_get(headers, RESPONSE_STAMP))


def request_limit(headers: http11.Headers) -> float | None:
    """Returns the requests a second that an endpoint takes of all processes.

    Infinite if the response names no limit, None if the limit is malformed.

    >>> request_limit([(b"Server-Limit", b"2.5")]), request_limit([])
    (2.5, inf)
    >>> request_limit([(b"Server-Limit", b"few")]) is None
    True
    """
    text = _get(headers, REQUEST_LIMIT)
    if text is None:
        return math.inf
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if 0.0 <= rate_per_s < math.inf else None


def error_headers(retry_after_s: float | None) -> http11.Headers:
    """Returns the headers of an error response."""
    if retry_after_s is None:
        return []
    return [(RETRY_AFTER, f"{retry_after_s:.2f}".encode())]


def _get(headers: http11.Headers, name: bytes) -> str | None:
    return http11.get_header(headers, name.lower())


def _decode_integer(text: str | None) -> int | None:
    """Decodes a count; None if it is malformed or out of range.

    >>> [_decode_integer(text) for text in (" 12", "9" * 16, "\u00b2", None)]
    [12, None, None, None]
    """
    digits = (text or "").strip()
    if not 0 < len(digits) <= MAX_INTEGER_DIGITS:
        return None
    return int(digits) if digits.isascii() and digits.isdigit() else None


def _decode_seconds(text: str | None) -> float | None:
    """Decodes milliseconds into seconds; None if malformed or infinite."""
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    if value is None or not math.isfinite(value):
        return None
    return max(0.0, value / 1000)


def _decode_key(text: str | None) -> str | None:
    scheme, _, key = (text or "").partition(" ")
    return (
        key.strip() or None if scheme.lower() == AUTHORIZATION_SCHEME else None
    )


def _decode_token_usage(text: str | None) -> tuple[int, int]:
    """Decodes the token counts of the form `PROMPT,OUTPUT`; 0 if malformed.

    >>> _decode_token_usage("1460,80"), _decode_token_usage("x")
    ((1460, 80), (0, 0))
    """
    prompt, _, output = (text or "").partition(",")
    return _decode_integer(prompt) or 0, _decode_integer(output) or 0


def _decode_part_ids(text: str | None) -> list[str]:
    """Returns the ids of a prompt's parts except the last one.

    The last part is specific to the request and is left out.

    >>> _decode_part_ids("5c1e:800, 91bd:410,e440:250")
    ['5c1e', '91bd']
    """
    parts = (text or "").split(",")[:-1]
    return [part.partition(":")[0].strip().lower() for part in parts]


def _chained_hashes(part_ids: list[str]) -> tuple[int, ...]:
    """Returns a hash for each part that covers the parts before it, too."""
    path = ""
    hashes = []
    for part_id in part_ids:
        path = f"{path}/{part_id}"
        hashes.append(_hash(path))
    return tuple(hashes)


def _hash(text: str) -> int:
    """Returns a hash that fits into a signed integer of 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode()) - (1 << 63)
