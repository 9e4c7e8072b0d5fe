"""Decodes the operator's value into the serving configuration."""

from typing import Any

import msgspec

from ibisknot import api_keys
from ibisknot import errors
from ibisknot import http_server
from ibisknot import logs
from ibisknot import serving

MAX_COLD_START_S = 3600.0
MAX_COLD_PER_S = 1e6
MAX_MEMORY_TOKENS = 1_000_000_000
"""Larger statements of an endpoint's memory are ignored."""
MAX_LOGGED_CHARACTERS = 60
KEY = "op/config"
"""Key of the operator's newest value."""
KINDS = {
    "safe": serving.SAFE,
    "unsafe": serving.UNSAFE,
    "streaming": serving.STREAM,
    "batch": serving.BATCH,
}


class _Split(msgspec.Struct):
    Service: str
    Weight: float = 1.0


class _Route(msgspec.Struct):
    Name: str
    Host: str
    Prefix: str
    Kind: str
    Service: str | None = None
    TrafficSplit: list[_Split] = []
    TimeoutMs: float = 30_000
    TargetLatencyMs: float = 1000
    Priority: int = 0
    MaxAttempts: int = 1
    Anonymous: bool = False
    Resumable: bool = False
    GapAimMs: float = 0
    CompletionTargetMs: float = 0
    MaxWaitS: float = 0
    # Tokens that a tenant's batch items may have waiting.
    MaxCount: int = 0
    AllowedRegions: list[str] | None = None


class _Service(msgspec.Struct):
    Name: str
    Engine: Any = None
    ColdStartS: Any = None
    ColdPerS: Any = None


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    RatePerS: float = 0
    Burst: float = 0
    AllowedRegions: list[str] | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int = 16 * 1024
    MaxBodyBytes: int = 4 * 1024 * 1024
    HeaderTimeoutMs: float = 3000
    IdleTimeoutMs: float = 15_000


class _Config(msgspec.Struct):
    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


def decode(value: bytes) -> serving.Configuration:
    """Decodes the operator's value.

    Routes of an unknown kind are left out.

    Raises:
        BadRequestError: The value is not a valid configuration.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
    except msgspec.MsgspecError as error:
        message = f"the operator's configuration is invalid: {error}"
        raise errors.BadRequestError(message) from None
    return serving.Configuration(
        version=config.Version,
        routes=[_decode_route(r) for r in config.Routes if r.Kind in KINDS],
        services=frozenset(s.Name for s in config.Services),
        organisations={
            t.Name: serving.Organisation(
                t.Name,
                t.RatePerS,
                t.Burst,
                t.Priority,
                frozenset(t.AllowedRegions or ()),
            )
            for t in config.Tenants or []
        },
        organisations_by_key_hash={
            api_keys.digest(key): t.Name
            for t in config.Tenants or []
            for key in t.ApiKeys
        },
        requires_key=config.Tenants is not None,
        limits=http_server.Limits(
            max_header_bytes=config.Limits.MaxHeaderBytes,
            max_body_bytes=config.Limits.MaxBodyBytes,
            header_timeout_s=config.Limits.HeaderTimeoutMs / 1000,
            idle_timeout_s=config.Limits.IdleTimeoutMs / 1000,
        ),
        memory_tokens=_decode_memory(config.Services),
        warm_ups=_decode_warm_ups(config.Services),
    )


def _decode_warm_ups(services: list[_Service]) -> dict[str, serving.WarmUp]:
    """Returns the warm-ups of the services that state both fields.

    A service with a value that cannot be used is not limited.
    """
    warm_ups = {}
    for service in services:
        duration_s, rate_per_s = service.ColdStartS, service.ColdPerS
        if duration_s is None and rate_per_s is None:
            continue
        if _is_in_range(duration_s, MAX_COLD_START_S) and _is_in_range(
            rate_per_s, MAX_COLD_PER_S
        ):
            warm_ups[service.Name] = serving.WarmUp(
                float(duration_s), float(rate_per_s)
            )
            continue
        logs.event(
            "warm_up_unreadable",
            level="warning",
            service=service.Name,
            duration_s=repr(duration_s)[:MAX_LOGGED_CHARACTERS],
            rate_per_s=repr(rate_per_s)[:MAX_LOGGED_CHARACTERS],
        )
    return warm_ups


def _is_in_range(value: object, largest: float) -> bool:
    """Returns whether a value is a number above 0 and not above a limit."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 < value <= largest


def _decode_memory(services: list[_Service]) -> dict[str, int]:
    """Returns the tokens that an endpoint of each service holds, if stated."""
    stated = {}
    for service in services:
        if not isinstance(service.Engine, dict):
            continue
        tokens: Any = service.Engine.get("KvCapacityTokens")
        if _is_in_range(tokens, MAX_MEMORY_TOKENS):
            stated[service.Name] = int(tokens)
        elif tokens is not None:
            logs.event(
                "engine_memory_ignored",
                level="warning",
                service=service.Name,
                value=repr(tokens)[:MAX_LOGGED_CHARACTERS],
            )
    return stated


def _decode_route(raw: _Route) -> serving.Route:
    targets = [serving.Target(s.Service, s.Weight) for s in raw.TrafficSplit]
    if not targets and raw.Service is not None:
        targets = [serving.Target(raw.Service, 1.0)]
    return serving.Route(
        name=raw.Name,
        host=raw.Host.lower(),
        prefix=raw.Prefix,
        kind=KINDS[raw.Kind],
        targets=tuple(targets),
        timeout_s=raw.TimeoutMs / 1000,
        objective_s=raw.TargetLatencyMs / 1000,
        priority=raw.Priority,
        max_attempts=max(1, raw.MaxAttempts),
        allows_anonymous=raw.Anonymous,
        resumable=raw.Resumable,
        event_gap_target_s=raw.GapAimMs / 1000,
        completion_target_s=raw.CompletionTargetMs / 1000,
        max_item_age_s=raw.MaxWaitS,
        max_waiting_tokens=raw.MaxCount,
        allowed_regions=frozenset(raw.AllowedRegions or ()),
    )
