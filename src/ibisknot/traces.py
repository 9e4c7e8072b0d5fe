"""Trace spans by OpenTelemetry with W3C trace context."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import importlib
from typing import Any
from typing import TextIO

from ibisknot import settings

EXPORT_PERIOD_S = 1.0
_LOADED: list[Any] = []
"""The OpenTelemetry modules once they are needed; they take 12 MB."""


class _Modules:
    """The OpenTelemetry modules that this module uses."""

    def __init__(self) -> None:
        load = importlib.import_module
        self.context = load("opentelemetry.context")
        self.propagate = load("opentelemetry.propagate")
        self.trace = load("opentelemetry.trace")
        self.sdk = load("opentelemetry.sdk.trace")
        self.tracer = self.trace.get_tracer("ibisknot")


def _modules() -> _Modules:
    if not _LOADED:
        _LOADED.append(_Modules())
    return _LOADED[0]


def start(target: settings.Trace, *, program: str, vm: str) -> None:
    """Installs the exporter that the settings name, if any."""
    if target.otlp_url is None and target.file is None:
        return
    loaded = _modules()
    resources = importlib.import_module("opentelemetry.sdk.resources")
    export = importlib.import_module("opentelemetry.sdk.trace.export")
    resource = resources.Resource.create(
        {"service.name": program, "host.name": vm}
    )
    provider = loaded.sdk.TracerProvider(resource=resource)
    if target.otlp_url is not None:
        # The exporter takes 4 MB of memory, so it is loaded only when used.
        name = "opentelemetry.exporter.otlp.proto.http.trace_exporter"
        exporter_module = importlib.import_module(name)
        exporter = exporter_module.OTLPSpanExporter(endpoint=target.otlp_url)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
    if target.file is not None:
        stream: TextIO = open(target.file, "a", encoding="utf-8")  # noqa: PTH123, SIM115
        console = export.ConsoleSpanExporter(
            out=stream, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        period_ms = EXPORT_PERIOD_S * 1000
        provider.add_span_processor(
            export.BatchSpanProcessor(console, schedule_delay_millis=period_ms)
        )
    loaded.trace.set_tracer_provider(provider)


@contextlib.contextmanager
def span(
    name: str, *, parent: str | None = None, **attributes: Any
) -> Iterator[Any]:
    """Opens a span, below `parent` (a traceparent value) when given.

    Yields None while nothing is traced.
    """
    if parent is None and not _LOADED:
        yield None
        return
    loaded = _modules()
    token = None
    if parent is not None:
        extracted = loaded.propagate.extract({"traceparent": parent})
        token = loaded.context.attach(extracted)
    try:
        with loaded.tracer.start_as_current_span(
            name, attributes=attributes
        ) as it:
            yield it
    finally:
        if token is not None:
            loaded.context.detach(token)


def headers() -> dict[str, str]:
    """Returns the headers that pass the current trace context on."""
    carrier: dict[str, str] = {}
    if _LOADED:
        _modules().propagate.inject(carrier)
    return carrier


@contextlib.contextmanager
def server_span(scope: Mapping[str, Any]) -> Iterator[None]:
    """Opens the span of an HTTP request below its caller's trace context.

    Without an exporter no span is made, but the caller's context is passed
    on all the same.
    """
    parent = None
    for name, value in scope["headers"]:
        if name == b"traceparent":
            parent = value.decode("latin-1")
    if parent is None and not enabled():
        yield
        return
    method, path = scope["method"], scope["path"]
    with span("http", parent=parent, method=method, path=path):
        yield


def enabled() -> bool:
    """Returns whether spans are exported."""
    if not _LOADED:
        return False
    loaded = _modules()
    provider = loaded.trace.get_tracer_provider()
    return isinstance(provider, loaded.sdk.TracerProvider)
