"""Requests to a changing set of cores: the cores are tried in turn until one responds.

Reads may go to any core. A change keeps its order id on every attempt, so that it is safe to send
it again through other cores after a lost acknowledgement, until a time limit.
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
"""Time limit of one core for a read."""
CHANGE_ATTEMPT_TIMEOUT_S = 8.0
"""Time limit of one core for a change; the core's own limit is shorter, so it reports first."""
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
"""Longest pause between two rounds of attempts; it doubles from `INITIAL_PAUSE_S` each round."""

_NOT_A_CORE_REMEDY = "check that --core names a zincvale core"

_ERROR_BY_STATUS: dict[int, type[ZincvaleError]] = {
    400: MalformedBodyError,
    404: NotFoundError,
    413: BodyTooLargeError,
    421: WrongClusterError,
    422: InvalidInputError,
}


@attrs.frozen
class CoreResponse:
    """HTTP response of a core."""

    status: int
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body; raises `MalformedBodyError` unless it is an object."""
        try:
            value = orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise MalformedBodyError(
                f"the response is not JSON: {error}", _NOT_A_CORE_REMEDY
            ) from error
        if not isinstance(value, dict):
            raise MalformedBodyError("the response is not a JSON object", _NOT_A_CORE_REMEDY)
        return value


class CoreUnreachableError(Exception):
    """No response arrived; `sent` is False only when no byte of the request can have been sent."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class CoreTransport(Protocol):
    """Sends requests to cores, waits, and reads the clock."""

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CoreResponse:
        """Return the response; raises `CoreUnreachableError`."""
        ...

    async def pause(self, seconds: float) -> None:
        """Wait for this many seconds."""
        ...

    def now(self) -> float:
        """Return seconds on a monotonic clock."""
        ...


@attrs.frozen
class Confirmation:
    """Confirmation that a change is in force."""

    version: int
    order_id: str
    attempts: int


class OperatorSession:
    """The requests of one command.

    Parameters
    ----------
    cores : addresses to try, in order; more are discovered from the member table.
    """

    def __init__(self, transport: CoreTransport, cores: list[str]) -> None:
        self._transport = transport
        self._cores = list(cores)
        self._core_index = 0
        self._has_discovered = False

    async def read(self, target: str, timeout_s: float = READ_TIMEOUT_S) -> CoreResponse:
        """Return the response of the first core that serves the read; raises a `ZincvaleError`."""
        failures: dict[str, str] = {}
        for _ in range(len(self._cores)):
            core = self._current_core()
            try:
                response = await self._transport.fetch(core, "GET", target, {}, b"", timeout_s)
            except CoreUnreachableError as error:
                failures[core] = str(error)
            else:
                if response.status < 500:
                    return _checked_response(response)
                failures[core] = _problem_of(response)
            self._select_next_core()
        raise UnavailableError(
            f"no core served the request ({_failures_text(failures)})",
            "name other cores with --core, or try again",
        )

    async def read_json(self, target: str, timeout_s: float = READ_TIMEOUT_S) -> dict[str, Any]:
        """Read `target` and return the decoded body."""
        return (await self.read(target, timeout_s)).json()

    async def change(self, body: Mapping[str, Any], order_id: str, limit_s: float) -> Confirmation:
        """Send a change until it is confirmed or refused, or until `limit_s` has passed.

        Raises
        ------
        VersionConflictError, InvalidInputError, ...
            When the change was refused.
        NotConfirmedError
            When the limit has passed; the change may or may not be in force.
        UnavailableError
            When no attempt was sent from this machine: nothing was changed.
        """
        attempts = _OrderAttempts(order_id)
        content = orjson.dumps(body)
        deadline = self._transport.now() + limit_s
        pause_s = INITIAL_PAUSE_S
        while True:
            for _ in range(len(self._cores)):
                remaining_s = deadline - self._transport.now()
                if remaining_s <= 0:
                    raise attempts.limit_error(limit_s)
                response = await self._attempt_change(
                    attempts, content, min(remaining_s, CHANGE_ATTEMPT_TIMEOUT_S)
                )
                if response is not None:
                    return attempts.confirmation(response)
                self._select_next_core()
            await self._discover_cores(deadline)
            await self._transport.pause(min(pause_s, max(0.0, deadline - self._transport.now())))
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    async def _attempt_change(
        self, attempts: _OrderAttempts, content: bytes, timeout_s: float
    ) -> CoreResponse | None:
        core = self._current_core()
        headers = {"Idempotency-Key": attempts.order_id, "Content-Type": "application/json"}
        attempts.count += 1
        try:
            response = await self._transport.fetch(
                core, "POST", "/v1/intent", headers, content, timeout_s
            )
        except CoreUnreachableError as error:
            attempts.record_failure(core, str(error), sent=error.sent)
            return None
        if response.status >= 500:
            attempts.record_failure(core, _problem_of(response), sent=True)
            return None
        return response

    async def _discover_cores(self, deadline: float) -> None:
        """Add the cores of the member table, once, after a round without success."""
        remaining_s = deadline - self._transport.now()
        if self._has_discovered or remaining_s <= 0:
            return
        try:
            members = await self.read_json("/v1/members", min(remaining_s, 1.0))
        except ZincvaleError:
            return
        self._has_discovered = True
        for row in members.get("members", []):
            if row.get("role") == "core" and row.get("api_address") not in self._cores:
                self._cores.append(row["api_address"])

    def _current_core(self) -> str:
        return self._cores[self._core_index % len(self._cores)]

    def _select_next_core(self) -> None:
        self._core_index = (self._core_index + 1) % len(self._cores)


@attrs.define
class _OrderAttempts:
    """Attempts to send one order so far, and the latest failure by core."""

    order_id: str
    count: int = 0
    sent: bool = False
    failures: dict[str, str] = attrs.field(factory=dict)

    def record_failure(self, core: str, problem: str, sent: bool) -> None:
        self.sent = self.sent or sent
        self.failures[core] = problem

    def confirmation(self, response: CoreResponse) -> Confirmation:
        body = _checked_response(response).json()
        return Confirmation(int(body["version"]), self.order_id, self.count)

    def limit_error(self, limit_s: float) -> ZincvaleError:
        reasons = _failures_text(self.failures) or "no attempt was made"
        if not self.sent:
            return UnavailableError(
                f"no core was reached in {limit_s:g} s, nothing was changed ({reasons})",
                "name other cores with --core, or try again",
            )
        return NotConfirmedError(
            f"no core confirmed the change in {limit_s:g} s; "
            f"it may or may not be in force ({reasons})",
            f"send the same order again: --order-id {self.order_id}",
        )


def _checked_response(response: CoreResponse) -> CoreResponse:
    if response.status < 400:
        return response
    body = _error_body(response)
    problem = str(body.get("problem", f"HTTP status {response.status}"))
    remedy = str(body.get("remedy", "see the core's log"))
    if response.status == 409:
        raise VersionConflictError(problem, remedy, int(body.get("current_version", 0)))
    raise _ERROR_BY_STATUS.get(response.status, ZincvaleError)(problem, remedy)


def _problem_of(response: CoreResponse) -> str:
    return str(_error_body(response).get("problem", f"HTTP status {response.status}"))


def _error_body(response: CoreResponse) -> dict[str, Any]:
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return {}
    return body if isinstance(body, dict) else {}


def _failures_text(failures: Mapping[str, str]) -> str:
    return "; ".join(f"{core}: {problem}" for core, problem in failures.items())
