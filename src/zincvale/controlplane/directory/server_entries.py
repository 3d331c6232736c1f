"""One server as the directory machine knows it, and how observations change it."""

from __future__ import annotations

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.model.view import ServerHealth, ServerRow

FAILURES_UNTIL_DOWN = 2
"""Probes in a row that must fail; one is enough when the connection is refused."""
DOWN_KEPT_S = 5.0
"""How long a server that is down stays after it left the platform's list."""
ANSWERING_KEPT_S = 300.0
"""How long a server that still answers stays after it left the platform's list."""


@attrs.define
class ServerEntry:
    """A row of the directory machine's table.

    Attributes
    ----------
    row : as published.
    failures : failed probes in a row.
    probed : whether any probe of this machine was answered or failed.
    vanished_at : when it left the platform's list, or None.
    asked_at : when the newest status taken was asked for.
    heard_at : when the newest result of a probe arrived.
    """

    row: ServerRow
    failures: int = 0
    probed: bool = False
    vanished_at: float | None = None
    asked_at: float = float("-inf")
    heard_at: float = float("-inf")


def new_entry(listed: PlatformServer, now: float) -> ServerEntry:
    """Return a candidate: down until its first probe is answered."""
    row = ServerRow(
        server=listed.server,
        address=listed.address,
        pool=listed.pool,
        zone=listed.zone,
        kind=listed.kind,
        health=ServerHealth.DOWN,
    )
    return ServerEntry(row, heard_at=now)


def take_listing(entry: ServerEntry, listed: PlatformServer, now: float) -> bool:
    """Apply the platform's word; return whether the server moved to another address.

    A server at a new address is another process: nothing observed of the old one holds.
    """
    entry.vanished_at = None
    moved = entry.row.address != listed.address
    if moved:
        fresh = new_entry(listed, now)
        entry.row = fresh.row
        entry.failures = 0
        entry.probed = False
    else:
        entry.row = attrs.evolve(entry.row, pool=listed.pool, zone=listed.zone, kind=listed.kind)
    return moved


def take_status(entry: ServerEntry, status: ServerStatus, asked_at: float, now: float) -> None:
    """Apply an answered probe."""
    entry.failures = 0
    entry.probed = True
    entry.asked_at = asked_at
    entry.heard_at = now
    entry.row = observed_row(entry.row, status)


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


def take_failure(entry: ServerEntry, refused: bool, now: float) -> None:
    """Apply a failed probe."""
    entry.failures += 1
    entry.probed = True
    entry.heard_at = now
    if refused or entry.failures >= FAILURES_UNTIL_DOWN:
        entry.row = attrs.evolve(entry.row, health=ServerHealth.DOWN, running=0)


def is_overdue(entry: ServerEntry, now: float) -> bool:
    """Whether a server that left the platform's list is to be forgotten."""
    if entry.vanished_at is None:
        return False
    answering = entry.row.health is not ServerHealth.DOWN
    kept_s = ANSWERING_KEPT_S if answering else DOWN_KEPT_S
    return now - entry.vanished_at >= kept_s


def entry_of(row: ServerRow, now: float) -> ServerEntry:
    """Return the entry of a row that an earlier publisher left."""
    return ServerEntry(row, heard_at=now)
