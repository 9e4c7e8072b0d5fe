"""The online and batch paths of callers, through real processes."""

import io
import json
import time
from typing import Any

import httpx
import openai
import pytest


def client(fleet: dict[str, Any], index: int = 0) -> openai.OpenAI:
    organisation = fleet["organisations"][index]
    return openai.OpenAI(
        base_url=fleet["base_urls"][index],
        api_key=organisation["key"],
        max_retries=0,
    )


def test_openai_client_lists_models(fleet: dict[str, Any]) -> None:
    """Guards against model lists that the client cannot parse."""
    names = [model.id for model in client(fleet).models.list()]
    assert names == fleet["models"]


def test_openai_client_chats_and_streams_the_same(
    fleet: dict[str, Any],
) -> None:
    """Guards against streams that differ from the plain answer."""
    caller = client(fleet)
    messages: Any = [{"role": "user", "content": "which strap fits"}]
    model = fleet["models"][0]
    plain = caller.chat.completions.create(
        model=model, messages=messages, max_tokens=12
    )
    stream = caller.chat.completions.create(
        model=model, messages=messages, max_tokens=12, stream=True
    )
    parts = [c.choices[0].delta.content or "" for c in stream]
    assert "".join(parts) == plain.choices[0].message.content
    assert len(plain.choices[0].message.content.split()) == 12


def test_openai_client_runs_a_batch(fleet: dict[str, Any]) -> None:
    """Guards against batch results that are missing or repeated."""
    caller = client(fleet, 1)
    lines = [
        json.dumps(
            {
                "custom_id": f"item-{number}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {
                    "model": fleet["models"][0],
                    "prompt": f"lot {number}",
                    "max_tokens": 4,
                },
            }
        )
        for number in range(20)
    ]
    data = io.BytesIO("\n".join(lines).encode())
    file = caller.files.create(file=("in.jsonl", data), purpose="batch")
    batch = caller.batches.create(
        input_file_id=file.id,
        endpoint="/v1/completions",
        completion_window="24h",
    )
    for _ in range(300):
        if batch.status == "completed":
            break
        time.sleep(0.1)
        batch = caller.batches.retrieve(batch.id)
    assert batch.status == "completed"
    assert batch.output_file_id is not None
    output = caller.files.content(batch.output_file_id).text
    names = [json.loads(line)["custom_id"] for line in output.splitlines()]
    assert sorted(names) == sorted(f"item-{number}" for number in range(20))


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("POST", "/chat/completions", b"{", 400, "bad_request"),
        ("POST", "/chat/completions", b"[]", 400, "bad_request"),
        (
            "POST",
            "/chat/completions",
            b'{"model": "none"}',
            404,
            "model_not_found",
        ),
        ("GET", "/chat/completions", b"", 405, "method_not_allowed"),
        ("POST", "/nothing", b"", 404, "not_found"),
        ("POST", "/completions", b"x" * 5_000_000, 413, "body_too_large"),
        ("POST", "/batches", b"{}", 400, "bad_request"),
    ],
)
def test_bad_requests_have_typed_errors(
    fleet: dict[str, Any],
    method: str,
    path: str,
    body: bytes,
    status: int,
    code: str,
) -> None:
    """Guards against answers without a typed error, such as stack traces."""
    key = fleet["organisations"][0]["key"]
    response = httpx.request(
        method,
        fleet["base_urls"][0] + path,
        content=body,
        headers={"authorization": f"Bearer {key}"},
    )
    assert response.status_code == status
    assert response.json()["error"]["code"] == code
    assert response.json()["error"]["ran"] == "not_run"


@pytest.mark.parametrize("header", ["", "Bearer ik-unknown", "Basic x"])
def test_missing_or_unknown_key_is_refused(
    fleet: dict[str, Any], header: str
) -> None:
    """Guards against requests that run without a valid key."""
    headers = {"authorization": header} if header else {}
    body = {"model": fleet["models"][0], "messages": []}
    url = fleet["base_urls"][2] + "/chat/completions"
    response = httpx.post(url, json=body, headers=headers)
    assert response.status_code == 401
    assert response.json()["error"]["code"] == "invalid_key"


@pytest.mark.parametrize("path", ["/chat/completions", "/nothing"])
def test_answers_without_a_key_reveal_no_models(
    fleet: dict[str, Any], path: str
) -> None:
    """Guards against revealing models and routes to callers without a key."""
    base = fleet["base_urls"][1]
    url = base + path if path != "/nothing" else f"{base[:-3]}/services/none"
    response = httpx.post(url, json={"model": "none"})
    assert response.status_code == 401


def test_key_is_not_sent_to_the_endpoint(fleet: dict[str, Any]) -> None:
    """Guards against a key that leaks by a header, the query or the body."""
    key = fleet["organisations"][0]["key"]
    base = fleet["base_urls"][0].removesuffix("/v1")
    response = httpx.post(
        f"{base}/services/quotes/echo?api_key={key}&size=3",
        content=json.dumps({"user": key}),
        headers={"authorization": f"Bearer {key}", "accept": key},
    )
    assert response.status_code == 200
    assert key not in response.text
    assert "size=3" in response.json()["query"]
