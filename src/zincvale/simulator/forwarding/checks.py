"""What must hold of forwarding, checked on the journal alone."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.simulator.forwarding.journal import CallerRecord, Ending, ForwardingJournal, Run
from zincvale.simulator.forwarding.servers import STREAM_EVENTS

PROMISES = frozenset({408, 421, 429, 503})
LATE_S = 0.05

Check = Callable[[ForwardingJournal], Iterator[str]]


def runs_of(journal: ForwardingJournal) -> dict[str, list[Run]]:
    """Return the runs by request."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        runs[run.request_id].append(run)
    return runs


def at_most_once(journal: ForwardingJournal) -> Iterator[str]:
    """A request that may not be repeated runs once at most."""
    for request_id, runs in runs_of(journal).items():
        if len(runs) > 1 and not journal.callers[request_id].may_repeat:
            yield f"{request_id} ran {len(runs)} times"


def refusals_are_promises(journal: ForwardingJournal) -> Iterator[str]:
    """What was refused did not run and never does; the caller learns when to retry."""
    runs = runs_of(journal)
    for caller in journal.callers.values():
        if caller.status not in PROMISES:
            continue
        if runs.get(caller.request_id) and not caller.may_repeat:
            yield f"{caller.request_id} was refused with {caller.status} and ran"
        if not caller.retry_after and caller.status == HTTPStatus.SERVICE_UNAVAILABLE:
            yield f"{caller.request_id} was refused without a time to come back"


def responses_are_complete(journal: ForwardingJournal) -> Iterator[str]:
    """A response that ends complete is the complete response of a run of this request."""
    runs = runs_of(journal)
    for caller in journal.callers.values():
        if (
            caller.ending is not Ending.COMPLETE
            or caller.status != HTTPStatus.OK
            or caller.is_stream
        ):
            continue
        if caller.body not in [run.body for run in runs.get(caller.request_id, [])]:
            yield f"{caller.request_id} got {caller.body!r}"


def streams_are_unbroken(journal: ForwardingJournal) -> Iterator[str]:
    """No event is missing or comes twice, and one that ends complete has its last event."""
    for caller in journal.callers.values():
        if not caller.is_stream or caller.status != HTTPStatus.OK:
            continue
        numbers = [line[4:] for line in caller.body.split(b"\n") if line.startswith(b"id: ")]
        if numbers != [str(each + 1).encode() for each in range(len(numbers))]:
            yield f"{caller.request_id} got events {numbers}"
        if caller.ending is Ending.COMPLETE and len(numbers) != STREAM_EVENTS:
            yield f"{caller.request_id} ended whole after {len(numbers)} events"


def attempts_are_bounded(journal: ForwardingJournal) -> Iterator[str]:
    """A request reaches no more servers than its route allows."""
    servers: dict[str, set[str]] = defaultdict(set)
    for arrival in journal.arrivals:
        if not arrival.misdirected:
            servers[arrival.request_id].add(arrival.incarnation)
    for request_id, reached in servers.items():
        if len(reached) > journal.callers[request_id].attempts:
            yield f"{request_id} reached {sorted(reached)}"


def ends_in_time(journal: ForwardingJournal) -> Iterator[str]:
    """Every request has its final response when its time is over."""
    for caller in journal.callers.values():
        if caller.ending is Ending.OPEN:
            yield f"{caller.request_id} never ended"
        elif caller.ended_at > caller.limit_at + LATE_S:
            yield f"{caller.request_id} ended {caller.ended_at - caller.limit_at:.2f} s late"


def nothing_goes_on_for_nobody(journal: ForwardingJournal) -> Iterator[str]:
    """Once a caller left, nothing is sent for it, and what runs for it is given up at once."""
    runs = runs_of(journal)
    for caller in journal.callers.values():
        if caller.ending is not Ending.LEFT:
            continue
        for run in runs.get(caller.request_id, []):
            ends = [at for at in (run.cancelled_at, run.responded_at) if at is not None]
            if run.at > caller.ended_at + LATE_S:
                yield f"{caller.request_id} began to run after its caller left"
            elif not ends or min(ends) > caller.ended_at + LATE_S:
                yield f"{caller.request_id} ran on at {run.incarnation} after its caller left"


def known_drains_hold(journal: ForwardingJournal) -> Iterator[str]:
    """A node sends nothing to a server that it knows to drain, or whose zone it knows closed."""
    for arrival in journal.arrivals:
        if arrival.node_knew_draining or arrival.node_knew_evacuated:
            yield f"{arrival.request_id} went to {arrival.server}"


def retries_within(terms: RetryConfig) -> Check:
    """Return the check of retries over all nodes, in sliding windows.

    Every arrival beyond a request's first counts, also one that its server turned away.
    """

    def check(journal: ForwardingJournal) -> Iterator[str]:
        seen: Counter[str] = Counter()
        repeats: list[float] = []
        for arrival in journal.arrivals:
            seen[arrival.request_id] += 1
            if seen[arrival.request_id] > 1:
                repeats.append(arrival.at)
        requested = [caller.requested_at for caller in journal.callers.values()]
        for start in repeats:
            end = start + terms.window_s
            count = sum(start <= at < end for at in repeats)
            windows = (start, start - terms.window_s, start - terms.window_s / 2)
            most = max(
                sum(at <= each < at + terms.window_s for each in requested) for at in windows
            )
            if count > terms.ratio * most + terms.slack:
                yield f"{count} second sends from {start:.2f} s on, for {most} requests"
                return

    return check


def slow_start_within(terms: SlowStartConfig, per_s: float) -> Check:
    """Return the check of what a server in slow start gets from all nodes, in any second."""

    def check(journal: ForwardingJournal) -> Iterator[str]:
        arrivals: dict[str, list[float]] = defaultdict(list)
        for arrival in journal.arrivals:
            if arrival.is_in_slow_start and not arrival.misdirected:
                arrivals[arrival.incarnation].append(arrival.at)
        for incarnation, times in arrivals.items():
            for start in times:
                count = sum(start <= at < start + 1.0 for at in times)
                if count > per_s * terms.factor + terms.slack:
                    yield f"{incarnation} got {count} in the second from {start:.2f} s on"
                    break

    return check


ORDINARY_CHECKS: dict[str, Check] = {
    "at-most-once": at_most_once,
    "refusals-are-promises": refusals_are_promises,
    "answers-are-whole": responses_are_complete,
    "streams-are-unbroken": streams_are_unbroken,
    "attempts-are-bounded": attempts_are_bounded,
    "ends-in-time": ends_in_time,
    "nothing-goes-on-for-nobody": nothing_goes_on_for_nobody,
    "known-drains-hold": known_drains_hold,
}


def first_problems(journal: ForwardingJournal, checks: Iterable[tuple[str, Check]]) -> list[str]:
    """Return the first thing that is wrong by each check."""
    found = []
    for name, check in checks:
        problem = next(check(journal), None)
        if problem is not None:
            found.append(f"{name}: {problem}")
    return found


def count_endings(callers: Iterable[CallerRecord]) -> Counter[str]:
    """Return how many requests ended with each status."""
    return Counter(f"{caller.status} {caller.ending.value}" for caller in callers)
