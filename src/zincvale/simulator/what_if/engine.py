"""The stand-in's engine, run step by step only where a step can change something.

While every running request only decodes and none waits, steps are alike until the first request
ends. Those are counted, not executed: the state afterwards is the same, to rounding of times.
"""

from __future__ import annotations

import math

import attrs

from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.language_model.engine import Engine, Finished, TokenEmitted, _Step

ROUNDING = 1e-6
"""Part of a step that sums of step lengths may be off."""
EARLY_S = 1e-9


@attrs.frozen
class EngineMoment:
    """What came out of the engine at one time."""

    at: float
    event: TokenEmitted | Finished


class StepSkippingEngine(Engine):
    """An `Engine` whose equal steps are counted in one go.

    Attributes
    ----------
    marks : token numbers at which a run is to be looked at, by run.
    """

    def __init__(self, profile: LanguageModelProfile) -> None:
        super().__init__(profile)
        self.marks: dict[str, int] = {}

    def generated(self, run_id: str) -> int:
        """Return how many tokens a run has, its prefix included; 0 when it is not here."""
        request = self._running.get(run_id)
        if request is not None:
            return request.generation.generated
        for waiting in self._queued:
            if waiting.run_id == run_id:
                return waiting.generation.generated
        return 0

    def advance_to(self, now: float) -> list[EngineMoment]:
        """End every step that is due; tokens between a first and a last one are left out."""
        moments: list[EngineMoment] = []
        while self._step is not None and self._step.ends_at <= now + EARLY_S:
            has_skipped = self._skip_equal_steps(now)
            if has_skipped:
                continue
            ends_at = self._step.ends_at
            for event in self.advance(ends_at):
                moments.append(EngineMoment(ends_at, event))
        return moments

    def next_change_at(self) -> float | None:
        """Return when a first token is due or a request ends; None while nothing runs."""
        step = self._step
        if step is None:
            return None
        if not self._is_plain(step):
            return step.ends_at
        return step.ends_at + (self._steps_to_next_change() - 1) * self._step_s(len(step.decoding))

    def _skip_equal_steps(self, now: float) -> bool:
        step = self._step
        if step is None or not self._is_plain(step):
            return False
        step_s = self._step_s(len(step.decoding))
        ended = math.floor((now - step.ends_at) / step_s + ROUNDING) + 1
        count = min(ended, self._steps_to_next_change() - 1)
        if count < 2:
            return False
        for request in self._running.values():
            request.generation.generated += count
        self._step = attrs.evolve(step, ends_at=step.ends_at + count * step_s)
        return True

    def _is_plain(self, step: _Step) -> bool:
        """Whether exactly the running requests decode, and none waits or came meanwhile."""
        if step.prefilled or self._queued or len(step.decoding) != len(self._running):
            return False
        return all(request.prefill_left == 0 for request in self._running.values())

    def _step_s(self, batch: int) -> float:
        return self._decode_s(batch) * self.slow_factor

    def _steps_to_next_change(self) -> int:
        """Return the steps until some request ends or reaches its mark."""
        fewest = math.inf
        for run_id, request in self._running.items():
            generation = request.generation
            left = generation.length - generation.generated
            mark = self.marks.get(run_id, 0) - generation.generated
            fewest = min(fewest, mark if 0 < mark < left else left)
        return max(1, int(fewest))
