"""Repair of values that a quorum of replicas lost and that nodes still store.

With every lease renewal, a node reports the versions that it stores and the newest fencing epoch
that it has seen. If these are newer than what the cores know to be chosen, disks lost acknowledged
data: the cores fetch the value from such a node, and the owner of the key writes it again. Until
then, every lease that a core grants requires the newest version that any node stores. A core that
has just started grants no lease and takes no delivered key until every registered node has renewed
its lease, but at most for one lease lifetime. This prevents new changes from being written at
versions below those that nodes already store.
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
"""Interval between two rounds of fetches and repairs."""
RECOVERY_EPOCH_GAP = 1000
"""Number of role epochs that a recovery skips, since some may have been used that no node saw."""


@attrs.frozen
class _NewestVersion:
    node: MemberId
    version: int


class ValueRepair:
    """Tracks the newest versions that nodes report and restores values that the cores lost."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners
        self._newest_at_nodes: dict[str, _NewestVersion] = {}
        self._newest_fencing_epoch = 0
        self._fetch_at = 0.0
        self._renewed_nodes: set[MemberId] = set()
        """Nodes that renewed their lease since this process started."""

    def record_renewal(self, sender: MemberId, renewal: RenewLease) -> None:
        """Record what a node reports; its versions count only if it belongs to this cluster."""
        self._renewed_nodes.add(sender)
        incarnation = self._context.replica_sets.cluster_incarnation
        if not incarnation or renewal.cluster_incarnation != incarnation:
            return
        self._newest_fencing_epoch = max(self._newest_fencing_epoch, renewal.fence)
        for key in DELIVERED_KEYS:
            version = renewal.applied_versions.get(key, 0)
            if version > self.newest_version(key):
                self._newest_at_nodes[key] = _NewestVersion(sender, version)

    def newest_version(self, key: str) -> int:
        """Return the newest version of `key` that is known to be chosen or stored by any node."""
        newest_at_node = self._newest_at_nodes.get(key)
        return max(
            self._context.chosen_version(key), newest_at_node.version if newest_at_node else 0
        )

    def required_versions(self) -> dict[str, int]:
        """Return the versions that a node must store for a lease that starts now."""
        return {key: self.newest_version(key) for key in DELIVERED_KEYS}

    def tick(self, now: float) -> list[Effect]:
        """Fetch lost values from the nodes that store them and write those of owned keys again."""
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
        """Allow grants again once every registered node has reported its versions."""
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
        """Return the lowest epoch that the key of a role may have when the role is taken.

        A key with a lower epoch is raised first; a recovery raises each key once.
        """
        return max(
            self._newest_fencing_epoch, RECOVERY_EPOCH_GAP if self._context.config.recover else 0
        )

    def may_take_role(self, epoch: int, now: float) -> bool:
        """Whether a new leader may take a role whose newest known epoch is `epoch`."""
        return now >= self._context.grants_blocked_until and epoch >= self._required_role_epoch()

    def _restore(self, key: str, owner: RegisterOwner, now: float) -> list[Effect]:
        """Write a value again that was chosen and is newer than the record of the replicas.

        This may also run at an owner that was replaced without noticing; its replicas then refuse
        the write.
        """
        table = self._context.values.get(key)
        version, rows = owner.chosen_version, owner.record.rows
        if table is not None and table.version > version:
            version, rows = table.version, table.rows
        if key.startswith(ROLE_KEY_PREFIX) and version < self._required_role_epoch():
            version = self._newest_fencing_epoch + (
                RECOVERY_EPOCH_GAP if self._context.config.recover else 0
            )
        return owner.restore(version, rows, now)
