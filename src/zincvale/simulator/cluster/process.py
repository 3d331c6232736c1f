"""One simulated process: its state machine, clock and files, and its backlog while frozen."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from zincvale.model.machine import ClockJumped, Effect, Input, Tick
from zincvale.runtime.driver import CLOCK_JUMP_GAP_S
from zincvale.storage.version_files import VersionFiles

BACKLOG_LIMIT = 400
"""Number of inputs that socket buffers hold for a frozen process; further inputs are lost."""


class ProcessKind(enum.Enum):
    """Which daemon a process runs; the value is the prefix of its member name."""

    CORE = "core"
    NODE = "node"


class SimulatedMachine(Protocol):
    """A state machine that also resolves its peers' addresses."""

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Apply one input."""
        ...

    def address_of(self, member: Any) -> Any:
        """Return the peer address of a member, if known."""
        ...


@attrs.frozen
class MachineClock:
    """A machine's clock, with an arbitrary offset and a rate slightly above or below real time."""

    offset_s: float
    rate: float

    def local(self, true_now: float) -> float:
        """Return the reading of this clock at a virtual time."""
        return self.offset_s + true_now * self.rate


@attrs.define(eq=False)
class Process:
    """A running daemon.

    Attributes
    ----------
    run : number of this run, unique among all runs of all members.
    disk : identity of the disk that was found at the start, empty for nodes.
    last_clock_reading : local time of the last clock reading, as in `runtime.driver`.
    writes : queued writes, the first of which is in progress.
    backlog : inputs that arrived while the process was frozen, as handlers and their arguments.
    """

    member: str
    run: int
    kind: ProcessKind
    address: str
    machine: Any
    clock: MachineClock
    last_clock_reading: float
    files: VersionFiles | None = None
    disk: str = ""
    is_frozen: bool = False
    is_alive: bool = True
    writes: deque[Any] = attrs.field(factory=deque)
    backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = attrs.field(factory=list)

    def local(self, true_now: float) -> float:
        """Return the reading of this process's clock at a virtual time."""
        return self.clock.local(true_now)

    def check_clock(self, true_now: float) -> list[Input]:
        """Return `ClockJumped` if the clock advanced too far since the last reading."""
        now = self.local(true_now)
        gap = now - self.last_clock_reading
        self.last_clock_reading = now
        return [ClockJumped(gap)] if gap > CLOCK_JUMP_GAP_S else []

    def add_to_backlog(self, handler: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Queue an input until the process resumes; drop ticks, as missed timers fire once."""
        is_tick = any(isinstance(argument, Tick) for argument in arguments)
        if not is_tick and len(self.backlog) < BACKLOG_LIMIT:
            self.backlog.append((handler, arguments))
