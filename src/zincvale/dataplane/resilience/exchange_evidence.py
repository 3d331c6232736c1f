"""Applies the end of an exchange to what this node knows of its server."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.inference.routing_state import ServerState

AMPLE_TIME_FACTOR = 3.0
MIN_AMPLE_S = 0.5
"""A timeout counts as a failure when it came after more than AMPLE_TIME_FACTOR times the larger of
MIN_AMPLE_S and the server's usual latency. Lower values eject slow but healthy servers."""


class ExchangeEnd(enum.Enum):
    """How an exchange ended, from the server's point of view."""

    ANSWERED = "answered"
    OVERLOADED = "overloaded"
    COLD = "cold"
    RATE_LIMITED = "rate-limited"
    NOT_RESIDENT = "not-resident"
    REFUSED = "refused"
    NOT_CONNECTED = "not-connected"
    """There was no usable connection, so nothing was sent."""
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    """The deadline passed, which counts as a failure only when the server had ample time."""
    ABANDONED = "abandoned"
    """The caller ended the exchange, which says nothing about the server."""


@attrs.frozen
class ExchangeReport:
    """The end of one exchange.

    Attributes
    ----------
    work_tokens : the estimated work that was counted as outstanding.
    units : the work that was done (tokens, or 1 for a lookup); 0 when unknown.
    missing : the model or adapter that is not resident, as stated by the server.
    first_chunk_s : the time to a stream's first chunk; 0 for a complete response.
    """

    end: ExchangeEnd
    started_at: float
    ended_at: float
    work_tokens: int
    units: int = 0
    missing: tuple[str, ...] = ()
    first_chunk_s: float = 0.0

    @property
    def deadline_covered_s(self) -> float:
        """The part of the duration that the deadline covers; of a stream, until its first chunk."""
        return self.first_chunk_s or self.duration_s

    @property
    def duration_s(self) -> float:
        """How long the exchange occupied the server."""
        return max(0.0, self.ended_at - self.started_at)


class HealthChange(enum.Enum):
    """Whether an exchange ejected or readmitted its server."""

    NONE = "none"
    EJECTED = "ejected"
    READMITTED = "readmitted"


def record_dispatch(server: ServerState, work_tokens: int, now: float) -> None:
    """Count a request that is sent to `server` now."""
    server.outstanding += 1
    server.outstanding_tokens += work_tokens
    server.rate.take(now)
    server.failures.on_dispatched(now)


def record_exchange_end(server: ServerState, report: ExchangeReport) -> HealthChange:
    """Remove the request from the outstanding work and learn from how its exchange ended."""
    outstanding = server.outstanding
    server.outstanding = max(0, outstanding - 1)
    server.outstanding_tokens = max(0, server.outstanding_tokens - report.work_tokens)
    now = report.ended_at
    match report.end:
        case ExchangeEnd.ANSWERED:
            _learn_from_response(server, report, outstanding)
        case ExchangeEnd.NOT_CONNECTED:
            server.on_not_connected(now)
            return _record_failure(server, now)
        case ExchangeEnd.FAILED:
            return _record_failure(server, now)
        case ExchangeEnd.TIMED_OUT:
            if _had_ample_time(server, report):
                return _record_failure(server, now)
            return _record_inconclusive(server)
        case ExchangeEnd.ABANDONED:
            return _record_inconclusive(server)
        case (
            ExchangeEnd.OVERLOADED
            | ExchangeEnd.COLD
            | ExchangeEnd.RATE_LIMITED
            | ExchangeEnd.NOT_RESIDENT
            | ExchangeEnd.REFUSED
        ):
            _learn_from_refusal(server, report)
    return _record_success(server)


def _learn_from_response(server: ServerState, report: ExchangeReport, outstanding: int) -> None:
    server.on_latency(report.duration_s)
    server.rate.on_answered()
    unit_latency_s = report.duration_s / max(1, report.units)
    server.concurrency.on_answered(unit_latency_s, outstanding, report.ended_at)


def _learn_from_refusal(server: ServerState, report: ExchangeReport) -> None:
    now = report.ended_at
    match report.end:
        case ExchangeEnd.OVERLOADED:
            server.concurrency.on_overloaded(now)
            server.back_off(now)
        case ExchangeEnd.COLD:
            server.on_cold(now)
        case ExchangeEnd.RATE_LIMITED:
            server.rate.on_refused(now)
        case ExchangeEnd.NOT_RESIDENT:
            for name in report.missing:
                server.mark_absent(name, now)


def _had_ample_time(server: ServerState, report: ExchangeReport) -> bool:
    return report.duration_s > AMPLE_TIME_FACTOR * max(MIN_AMPLE_S, server.latency_s)


def _record_inconclusive(server: ServerState) -> HealthChange:
    server.failures.on_inconclusive()
    return HealthChange.NONE


def _record_failure(server: ServerState, now: float) -> HealthChange:
    return HealthChange.EJECTED if server.failures.on_failure(now) else HealthChange.NONE


def _record_success(server: ServerState) -> HealthChange:
    """Record a success. A refusal counts as one too, since it proves that the server is alive."""
    return HealthChange.READMITTED if server.failures.on_success() else HealthChange.NONE
