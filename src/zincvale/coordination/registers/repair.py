"""Repair beyond a quorum: what nodes still hold that the replicas lost.

Nodes say with every lease renewal which versions they hold and the newest fencing epoch they saw.
When that is newer than what the cores know to be chosen, disks lost what was acknowledged: the
cores fetch the value from such a node, and the key's owner writes it again. Until then no core
grants a lease that does not require the newest version any node holds. A started core listens until
every registered node renewed, at most one lease lifetime, before it owns a delivered key, so that
nothing new is written below.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.registry import counting_sets
from zincvale.coordination.registers.messages import FetchValue
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.replication.replica_sets import (
    DELIVERED_KEYS,
    REGISTRY_KEY,
    ROLE_KEY_PREFIX,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

FETCH_INTERVAL_S = 0.5
RECOVERY_EPOCH_GAP = 1000
"""A recovery skips so many epochs: some may have been used that no node heard of."""


@attrs.frozen
class _Holder:
    node: MemberId
    version: int


class Repair:
    """Remembers the newest versions that nodes announced."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners
        self._holders: dict[str, _Holder] = {}
        self._fence = 0
        self._fetch_at = 0.0
        self._heard: set[MemberId] = set()
        """Nodes that renewed since this process started."""

    def note(self, sender: MemberId, renewal: RenewLease) -> None:
        """Remember what a node of this cluster announces."""
        self._heard.add(sender)
        incarnation = self._context.sets.cluster_incarnation
        if not incarnation or renewal.cluster_incarnation != incarnation:
            return
        self._fence = max(self._fence, renewal.fence)
        for key in DELIVERED_KEYS:
            version = renewal.held.get(key, 0)
            if version > self.newest(key):
                self._holders[key] = _Holder(sender, version)

    def newest(self, key: str) -> int:
        """Return the newest version of `key` that is chosen here or held by any node."""
        holder = self._holders.get(key)
        return max(self._context.chosen_version(key), holder.version if holder else 0)

    def required(self) -> dict[str, int]:
        """Return what a node must hold for a lease that starts now."""
        return {key: self.newest(key) for key in DELIVERED_KEYS}

    def tick(self, now: float) -> list[Effect]:
        """Fetch lost values from their holders, for the keys this core owns."""
        if now < self._fetch_at:
            return []
        self._fetch_at = now + FETCH_INTERVAL_S
        effects: list[Effect] = []
        for key, holder in self._holders.items():
            version = self._context.chosen_version(key)
            if version < holder.version:
                effects.append(Send(holder.node, FetchValue(key, version)))
        for key, owner in self._owners.items():
            if owner.serving():
                effects.extend(self._restore(key, owner, now))
        return effects

    def end_listening(self, now: float) -> None:
        """Listen no longer than until every registered node said what it holds."""
        context = self._context
        if now >= context.listens_until or context.config.recover:
            return
        registered = {
            member
            for members in counting_sets(context.replica.state(REGISTRY_KEY).record.rows)
            for member in members
        }
        if registered and registered <= self._heard:
            context.listens_until = now

    def _fence_due(self) -> int:
        """Return the epoch below which a role's key is raised; a recovery raises it once."""
        return max(self._fence, RECOVERY_EPOCH_GAP if self._context.config.recover else 0)

    def may_take_role(self, epoch: int, now: float) -> bool:
        """Whether a role whose newest epoch is `epoch` may be taken anew."""
        return now >= self._context.listens_until and epoch >= self._fence_due()

    def _restore(self, key: str, owner: RegisterOwner, now: float) -> list[Effect]:
        """Write again what is known to have been chosen and is newer than the replicas' record.

        An owner that was replaced without knowing it comes here too; its replicas refuse.
        """
        table = self._context.values.get(key)
        version, rows = owner.chosen_version, owner.record.rows
        if table is not None and table.version > version:
            version, rows = table.version, table.rows
        if key.startswith(ROLE_KEY_PREFIX) and version < self._fence_due():
            version = self._fence + (RECOVERY_EPOCH_GAP if self._context.config.recover else 0)
        return owner.restore(version, rows, now)
