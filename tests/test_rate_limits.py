"""Rate limits and idempotency claims of a fleet of real processes."""

from concurrent import futures
import json
from typing import Any

import httpx


def post_request(
    fleet: dict[str, Any],
    vm_index: int,
    path: str,
    body: bytes,
    *,
    key: str | None = None,
    organisation_index: int = 0,
) -> httpx.Response:
    base = fleet["base_urls"][vm_index].removesuffix("/v1")
    secret = fleet["organisations"][organisation_index]["key"]
    headers = {"authorization": f"Bearer {secret}"}
    if key is not None:
        headers["idempotency-key"] = key
    return httpx.post(base + path, content=body, headers=headers, timeout=30.0)


def test_resend_through_another_vm_is_answered_once(
    fleet: dict[str, Any],
) -> None:
    """Guards against a non-idempotent call that runs again for a resend."""
    path = "/services/bids/place"
    with futures.ThreadPoolExecutor(6) as pool:
        sent = [
            pool.submit(post_request, fleet, vm, path, b"bid", key="bid-1")
            for vm in range(6)
        ]
        answers = [future.result() for future in sent]
    assert [a.status_code for a in answers] == [200] * 6
    assert {a.json()["run"] for a in answers} == {1}
    ids = {a.json()["headers"]["x-request-id"] for a in answers}
    assert len(ids) == 1


def test_key_is_bound_to_body_and_organisation(fleet: dict[str, Any]) -> None:
    """Guards against the answer to another request with the same key."""
    path = "/services/quotes/price"
    first = post_request(fleet, 1, path, b"lot 1", key="quote-1")
    other = post_request(fleet, 2, path, b"lot 2", key="quote-1")
    assert first.json()["body"] == "lot 1"
    assert other.status_code == 409
    assert other.json()["error"]["code"] == "conflict"
    assert other.json()["error"]["ran"] == "not_run"
    foreign = post_request(
        fleet, 2, path, b"lot 2", key="quote-1", organisation_index=1
    )
    assert foreign.json()["body"] == "lot 2"


def test_stream_is_recorded_whole(fleet: dict[str, Any]) -> None:
    """Guards against a resend that is answered with a part of a stream."""
    body = {
        "model": fleet["models"][0],
        "messages": [{"role": "user", "content": "which strap fits"}],
        "max_tokens": 8,
        "stream": True,
    }
    path = "/v1/chat/completions"
    content = json.dumps(body).encode()
    first = post_request(fleet, 0, path, content, key="chat-1")
    again = post_request(fleet, 3, path, content, key="chat-1")
    assert again.headers["idempotency-replayed"] == "true"
    assert again.text == first.text
    assert "[DONE]" in again.text


def set_rate(fleet: dict[str, Any], name: str, rate: float) -> None:
    url = f"{fleet['operator_url']}/operator"
    headers = {"authorization": f"Bearer {fleet['operator_key']}"}
    wanted = {"organisations": {name: {"rate_per_s": rate, "burst": rate}}}
    plan = httpx.post(f"{url}/plans", json=wanted, headers=headers)
    path = f"{url}/plans/{plan.json()['id']}/confirm"
    httpx.post(path, headers=headers).raise_for_status()


def test_refusal_over_the_rate_is_typed(fleet: dict[str, Any]) -> None:
    """Guards against refusals without an error code and a Retry-After."""
    name = fleet["organisations"][7]["name"]
    path = "/services/quotes/price"
    set_rate(fleet, name, 1e-6)
    for attempt in range(500):
        answer = post_request(
            fleet, attempt % 9, path, b"", organisation_index=7
        )
        if answer.status_code != 200:
            break
    set_rate(fleet, name, 10.0)
    assert answer.status_code == 429
    assert answer.json()["error"]["code"] == "rate_limited"
    assert answer.json()["error"]["ran"] == "not_run"
    assert int(answer.headers["retry-after"]) >= 1
