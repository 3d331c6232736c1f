"""Figures of a what-if run: outcomes and latencies of requests, counts of servers and stores."""

from __future__ import annotations

import math
from array import array
from collections import Counter
from typing import Any

import attrs
import numpy

from zincvale.standins.load.retry import AttemptOutcome, AttemptResult

PERCENTILES = (50, 95, 99)
ANSWERED = AttemptOutcome.ANSWERED.value
MILLISECONDS_PER_S = 1000.0
SHORTEST_INTERVAL_S = 1.0
"""Shortest interval of the series of a run."""
MAX_INTERVALS = 96
"""Largest number of intervals in the series of a run; longer loads have longer intervals."""
UNFINISHED = "unfinished"
"""Outcome of requests that were still open at the end of the run."""

Sample = array  # with elements of type double


def _sample() -> Sample:
    return array("d")


@attrs.define(eq=False)
class RequestStats:
    """Waits and server attempts of one request, as measured at the node."""

    load_wait_s: float = 0.0
    waited_for_load: bool = False
    queue_wait_s: float = 0.0
    server_attempts: int = 0


@attrs.define(eq=False)
class RequestRow:
    """One request as its caller measured it, in seconds.

    Attributes
    ----------
    at_s : start, since the start of the load.
    first_s, total_s : until the first byte and until the end, since the start of the request.
    """

    route: str
    at_s: float
    attempts: int = 0
    refusals: int = 0
    outcome: str = ""
    reason: str = ""
    first_s: float | None = None
    total_s: float = 0.0
    waited_for_load: bool = False
    load_wait_s: float = 0.0
    queue_wait_s: float = 0.0

    def add_node_stats(self, stats: RequestStats) -> None:
        """Add the waits of one attempt at its node."""
        self.waited_for_load |= stats.waited_for_load
        self.load_wait_s += stats.load_wait_s
        self.queue_wait_s += stats.queue_wait_s


@attrs.define(eq=False)
class RouteTable:
    """Counts and samples of the requests of one route; samples are in seconds."""

    offered: int = 0
    attempts: int = 0
    refused_attempts: int = 0
    waited_for_load: int = 0
    outcomes: Counter[str] = attrs.field(factory=Counter)
    refusal_reasons: Counter[str] = attrs.field(factory=Counter)
    load_wait_s: Sample = attrs.field(factory=_sample)
    queue_wait_s: Sample = attrs.field(factory=_sample)
    first_s: Sample = attrs.field(factory=_sample)
    total_s: Sample = attrs.field(factory=_sample)

    def add(self, row: RequestRow) -> None:
        """Add a completed request."""
        self.attempts += row.attempts
        self.outcomes[row.outcome] += 1
        self.waited_for_load += row.waited_for_load
        if row.load_wait_s > 0:
            self.load_wait_s.append(row.load_wait_s)
        if row.queue_wait_s > 0:
            self.queue_wait_s.append(row.queue_wait_s)
        if row.outcome != ANSWERED:
            return
        self.total_s.append(row.total_s)
        if row.first_s is not None:
            self.first_s.append(row.first_s)

    def figures(self) -> RouteFigures:
        """Return the figures of this route."""
        outcomes = dict(sorted(self.outcomes.items()))
        unfinished = self.offered - sum(outcomes.values())
        if unfinished:
            outcomes[UNFINISHED] = unfinished
        return RouteFigures(
            offered=self.offered,
            answered=self.outcomes[ANSWERED],
            attempts=self.attempts,
            outcomes=outcomes,
            refused_attempts=self.refused_attempts,
            refusal_reasons=dict(sorted(self.refusal_reasons.items())),
            waited_for_load=self.waited_for_load,
            load_wait_ms=percentiles(self.load_wait_s),
            queue_wait_ms=percentiles(self.queue_wait_s),
            first_ms=percentiles(self.first_s),
            total_ms=percentiles(self.total_s),
        )


@attrs.define(eq=False)
class IntervalTable:
    """Counts and samples of the requests that arrived in one interval of the load."""

    offered: int = 0
    answered: int = 0
    refused_attempts: int = 0
    waited_for_load: int = 0
    first_s: Sample = attrs.field(factory=_sample)

    def add(self, row: RequestRow) -> None:
        """Add a completed request."""
        self.answered += row.outcome == ANSWERED
        self.refused_attempts += row.refusals
        self.waited_for_load += row.waited_for_load
        if row.first_s is not None:
            self.first_s.append(row.first_s)


class FigureTable:
    """Aggregates the requests by route and by interval; single rows are not retained.

    Parameters
    ----------
    seconds : length of the load.
    """

    def __init__(self, seconds: float) -> None:
        self.interval_s = max(SHORTEST_INTERVAL_S, seconds / MAX_INTERVALS)
        self.routes: dict[str, RouteTable] = {}
        self._intervals = [IntervalTable() for _ in range(math.ceil(seconds / self.interval_s))]

    def count_offered(self, row: RequestRow) -> None:
        """Count a request that a caller starts."""
        self.routes.setdefault(row.route, RouteTable()).offered += 1
        self._interval(row).offered += 1

    def count_attempt_end(self, row: RequestRow, result: AttemptResult) -> None:
        """Count the end of one attempt."""
        if result.outcome is AttemptOutcome.REFUSED:
            row.refusals += 1
            route = self.routes[row.route]
            route.refused_attempts += 1
            route.refusal_reasons[result.reason] += 1

    def add_completed(self, row: RequestRow) -> None:
        """Add a completed request."""
        self.routes[row.route].add(row)
        self._interval(row).add(row)

    def route_figures(self) -> dict[str, RouteFigures]:
        """Return the figures by route."""
        return {name: table.figures() for name, table in sorted(self.routes.items())}

    def series(self) -> dict[str, list[float]]:
        """Return counts and latency per interval of the load in which requests arrived."""
        intervals = self._intervals
        return {
            "at_s": [index * self.interval_s for index in range(len(intervals))],
            "offered": [float(interval.offered) for interval in intervals],
            "answered": [float(interval.answered) for interval in intervals],
            "refused_attempts": [float(interval.refused_attempts) for interval in intervals],
            "waited_for_load": [float(interval.waited_for_load) for interval in intervals],
            "first_p99_ms": [
                percentiles(interval.first_s).get("p99", 0.0) for interval in intervals
            ],
        }

    def _interval(self, row: RequestRow) -> IntervalTable:
        index = min(len(self._intervals) - 1, int(row.at_s / self.interval_s))
        return self._intervals[index]


@attrs.frozen
class RouteFigures:
    """Figures of one route; times are milliseconds, waits only those of requests that waited."""

    offered: int
    answered: int
    attempts: int
    outcomes: dict[str, int]
    refused_attempts: int
    refusal_reasons: dict[str, int]
    waited_for_load: int
    load_wait_ms: dict[str, float]
    queue_wait_ms: dict[str, float]
    first_ms: dict[str, float]
    total_ms: dict[str, float]


@attrs.frozen
class MoveFigures:
    """Counts of what placement and the servers did."""

    loads: int
    unloads: int
    refused_orders: int
    pulled_bytes: int
    moves: dict[str, int]
    """Completed orders by action, kind of item and reason; failed ones also by outcome."""
    runs: int
    refusals_by_servers: int


@attrs.frozen
class RunFigures:
    """All figures of one run of a comparison."""

    routes: dict[str, RouteFigures]
    moves: MoveFigures
    servers: dict[str, dict[str, int]]
    virtual_s: float
    wall_s: float
    processor_s: float
    series: dict[str, list[float]]
    """Per interval of the load: offered, answered, refused attempts, p99 to the first byte."""
    interval_s: float

    @property
    def speed_up(self) -> float:
        """Virtual seconds per second of wall time."""
        return self.virtual_s / max(self.wall_s, 1e-9)

    def total(self, name: str) -> int:
        """Return the sum of a count over the routes."""
        return sum(getattr(route, name) for route in self.routes.values())

    def to_json(self) -> dict[str, Any]:
        """Return the figures as plain JSON."""
        return {**attrs.asdict(self), "speed_up": round(self.speed_up, 1)}


def percentiles(sample: Sample) -> dict[str, float]:
    """Return percentiles in milliseconds of a sample in seconds; {} for an empty one."""
    if not sample:
        return {}
    values = numpy.percentile(sample, PERCENTILES) * MILLISECONDS_PER_S
    return {
        f"p{rank}": round(float(value), 1) for rank, value in zip(PERCENTILES, values, strict=True)
    }
