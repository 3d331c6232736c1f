"""Repair beyond a quorum: values that nodes still store and the replicas lost.

Nodes report with every lease renewal which versions they store and the newest fencing epoch seen.
When that is newer than what the cores know to be chosen, disks lost what was acknowledged: the
cores fetch the value from such a node, and the key's owner writes it again. Until then no core
grants a lease that does not require the newest version any node stores. A started core grants
nothing and takes no delivered key until every registered node renewed, at most for one lease
lifetime, so that nothing new is written below.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.registry import quorum_sets
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
"""Between two rounds of fetches and repairs."""
RECOVERY_EPOCH_GAP = 1000
"""A recovery skips so many epochs: some may have been used that no node heard of."""


@attrs.frozen
class _NewestVersion:
    node: MemberId
    version: int


class ValueRepair:
    """Tracks the newest versions that nodes report, and restores what the cores lost."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners
        self._newest_at_nodes: dict[str, _NewestVersion] = {}
        self._newest_fence = 0
        self._fetch_at = 0.0
        self._renewed_nodes: set[MemberId] = set()
        """Nodes that renewed since this process started."""

    def record_renewal(self, sender: MemberId, renewal: RenewLease) -> None:
        """Record the versions and fencing epoch that a node of this cluster reports."""
        self._renewed_nodes.add(sender)
        incarnation = self._context.sets.cluster_incarnation
        if not incarnation or renewal.cluster_incarnation != incarnation:
            return
        self._newest_fence = max(self._newest_fence, renewal.fence)
        for key in DELIVERED_KEYS:
            version = renewal.applied_versions.get(key, 0)
            if version > self.newest(key):
                self._newest_at_nodes[key] = _NewestVersion(sender, version)

    def newest(self, key: str) -> int:
        """Return the newest version of `key` that is chosen here or stored by any node."""
        newest_at_node = self._newest_at_nodes.get(key)
        return max(
            self._context.chosen_version(key), newest_at_node.version if newest_at_node else 0
        )

    def required(self) -> dict[str, int]:
        """Return the versions that a node must store for a lease that starts now."""
        return {key: self.newest(key) for key in DELIVERED_KEYS}

    def tick(self, now: float) -> list[Effect]:
        """Fetch lost values from nodes that store them; write them again for the owned keys."""
        if now < self._fetch_at:
            return []
        self._fetch_at = now + FETCH_INTERVAL_S
        effects: list[Effect] = []
        for key, newest_at_node in self._newest_at_nodes.items():
            version = self._context.chosen_version(key)
            if version < newest_at_node.version:
                effects.append(Send(newest_at_node.node, FetchValue(key, version)))
        for key, owner in self._owners.items():
            if owner.is_serving():
                effects.extend(self._restore(key, owner, now))
        return effects

    def end_grant_block_if_complete(self, now: float) -> None:
        """End the block of grants when every registered node reported its versions."""
        context = self._context
        if now >= context.grants_blocked_until or context.config.recover:
            return
        registered = {
            member
            for members in quorum_sets(context.replica.state(REGISTRY_KEY).record.rows)
            for member in members
        }
        if registered and registered <= self._renewed_nodes:
            context.grants_blocked_until = now

    def _required_role_epoch(self) -> int:
        """Return the epoch below which a role's key is raised; a recovery raises it once."""
        return max(self._newest_fence, RECOVERY_EPOCH_GAP if self._context.config.recover else 0)

    def may_take_role(self, epoch: int, now: float) -> bool:
        """Whether a role whose newest epoch is `epoch` may be taken anew."""
        return now >= self._context.grants_blocked_until and epoch >= self._required_role_epoch()

    def _restore(self, key: str, owner: RegisterOwner, now: float) -> list[Effect]:
        """Write again what is known to have been chosen and is newer than the replicas' record.

        An owner that was replaced without knowing it comes here too; its replicas refuse.
        """
        table = self._context.values.get(key)
        version, rows = owner.chosen_version, owner.record.rows
        if table is not None and table.version > version:
            version, rows = table.version, table.rows
        if key.startswith(ROLE_KEY_PREFIX) and version < self._required_role_epoch():
            version = self._newest_fence + (
                RECOVERY_EPOCH_GAP if self._context.config.recover else 0
            )
        return owner.restore(version, rows, now)
