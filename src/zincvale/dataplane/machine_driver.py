"""What claims and the stream journal share around their state machines: inputs, effects, results.

A machine takes an input and the time, and returns effects. The driver carries out the effects that
all machines have (calls, replies, log lines) through its owner's functions, hands the others to
`on_effect`, and lets coroutines await the result that an effect brings for a token.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call, CallReceived, Log, Reply, Tick

WriteLog = Callable[[int, dict[str, Any]], None]
InputT = TypeVar("InputT")
Handle = Callable[[InputT | CallReceived | Tick, float], list[Any]]


def ignore_log(_number: int, _fields: dict[str, Any]) -> None:
    """Write no log."""


class MachineDriver(Generic[InputT]):
    """Feeds one state machine; not reentrant across threads, but an effect may cause an input.

    Parameters
    ----------
    handle : the machine's function of an input and the time.
    clock : seconds on the monotonic clock that counts suspension.
    start_call : starts a call to a peer; its owner submits `CallReplied` or `CallFailed` later.
    on_effect : carries out the effects that only this machine has.
    write_log : receives (number, fields) of log events.
    """

    def __init__(
        self,
        handle: Handle[InputT],
        clock: Callable[[], float],
        start_call: Callable[[Call], None],
        on_effect: Callable[[Any], None],
        write_log: WriteLog,
    ) -> None:
        self._handle = handle
        self._clock = clock
        self._start_call = start_call
        self._on_effect = on_effect
        self._write_log = write_log
        self._tokens = itertools.count(1)
        self._pending: dict[str, asyncio.Future[Any]] = {}
        self._replies: dict[str, Any] = {}

    def submit(self, event: InputT) -> None:
        """Feed one input at the present time."""
        self._carry_out(self._handle(event, self._clock()))

    def tick(self, now: float) -> None:
        """Act on the time passed."""
        self._carry_out(self._handle(Tick(), now))

    def receive(self, sender: MemberId, message: Any) -> Any:
        """Return the machine's reply to a peer's call, None without one."""
        token = self._next_token("peer")
        self._carry_out(self._handle(CallReceived(sender, token, message), self._clock()))
        return self._replies.pop(token, None)

    async def request(
        self,
        input_of: Callable[[str], InputT],
        on_cancelled: Callable[[str, Any], None] | None = None,
    ) -> Any:
        """Feed the input made for a new token, and wait for `resolve` of the token.

        `on_cancelled` receives the token and the result, None without one, when the wait was
        cancelled: what the machine granted, or would grant, has to be given back.
        """
        token = self._next_token("local")
        future: asyncio.Future[Any] = asyncio.Future()
        self._pending[token] = future
        try:
            self.submit(input_of(token))
            return await future
        except asyncio.CancelledError:
            if on_cancelled is not None:
                has_result = future.done() and not future.cancelled()
                on_cancelled(token, future.result() if has_result else None)
            raise
        finally:
            del self._pending[token]

    def resolve(self, token: str, result: Any) -> None:
        """End the wait for `token`, if anyone still waits."""
        future = self._pending.get(token)
        if future is not None and not future.done():
            future.set_result(result)

    def _next_token(self, prefix: str) -> str:
        return f"{prefix}-{next(self._tokens)}"

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Call():
                    self._start_call(effect)
                case Reply(token, message):
                    self._replies[token] = message
                case Log(number, fields):
                    self._write_log(number, fields)
                case _:
                    self._on_effect(effect)
