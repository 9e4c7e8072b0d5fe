"""`ibisknot-standin-engine`: a model engine with continuous batching."""

from collections.abc import AsyncIterator
import dataclasses
import os
import time
from typing import Annotated
from typing import Any
import uuid

import anyio
import cappa
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import errors
from ibisknot import web
from ibisknot.standins import _engine_batching
from ibisknot.standins import _engine_cache
from ibisknot.standins import _engine_orders
from ibisknot.standins import _engine_text
from ibisknot.standins import standin

CRASH_MARKER = "crash-this-engine"
CRASH_EXIT_STATUS = 70
DEFAULT_MAX_TOKENS = 16
REPORT_PERIOD_S = 0.1


class Message(msgspec.Struct):
    """One chat message."""

    role: str
    content: str


class ModelRequest(msgspec.Struct):
    """A chat or text completion."""

    model: str
    messages: list[Message] = []
    prompt: str = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    resume_from: int = 0

    def prompt_text(self) -> str:
        """Returns the prompt as one text."""
        if self.messages:
            return "\n".join(f"{m.role}: {m.content}" for m in self.messages)
        return self.prompt

    def token_limit(self) -> int:
        """Returns the number of tokens to generate."""
        limit = self.max_completion_tokens or self.max_tokens
        return limit or DEFAULT_MAX_TOKENS


@dataclasses.dataclass
class Arguments:
    """Stands in for a model engine."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 9000
    models: Annotated[str, cappa.Arg(long=True, help="Comma list.")] = "small"
    ignores_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    report_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.5
    event_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.3
    event_loss: Annotated[float, cappa.Arg(long=True)] = 0.02
    load_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    instant: Annotated[
        bool, cappa.Arg(long=True, help="Answer at once, without batching.")
    ] = False
    slots: Annotated[int, cappa.Arg(long=True)] = 32
    step_s: Annotated[float, cappa.Arg(long=True)] = 0.008
    sequence_s: Annotated[float, cappa.Arg(long=True)] = 0.0004
    prefill_s: Annotated[float, cappa.Arg(long=True)] = 0.00005


class Service:
    """The engine's HTTP interface."""

    def __init__(self, arguments: Arguments) -> None:
        costs = _engine_batching.Costs(
            step_s=arguments.step_s,
            sequence_s=arguments.sequence_s,
            prefill_s=arguments.prefill_s,
            slots=arguments.slots,
        )
        self.events = _engine_cache.EventLog(
            lag_s=arguments.event_lag_s,
            loss=arguments.event_loss,
            seed=arguments.seed,
        )
        self.batcher = _engine_batching.Batcher(
            costs, self._record_cache_change
        )
        versions = {name: "1" for name in arguments.models.split(",")}
        self.state = _engine_orders.State(versions)
        self.checks_fencing = not arguments.ignores_fencing
        self.report_lag_s = arguments.report_lag_s
        self.load_s = arguments.load_s
        self.instant = arguments.instant
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.served_ids: list[str] = []

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/v1/models", self.list_models),
            routing.Route(
                "/v1/chat/completions", self.complete_chat, methods=post
            ),
            routing.Route("/v1/completions", self.complete_text, methods=post),
            routing.Route("/engine/cancel", self.cancel, methods=post),
            routing.Route("/engine/load", self.read_load),
            routing.Route("/engine/orders", self.handle_order, methods=post),
            routing.Route("/engine/state", self.read_state),
            routing.Route("/engine/cache/events", self.read_cache_events),
            routing.Route(
                "/engine/cache/export", self.export_cache, methods=post
            ),
            routing.Route(
                "/engine/cache/import", self.import_cache, methods=post
            ),
            routing.Route("/admin/served", self.list_served),
        ]

    async def background(self) -> None:
        """Runs the batch and takes load reports."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.batcher.run)
            while True:
                self.reports.append((anyio.current_time(), self._load_report()))
                del self.reports[:-100]
                await anyio.sleep(REPORT_PERIOD_S)

    def _load_report(self) -> dict[str, Any]:
        return {
            "running": len(self.batcher.running),
            "waiting": len(self.batcher.queued),
            "tokens": self.batcher.generated_tokens,
            "slots": self.batcher.costs.slots,
            "versions": dict(self.state.versions),
            "role": self.state.role,
        }

    async def list_models(
        self, _request: requests.Request
    ) -> responses.Response:
        """Lists the loaded models."""
        data = [
            {"id": name, "object": "model"}
            for name in self.state.served_names()
        ]
        return web.json_response({"object": "list", "data": data})

    async def read_load(self, _request: requests.Request) -> responses.Response:
        """Returns the load as it was `report_lag_s` ago."""
        latest_s = anyio.current_time() - self.report_lag_s
        visible = [report for at_s, report in self.reports if at_s <= latest_s]
        return web.json_response(visible[-1] if visible else {})

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancels a request by its id."""
        body = msgspec.json.decode(await request.body())
        found = self.batcher.cancel(str(body.get("request_id", "")))
        return web.json_response({"cancelled": found})

    async def handle_order(
        self, request: requests.Request
    ) -> responses.Response:
        """Takes an order; an old fencing number is refused if checked."""
        order = web.decode_body(await request.body(), _engine_orders.Order)
        _engine_orders.check_fencing(
            self.state, order, is_checked=self.checks_fencing
        )
        if order.kind in ("load", "load_adapter"):
            await anyio.sleep(self.load_s)
            # A newer order may have come while this one was loading.
            _engine_orders.check_fencing(
                self.state, order, is_checked=self.checks_fencing
            )
        _engine_orders.apply_order(self.state, order)
        return web.json_response(self._load_report())

    async def read_state(
        self, _request: requests.Request
    ) -> responses.Response:
        """Returns what is loaded now, to read orders back."""
        return web.json_response(self.state)

    def _record_cache_change(
        self, stored: list[int], evicted: list[int]
    ) -> None:
        self.events.record(anyio.current_time(), stored, evicted)

    async def read_cache_events(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the cache events after the number `after`."""
        try:
            after = int(request.query_params.get("after", "0"))
        except ValueError:
            raise errors.BadRequestError("`after` is no number") from None
        return web.json_response(self.events.read(anyio.current_time(), after))

    async def export_cache(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the cached leading blocks of a prompt."""
        model_request = web.decode_body(await request.body(), ModelRequest)
        data = _engine_cache.export_blocks(
            self.batcher.cache, model_request.prompt_text()
        )
        return responses.Response(data, media_type="application/octet-stream")

    async def import_cache(
        self, request: requests.Request
    ) -> responses.Response:
        """Adds exported blocks to the cache."""
        data = await request.body()
        added, evicted = _engine_cache.import_blocks(self.batcher.cache, data)
        self._record_cache_change(added, evicted)
        return web.json_response({"added": len(added)})

    async def list_served(
        self, _request: requests.Request
    ) -> responses.Response:
        """Returns the ids of the requests that ran here."""
        return web.json_response(self.served_ids)

    async def complete_chat(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers a chat completion."""
        return await self._generate(request, is_chat=True)

    async def complete_text(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers a text completion."""
        return await self._generate(request, is_chat=False)

    async def _generate(
        self, request: requests.Request, *, is_chat: bool
    ) -> responses.Response:
        model_request = web.decode_body(await request.body(), ModelRequest)
        if not self.state.serves(model_request.model):
            raise errors.ModelNotFoundError(f"no model {model_request.model}")
        prompt = model_request.prompt_text()
        if CRASH_MARKER in prompt:
            os._exit(CRASH_EXIT_STATUS)
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        self.served_ids.append(request_id)
        sequence = _engine_batching.Sequence(
            id=request_id,
            prompt=prompt,
            first_index=model_request.resume_from,
            end_index=model_request.token_limit(),
            next_index=model_request.resume_from,
        )
        if self.instant:
            sequence.next_index = sequence.end_index
        else:
            self.batcher.add(sequence)
        formatter = _Formatter(model_request, sequence, is_chat=is_chat)
        if model_request.stream and self.instant:
            events = b"".join(
                [event async for event in formatter.stream_events()]
            )
            return responses.Response(events, media_type="text/event-stream")
        if model_request.stream:
            return _EventResponse(sequence, formatter.stream_events())
        return await self._complete_response(request, sequence, formatter)

    async def _complete_response(
        self,
        request: requests.Request,
        sequence: _engine_batching.Sequence,
        formatter: "_Formatter",
    ) -> responses.Response:
        async with anyio.create_task_group() as task_group:

            async def watch() -> None:
                while (await request.receive())["type"] != "http.disconnect":
                    pass
                sequence.cancelled = True
                sequence.notify()

            task_group.start_soon(watch)
            while not sequence.is_finished():
                await sequence.changed.wait()
            task_group.cancel_scope.cancel()
        return web.json_response(formatter.complete_body())


class _Formatter:
    """Formats a sequence's tokens as the OpenAI interface does."""

    def __init__(
        self,
        model_request: ModelRequest,
        sequence: _engine_batching.Sequence,
        *,
        is_chat: bool,
    ) -> None:
        self.model_request = model_request
        self.sequence = sequence
        self.is_chat = is_chat
        self.common_fields = {
            "id": f"cmpl-{sequence.id}",
            "created": int(time.time()),
            "model": model_request.model,
        }

    def complete_body(self) -> dict[str, Any]:
        """Returns the answer to a plain request."""
        sequence = self.sequence
        completion_tokens = sequence.next_index - sequence.first_index
        text = _engine_text.text(
            sequence.prompt, completion_tokens, first_index=sequence.first_index
        )
        prompt_tokens = len(sequence.prompt.split())
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self.common_fields,
            "object": "chat.completion" if self.is_chat else "text_completion",
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
            },
        }

    def _encode_event(self, text: str, finish_reason: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.is_chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        body = {**self.common_fields, "object": kind, "choices": [choice]}
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    async def stream_events(self) -> AsyncIterator[bytes]:
        """Yields one server-sent event for each token."""
        sequence = self.sequence
        index = sequence.first_index
        while True:
            changed = sequence.changed
            while index < sequence.next_index:
                token = _engine_text.token(sequence.prompt, index)
                yield self._encode_event(token, None)
                index += 1
            if sequence.is_finished():
                break
            await changed.wait()
        if not sequence.cancelled:
            yield self._encode_event("", "length")
            yield b"data: [DONE]\n\n"


class _EventResponse(responses.StreamingResponse):
    """A stream whose sequence is cancelled when the caller leaves."""

    def __init__(
        self, sequence: _engine_batching.Sequence, body: AsyncIterator[bytes]
    ) -> None:
        super().__init__(body, media_type="text/event-stream")
        self.sequence = sequence

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Sends the stream."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self.sequence.cancelled = True
            self.sequence.notify()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(arguments)
    standin.run(
        service.routes(),
        address=arguments.address,
        port=arguments.port,
        background=service.background,
    )
