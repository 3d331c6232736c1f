"""Invariant 4: no stream skips, repeats or splices; no chat is lost mid-response.

A chat is lost when its caller received at least one chunk and gave up, and the response never
completed although the caller kept resuming it during the run. A stream refused before its first
chunk has ended: its caller starts again under a new id.
"""

from __future__ import annotations

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.rows import RequestSent, ResultReceived
from zincvale.model.outcomes import Outcome

NUMBER = 4
TITLE = "no stream skips, repeats or splices, and none is lost mid-answer"


def check(evidence: Evidence) -> CheckResult:
    """Check the chunks of every streamed attempt, and the end of every stream."""
    result = CheckResult(NUMBER, TITLE)
    streamed = {sent.request_id for sent in evidence.rows_of(RequestSent) if sent.stream}
    attempts: dict[str, list[ResultReceived]] = {}
    unnumbered = 0
    for received in evidence.rows_of(ResultReceived):
        if received.request_id not in streamed:
            continue
        result.facts += 1
        attempts.setdefault(received.request_id, []).append(received)
        _check_chunks(result, received)
        unnumbered += received.splices is None
    unfinished = sum(_check_end(result, received) for received in attempts.values())
    _list_unchecked(result, unnumbered, unfinished, len(streamed) - len(attempts))
    return result


def _check_chunks(result: CheckResult, received: ResultReceived) -> None:
    wrong = {
        "skipped": received.skips,
        "repeated": received.repeats,
        "not of this answer": received.splices,
        "ends before the whole": received.wrong_ends,
    }
    found = [f"{count} {what}" for what, count in wrong.items() if count]
    if found:
        result.add_breach(
            received.request_id, received.t, f"attempt {received.attempt}: {', '.join(found)}"
        )


def _check_end(result: CheckResult, attempts: list[ResultReceived]) -> int:
    """Check how a stream ended; return 1 when its caller had not given up when the run ended."""
    if any(received.complete for received in attempts):
        return 0
    last = attempts[-1]
    chunks = max(received.pieces_in_all for received in attempts)
    if not chunks and last.outcome == Outcome.REFUSED.value:
        return 0
    if not last.final:
        return 1
    if chunks:
        result.add_breach(
            last.request_id,
            last.t,
            f"lost after {chunks} pieces and {len(attempts)} attempts ({last.outcome})",
        )
    return 0


def _list_unchecked(
    result: CheckResult, unnumbered: int, unfinished: int, without_result: int
) -> None:
    if unnumbered:
        result.not_checked.append(f"{unnumbered} streamed attempts journal no piece check")
    if unfinished:
        result.not_checked.append(f"{unfinished} streams had not ended when the run did")
    if without_result:
        result.not_checked.append(f"{without_result} streams have no result at all")
