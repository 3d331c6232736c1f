"""Invariant 2: a refused request never ran and never runs.

The refusal of an attempt promises that the request id did not run, and will not run unless the
caller sends it again. So a run before the refusal, or after it without a newer attempt, is a
violation. The one exception is `in-progress`, which refuses only the duplicate attempt and promises
nothing about the first one.
"""

from __future__ import annotations

import math

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.rows import RequestRan, RequestSent, ResultReceived
from zincvale.model.outcomes import HTTP_STATUS_BY_REASON, Outcome, RefusalReason

NUMBER = 2
TITLE = "a refusal never ran and never runs"

DUPLICATE_STATUS = HTTP_STATUS_BY_REASON[RefusalReason.IN_PROGRESS]


def check(evidence: Evidence) -> CheckResult:
    """Check every refusal against the servers' runs of its request id."""
    result = CheckResult(NUMBER, TITLE)
    runs = _runs_by_request(evidence)
    sends = _send_times_by_request(evidence)
    duplicates = 0
    for refusal in evidence.rows_of(ResultReceived):
        if refusal.outcome != Outcome.REFUSED.value:
            continue
        if _refuses_only_a_duplicate(refusal):
            duplicates += 1
            continue
        result.facts += 1
        _check_refusal(result, refusal, runs, sends)
    if duplicates:
        result.not_checked.append(f"{duplicates} in-progress refusals speak of a duplicate only")
    return result


def _check_refusal(
    result: CheckResult,
    refusal: ResultReceived,
    runs: dict[str, list[RequestRan]],
    sends: dict[str, list[float]],
) -> None:
    resent_t = min(
        (t for t in sends.get(refusal.request_id, []) if t > refusal.t), default=math.inf
    )
    for run in runs.get(refusal.request_id, []):
        if run.t < resent_t:
            when = "before" if run.t <= refusal.t else "after"
            result.add_breach(
                refusal.request_id,
                run.t,
                f"ran on {run.server_id} {when} attempt {refusal.attempt} was refused "
                f"({refusal.reason or refusal.status}) at {refusal.t:.3f}",
            )
            return


def _refuses_only_a_duplicate(refusal: ResultReceived) -> bool:
    if refusal.reason:
        return refusal.reason == RefusalReason.IN_PROGRESS.value
    return refusal.status == DUPLICATE_STATUS


def _runs_by_request(evidence: Evidence) -> dict[str, list[RequestRan]]:
    runs: dict[str, list[RequestRan]] = {}
    for run in evidence.rows_of(RequestRan):
        runs.setdefault(run.request_id, []).append(run)
    return runs


def _send_times_by_request(evidence: Evidence) -> dict[str, list[float]]:
    sends: dict[str, list[float]] = {}
    for sent in evidence.rows_of(RequestSent):
        sends.setdefault(sent.request_id, []).append(sent.t)
    return sends
