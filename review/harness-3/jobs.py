"""Batch jobs of the largest size that the platform's pages allow."""

import itertools
import json
import string

ITEMS = 200
"""Most items of a job."""
JOB_BYTES = 4_120_000
"""Below MaxBodyBytes, 4,194,304."""
ITEM_TOKENS = 160
OTHER_ITEM_BYTES = 250
"""Bytes of an item without what fills the job."""


def short_headers(size: int) -> dict[str, str]:
    """Returns headers with names of three letters that take `size` bytes."""
    alphabet = string.ascii_lowercase + string.digits
    names = ("".join(n) for n in itertools.product(alphabet, repeat=3))
    return dict.fromkeys(itertools.islice(names, size // 9), "")


def make_large_job(job_id: str, *, with_headers: bool) -> bytes:
    """Returns the body of a submission, inside all limits.

    Args:
        job_id: Id of the job.
        with_headers: Whether many short headers of the items fill the job,
            and not the bodies of the items.
    """
    room = JOB_BYTES // ITEMS - OTHER_ITEM_BYTES
    items = []
    for number in range(ITEMS):
        headers = {
            "X-Ibisknot-Model": "m",
            "X-Ibisknot-Token-Usage": "100,60",
            "X-Ibisknot-Prompt-Prefix": f"a1:50,{job_id[-6:]}{number:x}:50",
        }
        body = "aGVsbG8="
        if with_headers:
            headers |= short_headers(room)
        else:
            body = "aGVsbG8h" * (room // 8)
        items.append(
            {
                "Id": f"{job_id}{number:04x}",
                "Path": f"/batch/1/{number}",
                "Headers": headers,
                "Body": body,
                "Tokens": ITEM_TOKENS,
            }
        )
    text = json.dumps({"Items": items}, separators=(",", ":"))
    return text.encode()
