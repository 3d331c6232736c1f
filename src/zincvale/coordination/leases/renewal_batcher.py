"""Renewals that nodes send to one coordinating core, which forwards them in batches.

A node's lease needs grants from a majority of the cores. Instead of sending a renewal to each core,
the node calls one. That core grants the lease itself and forwards the renewals that it collected to
the other grantors. The lifetime of a grant starts at the time of the node's request on every path,
so a slow coordinator shortens the remaining lifetime but does not make a grant valid for longer.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.leases.messages import (
    CoreGrant,
    LeaseGranted,
    LeaseGrants,
    RelayedGrants,
    RelayedRenewals,
    RenewLease,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Reply, Send


@attrs.define
class _PendingRenewal:
    """A renewal without grants from a majority yet; it gets a response by `respond_by` anyway."""

    token: str
    requested_at: float
    respond_by: float
    grants: dict[MemberId, LeaseGranted]


class LeaseRenewalBatcher:
    """Keeps the renewals that wait for grants from other cores, one for each node."""

    def __init__(self, context: CoreContext) -> None:
        self._context = context
        self._pending: dict[str, _PendingRenewal] = {}
        self._collected: list[RenewLease] = []
        self._collected_since = 0.0

    def add(
        self, token: str, renewal: RenewLease, own_grant: LeaseGranted, now: float
    ) -> list[Effect]:
        """Add a renewal that this core granted; it replaces a pending one of the same node.

        The replaced renewal gets a response with the grants received so far.
        """
        respond_by = now + self._context.config.timings.renewal_wait_s
        grants = {self._context.own_id: own_grant}
        pending = _PendingRenewal(token, renewal.requested_at, respond_by, grants)
        if self._is_complete(pending):
            return [_reply_with_grants(pending)]
        replaced = self._pending.get(renewal.info.member)
        self._pending[renewal.info.member] = pending
        if not self._collected:
            self._collected_since = now
        self._collected.append(renewal)
        return [_reply_with_grants(replaced)] if replaced is not None else []

    def handle_grants(self, sender: MemberId, message: RelayedGrants) -> list[Effect]:
        """Record another core's grants; respond to the nodes that now have a majority.

        A grant for a renewal that a newer one replaced is ignored.
        """
        effects: list[Effect] = []
        for node_grant in message.grants:
            pending = self._pending.get(node_grant.node)
            if pending is None or pending.requested_at != node_grant.granted.requested_at:
                continue
            pending.grants[sender] = node_grant.granted
            if self._is_complete(pending):
                del self._pending[node_grant.node]
                effects.append(_reply_with_grants(pending))
        return effects

    def forward_if_due(self, now: float) -> list[Effect]:
        """Forward the collected renewals to the other grantors after the collection interval."""
        collect_s = self._context.config.timings.renewal_collect_s
        if not self._collected or now - self._collected_since < collect_s:
            return []
        batch = RelayedRenewals(self._collected)
        self._collected = []
        members = self._context.replica_sets.grantors().members()
        return [Send(member, batch) for member in members if member != self._context.own_id]

    def tick(self, now: float) -> list[Effect]:
        """Respond to the overdue renewals with the grants received so far."""
        overdue = [node for node, pending in self._pending.items() if now >= pending.respond_by]
        return [_reply_with_grants(self._pending.pop(node)) for node in overdue]

    def _is_complete(self, pending: _PendingRenewal) -> bool:
        return self._context.replica_sets.grantors().is_member_quorum(pending.grants)


def _reply_with_grants(pending: _PendingRenewal) -> Reply:
    grants = [CoreGrant(str(core), granted) for core, granted in pending.grants.items()]
    return Reply(pending.token, LeaseGrants(grants))
