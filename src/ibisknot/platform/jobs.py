"""Decodes and encodes the platform's calls about batch jobs."""

import base64
from collections.abc import Callable
from urllib import parse

import msgspec

from ibisknot import batch_api
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import http11
from ibisknot.platform import headers

MAX_ITEMS = 200
MAX_ID_CHARS = 128
MAX_TOKENS = 2**31 - 1
MAX_RESULT_INDEX = 2**31 - 1
MAX_HEADER_BYTES = 64 * 1024
"""Largest size of an item's headers."""
_JOBS_PATH = "/lots/"
_ITEM_BODIES_PATH = "/items/"
_CHARS_NOT_IN_JOB_IDS = frozenset("/?#%")
"""Characters with a meaning in the path of the calls about a job."""


class _Item(msgspec.Struct):
    Id: str
    Path: str
    Headers: dict[str, str]
    Body: str
    Tokens: int


class _Submission(msgspec.Struct):
    Items: list[_Item]


class _Result(msgspec.Struct):
    Id: str
    State: str
    Output: str


class _Page(msgspec.Struct):
    Total: int
    Next: int
    Results: list[_Result]


def decode_call(request: http11.Request) -> batch_api.Call | None:
    """Decodes a call about an existing job; None if it is another request."""
    target = request.target.decode("latin-1")
    path, _, query = target.partition("?")
    fields = dict(parse.parse_qsl(query))
    if request.method == b"GET" and path.startswith(_JOBS_PATH):
        return batch_api.ReadResults(
            job_id=path.removeprefix(_JOBS_PATH),
            first_index=_decode_index(fields.get("After", "0")),
            max_wait_s=headers.decode_max_wait_s(request.headers),
        )
    if request.method == b"GET" and path.startswith(_ITEM_BODIES_PATH):
        return batch_api.ReadItemBody(
            job_id=path.removeprefix(_ITEM_BODIES_PATH),
            item_id=fields.get("Id", ""),
        )
    if request.method == b"DELETE" and path.startswith(_JOBS_PATH):
        return batch_api.CancelJob(job_id=path.removeprefix(_JOBS_PATH))
    return None


def _decode_index(text: str) -> int:
    """Decodes the index of a result; one that is malformed counts as 0.

    >>> [_decode_index(t) for t in ("7", "-1", "\u00b2", "9" * 20)]
    [7, 0, 0, 2147483647]
    """
    if not (text.isascii() and text.isdigit()):
        return 0
    if len(text) > headers.MAX_INTEGER_DIGITS:
        return MAX_RESULT_INDEX
    return min(int(text), MAX_RESULT_INDEX)


def decode_submission(job_id: str, body: bytes) -> batch_records.Submission:
    """Decodes the body of a job's submission.

    Raises:
        BadRequestError: The job is malformed, or has no id, no items or too
            many items. The message names the field.
        BodyTooLargeError: The headers of an item are too large.
    """
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise errors.BadRequestError(f"malformed job: {error}") from None
    if not _is_job_id(job_id):
        raise errors.BadRequestError("the job's id is malformed")
    if not 0 < len(submission.Items) <= MAX_ITEMS:
        message = f"Items: a job has 1 to {MAX_ITEMS} items"
        raise errors.BadRequestError(message)
    items = [
        _decode_item(item, index) for index, item in enumerate(submission.Items)
    ]
    if len({item.id for item in items}) < len(items):
        raise errors.BadRequestError("Items: two items have the same Id")
    return batch_records.Submission(job_id, items)


def _is_job_id(text: str) -> bool:
    """Returns whether a text can be the id of a job.

    >>> [_is_job_id(t) for t in ("7c41e09b", "", "a/b", "a b", "a" * 129)]
    [True, False, False, False, False]
    """
    return (
        len(text) <= MAX_ID_CHARS
        and http11.is_visible_ascii(text)
        and _CHARS_NOT_IN_JOB_IDS.isdisjoint(text)
    )


def _is_item_id(text: str) -> bool:
    return len(text) <= MAX_ID_CHARS and http11.is_visible_ascii(text)


def _is_path(text: str) -> bool:
    return text.startswith("/") and http11.is_visible_ascii(text)


def _is_token_count(count: int) -> bool:
    return 0 <= count <= MAX_TOKENS


def _decode_item(item: _Item, index: int) -> batch_records.Item:
    """Decodes one item.

    Raises:
        BadRequestError: A field cannot be sent to an endpoint as it is.
        BodyTooLargeError: The headers are too large.
    """
    checks: list[tuple[str, Callable[[], bool]]] = [
        ("Id", lambda: _is_item_id(item.Id)),
        ("Path", lambda: _is_path(item.Path)),
        ("Tokens", lambda: _is_token_count(item.Tokens)),
    ]
    for field, is_valid in checks:
        if not is_valid():
            raise errors.BadRequestError(f"Items[{index}].{field} is malformed")
    _check_headers(item.Headers, index)
    try:
        body = base64.b64decode(item.Body, validate=True)
    except ValueError:
        message = f"Items[{index}].Body is not base64"
        raise errors.BadRequestError(message) from None
    return batch_records.Item(
        id=item.Id,
        path=item.Path,
        headers=list(item.Headers.items()),
        body=body,
        tokens=item.Tokens,
    )


def _check_headers(item_headers: dict[str, str], index: int) -> None:
    """Checks that an item's headers can be sent and read.

    Raises:
        BadRequestError: A header is malformed.
        BodyTooLargeError: The headers are too large.
    """
    for name, value in item_headers.items():
        is_valid = (
            http11.is_header_name(name)
            and http11.is_header_value(value)
            and headers.is_valid_item_header(name, value)
        )
        if not is_valid:
            message = f"Items[{index}].Headers: {ascii(name)[:80]} is malformed"
            raise errors.BadRequestError(message)
    size = sum(len(n) + len(v.encode()) for n, v in item_headers.items())
    if size > MAX_HEADER_BYTES:
        raise errors.BodyTooLargeError(
            f"Items[{index}].Headers take {size} bytes,"
            f" {MAX_HEADER_BYTES} are allowed"
        )


def encode_page(
    item_count: int, first_index: int, results: list[batch_records.ItemResult]
) -> bytes:
    """Encodes a page of results that begins with the result `first_index`."""
    encoded = [_Result(r.id, r.state, r.output) for r in results]
    return msgspec.json.encode(
        _Page(item_count, first_index + len(encoded), encoded)
    )
