"""One server as the directory machine knows it, and how observations change it."""

from __future__ import annotations

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.model.control_tables import ServerHealth, ServerRow

FAILURES_UNTIL_DOWN = 2
"""Failed probes in a row that make a server down; one is enough when the connection is refused.

With 1, one lost packet takes a server out of service."""
DOWN_RETENTION_S = 5.0
"""How long a server that is down is retained after it left the platform's list."""
RESPONDING_RETENTION_S = 300.0
"""How long a server that still responds is retained after it left the platform's list."""


@attrs.define
class TrackedServer:
    """A server in the directory machine's table.

    Attributes
    ----------
    row : as published.
    failures : failed probes in a row.
    is_probed : whether any probe of this machine succeeded or failed.
    delisted_at : when it left the platform's list, or None.
    requested_at : when the newest status applied was requested.
    last_result_at : when the newest result of a probe arrived.
    """

    row: ServerRow
    failures: int = 0
    is_probed: bool = False
    delisted_at: float | None = None
    requested_at: float = float("-inf")
    last_result_at: float = float("-inf")


def new_candidate(listed: PlatformServer, now: float) -> TrackedServer:
    """Return a newly listed server: down until its first probe succeeds."""
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
    """Apply the platform's row; return whether the server moved to another address.

    A server at a new address is another process: nothing observed of the old one is valid.
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
    """Return `row` with what its server says of itself.

    A new incarnation starts without the marks of the old one.
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
    """Apply a failed probe; `refused` when nothing listens at the address."""
    server.failures += 1
    server.is_probed = True
    server.last_result_at = now
    if refused or server.failures >= FAILURES_UNTIL_DOWN:
        server.row = attrs.evolve(server.row, health=ServerHealth.DOWN, running=0)


def is_due_for_removal(server: TrackedServer, now: float) -> bool:
    """Whether a server that left the platform's list is to be removed."""
    if server.delisted_at is None:
        return False
    is_responding = server.row.health is not ServerHealth.DOWN
    retention_s = RESPONDING_RETENTION_S if is_responding else DOWN_RETENTION_S
    return now - server.delisted_at >= retention_s


def restored_server(row: ServerRow, now: float) -> TrackedServer:
    """Return the server of a row that an earlier publisher left."""
    return TrackedServer(row, last_result_at=now)
