"""Drives the state machines of claims and of the stream journal: inputs, effects and results.

A machine takes an input and the time, and returns effects. The driver carries out the effects that
all machines have (calls, replies, log lines) through its owner's functions, and passes the others
to `on_effect`. Coroutines can wait for the result that the machine yields for a token.
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
    """Discard a log event."""


class MachineDriver(Generic[InputT]):
    """Feeds one state machine. It is not thread-safe, but an effect may cause another input.

    Parameters
    ----------
    handle : the machine's function that takes an input and the time and returns effects.
    clock : returns seconds on the monotonic clock that counts suspension.
    start_call : starts a call to a peer; its owner submits `CallReplied` or `CallFailed` later.
    on_effect : carries out the effects that only this machine has.
    write_log : receives the number and the fields of each log event.
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
        """Feed one input to the machine at the present time."""
        self._carry_out(self._handle(event, self._clock()))

    def tick(self, now: float) -> None:
        """Let the machine act on the time that has passed."""
        self._carry_out(self._handle(Tick(), now))

    def receive(self, sender: MemberId, message: Any) -> Any:
        """Feed a peer's call and return the machine's reply, None without one."""
        token = self._next_token("peer")
        self._carry_out(self._handle(CallReceived(sender, token, message), self._clock()))
        return self._replies.pop(token, None)

    async def request(
        self,
        input_of: Callable[[str], InputT],
        on_cancelled: Callable[[str, Any], None] | None = None,
    ) -> Any:
        """Feed the input that `input_of` makes for a new token, and wait for the token's result.

        When the wait is cancelled, `on_cancelled` receives the token and the result (None without
        one), because what the machine has granted, or will grant, must be given back.
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
        """End the wait for `token` with a result, if a coroutine still waits for it."""
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
