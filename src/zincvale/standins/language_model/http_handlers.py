"""HTTP interface of the language-model server stand-in (docs/PROTOCOLS.md, "Back ends")."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import Application

from zincvale.model.checked import Checked, read_checked
from zincvale.standins.back_end import BackEndHandler, BehaviourHandler
from zincvale.standins.behaviours import BehaviourKind
from zincvale.standins.generation import GenerationKey
from zincvale.standins.language_model.engine import Finished, Refusal, TokenEmitted
from zincvale.standins.language_model.residency import OrderError, OrderResult, WeightState
from zincvale.standins.language_model.server import EngineEvent, LanguageModel, Run
from zincvale.standins.language_model.stream_misbehaviour import StreamMisbehaviour

STATUS_BY_ORDER_ERROR = {
    OrderError.MEMORY: 409,
    OrderError.BASE_MODEL: 409,
    OrderError.BUSY: 503,
    OrderError.NOT_RESIDENT: 404,
}
STATUS_BY_REFUSAL = {
    Refusal.OVERLOADED: 503,
    Refusal.COLD: 503,
    Refusal.TOO_LARGE: 422,
}


@dataclass
class GenerateBody(Checked):
    """Body of `POST /v1/generate`."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    stream: bool = False
    prefix: list[str] = field(default_factory=list)


@dataclass
class OrderBody(Checked):
    """Body of all load and unload orders; each action reads only the fields that it needs."""

    order_id: str
    epoch: int
    model: str = ""
    adapter: str = ""
    base_model: str = ""
    bytes: int = 0
    store: str = ""
    sender: str = ""


class StatusHandler(BackEndHandler):
    """`GET /status`."""

    def get(self) -> None:
        """Respond with memory use, request counts, and resident models and adapters."""
        self.respond(200, self.back_end.status())


class GenerateHandler(BackEndHandler):
    """`POST /v1/generate`."""

    _run: Run | None = None

    async def post(self) -> None:
        """Run one generation and send its response, streamed if the request asks for it."""
        body = read_checked(GenerateBody, self.body(), "generate")
        model: LanguageModel = self.back_end
        adapter = body.adapter or ""
        if not model.residency.serves(body.model, adapter):
            self.refuse(404, body.request_id, "not-resident")
            return
        if model.draw(BehaviourKind.REFUSE):
            self.refuse(503, body.request_id, "overloaded")
            return
        key = GenerationKey(body.model, adapter, body.prompt, body.max_tokens)
        run = model.begin(body.request_id, key, body.prefix)
        if isinstance(run, Refusal):
            self.refuse(STATUS_BY_REFUSAL[run], body.request_id, run.value)
            return
        self._run = run
        if model.draw(BehaviourKind.STALL):
            await asyncio.Event().wait()
        if body.stream:
            await self._stream(run)
        else:
            await self._respond_in_full(run)

    def on_connection_close(self) -> None:
        """Cancel the run of a client that disconnected."""
        if self._run is not None:
            self.back_end.abandon(self._run)

    async def _respond_in_full(self, run: Run) -> None:
        texts = []
        while True:
            event = await run.events.get()
            if isinstance(event, Finished):
                break
            texts.append(event.text)
        payload = {"request_id": run.request_id, "text": "".join(texts), "tokens": event.count}
        await self.deliver(run.request_id, payload)

    async def _stream(self, run: Run) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        misbehaviour = StreamMisbehaviour.drawn_from(self.back_end)
        sent = 0
        try:
            while True:
                event = await run.events.get()
                if isinstance(event, Finished):
                    self.finish(_event_bytes(event))
                    return
                sent += 1
                await self._write_token(event, sent, misbehaviour)
                if misbehaviour.cuts_after(sent):
                    self.back_end.journal.write("cut", request_id=run.request_id, tokens=sent)
                    self.back_end.abandon(run)
                    self.close_connection()
                    return
        except StreamClosedError:
            self.back_end.abandon(run)

    async def _write_token(
        self, event: TokenEmitted, sent: int, misbehaviour: StreamMisbehaviour
    ) -> None:
        await asyncio.sleep(misbehaviour.pause_before(sent))
        for _ in range(misbehaviour.send_count(sent)):
            self.write(_event_bytes(event))
        await self.flush()


class OrderHandler(BackEndHandler):
    """Base class of the load and unload orders: journals each order and sends its result."""

    action = ""

    def post(self) -> None:
        """Execute one order."""
        body = read_checked(OrderBody, self.body(), self.action)
        row = {
            "order_id": body.order_id,
            "epoch": body.epoch,
            "action": self.action,
            "name": body.adapter or body.model,
            "bytes": body.bytes,
            "sender": body.sender or self.request.remote_ip,
        }
        self.back_end.journal.write("order", **row)
        result = self.execute(self.back_end, body)
        if result.error is not None:
            self._refuse_order(row, result.error)
            return
        self.back_end.on_weights_removed(result.removed)
        self.respond(self._status(result, body), {"order_id": body.order_id})

    def execute(self, model: LanguageModel, body: OrderBody) -> OrderResult:
        """Apply the order to the server."""
        raise NotImplementedError

    def _status(self, result: OrderResult, body: OrderBody) -> int:
        residency = self.back_end.residency
        weights = residency.models.get(body.model) or residency.adapters.get(body.adapter)
        if weights is None or (result.is_already_done and weights.state is WeightState.LOADED):
            return 200
        return 202

    def _refuse_order(self, row: dict[str, Any], error: OrderError) -> None:
        residency = self.back_end.residency
        self.back_end.journal.write(
            "order-refused",
            **row,
            error=error.value,
            used_bytes=residency.used_bytes(),
            memory_bytes=residency.memory_bytes,
        )
        payload = {"error": error.value, "order_id": row["order_id"], "ran": False}
        self.respond(STATUS_BY_ORDER_ERROR[error], payload)


class ModelLoadHandler(OrderHandler):
    """`POST /v1/models/load`."""

    action = "load-model"

    def execute(self, model: LanguageModel, body: OrderBody) -> OrderResult:
        """Reserve memory and start the pull of the weights."""
        pinned = model.engine.cache.pinned_bytes()
        result = model.residency.order_model_load(body.model, body.bytes, pinned)
        model.start_load(result, body.model, body.bytes, body.store, body.order_id)
        return result


class ModelUnloadHandler(OrderHandler):
    """`POST /v1/models/unload`."""

    action = "unload-model"

    def execute(self, model: LanguageModel, body: OrderBody) -> OrderResult:
        """Begin to unload a model and its adapters."""
        return model.residency.order_model_unload(body.model)


class AdapterLoadHandler(OrderHandler):
    """`POST /v1/adapters/load`."""

    action = "load-adapter"

    def execute(self, model: LanguageModel, body: OrderBody) -> OrderResult:
        """Reserve memory and start the pull of the weights."""
        pinned = model.engine.cache.pinned_bytes()
        result = model.residency.order_adapter_load(
            body.adapter, body.base_model, body.bytes, pinned
        )
        model.start_load(result, body.adapter, body.bytes, body.store, body.order_id)
        return result


class AdapterUnloadHandler(OrderHandler):
    """`POST /v1/adapters/unload`."""

    action = "unload-adapter"

    def execute(self, model: LanguageModel, body: OrderBody) -> OrderResult:
        """Begin to unload an adapter."""
        return model.residency.order_adapter_unload(body.adapter)


def make_application(model: LanguageModel) -> Application:
    """Return the HTTP application of one language-model server."""
    state = {"back_end": model}
    return Application(
        [
            ("/status", StatusHandler, state),
            ("/v1/generate", GenerateHandler, state),
            ("/v1/models/load", ModelLoadHandler, state),
            ("/v1/models/unload", ModelUnloadHandler, state),
            ("/v1/adapters/load", AdapterLoadHandler, state),
            ("/v1/adapters/unload", AdapterUnloadHandler, state),
            ("/admin/behaviour", BehaviourHandler, state),
        ],
        log_function=lambda _handler: None,
    )


def _event_bytes(event: EngineEvent) -> bytes:
    if isinstance(event, Finished):
        return b"event: end\ndata: " + orjson.dumps({"count": event.count}) + b"\n\n"
    return f"id: {event.index}\ndata: ".encode() + orjson.dumps({"text": event.text}) + b"\n\n"
