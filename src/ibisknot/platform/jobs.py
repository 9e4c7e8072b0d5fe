"""Decodes and encodes the platform's calls about batch jobs."""

import base64
import binascii
from urllib import parse

import msgspec

from ibisknot import batch_api
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import http11
from ibisknot.platform import headers

MAX_ITEMS = 200
_JOBS_PATH = "/lots/"
_ITEM_BODIES_PATH = "/items/"


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
        after = fields.get("After", "0")
        return batch_api.ReadResults(
            job_id=path.removeprefix(_JOBS_PATH),
            first_index=int(after) if after.isdigit() else 0,
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


def decode_submission(job_id: str, body: bytes) -> batch_records.Submission:
    """Decodes the body of a job's submission.

    Raises:
        BadRequestError: The job is malformed, or has no id, no items or too
            many items.
    """
    try:
        submission = msgspec.json.decode(body, type=_Submission)
        items = [_decode_item(item) for item in submission.Items]
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise errors.BadRequestError(f"malformed job: {error}") from None
    if not job_id or not 0 < len(items) <= MAX_ITEMS:
        message = f"a job has an id and 1 to {MAX_ITEMS} items"
        raise errors.BadRequestError(message)
    return batch_records.Submission(job_id, items)


def _decode_item(item: _Item) -> batch_records.Item:
    return batch_records.Item(
        id=item.Id,
        path=item.Path,
        headers=list(item.Headers.items()),
        body=base64.b64decode(item.Body, validate=True),
        tokens=item.Tokens,
    )


def encode_page(
    item_count: int, first_index: int, results: list[batch_records.ItemResult]
) -> bytes:
    """Encodes a page of results that begins with the result `first_index`."""
    encoded = [_Result(r.id, r.state, r.output) for r in results]
    return msgspec.json.encode(
        _Page(item_count, first_index + len(encoded), encoded)
    )
