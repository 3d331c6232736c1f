"""The evidence of one run for the checks: typed journal rows and what the deployment promises."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import attrs

from zincvale.fleet.invariants.rows import Row, RunEnded

RowType = TypeVar("RowType", bound=Row)


@attrs.frozen
class RoutePromise:
    """The guarantees that one route gives its callers."""

    at_most_once: bool = False
    stream: bool = False


@attrs.frozen
class StoreLimit:
    """The transfer rate and the number of concurrent loads that one weight store allows."""

    bytes_per_second: int
    max_concurrent_loads: int


@attrs.frozen
class Expectations:
    """What the checks need to know of the deployment in addition to the journals.

    Attributes
    ----------
    routes : by route name and by route path, as callers may journal either.
    stores : the limits of each store, by store name and by address.
    seat_by_core : the voting seat of each core. A core that the cluster started with has a seat of
        its own name; a replacement has the seat of the core that it replaced.
    member_by_host : the daemon on each machine by the machine's IP address, to identify the
        sender of an order.
    zone_by_member : the zone of each daemon, to detect callers that still use an evacuated zone.
    """

    routes: dict[str, RoutePromise] = attrs.field(factory=dict)
    stores: dict[str, StoreLimit] = attrs.field(factory=dict)
    seat_by_core: dict[str, str] = attrs.field(factory=dict)
    member_by_host: dict[str, str] = attrs.field(factory=dict)
    zone_by_member: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Evidence:
    """The rows of all journals of one run, grouped by type and sorted by time."""

    expectations: Expectations
    _rows: dict[type[Row], list[Row]] = attrs.field(factory=dict)
    unreadable: list[str] = attrs.field(factory=list)
    """Journal lines that could not be read, each as `file:line: reason`."""

    def rows_of(self, row_type: type[RowType]) -> list[RowType]:
        """Return the rows of exactly this type, oldest first."""
        return self._rows.get(row_type, [])  # type: ignore[return-value]

    def end_t(self) -> float:
        """Return the time of the run's `run-end` row, or of its last row when there is none."""
        ended = self.rows_of(RunEnded)
        if ended:
            return ended[0].t
        return max((rows[-1].t for rows in self._rows.values() if rows), default=0.0)

    def start_t(self) -> float:
        """Return the time of the first row."""
        return min((rows[0].t for rows in self._rows.values() if rows), default=0.0)


def evidence_of(rows: Iterable[Row], expectations: Expectations | None = None) -> Evidence:
    """Return the evidence that consists of `rows`, which may be in any order."""
    by_type: dict[type[Row], list[Row]] = {}
    for row in rows:
        by_type.setdefault(type(row), []).append(row)
    for same_type in by_type.values():
        same_type.sort(key=lambda row: row.t)
    return Evidence(expectations or Expectations(), by_type)
