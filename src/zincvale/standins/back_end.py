"""Base of language-model and lookup servers: HTTP handling, misbehaviour and the journal."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from tornado.web import RequestHandler

from zincvale.model.checked import read_checked
from zincvale.model.errors import InvalidInputError, MalformedBodyError
from zincvale.standins.behaviours import Behaviour, BehaviourKind, BehaviourTable
from zincvale.standins.journal import JournalWriter

SWAP_TIMEOUT_S = 0.5
"""How long a response waits for another one to swap with; after that it is sent unswapped."""
JSON_CONTENT_TYPE = "application/json"


@attrs.frozen
class ServerIdentity:
    """Identity of one server process: its name, pool, zone and incarnation."""

    server: str
    pool: str
    zone: str
    incarnation: str


def new_identity(server: str, pool: str, zone: str) -> ServerIdentity:
    """Return the identity of a server that has just started, with a new random incarnation."""
    return ServerIdentity(server, pool, zone, uuid.uuid4().hex)


class ResponseSwap:
    """Swaps the responses of two requests that finish at about the same time."""

    def __init__(self) -> None:
        self._pending: tuple[Any, asyncio.Future[Any]] | None = None

    async def swap(self, response: Any) -> Any:
        """Return the response of another request, or `response` itself after the timeout."""
        if self._pending is not None:
            other_response, future = self._pending
            self._pending = None
            future.set_result(response)
            return other_response
        future = asyncio.get_running_loop().create_future()
        self._pending = (response, future)
        done, _ = await asyncio.wait([future], timeout=SWAP_TIMEOUT_S)
        if done:
            return future.result()
        self._pending = None
        return response


class BackEnd:
    """State shared by all request handlers of one server."""

    def __init__(
        self,
        identity: ServerIdentity,
        journal: JournalWriter,
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self.identity = identity
        self.journal = journal
        self.clock = clock
        self.behaviours = BehaviourTable(random.Random(seed))
        self.response_swap = ResponseSwap()

    def draw(self, kind: BehaviourKind) -> Behaviour | None:
        """Return the behaviour of `kind` if it applies to the current request, else None."""
        return self.behaviours.draw(kind, self.clock())

    def add_behaviour(self, behaviour: Behaviour) -> None:
        """Activate a behaviour."""
        self.behaviours.add(behaviour, self.clock())
        self.journal.write("behaviour", kind=behaviour.kind.value, seconds=behaviour.seconds)


class BackEndHandler(RequestHandler):
    """Base class of the request handlers of a back end."""

    def initialize(self, back_end: Any) -> None:
        """Keep a reference to the state of the server."""
        self.back_end = back_end

    async def prepare(self) -> None:
        """Leave every request without a response while `BehaviourKind.DARK` is active."""
        if self.back_end.draw(BehaviourKind.DARK):
            await asyncio.Event().wait()

    def body(self) -> dict[str, Any]:
        """Return the request body, a JSON object; raises `MalformedBodyError`."""
        try:
            data = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise MalformedBodyError(
                f"the body is not JSON: {error}", "send a JSON object"
            ) from error
        if not isinstance(data, dict):
            raise MalformedBodyError("the body is not a JSON object", "send a JSON object")
        return data

    def respond(self, status: int, payload: dict[str, Any]) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.finish(orjson.dumps(payload))

    def refuse(self, status: int, request_id: str, error: str) -> None:
        """Journal a refusal and respond that the request did not run and will not."""
        self.back_end.journal.write("refuse", request_id=request_id, error=error)
        self.respond(status, {"request_id": request_id, "error": error, "ran": False})

    def close_connection(self) -> None:
        """Close the connection before the response is complete."""
        connection = self.request.connection
        stream = getattr(connection, "stream", None) or self.detach()
        stream.close()

    async def deliver(self, request_id: str, payload: dict[str, Any]) -> None:
        """Send the response of a request that ran, subject to the active behaviours."""
        back_end = self.back_end
        if back_end.draw(BehaviourKind.DROP_RESPONSE):
            back_end.journal.write("dropped", request_id=request_id)
            self.close_connection()
            return
        if back_end.draw(BehaviourKind.ERROR_AFTER_RUN):
            back_end.journal.write("failed", request_id=request_id)
            self.respond(500, {"error": "internal"})
            return
        late = back_end.draw(BehaviourKind.LATE_RESPONSE)
        if late:
            await asyncio.sleep(late.delay_s)
        if back_end.draw(BehaviourKind.SWAPPED_RESPONSE):
            payload = await back_end.response_swap.swap(payload)
            if payload["request_id"] != request_id:
                sent_request_id = payload["request_id"]
                back_end.journal.write(
                    "crossed", request_id=request_id, sent_request_id=sent_request_id
                )
        self.respond(200, payload)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error response; a request that fails validation is reported as not run."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, (InvalidInputError, MalformedBodyError)):
            self.set_status(error.http_status)
            self.finish(orjson.dumps({**error.to_json(), "error": error.kind, "ran": False}))
            return
        super().write_error(status_code, **kwargs)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions; an invalid request gets a response and no log line."""
        if not isinstance(value, (InvalidInputError, MalformedBodyError)):
            super().log_exception(typ, value, tb)


class BehaviourHandler(BackEndHandler):
    """`/admin/behaviour`: switches misbehaviour on and off, for the fleet rig."""

    async def prepare(self) -> None:
        """Serve the request also while `BehaviourKind.DARK` is active."""

    def post(self) -> None:
        """Activate the behaviour in the body."""
        behaviour = read_checked(Behaviour, self.body(), "behaviour")
        self.back_end.add_behaviour(behaviour)
        self.get()

    def delete(self) -> None:
        """Remove every active behaviour."""
        self.back_end.behaviours.clear()
        self.back_end.journal.write("behaviours-cleared")
        self.get()

    def get(self) -> None:
        """List the active behaviours."""
        rows = self.back_end.behaviours.active(self.back_end.clock())
        self.respond(200, {"behaviours": [row.to_dict() for row in rows]})
