"""State of a single server in the directory, and how observations change it."""

from __future__ import annotations

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.model.control_tables import ServerHealth, ServerRow

FAILURES_UNTIL_DOWN = 2
"""Number of failed probes in a row after which a server is down; a refused connection needs one.

With 1, a single lost packet would take a server out of service."""
DOWN_RETENTION_S = 5.0
"""Retention of a server that is down, from the time at which it left the platform's list."""
RESPONDING_RETENTION_S = 300.0
"""Retention of a server that responds, from the time at which it left the platform's list."""


@attrs.define
class TrackedServer:
    """A server in the table of the directory's publisher.

    Attributes
    ----------
    row : current row, which is to be published.
    failures : number of failed probes in a row.
    is_probed : whether this publisher got the result of a probe at the current address.
    delisted_at : time at which it left the platform's list, or None.
    requested_at : time at which the newest applied status was requested.
    last_result_at : time at which the newest result of a probe arrived.
    """

    row: ServerRow
    failures: int = 0
    is_probed: bool = False
    delisted_at: float | None = None
    requested_at: float = float("-inf")
    last_result_at: float = float("-inf")


def new_candidate(listed: PlatformServer, now: float) -> TrackedServer:
    """Return a newly listed server, which is down until its first probe succeeds."""
    row = ServerRow(
        server=listed.server,
        address=listed.address,
        pool=listed.pool,
        zone=listed.zone,
        kind=listed.kind,
        health=ServerHealth.DOWN,
    )
    return TrackedServer(row, last_result_at=now)


def apply_listing(server: TrackedServer, listed: PlatformServer, now: float) -> bool:
    """Apply the platform's row; return whether the server's address changed.

    A server at a new address is a new process: no earlier observation applies to it.
    """
    server.delisted_at = None
    moved = server.row.address != listed.address
    if moved:
        fresh = new_candidate(listed, now)
        server.row = fresh.row
        server.failures = 0
        server.is_probed = False
    else:
        server.row = attrs.evolve(server.row, pool=listed.pool, zone=listed.zone, kind=listed.kind)
    return moved


def apply_status(
    server: TrackedServer, status: ServerStatus, requested_at: float, now: float
) -> None:
    """Apply the status of a successful probe."""
    server.failures = 0
    server.is_probed = True
    server.requested_at = requested_at
    server.last_result_at = now
    server.row = observed_row(server.row, status)


def observed_row(row: ServerRow, status: ServerStatus) -> ServerRow:
    """Return `row` with the status that its server reported.

    A new incarnation starts without the draining marks (`closing`) of the previous one.
    """
    same = status.incarnation == row.incarnation
    return attrs.evolve(
        row,
        health=status.health,
        incarnation=status.incarnation,
        memory_bytes=status.memory_bytes,
        used_bytes=status.used_bytes,
        models=status.models,
        adapters=status.adapters,
        loading=status.loading,
        running=status.running,
        max_running=status.max_running,
        closing=row.closing if same else frozenset(),
    )


def apply_failure(server: TrackedServer, now: float, *, refused: bool) -> None:
    """Apply a failed probe; `refused` if no connection was made."""
    server.failures += 1
    server.is_probed = True
    server.last_result_at = now
    if refused or server.failures >= FAILURES_UNTIL_DOWN:
        server.row = attrs.evolve(server.row, health=ServerHealth.DOWN, running=0)


def is_due_for_removal(server: TrackedServer, now: float) -> bool:
    """Whether a server left the platform's list and its retention has ended."""
    if server.delisted_at is None:
        return False
    is_responding = server.row.health is not ServerHealth.DOWN
    retention_s = RESPONDING_RETENTION_S if is_responding else DOWN_RETENTION_S
    return now - server.delisted_at >= retention_s


def restored_server(row: ServerRow, now: float) -> TrackedServer:
    """Return the server of a row that an earlier publisher published."""
    return TrackedServer(row, last_result_at=now)
