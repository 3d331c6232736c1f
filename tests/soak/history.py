"""What a run did and saw, with times in seconds on the monotonic clock of the harness."""

from __future__ import annotations

import enum
from pathlib import Path
from typing import Any

import attrs
import orjson

from tests.soak.documents import Document


class Answer(enum.Enum):
    """How a call ended, as its caller saw it."""

    RAN = "ran"
    """A complete success that names the service that ran it."""
    NOT_FOUND = "not-found"
    REFUSED = "refused"
    """A promise that it did not run: 408, 421, 429 or 503."""
    FAILED = "failed"
    """Any other status."""
    CUT = "cut"
    """The connection ended before a complete answer."""
    UNSENT = "unsent"
    """No connection, or it closed before the request was written."""
    TIMED_OUT = "timed-out"


@attrs.define
class RequestRecord:
    """One request of a caller to one node."""

    request_id: str
    machine: str
    incarnation: int
    """How often the node had been started when the request was sent."""
    path: str
    kind: str
    sent_at: float
    ended_at: float = 0.0
    answer: Answer = Answer.UNSENT
    status: int = 0
    service: str = ""


@attrs.define
class ChangeRecord:
    """One change of the configuration and every answer to it."""

    name: str
    number: int
    base: int
    body: bytes
    is_patch: bool
    document: Document
    is_valid: bool
    first_sent_at: float
    acknowledged_at: list[float] = attrs.field(factory=list)
    refused_at: list[tuple[float, int]] = attrs.field(factory=list)
    """Times and statuses of definite refusals."""
    rival: str = ""
    """The change that was sent at the same time on the same base."""


@attrs.define
class ReadRecord:
    """One read of the configuration at one core."""

    machine: str
    sent_at: float
    ended_at: float
    number: int
    document: Document
    at_end: bool = False


@attrs.define
class EvacuationRecord:
    """One order to evacuate a zone, or to return it to service, and its attempts."""

    zone: str
    evacuated: bool
    first_sent_at: float
    acknowledged_at: float | None = None
    acknowledged_by: str = ""
    attempts: list[tuple[str, float, float, int]] = attrs.field(factory=list)
    """Core, start, end and status of each attempt; the status is 0 without an answer."""
    refused_with: list[int] = attrs.field(factory=list)


@attrs.frozen
class ServerRun:
    """A server began to run a request."""

    at: float
    request_id: str
    service: str
    zone: str = ""


@attrs.frozen
class ProcessEnd:
    """A process ended; `by_rig` if the harness sent the signal that explains its exit code."""

    at: float
    machine: str
    role: str
    exit_code: int
    by_rig: bool
    is_in_first_moment: bool = False
    """Whether SIGHUP ended it before the first statement of its program."""


@attrs.define
class MachineHistory:
    """What was done to one machine."""

    disturbances: list[float] = attrs.field(factory=list)
    """Times of signals, starts, freezes and thaws."""
    down: list[list[float]] = attrs.field(factory=list)
    """Intervals without power or frozen; the last may be open."""
    cut_off: list[list[float]] = attrs.field(factory=list)
    """Intervals without a connection to the machines outside of a cut; some may be open."""
    starts: dict[str, list[float]] = attrs.field(factory=dict)
    terminations: list[float] = attrs.field(factory=list)
    hangups: list[float] = attrs.field(factory=list)
    removed_at: float | None = None


@attrs.define
class History:
    """Everything that the checks need."""

    changes: list[ChangeRecord] = attrs.field(factory=list)
    reads: list[ReadRecord] = attrs.field(factory=list)
    evacuations: list[EvacuationRecord] = attrs.field(factory=list)
    requests: list[RequestRecord] = attrs.field(factory=list)
    runs: list[ServerRun] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    machines: dict[str, MachineHistory] = attrs.field(factory=dict)
    core_disturbances: list[float] = attrs.field(factory=list)
    core_machines: set[str] = attrs.field(factory=set)
    notes: list[dict[str, Any]] = attrs.field(factory=list)
    recovered_at: float | None = None
    """When the machines were back after the final fault."""
    final_read_number: int | None = None

    def machine(self, name: str) -> MachineHistory:
        """Return the history of a machine."""
        return self.machines.setdefault(name, MachineHistory())

    def ends_at(self) -> float:
        """Return when the last line of the run's log was recorded; minus infinity without one."""
        return max((note["at"] for note in self.notes), default=float("-inf"))

    def note(self, now: float, kind: str, **fields: Any) -> None:
        """Record one line of the run's log."""
        self.notes.append({"at": round(now, 3), "kind": kind, **fields})

    def disturbed(self, name: str, now: float, *, is_core: bool) -> None:
        """Record a signal, start, freeze or thaw of a machine."""
        self.machine(name).disturbances.append(now)
        if is_core:
            self.core_machines.add(name)
            self.core_disturbances.append(now)

    def started(self, name: str, role: str, now: float) -> None:
        """Record the start of a process."""
        self.machine(name).starts.setdefault(role, []).append(now)
        self.note(now, "start", machine=name, role=role)

    def terminated(self, name: str, now: float) -> None:
        """Record a SIGTERM of a machine."""
        self.machine(name).terminations.append(now)
        self.note(now, "sigterm", machine=name)

    def hung_up(self, name: str, now: float) -> None:
        """Record a SIGHUP of a machine."""
        self.machine(name).hangups.append(now)
        self.note(now, "sighup", machine=name)

    def down(self, name: str, now: float) -> None:
        """Record that a machine is frozen or has no power."""
        self.machine(name).down.append([now])
        self.note(now, "down", machine=name)

    def up(self, name: str, now: float) -> None:
        """Record that a machine runs again."""
        down = self.machine(name).down
        if down and len(down[-1]) == 1:
            down[-1].append(now)
        self.note(now, "up", machine=name)

    def removed(self, name: str, now: float) -> None:
        """Record that a machine left for good."""
        self.machine(name).removed_at = now
        self.note(now, "removed", machine=name)

    def write(self, path: Path) -> None:
        """Write the run's log, one JSON object a line, in the order of time."""
        rows = [*self.notes]
        rows += [
            {
                "at": round(change.first_sent_at, 3),
                "kind": "change",
                "name": change.name,
                "number": change.number,
                "base": change.base,
                "acknowledged": [round(at, 3) for at in change.acknowledged_at],
                "refused": change.refused_at,
                "valid": change.is_valid,
            }
            for change in self.changes
        ]
        rows += [
            {
                "at": round(order.first_sent_at, 3),
                "kind": "evacuation",
                "zone": order.zone,
                "evacuated": order.evacuated,
                "acknowledged": order.acknowledged_at,
                "by": order.acknowledged_by,
            }
            for order in self.evacuations
        ]
        rows.sort(key=lambda row: row["at"])
        path.write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))
