"""Open-loop load: requests start on schedule, however slow the responses."""

import dataclasses
import itertools
import random

import anyio
from hdrh import histogram
import httpx
import msgspec

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario
from ibisknot.standins import _engine_text

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
CURVE_QUANTILES = (
    *(k / 50 for k in range(1, 48)),
    0.95, 0.96, 0.97, 0.98, 0.985, 0.99, 0.995, 0.999, 1.0,
)  # fmt: skip


class Latencies:
    """Latencies in an HDR histogram, in microseconds."""

    def __init__(self) -> None:
        self.values = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def add(self, seconds: float) -> None:
        """Records one latency, in seconds."""
        value = max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(seconds * 1e6)))
        self.values.record_value(value)

    def quantile_ms(self, quantile: float) -> float:
        """Returns a quantile in milliseconds."""
        return self.values.get_value_at_percentile(quantile * 100) / 1000

    def curve(self) -> list[scenario.Point]:
        """Returns the distribution for plots, with more points at the tail."""
        return [
            scenario.Point(fraction, self.quantile_ms(fraction))
            for fraction in CURVE_QUANTILES
        ]

    def count(self) -> int:
        """Returns the count of recorded latencies."""
        return self.values.get_total_count()


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one request as its caller sees it.

    Attributes:
        organisation: Name of the organisation that sent the request.
        due_s: Monotonic time at which it was due to start.
        sent_s: Monotonic time at which it started.
        status: HTTP status; 0 if the connection failed before a status.
        error_code: Code of the error response, or the class of the
            connection's error; empty without an error.
        is_complete: Whether the complete response of this request came, not
            one of another request.
        first_content_s: Seconds from `due_s` to the first content; 0 before.
        total_s: Seconds from `due_s` to the end.
    """

    organisation: str
    due_s: float
    sent_s: float = 0.0
    status: int = 0
    error_code: str = ""
    is_complete: bool = False
    first_content_s: float = 0.0
    total_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestStream:
    """A stream of requests of one organisation, which arrive at random.

    Attributes:
        organisation: Name of the organisation.
        rate_per_s: Mean requests a second; arrivals are a Poisson process.
        start_s: Start of the stream, in seconds after the start of the run.
        end_s: End of the stream, in seconds after the start of the run.
        max_tokens: Tokens that each request lets the engine generate.
        prompt_words: Words of each prompt.
    """

    organisation: str
    rate_per_s: float
    start_s: float
    end_s: float
    max_tokens: int = 16
    prompt_words: int = 32


def arrivals(
    streams: list[RequestStream], rng: random.Random
) -> list[tuple[float, RequestStream]]:
    """Returns start time and stream of each request, in order of time.

    The times are seconds after the start of the run.

    >>> stream = RequestStream("a", 10.0, 0.0, 5.0)
    >>> arrivals([stream], random.Random(1)) == arrivals(
    ...     [stream], random.Random(1)
    ... )
    True
    """
    arrival_times = []
    for stream in streams:
        at_s = stream.start_s
        while True:
            at_s += rng.expovariate(stream.rate_per_s)
            if at_s >= stream.end_s:
                break
            arrival_times.append((at_s, stream))
    arrival_times.sort(key=lambda pair: pair[0])
    return arrival_times


def chat_prompt(content: str) -> str:
    """Returns the prompt that an engine receives for one user message."""
    return f"user: {content}"


class Caller:
    """Sends chat requests to the fleet's VMs in turn.

    Attributes:
        fleet: The fleet that receives the requests.
        rng: Source of arrival times and prompts.
        request_counter: Counts requests, to choose the next VM.
        outcomes: The outcomes of all requests, in order of their start.
    """

    def __init__(self, fleet: fleet_module.Fleet, *, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.client = httpx.AsyncClient(
            timeout=60.0,
            trust_env=False,
            limits=httpx.Limits(max_connections=2000),
        )
        self.request_counter = itertools.count()
        self.outcomes: list[Outcome] = []

    def next_url(self) -> str:
        """Returns the base URL of the VM that gets the next request."""
        vms = list(self.fleet.vms.values())
        return vms[next(self.request_counter) % len(vms)].url()

    def make_content(self, word_count: int) -> str:
        """Returns random content for a new message."""
        return " ".join(
            f"w{self.rng.randrange(10**6)}" for _ in range(word_count)
        )

    async def run(self, streams: list[RequestStream]) -> list[Outcome]:
        """Sends the streams' requests on schedule; returns all outcomes."""
        start_s = anyio.current_time()
        async with anyio.create_task_group() as task_group:
            for at_s, stream in arrivals(streams, self.rng):
                await anyio.sleep_until(start_s + at_s)
                due_s = start_s + at_s
                task_group.start_soon(self.send, stream, due_s)
        return self.outcomes

    async def send(self, stream: RequestStream, due_s: float) -> Outcome:
        """Sends one streamed chat request and checks its response.

        Args:
            stream: The stream that the request belongs to.
            due_s: Monotonic time at which the request was due to start.
        """
        outcome = Outcome(stream.organisation, due_s, anyio.current_time())
        self.outcomes.append(outcome)
        content = self.make_content(stream.prompt_words)
        try:
            await self._send_streamed(outcome, stream, content)
        except httpx.HTTPError as error:
            outcome.error_code = type(error).__name__
        outcome.total_s = anyio.current_time() - due_s
        return outcome

    async def _send_streamed(
        self, outcome: Outcome, stream: RequestStream, content: str
    ) -> None:
        body = {
            "model": fleet_module.MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": stream.max_tokens,
            "stream": True,
        }
        key = self.fleet.organisation_keys[stream.organisation]
        text = ""
        async with self.client.stream(
            "POST",
            f"{self.next_url()}/v1/chat/completions",
            json=body,
            headers={"authorization": f"Bearer {key}"},
        ) as response:
            outcome.status = response.status_code
            if response.status_code != 200:
                error_body = await response.aread()
                outcome.error_code = msgspec.json.decode(error_body)["error"][
                    "code"
                ]
                return
            async for line in response.aiter_lines():
                if not line.startswith("data: ") or line == "data: [DONE]":
                    continue
                event = msgspec.json.decode(line[6:])
                if "error" in event:
                    outcome.error_code = event["error"]["code"]
                    return
                text += event["choices"][0]["delta"].get("content", "")
                if text and not outcome.first_content_s:
                    outcome.first_content_s = (
                        anyio.current_time() - outcome.due_s
                    )
        expected_text = _engine_text.text(
            chat_prompt(content), stream.max_tokens
        )
        outcome.is_complete = text == expected_text
