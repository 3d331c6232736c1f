"""The simulation loop: runs the state machines of all processes in virtual time.

Executes the effects that `runtime.driver`, `transport` and `storage` execute for a real daemon:
messages, calls with their replies and timeouts, writes to version files, ticks and the detection of
clock jumps.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from zincvale.model.identifiers import RAW_ADDRESS_PREFIX, MemberId
from zincvale.model.machine import (
    Call,
    CallAbandoned,
    CallFailed,
    CallReceived,
    CallReplied,
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
from zincvale.runtime.driver import LOCAL_TOKEN_PREFIX, TICK_INTERVAL_MS
from zincvale.simulator.cluster.network import Network
from zincvale.simulator.cluster.process import Process
from zincvale.transport.codec import decode_message, encode_message

TICK_INTERVAL_S = TICK_INTERVAL_MS / 1000
"""Interval between two ticks of a process."""
CONNECT_TIMEOUT_S = 1.0
"""Timeout of a connection attempt over a blocked link."""
CONNECTION_REFUSED_DELAY_S = 0.001
"""Delay after which a connection to a process that does not run is refused."""
WRITE_DURATION_RANGE_S = (0.0005, 0.008)
"""Shortest and longest duration of a synced write to disk."""
PEER_TOKEN_PREFIX = "peer-"
"""Prefix of the tokens under which a callee receives calls from other processes."""


class Observer(Protocol):
    """Is notified of what processes do; raises an exception when an invariant is violated."""

    def after_input(self, process: Process) -> None:
        """Called after a process handled an input."""
        ...

    def on_resumed(self, process: Process) -> None:
        """Called when a frozen process resumes, before it handles any input."""
        ...

    def on_log(self, process: Process, entry: Log) -> None:
        """Called when a process emits a log event."""
        ...


@attrs.define(eq=False)
class _OpenCall:
    """A call between two processes that has neither been answered nor failed."""

    caller: Process
    caller_token: str
    callee: Process
    callee_token: str


class Simulation:
    """Runs processes in virtual time and executes their effects in order."""

    def __init__(self, random_source: random.Random, network: Network, uses_codec: bool) -> None:
        self.now = 0.0
        self.random = random_source
        self.network = network
        self.processes: dict[str, Process] = {}
        self.observer: Observer | None = None
        self.steps = 0
        self._uses_codec = uses_codec
        self._events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._event_numbers = itertools.count(1)
        self._tokens = itertools.count(1)
        self._run_numbers = itertools.count(1)
        self._calls: dict[tuple[int, str], _OpenCall] = {}
        self._calls_by_caller: dict[tuple[int, str], _OpenCall] = {}
        self._local_calls: dict[tuple[int, str], Callable[[Any], None]] = {}
        self._process_by_address: dict[str, Process] = {}

    # --- time -----------------------------------------------------------------------------

    def schedule(self, at: float, action: Callable[..., object], *arguments: Any) -> None:
        """Schedule `action` at a virtual time, which is independent of the processes' clocks."""
        heapq.heappush(self._events, (at, next(self._event_numbers), action, arguments))

    def run_until(self, end: float, condition: Callable[[], bool] = lambda: False) -> bool:
        """Run until time `end` or until the condition holds; return whether it holds."""
        while not condition():
            if not self._events or self._events[0][0] > end:
                self.now = max(self.now, end)
                return condition()
            at, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, at)
            self.steps += 1
            action(*arguments)
        return True

    # --- processes ------------------------------------------------------------------------

    def next_run_number(self) -> int:
        """Return a unique number for a new run of a process."""
        return next(self._run_numbers)

    def add(self, process: Process) -> None:
        """Add a process and schedule its ticks."""
        self.processes[process.member] = process
        self._process_by_address[process.address] = process
        self.schedule(self.now + TICK_INTERVAL_S * self.random.random(), self._tick, process)

    def remove(self, process: Process) -> None:
        """Remove a process: its connections break, its timers and pending writes are dropped."""
        process.is_alive = False
        if self.processes.get(process.member) is process:
            del self.processes[process.member]
        if self._process_by_address.get(process.address) is process:
            del self._process_by_address[process.address]
        for call in list(self._calls.values()):
            if call.callee is process:
                self._drop_call(call)
                self._deliver_once(process, call.caller, CallFailed(call.caller_token, "reset"))
            elif call.caller is process:
                self._drop_call(call)
                self._deliver_once(process, call.callee, CallAbandoned(call.callee_token))

    def freeze(self, process: Process) -> None:
        """Suspend a process; inputs that arrive for it are queued in its backlog."""
        process.is_frozen = True

    def resume(self, process: Process) -> None:
        """Resume a frozen process: first a tick, so that it reads its clock, then the backlog."""
        if not process.is_frozen or not process.is_alive:
            return
        process.is_frozen = False
        if self.observer is not None:
            self.observer.on_resumed(process)
        backlog, process.backlog = process.backlog, []
        self.feed(process, Tick())
        for handler, arguments in backlog:
            handler(*arguments)

    # --- inputs ---------------------------------------------------------------------------

    def feed(self, process: Process, event: Input, source: Process | None = None) -> None:
        """Deliver an input to a process now, preceded by `ClockJumped` if its clock jumped."""
        if not process.is_alive:
            return
        if process.is_frozen:
            process.add_to_backlog(self.feed, (process, event, source))
            return
        inputs = deque([*process.check_clock(self.now), event])
        while inputs and process.is_alive:
            self._handle(process, inputs.popleft(), source, inputs)

    def call_local(self, process: Process, message: Any, on_reply: Callable[[Any], None]) -> None:
        """Call a process locally, as its own HTTP API does."""
        token = f"{LOCAL_TOKEN_PREFIX}{next(self._tokens)}"
        self._local_calls[(process.run, token)] = on_reply
        self.feed(process, CallReceived(MemberId(process.member), token, message))

    def _tick(self, process: Process) -> None:
        if not process.is_alive:
            return
        self.schedule(self.now + TICK_INTERVAL_S, self._tick, process)
        self.feed(process, Tick())

    def _handle(
        self, process: Process, event: Input, source: Process | None, inputs: deque[Input]
    ) -> None:
        for effect in process.machine.handle(event, process.local(self.now)):
            self._execute(process, effect, source, inputs)
        if self.observer is not None:
            self.observer.after_input(process)

    def _execute(
        self, process: Process, effect: Effect, source: Process | None, inputs: deque[Input]
    ) -> None:
        match effect:
            case Send(to, message) if to == process.member:
                inputs.append(MessageReceived(to, message))
            case Send(to, message):
                self._send(process, to, message, source)
            case Write():
                self._enqueue_write(process, effect)
            case Call():
                self._call(process, effect)
            case Reply(token, message):
                self._reply(process, token, message)
            case Log() if self.observer is not None:
                self.observer.on_log(process, effect)

    # --- messages -------------------------------------------------------------------------

    def resolve(self, process: Process, to: str) -> Process | None:
        """Return the process at the address that `process` has for member `to`, if one listens."""
        if to.startswith(RAW_ADDRESS_PREFIX):
            return self._process_by_address.get(to.removeprefix(RAW_ADDRESS_PREFIX))
        address = process.machine.address_of(MemberId(to))
        return self._process_by_address.get(address) if address is not None else None

    def _send(self, process: Process, to: str, message: Any, source: Process | None) -> None:
        if source is not None and source.member == to and source.is_alive:
            # The response uses the connection over which the message arrived.
            target: Process | None = source
        else:
            target = self.resolve(process, to)
        if target is None:
            return
        event = MessageReceived(MemberId(process.member), self._through_codec(message))
        for delay_s in self.network.delivery_delays(process.member, target.member):
            self.schedule(self.now + delay_s, self.feed, target, event, process)

    def _through_codec(self, message: Any) -> Any:
        if not self._uses_codec:
            return message
        return decode_message(message.MESSAGE_NAME, encode_message(message))

    def _deliver_once(self, sender: Process, receiver: Process, event: Input) -> None:
        """Deliver an event of a connection at most once; the link may lose it."""
        for delay_s in self.network.delivery_delays(sender.member, receiver.member)[:1]:
            self.schedule(self.now + delay_s, self.feed, receiver, event)

    def _call(self, process: Process, effect: Call) -> None:
        target = self.resolve(process, effect.to)
        if target is None:
            failed = CallFailed(effect.token, "no connection")
            self.schedule(self.now + CONNECTION_REFUSED_DELAY_S, self.feed, process, failed)
            return
        if self._is_unreachable(process, target):
            wait_s = min(effect.timeout_s, CONNECT_TIMEOUT_S)
            failed = CallFailed(effect.token, "connect timeout")
            self.schedule(self.now + wait_s, self.feed, process, failed)
            return
        call = _OpenCall(process, effect.token, target, f"{PEER_TOKEN_PREFIX}{next(self._tokens)}")
        self._calls[(target.run, call.callee_token)] = call
        self._calls_by_caller[(process.run, effect.token)] = call
        message = self._through_codec(effect.message)
        received = CallReceived(MemberId(process.member), call.callee_token, message)
        self._deliver_once(process, target, received)
        self.schedule(self.now + effect.timeout_s, self._time_out, call)

    def _is_unreachable(self, caller: Process, callee: Process) -> bool:
        """Whether no connection can be established, since one direction is blocked."""
        is_blocked = self.network.is_blocked
        return is_blocked(caller.member, callee.member) or is_blocked(callee.member, caller.member)

    def _time_out(self, call: _OpenCall) -> None:
        if self._calls_by_caller.get((call.caller.run, call.caller_token)) is not call:
            return
        self._drop_call(call)
        self.feed(call.caller, CallFailed(call.caller_token, "timeout"))
        self._deliver_once(call.caller, call.callee, CallAbandoned(call.callee_token))

    def _drop_call(self, call: _OpenCall) -> None:
        self._calls.pop((call.callee.run, call.callee_token), None)
        self._calls_by_caller.pop((call.caller.run, call.caller_token), None)

    def _reply(self, process: Process, token: str, message: Any) -> None:
        on_reply = self._local_calls.pop((process.run, token), None)
        if on_reply is not None:
            on_reply(message)
            return
        call = self._calls.pop((process.run, token), None)
        if call is None or not call.caller.is_alive:
            return
        delays = self.network.delivery_delays(process.member, call.caller.member)[:1]
        for delay_s in delays:
            self.schedule(
                self.now + delay_s, self._complete_call, call, self._through_codec(message)
            )

    def _complete_call(self, call: _OpenCall, message: Any) -> None:
        key = (call.caller.run, call.caller_token)
        if self._calls_by_caller.get(key) is not call:
            return
        del self._calls_by_caller[key]
        self.feed(call.caller, CallReplied(call.caller_token, message))

    # --- writes ---------------------------------------------------------------------------

    def _enqueue_write(self, process: Process, write: Write) -> None:
        """Queue a write; writes take time and run in sequence, so a crash can interrupt them."""
        process.writes.append(write)
        if len(process.writes) == 1:
            self._schedule_write(process)

    def _schedule_write(self, process: Process) -> None:
        shortest, longest = WRITE_DURATION_RANGE_S
        duration_s = shortest + (longest - shortest) * self.random.random()
        self.schedule(self.now + duration_s, self._finish_write, process)

    def _finish_write(self, process: Process) -> None:
        if not process.is_alive or not process.writes:
            return
        if process.is_frozen:
            process.add_to_backlog(self._finish_write, (process,))
            return
        write = process.writes.popleft()
        if process.files is None:
            error = "this process has no data folder"
        else:
            error = process.files.write(write.key, write.version, write.content)
        if process.writes:
            self._schedule_write(process)
        self.feed(process, WriteCompleted(write.token, error))
