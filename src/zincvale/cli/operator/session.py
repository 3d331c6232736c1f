"""Requests to a changing set of cores: the next core is tried until one answers.

Reads may go to any core. A change carries one order id however often it is sent, so that a lost
acknowledgement is made good by sending it again, through other cores, until a time limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

import attrs
import orjson

from zincvale.model.errors import (
    BodyTooLargeError,
    InvalidInputError,
    MalformedBodyError,
    NotConfirmedError,
    NotFoundError,
    UnavailableError,
    VersionConflictError,
    WrongClusterError,
    ZincvaleError,
)

READ_TIMEOUT_S = 5.0
CHANGE_ATTEMPT_TIMEOUT_S = 8.0
"""How long one core may take for a change; a core gives up by itself before."""
PAUSE_START_S = 0.2
PAUSE_LIMIT_S = 2.0
"""Between two rounds through the cores."""

_FOREIGN_REMEDY = "check that --core names a zincvale core"

_ERROR_BY_STATUS: dict[int, type[ZincvaleError]] = {
    400: MalformedBodyError,
    404: NotFoundError,
    413: BodyTooLargeError,
    421: WrongClusterError,
    422: InvalidInputError,
}


@attrs.frozen
class CoreResponse:
    """One HTTP answer."""

    status: int
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body; raises `MalformedBodyError` unless it is an object."""
        try:
            value = orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise MalformedBodyError(f"the answer is not JSON: {error}", _FOREIGN_REMEDY) from error
        if not isinstance(value, dict):
            raise MalformedBodyError("the answer is no object", _FOREIGN_REMEDY)
        return value


class CoreUnreachableError(Exception):
    """No answer came; `sent` is False only when no byte of the request can have left."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class CoreTransport(Protocol):
    """Carries requests to cores, and tells and passes time."""

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CoreResponse:
        """Return the answer; raises `CoreUnreachableError`."""
        ...

    async def pause(self, seconds: float) -> None:
        """Wait."""
        ...

    def now(self) -> float:
        """Return seconds on a monotonic clock."""
        ...


@attrs.frozen
class Confirmation:
    """A change that is in force."""

    version: int
    order_id: str
    attempts: int


class OperatorSession:
    """One command's requests.

    Parameters
    ----------
    cores : addresses to try, in order; further ones are learnt from the member table.
    """

    def __init__(self, transport: CoreTransport, cores: list[str]) -> None:
        self._transport = transport
        self._cores = list(cores)
        self._next = 0
        self._learnt = False

    async def read(self, target: str, timeout_s: float = READ_TIMEOUT_S) -> CoreResponse:
        """Return the answer of the first core that has one; raises a `ZincvaleError`."""
        failures: dict[str, str] = {}
        for _ in range(len(self._cores)):
            core = self._core()
            try:
                answer = await self._transport.fetch(core, "GET", target, {}, b"", timeout_s)
            except CoreUnreachableError as error:
                failures[core] = str(error)
            else:
                if answer.status < 500:
                    return _checked(answer)
                failures[core] = _problem(answer)
            self._rotate()
        raise UnavailableError(
            f"no core answered ({_listed(failures)})", "name other cores with --core, or try again"
        )

    async def read_json(self, target: str, timeout_s: float = READ_TIMEOUT_S) -> dict[str, Any]:
        """Return the decoded body of `read`."""
        return (await self.read(target, timeout_s)).json()

    async def change(self, body: Mapping[str, Any], order_id: str, limit_s: float) -> Confirmation:
        """Send a change until it is confirmed, refused or `limit_s` is over.

        Raises
        ------
        VersionConflictError, InvalidInputError, ...
            When the change was refused.
        NotConfirmedError
            When the limit is over; the change may or may not be in force.
        UnavailableError
            When no attempt left this machine: nothing was changed.
        """
        attempts = _Attempts(order_id)
        content = orjson.dumps(body)
        deadline = self._transport.now() + limit_s
        pause_s = PAUSE_START_S
        while True:
            for _ in range(len(self._cores)):
                left_s = deadline - self._transport.now()
                if left_s <= 0:
                    raise attempts.given_up(limit_s)
                answer = await self._attempt(
                    attempts, content, min(left_s, CHANGE_ATTEMPT_TIMEOUT_S)
                )
                if answer is not None:
                    return attempts.confirmation(answer)
                self._rotate()
            await self._learn_cores(deadline)
            await self._transport.pause(min(pause_s, max(0.0, deadline - self._transport.now())))
            pause_s = min(PAUSE_LIMIT_S, pause_s * 2)

    async def _attempt(
        self, attempts: _Attempts, content: bytes, timeout_s: float
    ) -> CoreResponse | None:
        core = self._core()
        headers = {"Idempotency-Key": attempts.order_id, "Content-Type": "application/json"}
        attempts.count += 1
        try:
            answer = await self._transport.fetch(
                core, "POST", "/v1/intent", headers, content, timeout_s
            )
        except CoreUnreachableError as error:
            attempts.note(core, str(error), sent=error.sent)
            return None
        if answer.status >= 500:
            attempts.note(core, _problem(answer), sent=True)
            return None
        return answer

    async def _learn_cores(self, deadline: float) -> None:
        """Ask the cores that were named for the others; once, after a round without success."""
        left_s = deadline - self._transport.now()
        if self._learnt or left_s <= 0:
            return
        try:
            members = await self.read_json("/v1/members", min(left_s, 1.0))
        except ZincvaleError:
            return
        self._learnt = True
        for row in members.get("members", []):
            if row.get("role") == "core" and row.get("api_address") not in self._cores:
                self._cores.append(row["api_address"])

    def _core(self) -> str:
        return self._cores[self._next % len(self._cores)]

    def _rotate(self) -> None:
        self._next = (self._next + 1) % len(self._cores)


@attrs.define
class _Attempts:
    """What became of the attempts of one order so far."""

    order_id: str
    count: int = 0
    sent: bool = False
    failures: dict[str, str] = attrs.field(factory=dict)

    def note(self, core: str, problem: str, sent: bool) -> None:
        self.sent = self.sent or sent
        self.failures[core] = problem

    def confirmation(self, answer: CoreResponse) -> Confirmation:
        body = _checked(answer).json()
        return Confirmation(int(body["version"]), self.order_id, self.count)

    def given_up(self, limit_s: float) -> ZincvaleError:
        told = _listed(self.failures) or "no attempt was made"
        if not self.sent:
            return UnavailableError(
                f"no core was reached in {limit_s:g} s, nothing was changed ({told})",
                "name other cores with --core, or try again",
            )
        return NotConfirmedError(
            f"no core confirmed the change in {limit_s:g} s; "
            f"it may or may not be in force ({told})",
            f"send the same order again: --order-id {self.order_id}",
        )


def _checked(answer: CoreResponse) -> CoreResponse:
    if answer.status < 400:
        return answer
    body = _error_body(answer)
    problem = str(body.get("problem", f"HTTP status {answer.status}"))
    remedy = str(body.get("remedy", "see the core's log"))
    if answer.status == 409:
        raise VersionConflictError(problem, remedy, int(body.get("current_version", 0)))
    raise _ERROR_BY_STATUS.get(answer.status, ZincvaleError)(problem, remedy)


def _problem(answer: CoreResponse) -> str:
    return str(_error_body(answer).get("problem", f"HTTP status {answer.status}"))


def _error_body(answer: CoreResponse) -> dict[str, Any]:
    try:
        body = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}


def _listed(failures: Mapping[str, str]) -> str:
    return "; ".join(f"{core}: {problem}" for core, problem in failures.items())
