"""Misbehaviour of a back end that a rig switches on: the faults a router must tolerate.

Performs no I/O: the random source and the time are passed in.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from zincvale.model.checked import Checked

UNLIMITED = 0


class BehaviourKind(enum.Enum):
    """The kinds of misbehaviour of a back end."""

    DROP_RESPONSE = "drop-answer"
    """Run the request, then close the connection without a response."""
    LATE_RESPONSE = "late-answer"
    """Run the request, then delay the response by `delay_s`."""
    SWAPPED_RESPONSE = "crossed-answer"
    """Send the response of another request that finished at about the same time."""
    ERROR_AFTER_RUN = "error-after-run"
    """Run the request, then respond with status 500."""
    REFUSE = "refuse"
    """Refuse the request without running it."""
    STALL = "stall"
    """Accept the request, then neither respond nor close the connection."""
    CUT_STREAM = "cut-stream"
    """Close the connection after `after_tokens` tokens of a stream."""
    PAUSE_STREAM = "pause-stream"
    """Send nothing for `delay_s` after `after_tokens` tokens of a stream."""
    SKIP_CHUNK = "skip-piece"
    """Omit one chunk of a stream after `after_tokens` tokens."""
    REPEAT_CHUNK = "repeat-piece"
    """Send one chunk of a stream twice after `after_tokens` tokens."""
    SLOW = "slow"
    """Take `factor` times as long for all work."""
    DARK = "dark"
    """Accept connections but respond to no request, not even to `GET /status`."""


@dataclass
class Behaviour(Checked):
    """One behaviour that is switched on, and the requests to which it applies."""

    kind: BehaviourKind
    probability: float = 1.0
    seconds: float = 0.0
    """How long the behaviour lasts; 0 means until it is cleared."""
    count: int = UNLIMITED
    """The most requests to which the behaviour applies; 0 means no limit."""
    delay_s: float = 1.0
    after_tokens: int = 3
    factor: float = 4.0


class BehaviourTable:
    """The active behaviours of one back end.

    Parameters
    ----------
    random_source : decides to which requests a behaviour applies.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rows: list[_ActiveBehaviour] = []

    def add(self, behaviour: Behaviour, now: float) -> None:
        """Activate a behaviour from now on."""
        ends_at = now + behaviour.seconds if behaviour.seconds > 0 else float("inf")
        self._rows.append(_ActiveBehaviour(behaviour, ends_at, behaviour.count))

    def clear(self) -> None:
        """Remove every behaviour."""
        self._rows.clear()

    def active(self, now: float) -> list[Behaviour]:
        """Return the active behaviours."""
        self._rows = [row for row in self._rows if row.ends_at > now and not row.is_used_up()]
        return [row.behaviour for row in self._rows]

    def draw(self, kind: BehaviourKind, now: float) -> Behaviour | None:
        """Return the behaviour of `kind` for the current request, or None; counts its use."""
        for row in self._rows:
            if row.behaviour.kind is not kind or row.ends_at <= now or row.is_used_up():
                continue
            if self._random.random() >= row.behaviour.probability:
                continue
            row.remaining -= 1
            return row.behaviour
        return None

    def slow_factor(self, now: float) -> float:
        """Return the factor by which all work takes longer now; 1.0 is normal speed."""
        factor = 1.0
        for behaviour in self.active(now):
            if behaviour.kind is BehaviourKind.SLOW:
                factor *= behaviour.factor
        return factor


@dataclass
class _ActiveBehaviour:
    behaviour: Behaviour
    ends_at: float
    remaining: int

    def is_used_up(self) -> bool:
        return self.behaviour.count != UNLIMITED and self.remaining <= 0
