"""Statistics of all traces, estimated from the retained ones by their weights.

A retained trace represents `weight` traces: the inverse of its probability of being retained
(Horvitz-Thompson estimator). Unweighted statistics of the retained traces would be biased, because
errors and slow traces are retained far more often than others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs


@attrs.frozen
class Estimate:
    """Estimated statistics of all traces.

    Attributes
    ----------
    kept : number of retained traces with a weight; the field names are JSON keys of the trace API.
    total : estimated number of all traces.
    errors : estimated number of traces with an ERROR.
    mean_ms : estimated mean duration of the root spans; 0.0 when none has a duration.
    """

    kept: int
    total: float
    errors: float
    mean_ms: float

    def to_json(self) -> dict[str, float]:
        """Return the estimate as the trace API returns it."""
        return attrs.asdict(self)


def estimate(summaries: Iterable[Mapping[str, Any]]) -> Estimate:
    """Return the estimate from `RetainedTrace.summary` rows; rows without a weight are left out."""
    kept = 0
    total = errors = timed_weight = weighted_ms = 0.0
    for row in summaries:
        weight = row["weight"]
        if weight <= 0.0:
            continue
        kept += 1
        total += weight
        if row["error"]:
            errors += weight
        if row["duration_ms"] is not None:
            timed_weight += weight
            weighted_ms += weight * row["duration_ms"]
    return Estimate(kept, total, errors, weighted_ms / timed_weight if timed_weight else 0.0)
