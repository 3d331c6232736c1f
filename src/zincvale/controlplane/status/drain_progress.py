"""Decides when a drain is done: every node applied it, and the server then stayed idle.

A server's count of running requests is as old as its last probe. So a drain is done only after the
count was zero for longer than the interval between two probes, all of that time after the drain was
in force. Otherwise a request that was sent just before could be missed.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.model.control_tables import Directory, Intent, ServerHealth, ServerRow
from zincvale.model.identifiers import ServerId

IDLE_S = 2.5
"""How long a server must stay idle: more than the sum of a probe's interval, its timeout and the
publication of its result. With less, a request that was sent just before the drain was in force may
be missed."""


@attrs.define
class _Drain:
    """The drain of one server out of service.

    Attributes
    ----------
    is_applied : whether every live node had applied the drain at some time since it was declared.
    idle_since : time since which the server has run nothing after `is_applied`, or None.
    """

    is_applied: bool = False
    idle_since: float | None = None


class DrainProgress:
    """Tracks the drains of the servers that the intent keeps out of service."""

    def __init__(self) -> None:
        self._drains: dict[ServerId, _Drain] = {}

    def update(
        self,
        intent: Intent,
        directory: Directory,
        has_lagging_nodes: Callable[[], bool],
        now: float,
    ) -> None:
        """Update the drains from the current intent and directory.

        Parameters
        ----------
        has_lagging_nodes : whether a live node applied only an older intent; called only when a
            server is out of service.
        """
        out = {row.server: row for row in _servers_out_of_service(intent, directory)}
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
        """Whether every live node has applied the drain of the server."""
        drain = self._drains.get(server)
        return drain is not None and drain.is_applied

    def is_done(self, server: ServerId, now: float) -> bool:
        """Whether the server gets no new requests and runs none."""
        drain = self._drains.get(server)
        return (
            drain is not None and drain.idle_since is not None and now - drain.idle_since >= IDLE_S
        )


def may_run_requests(row: ServerRow) -> bool:
    """Whether, according to its last probe, the server may be running requests."""
    return row.running > 0 and row.health is not ServerHealth.DOWN


def _servers_out_of_service(intent: Intent, directory: Directory) -> list[ServerRow]:
    drained = {server for server, spec in intent.servers.items() if spec.drained}
    evacuated = {zone for zone, spec in intent.zones.items() if spec.evacuated}
    if not drained and not evacuated:
        return []
    return [
        row for row in directory.servers.values() if row.server in drained or row.zone in evacuated
    ]
