"""Which disks store a record, and the quorums that this needs.

A replica is `member/disk`: a vote is bound to the identity of a disk, so that an empty disk at a
known address has none. A record carries its own configuration; one with previous replicas is joint:
a change is under way, and a quorum is a majority of both sets (joint consensus, Ongaro 2014,
section 4.3).
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import attrs

from zincvale.model.identifiers import MemberId

ReplicaId = str


@attrs.frozen
class ReplicaConfig:
    """The replicas of a record, and those before a change that is under way.

    The field names are keys of rows on disk.
    """

    replicas: list[str] = attrs.field(factory=list)
    previous: list[str] = attrs.field(factory=list)

    def quorum_sets(self) -> list[list[str]]:
        """Return the sets of which a quorum needs a majority each."""
        return [self.previous, self.replicas] if self.previous else [self.replicas]

    def all_replicas(self) -> list[str]:
        """Return every replica of any set, once, in order."""
        return list(dict.fromkeys([*self.replicas, *self.previous]))

    def members(self) -> list[MemberId]:
        """Return the processes of every replica, once, in order."""
        return list(dict.fromkeys(member_of(replica) for replica in self.all_replicas()))

    def added(self) -> list[str]:
        """Return the replicas that a change under way adds."""
        if not self.previous:
            return []
        return [replica for replica in self.replicas if replica not in self.previous]

    def is_quorum(self, replicas: Container[str]) -> bool:
        """Whether `replicas` contain a majority of every set; False without replicas."""
        return bool(self.replicas) and all(
            has_majority(each, replicas) for each in self.quorum_sets()
        )

    def is_member_quorum(self, members: Container[MemberId]) -> bool:
        """Whether processes, whatever their disks, are a majority of every set."""
        return bool(self.replicas) and all(
            has_majority([member_of(replica) for replica in each], members)
            for each in self.quorum_sets()
        )

    def joint_with(self, replicas: list[str]) -> ReplicaConfig:
        """Return the joint configuration of this settled one and `replicas`."""
        return self if self.replicas == replicas else ReplicaConfig(replicas, self.replicas)

    def settled_from_joint(self, replicas: list[str]) -> ReplicaConfig:
        """Return this joint configuration settled: on `replicas` if it leads there, else back."""
        return ReplicaConfig(self.replicas if replicas == self.replicas else self.previous)


def replica_id(member: str, disk: str) -> ReplicaId:
    """Return the replica on the disk `disk` of `member`."""
    return f"{member}/{disk}"


def member_of(replica: str) -> MemberId:
    """Return the process of a replica."""
    return MemberId(replica.rpartition("/")[0])


def majority(size: int) -> int:
    """Return the smallest size of which any two subsets of `size` members intersect."""
    return size // 2 + 1


def has_majority(members: Iterable[str], present: Container[str]) -> bool:
    """Whether `present` contains a majority of `members`; vacuously True without members."""
    listed = list(members)
    count = sum(1 for each in listed if each in present)
    return not listed or count >= majority(len(listed))
