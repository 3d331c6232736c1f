"""The retained traces of one member, in memory, within budgets of bytes and time.

There is one table for each class of policies, with the oldest trace first. Above the byte budget
traces of the baseline and other policies are evicted first, then slow traces, then errors.
Statistics over a class are unbiased back to its `complete_since`, the latest start time of a trace
that was evicted from it.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator

import attrs

from zincvale.model.identifiers import TraceId
from zincvale.tracing.collector.policies import ERROR_POLICY, SLOW_POLICY
from zincvale.tracing.retention.retained_trace import RetainedTrace

OTHER_CLASS = "other"
"""Class of every policy that `EVICTION_ORDER` does not name, such as the baseline."""
EVICTION_ORDER = (OTHER_CLASS, SLOW_POLICY, ERROR_POLICY)
DEFAULT_FIND_LIMIT = 100


@attrs.frozen
class TraceQuery:
    """Conditions of a search with `find`; empty fields match every trace.

    Attributes
    ----------
    since : start time in seconds since the epoch; older traces are left out.
    limit : maximum number of traces returned; the newest are returned.
    """

    name: str = ""
    route: str = ""
    server: str = ""
    outcome: str = ""
    policy: str = ""
    since: float = 0.0
    limit: int = DEFAULT_FIND_LIMIT

    def matches(self, trace: RetainedTrace) -> bool:
        """Return whether a retained trace matches every condition."""
        if self.name and trace.name != self.name:
            return False
        if self.route and trace.route != self.route:
            return False
        if self.server and self.server not in trace.servers:
            return False
        if self.outcome and trace.outcome != self.outcome:
            return False
        if self.policy and trace.policy != self.policy:
            return False
        return trace.start_wall_s >= self.since


@attrs.define(slots=True)
class RetainedTraceStore:
    """Table of retained traces with its indexes and budgets.

    Attributes
    ----------
    budget_bytes : maximum `size_bytes`, above which traces are evicted.
    retention_s : maximum time for which a trace is retained.
    evicted : number of traces evicted above the byte budget, by class.
    complete_since : latest start time of an evicted trace, by class, in seconds since the epoch.
    """

    budget_bytes: int
    retention_s: float
    size_bytes: int = 0
    evicted: Counter[str] = attrs.field(factory=Counter)
    complete_since: dict[str, float] = attrs.field(factory=dict)
    _rows_by_class: dict[str, OrderedDict[TraceId, RetainedTrace]] = attrs.field(
        factory=lambda: {name: OrderedDict() for name in EVICTION_ORDER}
    )
    _class_by_trace: dict[TraceId, str] = attrs.field(factory=dict)
    _traces_by_request: dict[str, list[TraceId]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._class_by_trace)

    def get(self, trace_id: TraceId) -> RetainedTrace | None:
        """Return a retained trace, or None."""
        name = self._class_by_trace.get(trace_id)
        return self._rows_by_class[name][trace_id] if name else None

    def by_request(self, request_id: str) -> list[RetainedTrace]:
        """Return the retained traces of a request's attempts, newest first."""
        found = [self.get(trace_id) for trace_id in self._traces_by_request.get(request_id, ())]
        traces = [trace for trace in found if trace is not None]
        return sorted(traces, key=lambda trace: trace.start_wall_s, reverse=True)

    def find(self, query: TraceQuery) -> list[RetainedTrace]:
        """Return the matching traces, newest first."""
        found = [trace for trace in self.rows() if query.matches(trace)]
        found.sort(key=lambda trace: trace.start_wall_s, reverse=True)
        return found[: query.limit]

    def rows(self) -> Iterator[RetainedTrace]:
        """Iterate over every retained trace."""
        for rows in self._rows_by_class.values():
            yield from rows.values()

    def errors(self) -> Iterator[RetainedTrace]:
        """Iterate over the ERROR traces, oldest first."""
        yield from self._rows_by_class[ERROR_POLICY].values()

    def put(self, trace: RetainedTrace) -> None:
        """Store a new trace, or one that `take_out` returned and the caller changed."""
        name = trace.policy if trace.policy in EVICTION_ORDER else OTHER_CLASS
        self._rows_by_class[name][trace.trace_id] = trace
        self._class_by_trace[trace.trace_id] = name
        if trace.request_id:
            self._traces_by_request.setdefault(trace.request_id, []).append(trace.trace_id)
        self.size_bytes += trace.size_bytes
        self._enforce_budget()

    def take_out(self, trace_id: TraceId) -> RetainedTrace | None:
        """Remove and return a trace; a trace may be changed only between this and `put`."""
        name = self._class_by_trace.pop(trace_id, None)
        if name is None:
            return None
        trace = self._rows_by_class[name].pop(trace_id)
        self._forget_request(trace)
        self.size_bytes -= trace.size_bytes
        return trace

    def expire(self, wall_now_s: float) -> None:
        """Remove traces whose retention time has passed."""
        for rows in self._rows_by_class.values():
            while rows:
                oldest = next(iter(rows.values()))
                if wall_now_s - oldest.retained_wall_s < self.retention_s:
                    break
                self.take_out(oldest.trace_id)

    def _forget_request(self, trace: RetainedTrace) -> None:
        traces = self._traces_by_request.get(trace.request_id)
        if traces is None:
            return
        traces.remove(trace.trace_id)
        if not traces:
            del self._traces_by_request[trace.request_id]

    def _enforce_budget(self) -> None:
        for name in EVICTION_ORDER:
            rows = self._rows_by_class[name]
            while self.size_bytes > self.budget_bytes and rows:
                oldest = next(iter(rows.values()))
                self.take_out(oldest.trace_id)
                self.evicted[name] += 1
                earlier = self.complete_since.get(name, 0.0)
                self.complete_since[name] = max(earlier, oldest.start_wall_s)
