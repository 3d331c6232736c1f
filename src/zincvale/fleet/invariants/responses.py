"""Invariant 3: no caller gets another's response, nor a partial one that looks complete."""

from __future__ import annotations

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.rows import ResultReceived
from zincvale.model.outcomes import Outcome

NUMBER = 3
TITLE = "no caller gets another's answer, or a part that looks whole"


def check(evidence: Evidence) -> CheckResult:
    """Compare every response that looked complete with the text that its request must have."""
    result = CheckResult(NUMBER, TITLE)
    without_digest = 0
    for received in evidence.rows_of(ResultReceived):
        if not _looks_complete(received):
            continue
        result.facts += 1
        _check_identity(result, received)
        if received.expected_digest is None:
            without_digest += 1
        elif received.text_digest != received.expected_digest:
            result.add_breach(
                received.request_id,
                received.t,
                f"attempt {received.attempt} got text {received.text_digest}, "
                f"not {received.expected_digest}, in an answer that looked whole",
            )
    if without_digest:
        result.not_checked.append(f"{without_digest} answers came without an expected text")
    return result


def _looks_complete(received: ResultReceived) -> bool:
    return received.complete or received.outcome == Outcome.ANSWERED.value


def _check_identity(result: CheckResult, received: ResultReceived) -> None:
    response_id = received.answer_request_id
    if response_id is not None and response_id != received.request_id:
        result.add_breach(
            received.request_id,
            received.t,
            f"attempt {received.attempt} got the answer of {response_id}",
        )
