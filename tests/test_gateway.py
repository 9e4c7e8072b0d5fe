"""Checks and log lines of the gateway before a request is forwarded."""

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
    """A caller's request that records the status of the response."""

    request: http11.Request
    started: bool = False
    status: int = 0

    async def respond(self, status: int, *_: Any) -> None:
        """Records the status."""
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
    """Handles a request; returns the status and the last log line."""
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
    """Guards against requests being handled without a configuration.

    Until the first configuration arrives, no key can be checked.
    """
    metadata = request_metadata.CallerMetadata(id="r1")
    status, line = _handle(metadata, b"/a", monkeypatch)
    assert status == 503
    assert (line["request"], line["ran"]) == ("r1", "not_run")
    assert "target" not in line


def test_request_without_id_is_logged_with_its_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against failed calls that no log line identifies.

    Calls of batch jobs have no request id.
    """
    target = b"/job/4f?" + b"x" * 500
    _, line = _handle(request_metadata.CallerMetadata(), target, monkeypatch)
    assert line["target"] == target[: gateway.MAX_LOGGED_TARGET_CHARS].decode()
