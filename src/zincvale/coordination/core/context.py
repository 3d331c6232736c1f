"""State that the components of a core machine share: configuration, tables and notifications."""

from __future__ import annotations

import random

import attrs

from zincvale.coordination.changes import ChangeNotifications, Rows
from zincvale.coordination.config import CoreConfig
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.membership.peer_table import PeerTable
from zincvale.coordination.registers.epochs import epoch_owner
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication.replica_config import replica_id
from zincvale.coordination.replication.replica_sets import (
    DELIVERED_KEYS,
    ROLE_KEY_PREFIX,
    ReplicaSets,
    decode_replica_sets,
)
from zincvale.model.control_tables import Role
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send


@attrs.define
class CoreContext:
    """State that the components of one core machine share."""

    config: CoreConfig
    random_source: random.Random
    started_at: float
    disk: str
    quarantined: dict[str, str]
    """Keys whose files were unreadable at the start, each with the reason."""
    replica: RegisterReplica
    cores: PeerTable
    values: dict[str, VersionedTable] = attrs.field(factory=dict)
    replica_sets: ReplicaSets = attrs.field(factory=ReplicaSets)
    topics: EphemeralTopics = attrs.field(factory=EphemeralTopics)
    members: VersionedTable = attrs.field(factory=VersionedTable)
    notifications: ChangeNotifications = attrs.field(factory=ChangeNotifications)

    leaving: bool = False
    """Whether the process was asked to stop."""
    grants_blocked_until: float = 0.0
    """Time before which a restarted core grants no lease; it first learns what nodes store."""

    @property
    def own_id(self) -> MemberId:
        """Member id of this process."""
        return self.config.member

    @property
    def owner_name(self) -> str:
        """The `owner` field of the epochs that this process takes."""
        return epoch_owner(self.config.member, self.config.incarnation)

    def info(self) -> MemberInfo:
        """Return the member information of this process."""
        config = self.config
        return MemberInfo(
            member=config.member,
            role=Role.CORE.value,
            zone=config.zone,
            api_address=config.api_address,
            peer_address=config.peer_address,
            incarnation=config.incarnation,
        )

    def own_replica(self) -> str:
        """Return the identifier of the replica on this process's disk."""
        return replica_id(self.own_id, self.disk)

    def is_voter(self) -> bool:
        """Whether this process's disk is a declared replica."""
        return self.own_replica() in self.replica_sets.grantors().all_replicas()

    def is_learner(self) -> bool:
        """Whether this process may become a replica: it has no vote and its disk accepts writes."""
        return not self.is_voter() and not self.replica.failure

    def use_replica_sets(self, version: int, rows: Rows) -> None:
        """Use replica sets that were chosen, or accepted by this core's replica.

        Leases are granted under the accepted sets even before these are known to be chosen.
        Otherwise, cores of the majority that chose a change could still grant leases under the
        previous replicas.
        """
        previous = self.replica_sets
        self.replica_sets = decode_replica_sets(version, rows)
        for member in previous.cores.keys() - self.replica_sets.cores.keys():
            self.cores.remove_core(member)
        for row in self.replica_sets.cores.values():
            self.cores.add_core(row.info)

    def is_voting(self) -> bool:
        """Whether this process votes: its disk is a declared replica and accepts writes."""
        return self.is_voter() and not self.replica.failure

    def chosen_version(self, key: str) -> int:
        """Return the newest version of `key` that this core knows to be chosen."""
        table = self.values.get(key)
        return table.version if table else 0

    def newest_role_epoch(self) -> int:
        """Return the newest fencing epoch of any role that this core knows."""
        return max(
            (
                table.version
                for key, table in self.values.items()
                if key.startswith(ROLE_KEY_PREFIX)
            ),
            default=0,
        )

    def chosen_versions(self) -> dict[str, int]:
        """Return the newest version of each delivered key that this core knows to be chosen."""
        return {key: self.chosen_version(key) for key in DELIVERED_KEYS}

    def to_other_cores(self, message: object) -> list[Effect]:
        """Return the effects that send `message` to every other core of the cluster."""
        return [
            Send(member, message) for member in self.replica_sets.cores if member != self.own_id
        ]
