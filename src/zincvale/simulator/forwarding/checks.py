"""Checks of the properties that forwarding must have, based on the journal alone."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.simulator.forwarding.journal import CallerRecord, Ending, ForwardingJournal, Run
from zincvale.simulator.forwarding.servers import STREAM_EVENTS

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which promise that the request did not run and never will."""
TIME_TOLERANCE_S = 0.05
"""Allowed delay after the deadline or the disconnection of a caller."""

Check = Callable[[ForwardingJournal], Iterator[str]]
"""Yields a description of each violation in a journal."""


def runs_of(journal: ForwardingJournal) -> dict[str, list[Run]]:
    """Return the runs at servers by request id."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        runs[run.request_id].append(run)
    return runs


def requests_run_at_most_once(journal: ForwardingJournal) -> Iterator[str]:
    """A request that may not be repeated runs at most once."""
    for request_id, runs in runs_of(journal).items():
        if len(runs) > 1 and not journal.callers[request_id].may_repeat:
            yield f"{request_id} ran {len(runs)} times"


def refused_requests_never_run(journal: ForwardingJournal) -> Iterator[str]:
    """A refused request never runs, and a 503 response tells the caller when to retry."""
    runs = runs_of(journal)
    for caller in journal.callers.values():
        if caller.status not in REFUSAL_STATUSES:
            continue
        if runs.get(caller.request_id) and not caller.may_repeat:
            yield f"{caller.request_id} was refused with {caller.status} and ran"
        if not caller.retry_after and caller.status == HTTPStatus.SERVICE_UNAVAILABLE:
            yield f"{caller.request_id} was refused without a Retry-After header"


def responses_are_complete(journal: ForwardingJournal) -> Iterator[str]:
    """A response that ends normally is the complete response of a run of the same request."""
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


def streams_are_complete(journal: ForwardingJournal) -> Iterator[str]:
    """No event of a stream is missing or duplicated; a complete stream includes its last event."""
    for caller in journal.callers.values():
        if not caller.is_stream or caller.status != HTTPStatus.OK:
            continue
        numbers = [line[4:] for line in caller.body.split(b"\n") if line.startswith(b"id: ")]
        if numbers != [str(each + 1).encode() for each in range(len(numbers))]:
            yield f"{caller.request_id} got events {numbers}"
        if caller.ending is Ending.COMPLETE and len(numbers) != STREAM_EVENTS:
            yield f"{caller.request_id} ended normally after {len(numbers)} events"


def attempts_are_bounded(journal: ForwardingJournal) -> Iterator[str]:
    """A request reaches at most as many servers as its route allows attempts."""
    servers: dict[str, set[str]] = defaultdict(set)
    for arrival in journal.arrivals:
        if not arrival.is_misdirected:
            servers[arrival.request_id].add(arrival.incarnation)
    for request_id, reached in servers.items():
        if len(reached) > journal.callers[request_id].max_attempts:
            yield f"{request_id} reached {sorted(reached)}"


def requests_end_in_time(journal: ForwardingJournal) -> Iterator[str]:
    """Every request ends by its deadline."""
    for caller in journal.callers.values():
        if caller.ending is Ending.OPEN:
            yield f"{caller.request_id} never ended"
        elif caller.ended_at > caller.deadline_at + TIME_TOLERANCE_S:
            yield f"{caller.request_id} ended {caller.ended_at - caller.deadline_at:.2f} s late"


def abandoned_requests_stop(journal: ForwardingJournal) -> Iterator[str]:
    """After its caller disconnected, a request does not start to run, and a run is cancelled."""
    runs = runs_of(journal)
    for caller in journal.callers.values():
        if caller.ending is not Ending.DISCONNECTED:
            continue
        for run in runs.get(caller.request_id, []):
            ends = [at for at in (run.cancelled_at, run.responded_at) if at is not None]
            if run.at > caller.ended_at + TIME_TOLERANCE_S:
                yield f"{caller.request_id} began to run after its caller left"
            elif not ends or min(ends) > caller.ended_at + TIME_TOLERANCE_S:
                yield f"{caller.request_id} kept running at {run.incarnation} after its caller left"


def known_drains_are_respected(journal: ForwardingJournal) -> Iterator[str]:
    """A node sends no request to a server that it knows to be draining or in an evacuated zone."""
    for arrival in journal.arrivals:
        if arrival.node_knew_draining or arrival.node_knew_evacuated:
            yield f"{arrival.request_id} went to {arrival.server}"


def retries_are_bounded(config: RetryConfig) -> Check:
    """Return a check that retries of all nodes together stay within the budget in sliding windows.

    Every arrival of a request after its first counts, even if the server refused it.
    """

    def check(journal: ForwardingJournal) -> Iterator[str]:
        arrival_counts: Counter[str] = Counter()
        retry_times: list[float] = []
        for arrival in journal.arrivals:
            arrival_counts[arrival.request_id] += 1
            if arrival_counts[arrival.request_id] > 1:
                retry_times.append(arrival.at)
        request_times = [caller.requested_at for caller in journal.callers.values()]
        for start in retry_times:
            end = start + config.window_s
            count = sum(start <= at < end for at in retry_times)
            windows = (start, start - config.window_s, start - config.window_s / 2)
            max_requests = max(
                sum(at <= each < at + config.window_s for each in request_times) for at in windows
            )
            if count > config.ratio * max_requests + config.slack:
                yield f"{count} retries from {start:.2f} s on, for {max_requests} requests"
                return

    return check


def slow_start_is_bounded(config: SlowStartConfig, per_s: float) -> Check:
    """Return a check of the requests that a server in slow start gets from all nodes per second."""

    def check(journal: ForwardingJournal) -> Iterator[str]:
        arrivals: dict[str, list[float]] = defaultdict(list)
        for arrival in journal.arrivals:
            if arrival.is_in_slow_start and not arrival.is_misdirected:
                arrivals[arrival.incarnation].append(arrival.at)
        for incarnation, times in arrivals.items():
            for start in times:
                count = sum(start <= at < start + 1.0 for at in times)
                if count > per_s * config.factor + config.slack:
                    yield f"{incarnation} got {count} in the second from {start:.2f} s on"
                    break

    return check


CHECKS_WITHOUT_CONFIG: dict[str, Check] = {
    "at-most-once": requests_run_at_most_once,
    "refusals-are-promises": refused_requests_never_run,
    "answers-are-whole": responses_are_complete,
    "streams-are-unbroken": streams_are_complete,
    "attempts-are-bounded": attempts_are_bounded,
    "ends-in-time": requests_end_in_time,
    "nothing-goes-on-for-nobody": abandoned_requests_stop,
    "known-drains-hold": known_drains_are_respected,
}
"""Checks that depend on the journal only, by their names in reports."""


def first_problems(journal: ForwardingJournal, checks: Iterable[tuple[str, Check]]) -> list[str]:
    """Return the first violation that each check finds."""
    problems = []
    for name, check in checks:
        problem = next(check(journal), None)
        if problem is not None:
            problems.append(f"{name}: {problem}")
    return problems


def count_endings(callers: Iterable[CallerRecord]) -> Counter[str]:
    """Return the number of requests by final status and kind of ending."""
    return Counter(f"{caller.status} {caller.ending.value}" for caller in callers)
