"""Prometheus metrics of a process.

In names and descriptions of metrics, a place is a ticket.
"""

import aioprometheus

REQUESTS = aioprometheus.Counter(
    "ibisknot_requests_total", "Requests by organisation, route and outcome."
)
FIRST_TOKEN_S = aioprometheus.Histogram(
    "ibisknot_first_token_seconds",
    "Seconds from acceptance to the first byte of the answer.",
    buckets=[0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 10.0],
)
IN_FLIGHT = aioprometheus.Gauge(
    "ibisknot_in_flight", "Requests in flight by endpoint."
)
CONFIGURATION_VERSION = aioprometheus.Gauge(
    "ibisknot_configuration_version", "Version of the configuration in force."
)
BATCH_ITEMS = aioprometheus.Counter(
    "ibisknot_batch_items_total", "Batch items by outcome."
)
ITEMS_RESTORED = aioprometheus.Counter(
    "ibisknot_items_restored_total",
    "Batch items that went on from what a worker's disk had.",
)
BATCH_JOBS = aioprometheus.Counter(
    "ibisknot_batch_jobs_total", "Batch jobs by final state."
)
BATCH_ITEMS_REMAINING = aioprometheus.Gauge(
    "ibisknot_batch_items_remaining",
    "Items without a result in the jobs that this process runs.",
)
BATCH_JOBS_AT_RISK = aioprometheus.Gauge(
    "ibisknot_batch_jobs_at_risk",
    "Jobs of this process that will miss their deadline at this rate.",
)
CONTROL_BYTES = aioprometheus.Counter(
    "ibisknot_control_bytes_total",
    "Bytes to and from peers and the platform, by direction and channel.",
)
PEER_BYTES = aioprometheus.Counter(
    "ibisknot_peer_bytes_total",
    "Bytes of calls to peers and of the answers, by channel, direction and"
    " whether the peer is in the own or in another data centre. The caller"
    " counts both directions.",
)
KEY_VALUE_CALLS = aioprometheus.Counter(
    "ibisknot_store_calls_total", "Calls to the key-value service."
)
ENDPOINT_CALLS = aioprometheus.Counter(
    "ibisknot_endpoint_calls_total", "Requests sent to endpoints by outcome."
)
PLACEMENTS = aioprometheus.Counter(
    "ibisknot_placements_total",
    "Requests by kind and by whether their endpoint is in the own or in another"
    " data centre.",
)
TICKET_WAIT_S = aioprometheus.Histogram(
    "ibisknot_place_wait_seconds",
    "Seconds that a request waited for a place at an endpoint.",
    buckets=[0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0],
)
TICKETS_REVOKED = aioprometheus.Counter(
    "ibisknot_places_revoked_total", "Places that a scheduler revoked."
)
ENDPOINTS_SLOW = aioprometheus.Counter(
    "ibisknot_endpoints_slow_total",
    "Times that a scheduler began to see an endpoint as slow.",
)
BATCH_ROOM_SHORT = aioprometheus.Counter(
    "ibisknot_batch_room_short_total",
    "Times that batch items began to lack slots, by service.",
)
PARTS_REFUSED = aioprometheus.Counter(
    "ibisknot_prompt_parts_refused_total",
    "Sets of prompt parts that this process began to refuse.",
)
REQUESTS_REFUSED = aioprometheus.Counter(
    "ibisknot_crashing_requests_refused_total",
    "Requests that this process began to refuse for crashes of endpoints.",
)
TUNNELS = aioprometheus.Counter(
    "ibisknot_tunnels_total",
    "Connections to endpoints that this process opened for another one.",
)
UNIT_FAILURES = aioprometheus.Counter(
    "ibisknot_unit_failures_total",
    "Requests, items, jobs, records and messages that an unexpected error"
    " ended, by their kind.",
)
LOG_LINES_DROPPED = aioprometheus.Counter(
    "ibisknot_log_lines_dropped_total", "Log lines over the bound."
)

CLIENTS_REFUSED = aioprometheus.Counter(
    "ibisknot_clients_refused_total",
    "Clients that were refused or closed, by listener and cause.",
)


def count_key_value_call(name: str) -> None:
    """Counts a call to the key-value service, by the name of the call."""
    KEY_VALUE_CALLS.inc({"call": name})


def count_placement(kind: str, scope: str) -> None:
    """Counts a request that gets an endpoint.

    Args:
        kind: `online` or `batch`.
        scope: Whether the endpoint is in the `own` or an `other` data centre.
    """
    PLACEMENTS.inc({"kind": kind, "data_centre": scope})


def count_bytes(
    channel: str,
    *,
    sent: int = 0,
    received: int = 0,
    scope: str | None = None,
) -> None:
    """Counts control traffic.

    Args:
        channel: Name of the peer method, or `key_value`.
        sent: Bytes sent.
        received: Bytes received.
        scope: Whether the peer that this process calls is in the `own` or an
            `other` data centre, or `unknown`; None where another process
            calls, which counts the bytes.
    """
    for direction, size in (("sent", sent), ("received", received)):
        if not size:
            continue
        labels = {"channel": channel, "direction": direction}
        CONTROL_BYTES.add(labels, size)
        if scope is not None:
            PEER_BYTES.add({**labels, "data_centre": scope}, size)


def render(accept: str = "text/plain") -> tuple[bytes, dict[str, str]]:
    """Returns all metrics as text, and its HTTP headers.

    Args:
        accept: The request's Accept header, which selects the format.
    """
    return aioprometheus.render(aioprometheus.REGISTRY, [accept])
