"""The replicas that store a record, and the quorum rule for them.

A replica is identified by `member/disk`. A vote is bound to the identity of a disk, so an empty
disk at a known address has no vote. Every record carries its own configuration. A configuration
with previous replicas is joint: a change of replicas is in progress, and a quorum needs a majority
of both sets (joint consensus, Ongaro 2014, section 4.3).
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import attrs

from zincvale.model.identifiers import MemberId

ReplicaId = str


@attrs.frozen
class ReplicaConfig:
    """The replicas of a record and, while a change is in progress, the previous replicas.

    The field names are keys in the rows on disk.
    """

    replicas: list[str] = attrs.field(factory=list)
    previous: list[str] = attrs.field(factory=list)

    def quorum_sets(self) -> list[list[str]]:
        """Return the sets of replicas; a quorum needs a majority of each set."""
        return [self.previous, self.replicas] if self.previous else [self.replicas]

    def all_replicas(self) -> list[str]:
        """Return the replicas of all sets in order, without duplicates."""
        return list(dict.fromkeys([*self.replicas, *self.previous]))

    def members(self) -> list[MemberId]:
        """Return the processes of all replicas in order, without duplicates."""
        return list(dict.fromkeys(member_of(replica) for replica in self.all_replicas()))

    def added(self) -> list[str]:
        """Return the replicas that a change in progress adds."""
        if not self.previous:
            return []
        return [replica for replica in self.replicas if replica not in self.previous]

    def is_quorum(self, replicas: Container[str]) -> bool:
        """Whether `replicas` contains a majority of every set; False without any replica."""
        return bool(self.replicas) and all(
            has_majority(quorum_set, replicas) for quorum_set in self.quorum_sets()
        )

    def is_member_quorum(self, members: Container[MemberId]) -> bool:
        """Whether `members` contains a majority of every set, whatever disks the members have."""
        return bool(self.replicas) and all(
            has_majority([member_of(replica) for replica in quorum_set], members)
            for quorum_set in self.quorum_sets()
        )

    def joint_with(self, replicas: list[str]) -> ReplicaConfig:
        """Return the joint configuration that leads from this settled one to `replicas`."""
        return self if self.replicas == replicas else ReplicaConfig(replicas, self.replicas)

    def settled_from_joint(self, replicas: list[str]) -> ReplicaConfig:
        """Return the settled configuration that ends this joint one.

        It has the new replicas if they equal `replicas`, else the previous ones.
        """
        return ReplicaConfig(self.replicas if replicas == self.replicas else self.previous)


def replica_id(member: str, disk: str) -> ReplicaId:
    """Return the identifier of the replica on the disk `disk` of `member`."""
    return f"{member}/{disk}"


def member_of(replica: str) -> MemberId:
    """Return the process that runs a replica."""
    return MemberId(replica.rpartition("/")[0])


def majority(size: int) -> int:
    """Return the smallest size for which any two subsets of `size` members intersect."""
    return size // 2 + 1


def has_majority(members: Iterable[str], present: Container[str]) -> bool:
    """Whether `present` contains a majority of `members`; vacuously True without members."""
    all_members = list(members)
    count = sum(1 for member in all_members if member in present)
    return not all_members or count >= majority(len(all_members))
