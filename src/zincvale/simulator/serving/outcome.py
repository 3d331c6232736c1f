"""What a simulated day served, and which models and adapters were never served."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MIN_REQUESTS = 4
MIN_SPAN_S = 8.0
"""A model or adapter is asked for through the day if at least `MIN_REQUESTS` requests came for it
over at least this time."""
TOLERATED_ITEMS = 1
TOLERATED_FRACTION = 0.1
"""Of the items asked for through the day, this fraction, and `TOLERATED_ITEMS` more, may never be
served."""


@attrs.define(eq=False)
class ItemRecord:
    """The requests for one model without an adapter, or for one adapter.

    Attributes
    ----------
    asked_at : arrival of each request; retries of a caller do not count.
    served_at : when a server began to run each request that was served.
    """

    asked_at: list[float] = attrs.field(factory=list)
    served_at: list[float] = attrs.field(factory=list)

    def is_asked_through(self) -> bool:
        """Whether the item was asked for through the day."""
        if len(self.asked_at) < MIN_REQUESTS:
            return False
        return self.asked_at[-1] - self.asked_at[0] >= MIN_SPAN_S

    def longest_unserved_s(self) -> float:
        """Return the longest time from a request that began a wait to the next served request.

        A time without a served request at its end lasts until the last request for the item.
        """
        longest_s = 0.0
        waiting_since: float | None = None
        events = [(at, False) for at in self.asked_at] + [(at, True) for at in self.served_at]
        for at, is_served in sorted(events):
            if is_served:
                waiting_since = None
                continue
            if waiting_since is None:
                waiting_since = at
            longest_s = max(longest_s, at - waiting_since)
        return longest_s


@attrs.define(eq=False)
class DayOutcome:
    """The result of one simulated day.

    Attributes
    ----------
    items : by name, `MODEL` or `MODEL/ADAPTER`.
    requests, served, late : all requests, those served before their deadline, and those of them
        that began to run after their objective.
    loads : loads of models that the servers executed.
    orders : orders that the leaders sent.
    problems : orders beyond a server's room.
    unserved_lines : names of the items that a leader logged as not served, with its decision.
    """

    seed: int
    items: dict[str, ItemRecord] = attrs.field(factory=dict)
    requests: int = 0
    served: int = 0
    late: int = 0
    loads: int = 0
    orders: int = 0
    problems: list[str] = attrs.field(factory=list)
    unserved_lines: dict[str, list[str]] = attrs.field(factory=dict)

    def record_asked(self, name: str, at: float) -> None:
        """Record a caller's request."""
        self.requests += 1
        self.items.setdefault(name, ItemRecord()).asked_at.append(at)

    def record_served(self, name: str, at: float, *, is_late: bool) -> None:
        """Record that a request was served."""
        self.served += 1
        self.late += is_late
        self.items[name].served_at.append(at)

    def asked_through(self) -> list[str]:
        """Return the items that were asked for through the day."""
        return sorted(name for name, item in self.items.items() if item.is_asked_through())

    def never_served(self) -> list[str]:
        """Return the items that were asked for through the day and never served."""
        return [name for name in self.asked_through() if not self.items[name].served_at]

    def tolerated(self) -> int:
        """Return how many of the items asked for through the day may never be served."""
        return TOLERATED_ITEMS + int(TOLERATED_FRACTION * len(self.asked_through()))

    def decisions(self, name: str) -> list[str]:
        """Return what the leaders logged about an item that was not served."""
        return self.unserved_lines.get(name, ["no leader logged it"])

    def summary(self) -> str:
        """Return the figures of the day in one line."""
        name, longest_s = self.longest_unserved()
        return (
            f"{self.requests} requests, {self.served / max(self.requests, 1):.3f} served, "
            f"{self.late} of them late, {self.loads} loads, {self.orders} orders; "
            f"never served {len(self.never_served())} of {len(self.asked_through())} "
            f"asked for through the day ({self.tolerated()} tolerated); "
            f"longest unserved: {name}, {longest_s:.1f} s"
        )

    def longest_unserved(self) -> tuple[str, float]:
        """Return the item that was asked for and not served for longest, and how long."""
        waits: Iterable[tuple[float, str]] = (
            (item.longest_unserved_s(), name) for name, item in self.items.items()
        )
        longest_s, name = max(waits, default=(0.0, ""))
        return name, longest_s
