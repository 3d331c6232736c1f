"""What language-model and lookup stand-ins share: the HTTP frame, misbehaviour, the journal."""

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

CROSSING_WAIT_S = 0.5
JSON_CONTENT_TYPE = "application/json"


@attrs.frozen
class Place:
    """Which server this is and where it stands."""

    server: str
    pool: str
    zone: str
    incarnation: str


def new_place(server: str, pool: str, zone: str) -> Place:
    """Return the place of a server that has just started: cold, with a new incarnation."""
    return Place(server, pool, zone, uuid.uuid4().hex)


class Crossing:
    """Swaps the answers of two requests that finish at about the same time."""

    def __init__(self) -> None:
        self._waiting: tuple[Any, asyncio.Future[Any]] | None = None

    async def swap(self, answer: Any) -> Any:
        """Return the answer of another request, or the own one when no other comes in time."""
        if self._waiting is not None:
            other, future = self._waiting
            self._waiting = None
            future.set_result(answer)
            return other
        future = asyncio.get_running_loop().create_future()
        self._waiting = (answer, future)
        done, _ = await asyncio.wait([future], timeout=CROSSING_WAIT_S)
        if done:
            return future.result()
        self._waiting = None
        return answer


class BackEnd:
    """State that every handler of one server shares."""

    def __init__(
        self, place: Place, journal: JournalWriter, clock: Callable[[], float], seed: int
    ) -> None:
        self.place = place
        self.journal = journal
        self.clock = clock
        self.behaviours = BehaviourTable(random.Random(seed))
        self.crossing = Crossing()

    def strike(self, kind: BehaviourKind) -> Behaviour | None:
        """Return the behaviour of `kind` if it touches the request at hand."""
        return self.behaviours.strike(kind, self.clock())

    def add_behaviour(self, behaviour: Behaviour) -> None:
        """Put a behaviour in force."""
        self.behaviours.add(behaviour, self.clock())
        self.journal.write("behaviour", kind=behaviour.kind.value, seconds=behaviour.seconds)


class BackEndHandler(RequestHandler):
    """Base of the handlers of a back end."""

    def initialize(self, back_end: Any) -> None:
        """Keep the server's state."""
        self.back_end = back_end

    async def prepare(self) -> None:
        """Hold every call of a server that is dark, status included."""
        if self.back_end.strike(BehaviourKind.DARK):
            await asyncio.Event().wait()

    def body(self) -> dict[str, Any]:
        """Return the JSON object of the request; raises `MalformedBodyError`."""
        try:
            data = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise MalformedBodyError(
                f"the body is not JSON: {error}", "send a JSON object"
            ) from error
        if not isinstance(data, dict):
            raise MalformedBodyError("the body is not a JSON object", "send a JSON object")
        return data

    def answer(self, status: int, payload: dict[str, Any]) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.finish(orjson.dumps(payload))

    def refuse(self, status: int, request_id: str, error: str) -> None:
        """Answer that a request did not run and will not, and journal it."""
        self.back_end.journal.write("refuse", request_id=request_id, error=error)
        self.answer(status, {"request_id": request_id, "error": error, "ran": False})

    def cut(self) -> None:
        """Close the connection without finishing the answer."""
        connection = self.request.connection
        stream = getattr(connection, "stream", None) or self.detach()
        stream.close()

    async def deliver(self, request_id: str, payload: dict[str, Any]) -> None:
        """Send the answer of a request that ran, or misbehave with it."""
        back_end = self.back_end
        if back_end.strike(BehaviourKind.DROP_ANSWER):
            back_end.journal.write("dropped", request_id=request_id)
            self.cut()
            return
        if back_end.strike(BehaviourKind.ERROR_AFTER_RUN):
            back_end.journal.write("failed", request_id=request_id)
            self.answer(500, {"error": "internal"})
            return
        late = back_end.strike(BehaviourKind.LATE_ANSWER)
        if late:
            await asyncio.sleep(late.delay_s)
        if back_end.strike(BehaviourKind.CROSSED_ANSWER):
            payload = await back_end.crossing.swap(payload)
            if payload["request_id"] != request_id:
                other = payload["request_id"]
                back_end.journal.write("crossed", request_id=request_id, sent_request_id=other)
        self.answer(200, payload)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error of this stand-in; a request that fails its checks never ran."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, (InvalidInputError, MalformedBodyError)):
            self.set_status(error.http_status)
            self.finish(orjson.dumps({**error.to_json(), "error": error.kind, "ran": False}))
            return
        super().write_error(status_code, **kwargs)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log defects only: a bad request is answered, not logged."""
        if not isinstance(value, (InvalidInputError, MalformedBodyError)):
            super().log_exception(typ, value, tb)


class BehaviourHandler(BackEndHandler):
    """`/admin/behaviour`: the rig switches misbehaviour on and off."""

    async def prepare(self) -> None:
        """Answer the rig also while the server is dark."""

    def post(self) -> None:
        """Put the behaviour in the body in force."""
        behaviour = read_checked(Behaviour, self.body(), "behaviour")
        self.back_end.add_behaviour(behaviour)
        self.get()

    def delete(self) -> None:
        """End every behaviour."""
        self.back_end.behaviours.clear()
        self.back_end.journal.write("behaviours-cleared")
        self.get()

    def get(self) -> None:
        """List what is in force."""
        rows = self.back_end.behaviours.in_force(self.back_end.clock())
        self.answer(200, {"behaviours": [row.to_dict() for row in rows]})
