"""Trace spans by OpenTelemetry, with W3C trace context.

The OpenTelemetry modules take 12 MB of memory, so they are imported only when
a span is exported or a caller sends a trace context.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import importlib
from typing import Any
from typing import TextIO

from ibisknot import settings

EXPORT_PERIOD_S = 1.0
"""Seconds between writes of spans to the file."""
_LOADED_MODULES: list[Any] = []
"""Empty, or one `_Modules`, after the first call of `_modules`."""


class _Modules:
    """The OpenTelemetry modules that this module uses."""

    def __init__(self) -> None:
        import_module = importlib.import_module
        self.context = import_module("opentelemetry.context")
        self.propagate = import_module("opentelemetry.propagate")
        self.trace = import_module("opentelemetry.trace")
        self.sdk = import_module("opentelemetry.sdk.trace")
        self.tracer = self.trace.get_tracer("ibisknot")


def _modules() -> _Modules:
    if not _LOADED_MODULES:
        _LOADED_MODULES.append(_Modules())
    return _LOADED_MODULES[0]


def start(trace_settings: settings.Trace, *, program: str, vm: str) -> None:
    """Installs the exporters that the settings name, if any."""
    if trace_settings.otlp_url is None and trace_settings.file is None:
        return
    modules = _modules()
    resources = importlib.import_module("opentelemetry.sdk.resources")
    sdk_export = importlib.import_module("opentelemetry.sdk.trace.export")
    resource = resources.Resource.create(
        {"service.name": program, "host.name": vm}
    )
    provider = modules.sdk.TracerProvider(resource=resource)
    if trace_settings.otlp_url is not None:
        # This exporter takes 4 MB of memory, so it is imported only here.
        module_name = "opentelemetry.exporter.otlp.proto.http.trace_exporter"
        exporter_module = importlib.import_module(module_name)
        exporter = exporter_module.OTLPSpanExporter(
            endpoint=trace_settings.otlp_url
        )
        provider.add_span_processor(sdk_export.BatchSpanProcessor(exporter))
    if trace_settings.file is not None:
        stream: TextIO = open(trace_settings.file, "a", encoding="utf-8")  # noqa: PTH123, SIM115
        file_exporter = sdk_export.ConsoleSpanExporter(
            out=stream, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        period_ms = EXPORT_PERIOD_S * 1000
        provider.add_span_processor(
            sdk_export.BatchSpanProcessor(
                file_exporter, schedule_delay_millis=period_ms
            )
        )
    modules.trace.set_tracer_provider(provider)


@contextlib.contextmanager
def span(
    name: str, *, parent: str | None = None, **attributes: Any
) -> Iterator[Any]:
    """Opens a span and yields it; yields None if no span is needed.

    Args:
        name: Name of the span.
        parent: Traceparent value of the parent span; by default the current
            span is the parent.
        attributes: Attributes of the span.
    """
    if parent is None and not _LOADED_MODULES:
        yield None
        return
    modules = _modules()
    token = None
    if parent is not None:
        parent_context = modules.propagate.extract({"traceparent": parent})
        token = modules.context.attach(parent_context)
    try:
        with modules.tracer.start_as_current_span(
            name, attributes=attributes
        ) as opened:
            yield opened
    finally:
        if token is not None:
            modules.context.detach(token)


def headers() -> dict[str, str]:
    """Returns the headers that propagate the current trace context."""
    carrier: dict[str, str] = {}
    if _LOADED_MODULES:
        _modules().propagate.inject(carrier)
    return carrier


@contextlib.contextmanager
def server_span(scope: Mapping[str, Any]) -> Iterator[None]:
    """Opens the span of an HTTP request as a child of its caller's span.

    Without an exporter no span is recorded, but the caller's trace context is
    still propagated.

    Args:
        scope: ASGI scope of the request.
    """
    parent = None
    for name, value in scope["headers"]:
        if name == b"traceparent":
            parent = value.decode("latin-1")
    if parent is None and not is_enabled():
        yield
        return
    method, path = scope["method"], scope["path"]
    with span("http", parent=parent, method=method, path=path):
        yield


def is_enabled() -> bool:
    """Returns whether spans are exported."""
    if not _LOADED_MODULES:
        return False
    modules = _modules()
    provider = modules.trace.get_tracer_provider()
    return isinstance(provider, modules.sdk.TracerProvider)
