"""Misbehaviour of a back end that a rig switches on: the cases a router must survive.

Pure: random.Random and time are passed in.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from zincvale.model.checked import Checked

UNLIMITED = 0


class BehaviourKind(enum.Enum):
    """What the back end does wrong."""

    DROP_RESPONSE = "drop-answer"
    """Run the request, then close the connection without a response."""
    LATE_RESPONSE = "late-answer"
    """Run the request, then delay the response by `delay_s`."""
    SWAPPED_RESPONSE = "crossed-answer"
    """Send the response of another request that finished at about the same time."""
    ERROR_AFTER_RUN = "error-after-run"
    """Run the request, then respond with status 500."""
    REFUSE = "refuse"
    """Refuse without running."""
    STALL = "stall"
    """Take the request and do nothing with it, not even close."""
    CUT_STREAM = "cut-stream"
    """Close the connection after `after_tokens` tokens of a stream."""
    PAUSE_STREAM = "pause-stream"
    """Send nothing for `delay_s` after `after_tokens` tokens of a stream."""
    SKIP_CHUNK = "skip-piece"
    """Leave one chunk out of a stream, after `after_tokens` tokens."""
    REPEAT_CHUNK = "repeat-piece"
    """Send one chunk of a stream twice, after `after_tokens` tokens."""
    SLOW = "slow"
    """Work `factor` times slower."""
    DARK = "dark"
    """Accept connections and respond to nothing, status included."""


@dataclass
class Behaviour(Checked):
    """One switched-on behaviour."""

    kind: BehaviourKind
    probability: float = 1.0
    seconds: float = 0.0
    """How long it lasts; 0 means until cleared."""
    count: int = UNLIMITED
    """How many requests it touches at most; 0 means any number."""
    delay_s: float = 1.0
    after_tokens: int = 3
    factor: float = 4.0


class BehaviourTable:
    """The active behaviours of one back end.

    Parameters
    ----------
    random_source : decides which requests are touched.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rows: list[_Row] = []

    def add(self, behaviour: Behaviour, now: float) -> None:
        """Activate a behaviour from now on."""
        ends_at = now + behaviour.seconds if behaviour.seconds > 0 else float("inf")
        self._rows.append(_Row(behaviour, ends_at, behaviour.count))

    def clear(self) -> None:
        """End every behaviour."""
        self._rows.clear()

    def active(self, now: float) -> list[Behaviour]:
        """Return the active behaviours."""
        self._rows = [row for row in self._rows if row.ends_at > now and not row.used_up()]
        return [row.behaviour for row in self._rows]

    def draw(self, kind: BehaviourKind, now: float) -> Behaviour | None:
        """Return the behaviour of `kind` if it touches the request at hand, and count it."""
        for row in self._rows:
            if row.behaviour.kind is not kind or row.ends_at <= now or row.used_up():
                continue
            if self._random.random() >= row.behaviour.probability:
                continue
            row.remaining -= 1
            return row.behaviour
        return None

    def slow_factor(self, now: float) -> float:
        """Return how many times slower everything runs now."""
        factor = 1.0
        for behaviour in self.active(now):
            if behaviour.kind is BehaviourKind.SLOW:
                factor *= behaviour.factor
        return factor


@dataclass
class _Row:
    behaviour: Behaviour
    ends_at: float
    remaining: int

    def used_up(self) -> bool:
        return self.behaviour.count != UNLIMITED and self.remaining <= 0
