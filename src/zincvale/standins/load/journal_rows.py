"""Journal rows of callers, about what they sent and received."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.standins.generation import text_digest
from zincvale.standins.journal import JournalWriter
from zincvale.standins.load.http_client import Attempt
from zincvale.standins.load.progress import RequestProgress


class CallerJournal:
    """Writes the journal rows of requests.

    Parameters
    ----------
    journal : the journal to which the rows are written.
    clock : seconds on `CLOCK_BOOTTIME`.
    """

    def __init__(self, journal: JournalWriter, clock: Callable[[], float]) -> None:
        self._journal = journal
        self._clock = clock

    def write_sent(self, progress: RequestProgress) -> None:
        """Write the row of an attempt that is about to be sent."""
        plan = progress.plan
        self._journal.write(
            "send",
            request_id=progress.request_id,
            attempt=progress.attempts,
            route=plan.route,
            caller=plan.caller.name,
            node=progress.last_node,
            model=plan.model or None,
            adapter=plan.adapter or None,
            prompt_digest=text_digest(plan.prompt),
            stream=plan.stream,
            at_most_once=plan.at_most_once,
            last_event_id=progress.check.last_event_id,
        )

    def write_result(self, progress: RequestProgress, attempt: Attempt, final: bool) -> None:
        """Write the row of the result of an attempt; `final` means that no attempt follows."""
        check = progress.check
        now = self._clock()
        first_ms = None
        if progress.first_at is not None:
            first_ms = round((progress.first_at - progress.started_at) * 1000, 3)
        self._journal.write(
            "result",
            request_id=progress.request_id,
            attempt=progress.attempts,
            route=progress.plan.route,
            caller=progress.plan.caller.name,
            node=attempt.node,
            at_most_once=progress.plan.at_most_once,
            status=attempt.status,
            outcome=attempt.result.outcome.value,
            reason=attempt.result.reason,
            retry_after_s=attempt.result.retry_after_s,
            answer_request_id=attempt.response_request_id or None,
            text_digest=check.digest(),
            expected_digest=check.expected_digest(),
            first_ms=first_ms,
            total_ms=round((now - progress.started_at) * 1000, 3),
            pieces=attempt.chunks,
            pieces_in_all=check.chunks,
            last_event_id=check.last_event_id,
            complete=attempt.is_complete,
            correct=check.is_correct(),
            skips=check.faults.skips,
            repeats=check.faults.repeats,
            splices=check.faults.splices,
            wrong_ends=check.faults.wrong_ends,
            final=final,
            error=attempt.error,
        )
