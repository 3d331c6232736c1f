"""The member table of a core: the live cores, and the nodes with a lease from this core."""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.membership.member_codec import encode_member

SMALL_TABLE_MAX_NODES = 50
"""Largest number of nodes for which every change is applied immediately."""
LARGE_TABLE_INTERVAL_S = 1.0
"""How long changes of nodes are collected in a larger table, in seconds. Each change is sent to
every node, so the work grows with the square of the number of nodes. A change of readiness that is
reverted within the interval is not published."""


class MemberTable:
    """Updates the member table by deltas from the cores' heartbeats and the granted leases."""

    def __init__(self, context: CoreContext, grantor: LeaseGrantor) -> None:
        self._context = context
        self._grantor = grantor
        self._core_rows: dict[str, bytes] = {}
        self._update_nodes_at = 0.0

    def refresh(self, now: float) -> bool:
        """Apply the changes of cores and nodes to the table; return whether it changed."""
        puts, deletes = self._take_core_changes(now)
        changed_nodes: set[str] = set()
        if now >= self._update_nodes_at:
            changed_nodes, self._grantor.members_changed = (
                self._grantor.members_changed,
                changed_nodes,
            )
        if changed_nodes and len(self._grantor.leases) > SMALL_TABLE_MAX_NODES:
            self._update_nodes_at = now + LARGE_TABLE_INTERVAL_S
        for member in changed_nodes:
            lease = self._grantor.leases.get(member)
            if lease is not None:
                self._put_if_changed(member, encode_member(lease.info, lease.ready), puts)
            elif member in self._context.members.rows:
                deletes.append(member)
        if not puts and not deletes:
            return False
        self._context.members.change(self._context.members.version + 1, puts, deletes)
        self._context.notifications.members = True
        return True

    def _put_if_changed(self, member: str, row: bytes, puts: dict[str, bytes]) -> None:
        if self._context.members.rows.get(member) != row:
            puts[member] = row

    def _take_core_changes(self, now: float) -> tuple[dict[str, bytes], list[str]]:
        context = self._context
        rows = {
            str(member): encode_member(status.info, status.voting)
            for member, status in context.cores.live(now).items()
            if member in context.replica_sets.cores
        }
        rows[str(context.own_id)] = encode_member(context.info(), context.is_voting())
        puts = {member: row for member, row in rows.items() if self._core_rows.get(member) != row}
        deletes = [member for member in self._core_rows if member not in rows]
        self._core_rows = rows
        return puts, deletes
