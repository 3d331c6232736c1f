"""When a drain is done: every node was told, and the server then stayed idle.

A server's running count is as old as its last probe. A drain counts as done only after the count
was zero for longer than the time between two probes, all of it after the drain was in force, so
that a request sent in the last moment before cannot be overlooked.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.model.identifiers import ServerId
from zincvale.model.view import Directory, Intent, ServerHealth, ServerRow

IDLE_S = 2.5
"""More than a probe's interval, its timeout and the publication of its result."""


@attrs.define
class _Drain:
    """One server out of service.

    Attributes
    ----------
    told : whether every live node has held the drain at some moment since it was declared.
    idle_since : since when the server runs nothing after that, or None.
    """

    told: bool = False
    idle_since: float | None = None


class DrainProgress:
    """Table of the servers that the intent keeps out of service."""

    def __init__(self) -> None:
        self._drains: dict[ServerId, _Drain] = {}

    def update(
        self, intent: Intent, directory: Directory, nodes_lag: Callable[[], bool], now: float
    ) -> None:
        """Take note of the present state.

        Parameters
        ----------
        nodes_lag : tells whether a live node holds an older intent; asked only when it matters.
        """
        out = {row.server: row for row in _out_of_service(intent, directory)}
        for server in [known for known in self._drains if known not in out]:
            del self._drains[server]
        all_told = bool(out) and not nodes_lag()
        for server, row in out.items():
            drain = self._drains.setdefault(server, _Drain())
            drain.told = drain.told or all_told
            if not drain.told or runs_requests(row):
                drain.idle_since = None
            elif drain.idle_since is None:
                drain.idle_since = now

    def told(self, server: ServerId) -> bool:
        """Whether every live node knows that the server is out of service."""
        drain = self._drains.get(server)
        return drain is not None and drain.told

    def done(self, server: ServerId, now: float) -> bool:
        """Whether the server gets nothing and runs nothing any more."""
        drain = self._drains.get(server)
        return (
            drain is not None and drain.idle_since is not None and now - drain.idle_since >= IDLE_S
        )


def runs_requests(row: ServerRow) -> bool:
    """Whether the server may be running requests, by its last probe."""
    return row.running > 0 and row.health is not ServerHealth.DOWN


def _out_of_service(intent: Intent, directory: Directory) -> list[ServerRow]:
    drained = {server for server, spec in intent.servers.items() if spec.drained}
    evacuated = {zone for zone, spec in intent.zones.items() if spec.evacuated}
    if not drained and not evacuated:
        return []
    return [
        row for row in directory.servers.values() if row.server in drained or row.zone in evacuated
    ]
