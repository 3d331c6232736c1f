"""Statistics of all traces, drawn from the retained ones by their weights.

A retained trace stands for `weight` traces: the inverse of its probability of being retained
(Horvitz-Thompson). Unweighted figures of retained traces say nothing of all: errors and slow
traces are retained far more often than others.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs


@attrs.frozen
class Estimate:
    """What the retained traces say of all traces.

    Attributes
    ----------
    kept : retained traces that carry a weight; the field names are JSON keys of the trace API.
    total : estimated number of all traces.
    errors : estimated number of those with an ERROR.
    mean_ms : estimated mean duration of the roots; 0.0 without any.
    """

    kept: int
    total: float
    errors: float
    mean_ms: float

    def to_json(self) -> dict[str, float]:
        """Return the estimate as the trace API shows it."""
        return attrs.asdict(self)


def estimate(summaries: Iterable[Mapping[str, Any]]) -> Estimate:
    """Return the estimate from `RetainedTrace.summary` rows; rows without a weight are left out."""
    kept = 0
    total = errors = timed = weighted_ms = 0.0
    for row in summaries:
        weight = row["weight"]
        if weight <= 0.0:
            continue
        kept += 1
        total += weight
        if row["error"]:
            errors += weight
        if row["duration_ms"] is not None:
            timed += weight
            weighted_ms += weight * row["duration_ms"]
    return Estimate(kept, total, errors, weighted_ms / timed if timed else 0.0)
