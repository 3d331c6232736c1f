"""When a drain is done: every node applied it, and the server then stayed idle.

A server's running count is as old as its last probe. A drain counts as done only after the count
was zero for longer than the time between two probes, all of it after the drain was in force, so
that a request sent in the last moment before cannot be overlooked.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.model.control_tables import Directory, Intent, ServerHealth, ServerRow
from zincvale.model.identifiers import ServerId

IDLE_S = 2.5
"""How long a server must stay idle: more than a probe's interval, its time-out and the publication
of its result. With less, a request sent just before the drain was in force may be overlooked."""


@attrs.define
class _Drain:
    """One server out of service.

    Attributes
    ----------
    is_applied : whether every live node had applied the drain at some moment since it was declared.
    idle_since : since when the server runs nothing after that, or None.
    """

    is_applied: bool = False
    idle_since: float | None = None


class DrainProgress:
    """Table of the servers that the intent keeps out of service."""

    def __init__(self) -> None:
        self._drains: dict[ServerId, _Drain] = {}

    def update(
        self,
        intent: Intent,
        directory: Directory,
        has_lagging_nodes: Callable[[], bool],
        now: float,
    ) -> None:
        """Follow the present intent and directory.

        Parameters
        ----------
        has_lagging_nodes : whether a live node applied only an older intent; called only when a
            server is out of service.
        """
        out = {row.server: row for row in _out_of_service(intent, directory)}
        for server in [known for known in self._drains if known not in out]:
            del self._drains[server]
        all_applied = bool(out) and not has_lagging_nodes()
        for server, row in out.items():
            drain = self._drains.setdefault(server, _Drain())
            drain.is_applied = drain.is_applied or all_applied
            if not drain.is_applied or may_run_requests(row):
                drain.idle_since = None
            elif drain.idle_since is None:
                drain.idle_since = now

    def is_applied(self, server: ServerId) -> bool:
        """Whether every live node has applied that the server is out of service."""
        drain = self._drains.get(server)
        return drain is not None and drain.is_applied

    def is_done(self, server: ServerId, now: float) -> bool:
        """Whether the server gets no requests and runs none any more."""
        drain = self._drains.get(server)
        return (
            drain is not None and drain.idle_since is not None and now - drain.idle_since >= IDLE_S
        )


def may_run_requests(row: ServerRow) -> bool:
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
