"""Drives a state machine from the event loop: passes inputs to it and executes its effects."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from tornado.concurrent import Future
from tornado.ioloop import IOLoop, PeriodicCallback

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import (
    Call,
    CallAbandoned,
    CallFailed,
    CallReceived,
    CallReplied,
    ClockJumped,
    Effect,
    Input,
    Log,
    MessageReceived,
    Reply,
    Send,
    Tick,
    Write,
    WriteCompleted,
)
from zincvale.runtime import log_events
from zincvale.runtime.logs import log
from zincvale.runtime.pauses import PauseDetector
from zincvale.transport.peer import PeerCaller, PeerCallError

TICK_INTERVAL_MS = 50
"""Interval between two `Tick` inputs; a longer one delays every timeout of the machine."""
CLOCK_JUMP_GAP_S = 0.9
"""Longest gap between two readings of the clock that does not count as a freeze: half a member
lease."""
LOCAL_TOKEN_PREFIX = "local-"
"""Distinguishes the tokens of calls within the process from those of peers."""


class Machine(Protocol):
    """A state machine without I/O."""

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Apply one input and return the effects to execute."""
        ...


class Storage(Protocol):
    """Executes `Write` effects."""

    def write(self, key: str, version: int, content: bytes) -> str:
        """Make a version file durable; return an empty string or the error."""
        ...


class MachineDriver:
    """Passes inputs to one machine and executes its effects, in order, on the event loop's thread.

    Parameters
    ----------
    machine : the state machine.
    own_id : this process's member id, the sender of local calls.
    clock : the suspend-aware clock.
    storage : durable storage, or None for machines that write nothing.
    reply_to_peer : replies to a peer's call by token; returns whether the call was still pending.
    after_input : called after each batch of handled inputs, for readers of the machine's state.
    tick_interval_ms : time between two `Tick` inputs.
    """

    def __init__(
        self,
        machine: Machine,
        own_id: MemberId,
        clock: Callable[[], float],
        storage: Storage | None,
        reply_to_peer: Callable[[str, Any], bool],
        after_input: Callable[[], None],
        tick_interval_ms: float = TICK_INTERVAL_MS,
    ) -> None:
        self.machine = machine
        self.peers: PeerCaller | None = None
        self._own_id = own_id
        self._clock = clock
        self._storage = storage
        self._reply_to_peer = reply_to_peer
        self._after_input = after_input
        self._inputs: deque[Input] = deque()
        self._is_running = False
        self._last_input_at = clock()
        self._local_tokens = itertools.count(1)
        self._local_calls: dict[str, Future[Any]] = {}
        self._captured_sender: MemberId | None = None
        self._captured_messages: list[Any] = []
        self.pauses = PauseDetector(clock, lambda call: IOLoop.current().add_callback(call))
        self._ticker = PeriodicCallback(self._tick, tick_interval_ms)

    def start(self) -> None:
        """Start the periodic tick."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop the periodic tick."""
        self._ticker.stop()

    @property
    def last_ran_at(self) -> float:
        """Time of the last submitted input, at which the process was certainly running."""
        return self._last_input_at

    def submit(self, event: Input) -> None:
        """Pass one input to the machine and execute its effects before returning.

        When called from within an effect, the input is queued and handled after the current one.
        """
        self._detect_clock_jump()
        self._inputs.append(event)
        self._handle_queued_inputs()

    def submit_messages(self, sender: MemberId, messages: list[Any]) -> list[Any]:
        """Pass one-way messages to the machine; return the messages it sends back to `sender`."""
        if self._is_running:
            for message in messages:
                self._inputs.append(MessageReceived(sender, message))
            return []
        self._captured_sender = sender
        self._captured_messages = []
        try:
            for message in messages:
                self.submit(MessageReceived(sender, message))
            return self._captured_messages
        finally:
            self._captured_sender = None

    def submit_call(self, sender: MemberId, token: str, message: Any) -> None:
        """Pass a peer's call to the machine."""
        self.submit(CallReceived(sender, token, message))

    def abandon_call(self, token: str) -> None:
        """Inform the machine that the caller of `token` disconnected."""
        self.submit(CallAbandoned(token))

    async def call_local(self, message: Any) -> Any:
        """Call the machine from within this process and return its reply."""
        token = f"{LOCAL_TOKEN_PREFIX}{next(self._local_tokens)}"
        future: Future[Any] = Future()
        self._local_calls[token] = future
        self.submit(CallReceived(self._own_id, token, message))
        return await future

    def _tick(self) -> None:
        self.pauses.on_tick()
        self.submit(Tick())

    def _detect_clock_jump(self) -> None:
        """Queue `ClockJumped` ahead of the inputs that arrived during a freeze."""
        now = self._clock()
        gap = now - self._last_input_at
        self._last_input_at = now
        if gap > CLOCK_JUMP_GAP_S:
            log(log_events.CLOCK_JUMPED, gap_s=round(gap, 3))
            self._inputs.append(ClockJumped(gap))

    def _handle_queued_inputs(self) -> None:
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._inputs:
                self._handle_input(self._inputs.popleft())
        finally:
            self._is_running = False
        self._after_input()

    def _handle_input(self, event: Input) -> None:
        try:
            effects = self.machine.handle(event, self._clock())
        except Exception as error:  # noqa: BLE001
            # A defect in the machine must not end the process: the input is dropped, its caller
            # gets an empty reply, and the next inputs are handled.
            log(log_events.HANDLER_FAILED, input=type(event).__name__, error=repr(error))
            if isinstance(event, CallReceived):
                self._reply(event.token, None)
            return
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case Write(token, key, version, content):
                self._write(token, key, version, content)
            case Call():
                IOLoop.current().add_callback(self._call, effect)
            case Reply(token, message):
                self._reply(token, message)
            case Log(number, fields):
                log(number, **fields)

    def _send(self, to: MemberId, message: Any) -> None:
        if to == self._own_id:
            self._inputs.append(MessageReceived(to, message))
            return
        if to == self._captured_sender:
            self._captured_messages.append(message)
            return
        if self.peers is not None:
            self.peers.send(to, message)

    def _write(self, token: str, key: str, version: int, content: bytes) -> None:
        if self._storage is None:
            self._inputs.append(WriteCompleted(token, "this process has no data folder"))
            return
        self._inputs.append(WriteCompleted(token, self._storage.write(key, version, content)))

    async def _call(self, effect: Call) -> None:
        if self.peers is None:
            return
        try:
            reply = await self.peers.call(effect.to, effect.message, effect.timeout_s)
        except PeerCallError as error:
            self.submit(CallFailed(effect.token, str(error)))
            return
        self.submit(CallReplied(effect.token, reply))

    def _reply(self, token: str, message: Any) -> None:
        future = self._local_calls.pop(token, None)
        if future is None:
            self._reply_to_peer(token, message)
            return
        if not future.done():
            future.set_result(message)
