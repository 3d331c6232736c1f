"""Compares the registry with the live leases: which nodes are added, removed or invited.

Changes are proposed at the owner of the key `registry`; invitations are sent by every core.
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
"""Between two comparisons; each reads the whole registry."""
INVITATION_INTERVAL_S = 3.0
"""Between two invitations of a node without a lease; it bounds how long a node whose seeds are
outdated stays without cores."""


class RegistryReconciler:
    """Proposes the registry's next change, and invites registered nodes without a lease."""

    def __init__(self, context: CoreContext, grantor: LeaseGrantor) -> None:
        self._context = context
        self._grantor = grantor
        self._check_at = 0.0
        self._invite_at = 0.0
        self._absent_since: dict[str, float] = {}

    def next_change(self, is_rolled_out: bool, now: float) -> bytes | None:
        """Return the next change of the registry, if one is due.

        Parameters
        ----------
        is_rolled_out : whether the newest registry is applied everywhere: an open change ends.
        """
        if now < self._check_at:
            return None
        self._check_at = now + CHECK_INTERVAL_S
        registered = self._registered()
        if registry.is_change_open(registered):
            return registry.close_change() if is_rolled_out else None
        add = [
            row.info
            for member, row in self._grantor.rows.items()
            if now < row.granted_until and _is_unknown(row.info, registered.get(member))
        ]
        remove = self._absent_too_long(registered, now)
        return registry.open_change(add, remove) if add or remove else None

    def invite_absent(self, cores: list[MemberInfo], now: float) -> list[Effect]:
        """Send the cores' addresses to registered nodes without a lease: their seeds may be old."""
        if now < self._invite_at:
            return []
        self._invite_at = now + INVITATION_INTERVAL_S
        effects: list[Effect] = []
        for node, value in self._registered().items():
            if node in self._grantor.rows:
                continue
            if self._context.cores.address_of(MemberId(node)) is None:
                address = Address(registry.decode_row(value).peer_address)
                self._context.cores.set_address(MemberId(node), address)
            effects.append(Send(MemberId(node), LeaseRedirect(cores, "the cores call back", True)))
        return effects

    def _registered(self) -> Rows:
        table = self._context.values.get(REGISTRY_KEY)
        return table.rows if table is not None else {}

    def _absent_too_long(self, registered: Rows, now: float) -> list[str]:
        """Return the registered nodes without a lease for `node_deregister_s`."""
        for member in self._grantor.rows:
            self._absent_since.pop(member, None)
        limit_s = self._context.config.timings.node_deregister_s
        return [
            member
            for member in registered
            if member not in self._grantor.rows
            and now - self._absent_since.setdefault(member, now) > limit_s
        ]


def _is_unknown(info: MemberInfo, value: bytes | None) -> bool:
    """Whether a node is not registered, or under another address or zone."""
    if value is None:
        return True
    row = registry.decode_row(value)
    return (row.peer_address, row.zone) != (info.peer_address, info.zone)
