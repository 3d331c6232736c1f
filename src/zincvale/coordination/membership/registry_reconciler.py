"""Compares the registry with the live leases, and decides which nodes to add, remove or invite.

The owner of the key `registry` proposes changes; every core sends invitations.
"""

from __future__ import annotations

from zincvale.coordination.changes import Rows
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.coordination.membership import registry
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_sets import REGISTRY_KEY
from zincvale.model.identifiers import Address, MemberId
from zincvale.model.machine import Effect, Send

CHECK_INTERVAL_S = 0.5
"""Interval between two comparisons, in seconds; each one reads the whole registry."""
INVITATION_INTERVAL_S = 3.0
"""Interval between two invitations of a node without a lease, in seconds. It limits how long a node
with outdated seeds can fail to find the cores."""

DEPARTED_DEREGISTER_S = 5.0
"""Time without a lease after which a node that released it is removed; most return within it, and a
removal and a return are two changes that every node applies."""


class RegistryReconciler:
    """Determines the registry's next change, and invites registered nodes without a lease."""

    def __init__(self, context: CoreContext, grantor: LeaseGrantor) -> None:
        self._context = context
        self._grantor = grantor
        self._check_at = 0.0
        self._invite_at = 0.0
        self._without_lease_since: dict[str, float] = {}

    def next_change(self, is_rolled_out: bool, now: float) -> bytes | None:
        """Return the encoded change of the registry to propose next; None if none is due.

        Parameters
        ----------
        is_rolled_out : whether the newest registry is rolled out, so that an open change may be
            closed.
        """
        if now < self._check_at:
            return None
        self._check_at = now + CHECK_INTERVAL_S
        registry_rows = self._registry_rows()
        if registry.is_change_open(registry_rows):
            return registry.close_change() if is_rolled_out else None
        nodes_to_add = [
            lease.info
            for member, lease in self._grantor.leases.items()
            if now < lease.granted_until
            and _differs_from_registry(lease.info, registry_rows.get(member))
        ]
        nodes_to_remove = self._nodes_to_remove(registry_rows, now)
        return (
            registry.open_change(nodes_to_add, nodes_to_remove)
            if nodes_to_add or nodes_to_remove
            else None
        )

    def invite_nodes_without_lease(self, cores: list[MemberInfo], now: float) -> list[Effect]:
        """Invite registered nodes without a lease to renew at `cores`; their seeds may be old."""
        if now < self._invite_at:
            return []
        self._invite_at = now + INVITATION_INTERVAL_S
        effects: list[Effect] = []
        for node, value in self._registry_rows().items():
            if node in self._grantor.leases or node in self._grantor.departed:
                continue
            if self._context.cores.address_of(MemberId(node)) is None:
                address = Address(registry.decode_row(value).peer_address)
                self._context.cores.set_address(MemberId(node), address)
            effects.append(Send(MemberId(node), LeaseRedirect(cores, "the cores call back", True)))
        return effects

    def _registry_rows(self) -> Rows:
        table = self._context.values.get(REGISTRY_KEY)
        return table.rows if table is not None else {}

    def _nodes_to_remove(self, registry_rows: Rows, now: float) -> list[str]:
        """Return the registered nodes that had no lease for too long."""
        for member in self._grantor.leases:
            self._without_lease_since.pop(member, None)
        return [
            member
            for member in registry_rows
            if member not in self._grantor.leases
            and now - self._without_lease_since.setdefault(member, now) > self._deregister_s(member)
        ]

    def _deregister_s(self, member: str) -> float:
        limit_s = self._context.config.timings.node_deregister_s
        return min(limit_s, DEPARTED_DEREGISTER_S) if member in self._grantor.departed else limit_s


def _differs_from_registry(info: MemberInfo, value: bytes | None) -> bool:
    """Whether a node is not registered, or is registered with another address or zone."""
    if value is None:
        return True
    row = registry.decode_row(value)
    return (row.peer_address, row.zone) != (info.peer_address, info.zone)
