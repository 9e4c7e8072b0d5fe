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
from ibisknot.standins import _engine_cache
from ibisknot.standins import _engine_model
from ibisknot.standins import _engine_orders
from ibisknot.standins import _engine_text
from ibisknot.standins import standin

CRASH_MARK = "crash-this-engine"
CRASH_STATUS = 70
DEFAULT_TOKENS = 16
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

    def text(self) -> str:
        """Returns the prompt as one text."""
        if self.messages:
            return "\n".join(f"{m.role}: {m.content}" for m in self.messages)
        return self.prompt

    def limit(self) -> int:
        """Returns the number of tokens to generate."""
        limit = self.max_completion_tokens or self.max_tokens
        return limit or DEFAULT_TOKENS


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
        costs = _engine_model.Costs(
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
        self.batcher = _engine_model.Batcher(costs, self._cache_changed)
        versions = {name: "1" for name in arguments.models.split(",")}
        self.state = _engine_orders.State(versions)
        self.checks_fencing = not arguments.ignores_fencing
        self.report_lag_s = arguments.report_lag_s
        self.load_s = arguments.load_s
        self.instant = arguments.instant
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.served: list[str] = []

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/v1/models", self.list_models),
            routing.Route("/v1/chat/completions", self.chat, methods=post),
            routing.Route("/v1/completions", self.complete, methods=post),
            routing.Route("/engine/cancel", self.cancel, methods=post),
            routing.Route("/engine/load", self.load),
            routing.Route("/engine/orders", self.order, methods=post),
            routing.Route("/engine/state", self.show_state),
            routing.Route("/engine/cache/events", self.cache_events),
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
        async with anyio.create_task_group() as group:
            group.start_soon(self.batcher.run)
            while True:
                self.reports.append((anyio.current_time(), self._report()))
                del self.reports[:-100]
                await anyio.sleep(REPORT_PERIOD_S)

    def _report(self) -> dict[str, Any]:
        return {
            "running": len(self.batcher.running),
            "waiting": len(self.batcher.waiting),
            "tokens": self.batcher.tokens,
            "slots": self.batcher.costs.slots,
            "versions": dict(self.state.versions),
            "role": self.state.role,
        }

    async def list_models(
        self, _request: requests.Request
    ) -> responses.Response:
        """Lists the loaded models."""
        data = [{"id": name, "object": "model"} for name in self.state.names()]
        return web.json_response({"object": "list", "data": data})

    async def load(self, _request: requests.Request) -> responses.Response:
        """Returns the load as it was `report_lag_s` ago."""
        limit_s = anyio.current_time() - self.report_lag_s
        old = [report for at_s, report in self.reports if at_s <= limit_s]
        return web.json_response(old[-1] if old else {})

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancels a request by its id."""
        body = msgspec.json.decode(await request.body())
        found = self.batcher.cancel(str(body.get("request_id", "")))
        return web.json_response({"cancelled": found})

    async def order(self, request: requests.Request) -> responses.Response:
        """Takes an order; an old fencing number is refused if checked."""
        order = web.decode_body(await request.body(), _engine_orders.Order)
        _engine_orders.check_fencing(
            self.state, order, checks=self.checks_fencing
        )
        if order.kind in ("load", "load_adapter"):
            await anyio.sleep(self.load_s)
            # A newer order may have come while this one was loading.
            _engine_orders.check_fencing(
                self.state, order, checks=self.checks_fencing
            )
        _engine_orders.apply(self.state, order)
        return web.json_response(self._report())

    async def show_state(
        self, _request: requests.Request
    ) -> responses.Response:
        """Returns what is loaded now, to read orders back."""
        return web.json_response(self.state)

    def _cache_changed(self, stored: list[int], evicted: list[int]) -> None:
        self.events.record(anyio.current_time(), stored, evicted)

    async def cache_events(
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
        wanted = web.decode_body(await request.body(), ModelRequest)
        data = _engine_cache.export_blocks(self.batcher.cache, wanted.text())
        return responses.Response(data, media_type="application/octet-stream")

    async def import_cache(
        self, request: requests.Request
    ) -> responses.Response:
        """Adds exported blocks to the cache."""
        data = await request.body()
        added, evicted = _engine_cache.import_blocks(self.batcher.cache, data)
        self._cache_changed(added, evicted)
        return web.json_response({"added": len(added)})

    async def list_served(
        self, _request: requests.Request
    ) -> responses.Response:
        """Returns the ids of the requests that ran here."""
        return web.json_response(self.served)

    async def chat(self, request: requests.Request) -> responses.Response:
        """Answers a chat completion."""
        return await self._generate(request, chat=True)

    async def complete(self, request: requests.Request) -> responses.Response:
        """Answers a text completion."""
        return await self._generate(request, chat=False)

    async def _generate(
        self, request: requests.Request, *, chat: bool
    ) -> responses.Response:
        wanted = web.decode_body(await request.body(), ModelRequest)
        if not self.state.serves(wanted.model):
            raise errors.ModelNotFoundError(f"no model {wanted.model}")
        prompt = wanted.text()
        if CRASH_MARK in prompt:
            os._exit(CRASH_STATUS)
        number = request.headers.get("x-request-id") or uuid.uuid4().hex
        self.served.append(number)
        sequence = _engine_model.Sequence(
            id=number,
            prompt=prompt,
            first=wanted.resume_from,
            limit=wanted.limit(),
            made=wanted.resume_from,
        )
        if self.instant:
            sequence.made = sequence.limit
        else:
            self.batcher.add(sequence)
        writer = _Writer(wanted, sequence, chat=chat)
        if wanted.stream and self.instant:
            events = b"".join([event async for event in writer.events()])
            return responses.Response(events, media_type="text/event-stream")
        if wanted.stream:
            return _EventResponse(sequence, writer.events())
        return await self._whole(request, sequence, writer)

    async def _whole(
        self,
        request: requests.Request,
        sequence: _engine_model.Sequence,
        writer: "_Writer",
    ) -> responses.Response:
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                while (await request.receive())["type"] != "http.disconnect":
                    pass
                sequence.cancelled = True
                sequence.wake()

            group.start_soon(watch)
            while not sequence.done():
                await sequence.changed.wait()
            group.cancel_scope.cancel()
        return web.json_response(writer.whole())


class _Writer:
    """Formats a sequence's tokens as the OpenAI interface does."""

    def __init__(
        self,
        wanted: ModelRequest,
        sequence: _engine_model.Sequence,
        *,
        chat: bool,
    ) -> None:
        self.wanted = wanted
        self.sequence = sequence
        self.chat = chat
        self.base = {
            "id": f"cmpl-{sequence.id}",
            "created": int(time.time()),
            "model": wanted.model,
        }

    def whole(self) -> dict[str, Any]:
        """Returns the answer to a plain request."""
        sequence = self.sequence
        made = sequence.made - sequence.first
        text = _engine_text.text(sequence.prompt, made, first=sequence.first)
        prompt_tokens = len(sequence.prompt.split())
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self.base,
            "object": "chat.completion" if self.chat else "text_completion",
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": made,
                "total_tokens": prompt_tokens + made,
            },
        }

    def _event(self, text: str, finish: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        body = {**self.base, "object": kind, "choices": [choice]}
        return b"data: " + msgspec.json.encode(body) + b"\n\n"

    async def events(self) -> AsyncIterator[bytes]:
        """Yields one server-sent event for each token."""
        sequence = self.sequence
        position = sequence.first
        while True:
            changed = sequence.changed
            while position < sequence.made:
                token = _engine_text.token(sequence.prompt, position)
                yield self._event(token, None)
                position += 1
            if sequence.done():
                break
            await changed.wait()
        if not sequence.cancelled:
            yield self._event("", "length")
            yield b"data: [DONE]\n\n"


class _EventResponse(responses.StreamingResponse):
    """A stream whose sequence is cancelled when the caller leaves."""

    def __init__(
        self, sequence: _engine_model.Sequence, body: AsyncIterator[bytes]
    ) -> None:
        super().__init__(body, media_type="text/event-stream")
        self.sequence = sequence

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Sends the stream."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self.sequence.cancelled = True
            self.sequence.wake()


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
