"""Faults as time intervals: which process was unresponsive, and when."""

from __future__ import annotations

import math
from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.rows import FaultBegan, FaultEnded

STOPPING_KINDS = frozenset({"kill", "restart", "power-loss", "disk-lost", "replace", "freeze"})
"""Kinds of faults during which the target process does not run."""


@attrs.frozen
class Outage:
    """One fault on one target, from `start` until `end` (infinite when it was never lifted)."""

    kind: str
    target: str
    start: float
    end: float
    args: dict[str, Any]

    def covers(self, t: float) -> bool:
        """Whether the fault was in force at time `t`."""
        return self.start <= t < self.end

    @property
    def duration_s(self) -> float:
        """How long the fault lasted."""
        return self.end - self.start


def outages(evidence: Evidence) -> list[Outage]:
    """Return every fault of the run, matched with its end by kind and target."""
    ends = list(evidence.rows_of(FaultEnded))
    found = []
    for began in evidence.rows_of(FaultBegan):
        end = _take_end(ends, began)
        found.append(Outage(began.kind, began.target, began.t, end, began.args))
    return found


def unresponsive_periods(evidence: Evidence) -> list[Outage]:
    """Return the faults that made a daemon unresponsive, as it was stopped or isolated."""
    found = []
    for outage in outages(evidence):
        if outage.kind in STOPPING_KINDS:
            found.append(outage)
        for member in outage.args.get("isolated", ()):
            found.append(attrs.evolve(outage, target=member))
    return found


def _take_end(ends: list[FaultEnded], began: FaultBegan) -> float:
    for index, ended in enumerate(ends):
        if ended.kind == began.kind and ended.target == began.target and ended.t >= began.t:
            del ends[index]
            return ended.t
    return math.inf
