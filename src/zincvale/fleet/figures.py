"""Figures of a run, computed from its journals: per second, per route and in total."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs
import numpy

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.outages import outages
from zincvale.fleet.invariants.rows import (
    RequestRan,
    RequestRefused,
    RequestSent,
    ResultReceived,
    ServerStarted,
    WeightsLoaded,
    WeightsUnloaded,
)
from zincvale.model.outcomes import Outcome

PERCENTILES = (50, 95, 99)
BIN_S = 1.0


@attrs.frozen
class Series:
    """Values over time; `x` is in seconds after the load began."""

    x: list[float]
    y: list[float]


@attrs.frozen
class FaultSpan:
    """A fault on the report's time axis; a fault that was never lifted ends with the run."""

    kind: str
    target: str
    start: float
    end: float


@attrs.frozen
class Figures:
    """The numbers and time series that the report shows in addition to the verdicts."""

    totals: dict[str, Any]
    routes: dict[str, dict[str, Any]]
    outcomes: dict[str, Series]
    first_ms: dict[str, Series]
    residency: dict[str, Series]
    faults: list[FaultSpan]
    duration_s: float


def figures_of(evidence: Evidence, started_t: float) -> Figures:
    """Return the figures of a run whose load began at `started_t`."""
    duration_s = max(BIN_S, evidence.end_t() - started_t)
    results = evidence.rows_of(ResultReceived)
    return Figures(
        totals=_totals(evidence),
        routes=_routes(results),
        outcomes=_outcomes(results, started_t, duration_s),
        first_ms=_first_ms(results, started_t, duration_s),
        residency=_residency(evidence, started_t, duration_s),
        faults=_faults(evidence, started_t, duration_s),
        duration_s=duration_s,
    )


def _totals(evidence: Evidence) -> dict[str, Any]:
    results = evidence.rows_of(ResultReceived)
    return {
        "requests": len({sent.request_id for sent in evidence.rows_of(RequestSent)}),
        "attempts": len(evidence.rows_of(RequestSent)),
        "outcomes": dict(Counter(row.outcome for row in results)),
        "refusal_reasons": dict(
            Counter(row.reason for row in results if row.outcome == Outcome.REFUSED.value)
        ),
        "runs_at_servers": len(evidence.rows_of(RequestRan)),
        "refusals_by_servers": len(evidence.rows_of(RequestRefused)),
        "loads": len(evidence.rows_of(WeightsLoaded)),
        "unloads": len(evidence.rows_of(WeightsUnloaded)),
    }


def _routes(results: list[ResultReceived]) -> dict[str, dict[str, Any]]:
    by_route: dict[str, list[ResultReceived]] = {}
    for row in results:
        by_route.setdefault(row.route, []).append(row)
    return {route: _route_figures(rows) for route, rows in sorted(by_route.items())}


def _route_figures(rows: list[ResultReceived]) -> dict[str, Any]:
    answered = [row for row in rows if row.outcome == Outcome.ANSWERED.value]
    ended = [row for row in rows if row.final]
    return {
        "attempts": len(rows),
        "ended_requests": len(ended),
        "answered_requests": len(answered),
        "outcomes": dict(Counter(row.outcome for row in rows)),
        "first_ms": percentiles([row.first_ms for row in answered if row.first_ms is not None]),
        "total_ms": percentiles([row.total_ms for row in answered if row.total_ms is not None]),
    }


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the percentiles of the values; an empty result for no values."""
    if not values:
        return {}
    found = numpy.percentile(values, PERCENTILES)
    return {
        f"p{rank}": round(float(value), 2) for rank, value in zip(PERCENTILES, found, strict=True)
    }


def _bins(duration_s: float) -> list[float]:
    return [index * BIN_S for index in range(int(duration_s / BIN_S) + 1)]


def _bin(t: float, started_t: float) -> int:
    return int((t - started_t) / BIN_S)


def _outcomes(
    results: list[ResultReceived], started_t: float, duration_s: float
) -> dict[str, Series]:
    x = _bins(duration_s)
    counts: dict[str, list[float]] = {}
    for row in results:
        index = _bin(row.t, started_t)
        if 0 <= index < len(x):
            counts.setdefault(row.outcome, [0.0] * len(x))[index] += 1
    return {outcome: Series(x, y) for outcome, y in sorted(counts.items())}


def _first_ms(
    results: list[ResultReceived], started_t: float, duration_s: float
) -> dict[str, Series]:
    x = _bins(duration_s)
    samples: dict[str, dict[int, list[float]]] = {}
    for row in results:
        if row.outcome == Outcome.ANSWERED.value and row.first_ms is not None:
            by_bin = samples.setdefault(row.route, {})
            by_bin.setdefault(_bin(row.t, started_t), []).append(row.first_ms)
    series = {}
    for route, by_bin in sorted(samples.items()):
        filled = [index for index in sorted(by_bin) if 0 <= index < len(x)]
        y = [float(numpy.percentile(by_bin[index], 99)) for index in filled]
        series[route] = Series([x[index] for index in filled], y)
    return series


def _residency(evidence: Evidence, started_t: float, duration_s: float) -> dict[str, Series]:
    """Return the number of loaded models and adapters of each server as a step function."""
    series: dict[str, Series] = {}
    loaded_by_server: dict[str, set[str]] = {}
    rows = sorted(
        [
            *evidence.rows_of(ServerStarted),
            *evidence.rows_of(WeightsLoaded),
            *evidence.rows_of(WeightsUnloaded),
        ],
        key=lambda row: row.t,
    )
    with_weights = {row.server_id for row in evidence.rows_of(WeightsLoaded)}
    for row in rows:
        server = row.server_id
        if server not in with_weights:
            continue
        names = loaded_by_server.setdefault(server, set())
        match row:
            case ServerStarted():
                names.clear()
            case WeightsLoaded(name=name):
                names.add(name)
            case WeightsUnloaded(name=name):
                names.discard(name)
        steps = series.setdefault(server, Series([], []))
        steps.x.append(max(0.0, row.t - started_t))
        steps.y.append(float(len(names)))
    for steps in series.values():
        steps.x.append(duration_s)
        steps.y.append(steps.y[-1])
    return dict(sorted(series.items()))


def _faults(evidence: Evidence, started_t: float, duration_s: float) -> list[FaultSpan]:
    spans = []
    for outage in outages(evidence):
        end = min(outage.end - started_t, duration_s)
        spans.append(FaultSpan(outage.kind, outage.target, outage.start - started_t, end))
    return spans
