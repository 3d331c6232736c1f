"""HTTP binding of the control API: connects tornado requests to the I/O-free API machine."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from tornado.concurrent import Future
from tornado.ioloop import IOLoop
from tornado.web import RequestHandler

from zincvale.controlplane.api.messages import ApiEffect, ApiRequest, ApiResponse, CallCore
from zincvale.model.machine import Log
from zincvale.runtime.driver import MachineDriver
from zincvale.runtime.logs import log
from zincvale.transport.closed_peers import is_closed_by_peer


class OperatorApi(Protocol):
    """A state machine without I/O that serves the operators' API: `ControlApi` or `DocumentApi`."""

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Handle one request; its response is among these effects or those of a later call."""
        ...

    def on_core_response(self, token: str, message: object, now: float) -> list[ApiEffect]:
        """Handle the core's reply to `CallCore(token, ...)`."""
        ...

    def on_core_failure(self, token: str, reason: str) -> list[ApiEffect]:
        """Handle the failure of `CallCore(token, ...)`, which got no reply."""
        ...

    def abandon(self, token: str) -> None:
        """Drop a request whose client disconnected."""
        ...

    def on_intent_changed(self, now: float) -> list[ApiEffect]:
        """Respond to the requests that wait for a newer intent."""
        ...

    def tick(self, now: float) -> list[ApiEffect]:
        """Respond to requests whose timeout passed."""
        ...


@attrs.frozen
class _PendingRequest:
    """A request whose response is pending; `is_caller_connected` asks its connection."""

    response: Future[ApiResponse]
    is_caller_connected: Callable[[], bool]


class ControlApiServer:
    """Executes the effects of the operators' API and resolves pending HTTP requests."""

    def __init__(self, api: OperatorApi, driver: MachineDriver, clock: Callable[[], float]) -> None:
        self._api = api
        self._driver = driver
        self._clock = clock
        self._tokens = itertools.count(1)
        self._pending: dict[str, _PendingRequest] = {}

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the tornado routes of the control API."""
        return [(r"/healthz", HealthHandler, {}), (r"/.*", ControlHandler, {"server": self})]

    def open_request(
        self, is_caller_connected: Callable[[], bool]
    ) -> tuple[str, Future[ApiResponse]]:
        """Register a new request; return its token and the future of its response."""
        token = f"api-{next(self._tokens)}"
        future: Future[ApiResponse] = Future()
        self._pending[token] = _PendingRequest(future, is_caller_connected)
        return token, future

    def may_be_delayed(self) -> bool:
        """Whether a request that is read now may have arrived while the process did not run."""
        return self._driver.pauses.may_read_delayed_requests()

    def submit(self, request: ApiRequest) -> None:
        """Submit one request to the API machine."""
        self._execute(self._api.handle(request, self._clock()))

    def abandon(self, token: str) -> None:
        """Drop a request whose client disconnected."""
        if self._pending.pop(token, None) is not None:
            self._api.abandon(token)

    def intent_changed(self) -> None:
        """Respond to the requests that wait for a newer intent."""
        self._execute(self._api.on_intent_changed(self._clock()))

    def tick(self, now: float) -> None:
        """Respond to requests whose timeout passed."""
        self._execute(self._api.tick(now))

    def _execute(self, effects: list[ApiEffect]) -> None:
        for effect in effects:
            match effect:
                case ApiResponse(token):
                    self._resolve(token, effect)
                case CallCore():
                    IOLoop.current().add_callback(self._call_core, effect)
                case Log(number, fields):
                    log(number, **fields)

    def _resolve(self, token: str, response: ApiResponse) -> None:
        pending = self._pending.pop(token, None)
        if pending is not None and not pending.response.done():
            pending.response.set_result(response)

    async def _call_core(self, effect: CallCore) -> None:
        pending = self._pending.get(effect.token)
        if pending is None or not pending.is_caller_connected():
            # The caller may have given newer orders to another core: nothing begins for it here.
            self.abandon(effect.token)
            return
        reply = await self._driver.call_local(effect.message)
        if reply is None:
            self._execute(self._api.on_core_failure(effect.token, "the core did not reply"))
            return
        self._execute(self._api.on_core_response(effect.token, reply, self._clock()))


class HealthHandler(RequestHandler):
    """`GET /healthz`: reports that the process is serving."""

    def get(self) -> None:
        """Respond 200."""
        self.finish({"healthy": True})


class ControlHandler(RequestHandler):
    """Handles every path of the control API."""

    _token = ""

    def initialize(self, server: ControlApiServer) -> None:
        """Set the server that receives the requests."""
        self.server = server

    async def prepare(self) -> None:
        """Respond to the request, whatever its method; tornado then runs no method of its own."""
        self._token, future = self.server.open_request(self._is_caller_connected)
        self.server.submit(self._api_request())
        response = await future
        self.set_status(response.status)
        for name, value in response.headers.items():
            self.set_header(name, value)
        self.finish(response.body)

    def on_connection_close(self) -> None:
        """Drop the request: its client disconnected."""
        if self._token:
            self.server.abandon(self._token)

    def _is_caller_connected(self) -> bool:
        """Whether the caller has not closed its connection, also if that was not read yet."""
        stream = getattr(self.request.connection, "stream", None)
        if stream is None or stream.closed():
            return False
        return not is_closed_by_peer(stream.socket)

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
            is_delayed=self.server.may_be_delayed(),
        )
