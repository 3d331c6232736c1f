"""HTTP binding of the control API: requests in, effects out."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any, Protocol

from tornado.concurrent import Future
from tornado.ioloop import IOLoop
from tornado.web import RequestHandler

from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.runtime.driver import MachineDriver


class OperatorApi(Protocol):
    """A pure machine behind the operators' address: `ControlApi` or `DocumentApi`."""

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Take one request; the answer is among the effects now or later."""
        ...

    def on_core_response(self, token: str, message: object) -> list[ApiEffect]:
        """Take the core's response to `CallCore(token, ...)`."""
        ...

    def on_core_failure(self, token: str, reason: str) -> list[ApiEffect]:
        """Take notice that `CallCore(token, ...)` gets no response."""
        ...

    def abandon(self, token: str) -> None:
        """Forget a request whose client disconnected."""
        ...

    def on_intent_changed(self, now: float) -> list[ApiEffect]:
        """Answer what waited for the newest intent."""
        ...

    def tick(self, now: float) -> list[ApiEffect]:
        """Answer what has waited for its time."""
        ...


class ControlApiServer:
    """Carries out the effects of the operators' API."""

    def __init__(self, api: OperatorApi, driver: MachineDriver, clock: Callable[[], float]) -> None:
        self._api = api
        self._driver = driver
        self._clock = clock
        self._tokens = itertools.count(1)
        self._waiting: dict[str, Future[ApiResponse]] = {}

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the tornado routes of the control API."""
        return [(r"/healthz", HealthHandler, {}), (r"/.*", ControlHandler, {"server": self})]

    def open(self) -> tuple[str, Future[ApiResponse]]:
        """Return a token for a new request and the future of its answer."""
        token = f"api-{next(self._tokens)}"
        future: Future[ApiResponse] = Future()
        self._waiting[token] = future
        return token, future

    def submit(self, request: ApiRequest) -> None:
        """Hand one request in."""
        self._carry_out(self._api.handle(request, self._clock()))

    def abandon(self, token: str) -> None:
        """Forget a request whose client went away."""
        if self._waiting.pop(token, None) is not None:
            self._api.abandon(token)

    def intent_changed(self) -> None:
        """Answer the polls that wait for a newer intent."""
        self._carry_out(self._api.on_intent_changed(self._clock()))

    def tick(self, now: float) -> None:
        """Answer what has waited for its time."""
        self._carry_out(self._api.tick(now))

    def _carry_out(self, effects: list[ApiEffect]) -> None:
        for effect in effects:
            match effect:
                case ApiResponse(token):
                    self._resolve(token, effect)
                case CallCore():
                    IOLoop.current().add_callback(self._call_core, effect)

    def _resolve(self, token: str, response: ApiResponse) -> None:
        future = self._waiting.pop(token, None)
        if future is not None and not future.done():
            future.set_result(response)

    async def _call_core(self, effect: CallCore) -> None:
        reply = await self._driver.call_local(effect.message)
        if reply is None:
            self._carry_out(self._api.on_core_failure(effect.token, "the core gave no answer"))
            return
        self._carry_out(self._api.on_core_response(effect.token, reply))


class HealthHandler(RequestHandler):
    """`GET /healthz`: the process serves."""

    def get(self) -> None:
        """Answer 200."""
        self.finish({"healthy": True})


class ControlHandler(RequestHandler):
    """Every path of the control API."""

    _token = ""

    def initialize(self, server: ControlApiServer) -> None:
        """Take the server that dispatches."""
        self.server = server

    async def prepare(self) -> None:
        """Answer the request, whatever its method; tornado then runs no method of its own."""
        self._token, future = self.server.open()
        self.server.submit(self._api_request())
        response = await future
        self.set_status(response.status)
        for name, value in response.headers.items():
            self.set_header(name, value)
        self.finish(response.body)

    def on_connection_close(self) -> None:
        """Forget the request."""
        if self._token:
            self.server.abandon(self._token)

    def _api_request(self) -> ApiRequest:
        request = self.request
        query = {
            name: values[-1].decode("utf-8", "replace")
            for name, values in request.query_arguments.items()
        }
        return ApiRequest(
            method=request.method or "",
            path=request.path,
            query=query,
            headers=dict(request.headers),
            body=request.body,
            token=self._token,
        )
