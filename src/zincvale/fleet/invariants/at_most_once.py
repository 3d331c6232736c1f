"""Invariant 1: an at-most-once request never runs twice."""

from __future__ import annotations

from zincvale.fleet.invariants.evidence import Evidence, RoutePromise
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.rows import RequestRan, RequestSent

NUMBER = 1
TITLE = "an at-most-once request never runs twice"


def check(evidence: Evidence) -> CheckResult:
    """Count the runs of every request on at-most-once routes, over all servers."""
    result = CheckResult(NUMBER, TITLE)
    route_by_request = {sent.request_id: sent.route for sent in evidence.rows_of(RequestSent)}
    runs_by_request: dict[str, list[RequestRan]] = {}
    without_caller = 0
    for run in evidence.rows_of(RequestRan):
        route = route_by_request.get(run.request_id)
        if route is None:
            without_caller += 1
        elif evidence.expectations.routes.get(route, RoutePromise()).at_most_once:
            runs_by_request.setdefault(run.request_id, []).append(run)
    result.facts = len(runs_by_request)
    for request_id, runs in runs_by_request.items():
        if len(runs) > 1:
            where = ", ".join(f"{run.server_id} at {run.t:.3f}" for run in runs)
            result.add_breach(request_id, runs[1].t, f"ran {len(runs)} times: {where}")
    _list_unchecked(evidence, result, route_by_request, without_caller)
    return result


def _list_unchecked(
    evidence: Evidence, result: CheckResult, route_by_request: dict[str, str], without_caller: int
) -> None:
    if without_caller:
        result.not_checked.append(f"{without_caller} runs carry a request id that no caller sent")
    unknown = set(route_by_request.values()) - set(evidence.expectations.routes)
    for route in sorted(unknown):
        result.not_checked.append(f"route {route!r} is not in the deployment's intent")
