"""Prometheus metrics of a process."""

import aioprometheus
from starlette import requests
from starlette import responses

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
BATCH_JOBS = aioprometheus.Counter(
    "ibisknot_batch_jobs_total", "Batch jobs by final state."
)
BATCH_REMAINING = aioprometheus.Gauge(
    "ibisknot_batch_items_remaining",
    "Items without a result in the jobs that this process runs.",
)
BATCH_AT_RISK = aioprometheus.Gauge(
    "ibisknot_batch_jobs_at_risk",
    "Jobs of this process that will miss their deadline at this rate.",
)
CONTROL_BYTES = aioprometheus.Counter(
    "ibisknot_control_bytes_total",
    "Bytes to and from peers and the platform, by direction and channel.",
)


def count_bytes(channel: str, *, sent: int = 0, received: int = 0) -> None:
    """Counts control traffic of a peer method or of `key_value`."""
    if sent:
        CONTROL_BYTES.add({"channel": channel, "direction": "sent"}, sent)
    if received:
        CONTROL_BYTES.add(
            {"channel": channel, "direction": "received"}, received
        )


async def handle(request: requests.Request) -> responses.Response:
    """Answers `/metrics`."""
    accept = [request.headers.get("accept", "text/plain")]
    body, headers = aioprometheus.render(aioprometheus.REGISTRY, accept)
    return responses.Response(body, headers=headers)
