"""What must hold of a run's history: the rules of the configuration, and a few of the requests.

Bounds in seconds come from the settings that the processes got.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from tests.soak.documents import Document
from tests.soak.evacuation_checks import evacuation_problems, refused_orders
from tests.soak.history import Answer, ChangeRecord, History, RequestRecord
from tests.soak.in_touch import InTouch, Problem
from tests.soak.settings_file import (
    ACKNOWLEDGE_S,
    BACK_S,
    CONFIGURATION_S,
    CONTACT_S,
    GRACE_S,
    OUTER_S,
)

RECOVERY_S = 12.0
MIN_PROBES = 20
SLACK_AFTER_GRACE_S = 1.0
LATE_IN_GRACE_S = 3.0


@attrs.define
class Staleness:
    """How late machines handled requests by an older version, after an acknowledgement."""

    in_touch_s: float = 0.0
    undisturbed_s: float = 0.0
    """Of machines to which nothing was done for the contact time, whatever the core did."""
    any_s: float = 0.0


@attrs.define
class Verdict:
    """The result of all checks."""

    problems: list[Problem] = attrs.field(factory=list)
    staleness: Staleness = attrs.field(factory=Staleness)


def check(history: History) -> Verdict:
    """Return every broken rule."""
    verdict = Verdict()
    checker = _Checker(history)
    for request in history.requests:
        verdict.problems.extend(checker.check_request(request, verdict.staleness))
    verdict.problems.extend(checker.regressions())
    verdict.problems.extend(checker.change_problems())
    verdict.problems.extend(checker.late_acknowledgements())
    verdict.problems.extend(checker.read_problems())
    verdict.problems.extend(checker.request_problems())
    verdict.problems.extend(checker.own_ends())
    verdict.problems.extend(checker.recovery_problems())
    verdict.problems.extend(evacuation_problems(history, checker.in_touch))
    verdict.problems.extend(refused_orders(history))
    return verdict


class _Checker:
    def __init__(self, history: History) -> None:
        self._history = history
        self._valid = [change for change in history.changes if change.is_valid]
        self._acknowledged = sorted(
            (change for change in self._valid if change.acknowledged_at),
            key=lambda change: change.acknowledged_at[0],
        )
        self._taken = [
            change for change in self._valid if change.acknowledged_at or not change.refused_at
        ]
        self._taken.sort(key=lambda change: change.number)
        self.in_touch = InTouch(history)

    # --- configuration in force -----------------------------------------------------------

    def check_request(self, request: RequestRecord, staleness: Staleness) -> Iterator[Problem]:
        """Check that a request was handled by a version that may have been in force."""
        if request.answer not in (Answer.RAN, Answer.NOT_FOUND):
            return
        newest = self._newest_acknowledged(request.sent_at)
        if newest is None:
            return
        if self._is_allowed(request, newest.number):
            return
        if not any(_agrees(request, change.document) for change in self._taken):
            rule = "refused-in-force" if self._agrees_with_refused(request) else "no-version"
            yield Problem(rule, request.sent_at, self._describe(request))
            return
        lag_s = self._lag_s(request)
        staleness.any_s = max(staleness.any_s, lag_s)
        if not self.in_touch.is_undisturbed(request.machine, request.sent_at, request.ended_at):
            return
        staleness.undisturbed_s = max(staleness.undisturbed_s, lag_s)
        if self.in_touch.is_core_stable(request.sent_at, request.ended_at):
            staleness.in_touch_s = max(staleness.in_touch_s, lag_s)
            bound_s = CONFIGURATION_S
        else:
            bound_s = CONFIGURATION_S + OUTER_S
        if lag_s > bound_s:
            text = f"{self._describe(request)}: {lag_s:.3f} s after the acknowledgement"
            yield Problem("not-in-force", request.sent_at, text)

    def _newest_acknowledged(self, at: float) -> ChangeRecord | None:
        before = [change for change in self._acknowledged if change.acknowledged_at[0] <= at]
        return max(before, key=lambda change: change.number, default=None)

    def _is_allowed(self, request: RequestRecord, least_number: int) -> bool:
        return any(
            change.number >= least_number
            and change.first_sent_at <= request.ended_at
            and _agrees(request, change.document)
            for change in self._taken
        )

    def _lag_s(self, request: RequestRecord) -> float:
        """Return how long before the request the version was acknowledged that it contradicts."""
        acknowledged = sorted(self._acknowledged, key=lambda change: change.number)
        for change in acknowledged:
            if change.acknowledged_at[0] > request.sent_at:
                continue
            if not self._is_allowed(request, change.number):
                return request.sent_at - change.acknowledged_at[0]
        return 0.0

    def _agrees_with_refused(self, request: RequestRecord) -> bool:
        refused = [each for each in self._valid if each.refused_at and not each.acknowledged_at]
        return any(_agrees(request, change.document) for change in refused)

    def regressions(self) -> Iterator[Problem]:
        """Check that a run of a node never handles by an older version than it did before."""
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for request in sorted(self._history.requests, key=lambda each: each.ended_at):
            if request.answer is not Answer.RAN:
                continue
            key = (request.machine, request.incarnation)
            least = self._least_version(request)
            known = newest.get(key, (0, 0.0))
            if least > known[0]:
                newest[key] = (least, request.ended_at)
        for request in self._history.requests:
            if request.answer not in (Answer.RAN, Answer.NOT_FOUND):
                continue
            number, seen_at = newest.get((request.machine, request.incarnation), (0, 0.0))
            if request.sent_at <= seen_at + BACK_S or self._is_allowed(request, number):
                continue
            if any(_agrees(request, change.document) for change in self._taken):
                yield Problem("regressed", request.sent_at, self._describe(request))

    def _least_version(self, request: RequestRecord) -> int:
        agreeing = [change.number for change in self._taken if _agrees(request, change.document)]
        return min(agreeing, default=0)

    def _describe(self, request: RequestRecord) -> str:
        newest = self._newest_acknowledged(request.sent_at)
        return (
            f"{request.machine} (start {request.incarnation}) {request.answer.value} "
            f"{request.service} /{request.path}/ sent at {request.sent_at:.3f}, newest "
            f"acknowledged {newest.number if newest else 0}"
        )

    # --- changes and reads ----------------------------------------------------------------

    def change_problems(self) -> Iterator[Problem]:
        """Check what operators were told."""
        by_name = {change.name: change for change in self._history.changes}
        for change in self._history.changes:
            at = change.first_sent_at
            if not change.is_valid:
                if change.acknowledged_at:
                    yield Problem("invalid-acknowledged", at, change.name)
                continue
            rival = by_name.get(change.rival)
            if rival is not None and change.acknowledged_at and rival.acknowledged_at:
                yield Problem("both-acknowledged", at, f"{change.name} and {rival.name}")
            if change.acknowledged_at and change.refused_at:
                yield from self._refused_after_acknowledgement(change)

    def late_acknowledgements(self) -> Iterator[Problem]:
        """Check that a change is acknowledged in time while the core is stable and no link is cut.

        A change that has a rival, or was refused, is left out: it may have lost a race.
        """
        for change in self._valid:
            sent_at = change.first_sent_at
            due_at = sent_at + ACKNOWLEDGE_S
            if change.rival or change.refused_at or due_at > self._history.ends_at():
                continue
            if not self.in_touch.is_core_stable(sent_at, due_at) or self._is_any_link_cut(sent_at):
                continue
            if not any(at <= due_at for at in change.acknowledged_at):
                text = f"{change.name} ({change.number}) acknowledged at {change.acknowledged_at}"
                yield Problem("late-acknowledgement", sent_at, text)

    def _is_any_link_cut(self, sent_at: float) -> bool:
        """Whether a machine was cut off while a change that was sent at this time was due."""
        return any(
            start <= sent_at + ACKNOWLEDGE_S and (not end or end[0] >= sent_at - CONTACT_S)
            for machine in self._history.machines.values()
            for start, *end in machine.cut_off
        )

    def _refused_after_acknowledgement(self, change: ChangeRecord) -> Iterator[Problem]:
        for at, status in change.refused_at:
            later = [
                other
                for other in self._valid
                if other.number > change.number and other.first_sent_at < at
            ]
            if change.acknowledged_at[0] < at and not later:
                text = f"{change.name} ({change.number}) got {status}"
                yield Problem("acknowledged-refused", at, text)
            elif at < change.acknowledged_at[0]:
                text = f"{change.name} ({change.number}) got {status}, then 200"
                yield Problem("refused-acknowledged", at, text)

    def read_problems(self) -> Iterator[Problem]:
        """Check that reads are never older than what was acknowledged before they were sent."""
        documents = {change.number: [] for change in self._taken}
        for change in self._taken:
            documents[change.number].append(change.document.routes)
        for read in self._history.reads:
            newest = self._newest_acknowledged(read.sent_at)
            if newest is not None and read.number < newest.number:
                text = f"{read.machine} read {read.number}, {newest.number} was acknowledged"
                yield Problem("read-older", read.sent_at, text)
            if read.number and read.document.routes not in documents.get(read.number, []):
                yield Problem("read-differs", read.sent_at, f"{read.machine}: {read.number}")

    # --- requests -------------------------------------------------------------------------

    def request_problems(self) -> Iterator[Problem]:
        """Check runs: at most one each, none of a refused request, none lost by a stop."""
        runs = Counter(run.request_id for run in self._history.runs)
        run_at = {run.request_id: run.at for run in self._history.runs}
        for request in self._history.requests:
            count = runs[request.request_id]
            if count > 1:
                yield Problem("twice", request.sent_at, f"{request.request_id} ran {count} times")
            if request.answer is Answer.REFUSED and count:
                yield Problem("refused-ran", request.sent_at, self._describe(request))
            if request.answer is Answer.CUT and count:
                yield from self._lost(request, run_at[request.request_id])

    def _lost(self, request: RequestRecord, _run_at: float) -> Iterator[Problem]:
        """Report a request that a stopping machine passed on and then cut."""
        machine = self._history.machine(request.machine)
        for stopped_at in machine.terminations:
            in_grace = stopped_at <= request.ended_at <= stopped_at + GRACE_S + SLACK_AFTER_GRACE_S
            others = [
                at
                for at in machine.disturbances
                if request.sent_at - CONTACT_S <= at <= request.ended_at
                and at not in machine.terminations
            ]
            if in_grace and not others:
                text = f"{self._describe(request)}, SIGTERM at {stopped_at:.3f}"
                yield Problem("lost", request.ended_at, text)
                return

    # --- processes and the end ------------------------------------------------------------

    def own_ends(self) -> Iterator[Problem]:
        """Check that no process ended by itself."""
        for end in self._history.ends:
            if not end.by_rig:
                text = f"{end.role} of {end.machine} ended with {end.exit_code}"
                rule = "own-end-in-first-moment" if end.is_in_first_moment else "own-end"
                yield Problem(rule, end.at, text)

    def recovery_problems(self) -> Iterator[Problem]:
        """Check the read-back at the end, and that routes are served again."""
        recovered_at = self._history.recovered_at
        if recovered_at is None:
            return
        newest = self._newest_acknowledged(recovered_at)
        final = self._history.final_read_number
        if final is None:
            yield Problem("no-read-back", recovered_at, "the configuration did not come")
        elif newest is not None and final < newest.number:
            yield Problem("read-back-older", recovered_at, f"{final} after {newest.number}")
        late = [
            request
            for request in self._history.requests
            if request.sent_at > recovered_at + RECOVERY_S and request.kind == "lookup"
        ]
        ran = sum(request.answer is Answer.RAN for request in late)
        if len(late) >= MIN_PROBES and ran * 4 < len(late):
            yield Problem("not-recovered", recovered_at, f"{ran} of {len(late)} served")


def _agrees(request: RequestRecord, document: Document) -> bool:
    services = document.services(request.path)
    if request.answer is Answer.NOT_FOUND:
        return not services
    return request.service in services
