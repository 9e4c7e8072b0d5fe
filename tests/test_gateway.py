"""The gateway's decisions before a request is forwarded."""

import dataclasses
from typing import Any

import anyio
import fake_fleet
import pytest

from ibisknot import fleetview
from ibisknot import gateway
from ibisknot import http11
from ibisknot import logs
from ibisknot import request_metadata


@dataclasses.dataclass
class _Exchange:
    """A caller's request; the answer is kept."""

    request: http11.Request
    started: bool = False
    status: int = 0

    async def respond(self, status: int, *_: Any) -> None:
        """Keeps the status."""
        self.status = status


class _Dialect:
    def __init__(self, metadata: request_metadata.CallerMetadata) -> None:
        self.metadata = metadata

    def decode_metadata(
        self, _headers: http11.Headers
    ) -> request_metadata.CallerMetadata:
        return self.metadata

    def error_headers(self, _retry_after_s: float | None) -> http11.Headers:
        return []


def _handle(
    metadata: request_metadata.CallerMetadata,
    target: bytes,
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[int, dict[str, Any]]:
    """Returns the status and the log line of a request."""
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(logs, "LISTENERS", [lines.append])
    handler = gateway.Gateway(
        fleetview.View(),
        None,  # type: ignore[arg-type]
        _Dialect(metadata),  # type: ignore[arg-type]
        fake_fleet.Clock(),  # type: ignore[arg-type]
    )
    exchange: Any = _Exchange(http11.Request(b"GET", target, []))
    anyio.run(handler.handle, exchange)
    return exchange.status, lines[-1]


def test_request_without_configuration_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys that are checked against nothing."""
    metadata = request_metadata.CallerMetadata(id="r1")
    status, line = _handle(metadata, b"/a", monkeypatch)
    assert status == 503
    assert (line["request"], line["ran"]) == ("r1", "not_run")
    assert "target" not in line


def test_call_without_id_is_logged_with_its_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failed call of a job that no log line names."""
    target = b"/job/4f?" + b"x" * 500
    _, line = _handle(request_metadata.CallerMetadata(), target, monkeypatch)
    assert line["target"] == target[: gateway.MAX_LOGGED_TARGET_CHARS].decode()
