"""Renewals that nodes make through one home core, which asks the other granting cores in batches.

A node's lease needs grants of a majority. Instead of asking each core, it calls its home core; that
core grants for itself and passes the renewals it collected on. Grants count from when the node
asked, whichever way they come.
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
class _Waiting:
    token: str
    asked_at: float
    answer_by: float
    grants: dict[MemberId, LeaseGranted]


class LeaseRenewalBatcher:
    """The renewals that wait for other cores' grants."""

    def __init__(self, context: CoreContext) -> None:
        self._context = context
        self._waiting: dict[str, _Waiting] = {}
        self._collected: list[RenewLease] = []
        self._collected_since = 0.0

    def take(self, token: str, renewal: RenewLease, own: LeaseGranted, now: float) -> list[Effect]:
        """Take a renewal that this core granted."""
        answer_by = now + self._context.config.timings.home_wait_s
        grants = {self._context.own_id: own}
        waiting = _Waiting(token, renewal.asked_at, answer_by, grants)
        if self._is_complete(waiting):
            return [_answer(waiting)]
        before = self._waiting.get(renewal.info.member)
        self._waiting[renewal.info.member] = waiting
        if not self._collected:
            self._collected_since = now
        self._collected.append(renewal)
        return [_answer(before)] if before is not None else []

    def handle_grants(self, sender: MemberId, message: RelayedGrants) -> list[Effect]:
        """Count another core's grants; answer the nodes that have a majority."""
        effects: list[Effect] = []
        for each in message.grants:
            waiting = self._waiting.get(each.node)
            if waiting is None or waiting.asked_at != each.granted.asked_at:
                continue
            waiting.grants[sender] = each.granted
            if self._is_complete(waiting):
                del self._waiting[each.node]
                effects.append(_answer(waiting))
        return effects

    def pass_on_if_due(self, now: float) -> list[Effect]:
        """Pass collected renewals on to the other granting cores."""
        collect_s = self._context.config.timings.home_collect_s
        if not self._collected or now - self._collected_since < collect_s:
            return []
        batch = RelayedRenewals(self._collected)
        self._collected = []
        members = self._context.sets.grantors().members()
        return [Send(member, batch) for member in members if member != self._context.own_id]

    def tick(self, now: float) -> list[Effect]:
        """Answer those that waited long enough with the grants there are."""
        overdue = [node for node, each in self._waiting.items() if now >= each.answer_by]
        return [_answer(self._waiting.pop(node)) for node in overdue]

    def _is_complete(self, waiting: _Waiting) -> bool:
        return self._context.sets.grantors().is_member_quorum(waiting.grants)


def _answer(waiting: _Waiting) -> Reply:
    grants = [CoreGrant(str(core), granted) for core, granted in waiting.grants.items()]
    return Reply(waiting.token, LeaseGrants(grants))
