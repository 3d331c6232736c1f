"""The stand-in's engine, executing only those steps that can change something.

While every running request only decodes and none is queued, all steps are equal until a request
ends. These are counted, not executed; the resulting state is the same, except for rounding of
times.
"""

from __future__ import annotations

import math

import attrs

from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.language_model.engine import Engine, Finished, TokenEmitted, _Step

STEP_TOLERANCE = 1e-6
"""Rounding error of summed step lengths that is tolerated, as a fraction of a step."""
DUE_TOLERANCE_S = 1e-9
"""A step that ends at most this many seconds from now counts as ended."""


@attrs.frozen
class TimedEvent:
    """An event of the engine and its time."""

    at: float
    event: TokenEmitted | Finished


class StepSkippingEngine(Engine):
    """An `Engine` that counts a series of equal steps at once.

    Attributes
    ----------
    report_at_tokens : by run, the number of tokens at which the run has to emit an event, even if
        the steps before it are skipped.
    """

    def __init__(self, profile: LanguageModelProfile) -> None:
        super().__init__(profile)
        self.report_at_tokens: dict[str, int] = {}

    def generated(self, run_id: str) -> int:
        """Return how many tokens a run has, its prefix included; 0 for an unknown run."""
        request = self._running.get(run_id)
        if request is not None:
            return request.generation.generated
        for waiting in self._queued:
            if waiting.run_id == run_id:
                return waiting.generation.generated
        return 0

    def advance_to(self, now: float) -> list[TimedEvent]:
        """Complete every due step and return its events; tokens of skipped steps have none."""
        timed_events: list[TimedEvent] = []
        while self._step is not None and self._step.ends_at <= now + DUE_TOLERANCE_S:
            has_skipped = self._skip_equal_steps(now)
            if has_skipped:
                continue
            ends_at = self._step.ends_at
            for event in self.advance(ends_at):
                timed_events.append(TimedEvent(ends_at, event))
        return timed_events

    def next_change_at(self) -> float | None:
        """Return when the next step that can't be skipped ends; None while nothing runs."""
        step = self._step
        if step is None:
            return None
        if not self._only_decodes(step):
            return step.ends_at
        return step.ends_at + (self._steps_to_next_change() - 1) * self._step_s(len(step.decoding))

    def _skip_equal_steps(self, now: float) -> bool:
        step = self._step
        if step is None or not self._only_decodes(step):
            return False
        step_s = self._step_s(len(step.decoding))
        ended = math.floor((now - step.ends_at) / step_s + STEP_TOLERANCE) + 1
        count = min(ended, self._steps_to_next_change() - 1)
        if count < 2:
            return False
        for request in self._running.values():
            request.generation.generated += count
        self._step = attrs.evolve(step, ends_at=step.ends_at + count * step_s)
        return True

    def _only_decodes(self, step: _Step) -> bool:
        """Whether the step decodes for every running request and none is queued or was added."""
        if step.prefilled or self._queued or len(step.decoding) != len(self._running):
            return False
        return all(request.prefill_left == 0 for request in self._running.values())

    def _step_s(self, batch: int) -> float:
        return self._decode_s(batch) * self.slow_factor

    def _steps_to_next_change(self) -> int:
        """Return the steps until a request ends or reaches its entry in `report_at_tokens`."""
        fewest = math.inf
        for run_id, request in self._running.items():
            generation = request.generation
            tokens_left = generation.length - generation.generated
            until_report = self.report_at_tokens.get(run_id, 0) - generation.generated
            fewest = min(fewest, until_report if 0 < until_report < tokens_left else tokens_left)
        return max(1, int(fewest))
