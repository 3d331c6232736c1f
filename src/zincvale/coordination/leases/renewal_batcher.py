"""Renewals that nodes make through one coordinating core, which forwards them in batches.

A node's lease needs grants of a majority. Instead of sending a renewal to each core, it calls one;
that core grants for itself and forwards the renewals that it collected to the other grantors.
Grants count from the instant of the node's request, whichever way they come, so a slow coordinator
costs the node lifetime but never correctness.
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
    """A renewal that lacks a majority's grants; answered with what there is at `respond_by`."""

    token: str
    requested_at: float
    respond_by: float
    grants: dict[MemberId, LeaseGranted]


class LeaseRenewalBatcher:
    """The renewals that wait for the other cores' grants, one for each node."""

    def __init__(self, context: CoreContext) -> None:
        self._context = context
        self._pending: dict[str, _PendingRenewal] = {}
        self._collected: list[RenewLease] = []
        self._collected_since = 0.0

    def add(self, token: str, renewal: RenewLease, own: LeaseGranted, now: float) -> list[Effect]:
        """Add a renewal that this core granted; an older call of the same node ends."""
        respond_by = now + self._context.config.timings.renewal_wait_s
        grants = {self._context.own_id: own}
        pending = _PendingRenewal(token, renewal.requested_at, respond_by, grants)
        if self._is_complete(pending):
            return [_respond(pending)]
        before = self._pending.get(renewal.info.member)
        self._pending[renewal.info.member] = pending
        if not self._collected:
            self._collected_since = now
        self._collected.append(renewal)
        return [_respond(before)] if before is not None else []

    def handle_grants(self, sender: MemberId, message: RelayedGrants) -> list[Effect]:
        """Count another core's grants; respond to the nodes that have a majority.

        A grant for a renewal that a newer one replaced is not counted.
        """
        effects: list[Effect] = []
        for each in message.grants:
            pending = self._pending.get(each.node)
            if pending is None or pending.requested_at != each.granted.requested_at:
                continue
            pending.grants[sender] = each.granted
            if self._is_complete(pending):
                del self._pending[each.node]
                effects.append(_respond(pending))
        return effects

    def forward_if_due(self, now: float) -> list[Effect]:
        """Forward the collected renewals to the other granting cores."""
        collect_s = self._context.config.timings.renewal_collect_s
        if not self._collected or now - self._collected_since < collect_s:
            return []
        batch = RelayedRenewals(self._collected)
        self._collected = []
        members = self._context.sets.grantors().members()
        return [Send(member, batch) for member in members if member != self._context.own_id]

    def tick(self, now: float) -> list[Effect]:
        """Respond with the grants there are to the renewals whose time is over."""
        overdue = [node for node, each in self._pending.items() if now >= each.respond_by]
        return [_respond(self._pending.pop(node)) for node in overdue]

    def _is_complete(self, pending: _PendingRenewal) -> bool:
        return self._context.sets.grantors().is_member_quorum(pending.grants)


def _respond(pending: _PendingRenewal) -> Reply:
    grants = [CoreGrant(str(core), granted) for core, granted in pending.grants.items()]
    return Reply(pending.token, LeaseGrants(grants))
