"""Summary of the requests of callers, which is written at the end of a run."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from zincvale.standins.load.http_client import Attempt
from zincvale.standins.load.request_plan import Plan
from zincvale.standins.load.response_check import ResponseCheck, StreamFaults
from zincvale.standins.load.retry import AttemptOutcome

LOWEST_US = 1
HIGHEST_US = 600_000_000
"""Ten minutes. The histogram silently drops longer times, so no deadline may be longer."""
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


class _LatencyHistogram:
    """A histogram of durations, recorded in microseconds and reported in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        self._histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def to_json(self) -> dict[str, float]:
        figures = {
            f"p{percentile}": self._histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in PERCENTILES
        }
        return {"count": self._histogram.get_total_count(), **figures}


class CallerFigures:
    """Counts and latencies of the requests of one caller."""

    def __init__(self) -> None:
        self._offered = 0
        self._attempts: Counter[str] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._reasons: Counter[str] = Counter()
        self._faults = StreamFaults()
        self._wrong_responses = 0
        self._swapped_responses = 0
        self._lost_mid_response = 0
        self._chunks = 0
        self._first = _LatencyHistogram()
        self._total = _LatencyHistogram()
        self._gap = _LatencyHistogram()

    def record_request(self) -> None:
        """Count a request that was started."""
        self._offered += 1

    def record_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that has ended, with its chunks, gaps and refusal reason."""
        self._attempts[attempt.result.outcome.value] += 1
        self._chunks += attempt.chunks
        if attempt.result.reason:
            self._reasons[attempt.result.reason] += 1
        for gap_s in attempt.gaps_s:
            self._gap.add(gap_s)
        response_id = attempt.response_request_id
        if response_id and response_id != attempt.request_id:
            self._swapped_responses += 1

    def record_outcome(
        self, plan: Plan, outcome: str, check: ResponseCheck, first_s: float | None, total_s: float
    ) -> None:
        """Count the outcome, faults and latencies of a request that has ended."""
        self._outcomes[outcome] += 1
        self._faults.skips += check.faults.skips
        self._faults.repeats += check.faults.repeats
        self._faults.splices += check.faults.splices
        self._faults.wrong_ends += check.faults.wrong_ends
        if outcome == AttemptOutcome.ANSWERED.value:
            self._total.add(total_s)
            if first_s is not None:
                self._first.add(first_s)
            if not check.is_correct():
                self._wrong_responses += 1
        elif plan.stream and check.chunks and outcome != AttemptOutcome.HUNG_UP.value:
            self._lost_mid_response += 1

    def to_json(self) -> dict[str, Any]:
        """Return the figures as JSON; times are in milliseconds."""
        return {
            "offered": self._offered,
            "unfinished": self._offered - sum(self._outcomes.values()),
            "outcomes": dict(self._outcomes),
            "attempts": dict(self._attempts),
            "reasons": dict(self._reasons),
            "pieces": self._chunks,
            "wrong_answers": self._wrong_responses,
            "crossed_answers": self._swapped_responses,
            "lost_mid_answer": self._lost_mid_response,
            "skips": self._faults.skips,
            "repeats": self._faults.repeats,
            "splices": self._faults.splices,
            "wrong_ends": self._faults.wrong_ends,
            "first_ms": self._first.to_json(),
            "total_ms": self._total.to_json(),
            "gap_ms": self._gap.to_json(),
        }


class Summary:
    """Figures of all callers, by name."""

    def __init__(self) -> None:
        self._figures: dict[str, CallerFigures] = {}

    def caller(self, name: str) -> CallerFigures:
        """Return the figures of a caller, which are created on first use."""
        return self._figures.setdefault(name, CallerFigures())

    def to_json(self) -> dict[str, Any]:
        """Return the figures of all callers as JSON, sorted by name."""
        return {name: self._figures[name].to_json() for name in sorted(self._figures)}
