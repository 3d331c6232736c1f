"""Which disks hold a record, and the quorums this asks for.

A replica is `member/disk`: a vote is bound to the identity of a disk, so that an empty disk at a
known address has none. A record carries its own configuration; a configuration with previous
replicas is in the middle of a change and needs majorities of both sets.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import attrs

from zincvale.model.identifiers import MemberId

ReplicaId = str


@attrs.frozen
class ReplicaConfig:
    """The replicas of a record, and those before a change that is under way."""

    replicas: list[str] = attrs.field(factory=list)
    previous: list[str] = attrs.field(factory=list)

    def sets(self) -> list[list[str]]:
        """Return the sets of which a majority each is needed."""
        return [self.previous, self.replicas] if self.previous else [self.replicas]

    def everyone(self) -> list[str]:
        """Return every replica of any set, once, in order."""
        return list(dict.fromkeys([*self.replicas, *self.previous]))

    def members(self) -> list[MemberId]:
        """Return the processes of every replica, once, in order."""
        return list(dict.fromkeys(member_of(replica) for replica in self.everyone()))

    def added(self) -> list[str]:
        """Return the replicas that a change under way adds."""
        if not self.previous:
            return []
        return [replica for replica in self.replicas if replica not in self.previous]

    def reached_by(self, replicas: Container[str]) -> bool:
        """Whether `replicas` contain a majority of every set; never without a set."""
        return bool(self.replicas) and all(has_majority(each, replicas) for each in self.sets())

    def reached_by_members(self, members: Container[MemberId]) -> bool:
        """Whether processes, whatever their disks, make up a majority of every set."""
        return bool(self.replicas) and all(
            has_majority([member_of(replica) for replica in each], members) for each in self.sets()
        )

    def opened_to(self, replicas: list[str]) -> ReplicaConfig:
        """Return this settled configuration in the middle of its change to `replicas`."""
        return self if self.replicas == replicas else ReplicaConfig(replicas, self.replicas)

    def closed_to(self, replicas: list[str]) -> ReplicaConfig:
        """Return this open configuration settled: forward when that is the aim, else back."""
        return ReplicaConfig(self.replicas if replicas == self.replicas else self.previous)


def replica_id(member: str, disk: str) -> ReplicaId:
    """Return the replica on the disk `disk` of `member`."""
    return f"{member}/{disk}"


def member_of(replica: str) -> MemberId:
    """Return the process of a replica."""
    return MemberId(replica.rpartition("/")[0])


def majority(size: int) -> int:
    """Return the smallest number that any two selections of share a member with."""
    return size // 2 + 1


def has_majority(wanted: Iterable[str], present: Container[str]) -> bool:
    """Whether `present` contains a majority of `wanted`; trivially so of nothing."""
    everyone = list(wanted)
    count = sum(1 for each in everyone if each in present)
    return not everyone or count >= majority(len(everyone))
