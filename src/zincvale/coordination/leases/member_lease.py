"""The node's side of its member lease.

The lease is valid while a majority of the cores granted it within its lifetime, counted from when
the node asked. A grant counts only while the node holds the versions that the grant requires.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.messages import LeaseGranted, RenewLease
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig, majority, member_of
from zincvale.model.identifiers import Address, MemberId
from zincvale.model.view import Role


@attrs.frozen
class Grant:
    """The newest grant of one core."""

    asked_at: float
    required: dict[str, int]


class NodeLease:
    """Grants of the cores, and where the cores are."""

    def __init__(self, config: NodeConfig) -> None:
        self._config = config
        self._grants: dict[MemberId, Grant] = {}
        self._grantors = ReplicaConfig()
        self._config_version = 0
        self._valid_for: dict[str, int] | None = None
        self._valid_until = float("-inf")
        self.cores: dict[MemberId, MemberInfo] = {}
        self.cluster_incarnation = ""
        self.fence = 0
        """The newest fencing epoch of any role that a core named."""

    def info(self) -> MemberInfo:
        """Return how this node describes itself."""
        config = self._config
        return MemberInfo(
            member=config.member,
            role=Role.NODE.value,
            zone=config.zone,
            api_address=config.api_address,
            peer_address=config.peer_address,
            incarnation=config.incarnation,
        )

    def renewal(
        self, held: dict[str, int], ready: bool, evidence_silent: bool, fence: int, now: float
    ) -> RenewLease:
        """Return the request for a grant."""
        return RenewLease(
            info=self.info(),
            asked_at=now,
            ready=ready,
            held=held,
            evidence_silent=evidence_silent,
            cluster_incarnation=self.cluster_incarnation,
            config_version=self._config_version,
            fence=max(fence, self.fence),
        )

    def targets(self) -> list[MemberId]:
        """Return the cores to ask: those that grant, those known, else the seeds by address."""
        if self._grantors.replicas:
            return self._grantors.members()
        if self.cores:
            return list(self.cores)
        return self.seeds()

    def is_majority(self, cores: list[MemberId]) -> bool:
        """Whether grants of `cores` are enough for a lease."""
        return self._grantors.is_member_quorum(cores)

    def grantors(self) -> list[MemberId]:
        """Return the cores whose grants count, once they are known."""
        return self._grantors.members()

    def in_own_zone(self, members: list[MemberId]) -> list[MemberId]:
        """Return those of `members` that are cores of this node's zone."""
        infos = ((member, self.cores.get(member)) for member in members)
        zone = self._config.zone
        return [member for member, info in infos if info is not None and info.zone == zone]

    def seeds(self) -> list[MemberId]:
        """Return the seeds, by address."""
        return [MemberId(f"@{seed}") for seed in self._config.seeds]

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take other addresses for first contact."""
        self._config = attrs.evolve(self._config, seeds=seeds)

    def address_of(self, member: MemberId) -> Address | None:
        """Return where a core is reached."""
        info = self.cores.get(member)
        return Address(info.peer_address) if info else None

    def learn_cores(self, infos: list[MemberInfo]) -> None:
        """Remember the cores that a process named."""
        for info in infos:
            self.cores.setdefault(MemberId(info.member), info)

    def handle_granted(self, sender: MemberId, granted: LeaseGranted) -> None:
        """Count a grant; newer replica sets replace the grantors for good."""
        if granted.grantors.replicas and granted.config_version >= self._config_version:
            self._config_version = granted.config_version
            self._grantors = granted.grantors
            self.cores = {MemberId(info.member): info for info in granted.cores}
            self.cluster_incarnation = granted.cluster_incarnation
            self._valid_for = None
        self.fence = max(self.fence, granted.fence)
        known = self._grants.get(sender)
        if known is None or granted.asked_at > known.asked_at:
            self._grants[sender] = Grant(granted.asked_at, granted.required)
            self._valid_for = None

    def drop(self) -> None:
        """Hold no grant any more, after the clock jumped."""
        self._grants.clear()
        self._valid_for = None

    def valid_until(self, held: dict[str, int]) -> float:
        """Return until when a majority's grants count for a holder of the versions `held`."""
        if self._valid_for != held:
            self._valid_for = dict(held)
            self._valid_until = self._count(held)
        return self._valid_until

    def _count(self, held: dict[str, int]) -> float:
        if not self._grantors.replicas:
            return float("-inf")
        asked = {
            core: grant.asked_at
            for core, grant in self._grants.items()
            if all(held.get(key, 0) >= version for key, version in grant.required.items())
        }
        sets = self._grantors.quorum_sets()
        return min(_majority_asked(each, asked) for each in sets) + self._config.timings.lease_ttl_s


def _majority_asked(replicas: list[str], asked: dict[MemberId, float]) -> float:
    members = [member_of(replica) for replica in replicas]
    times = sorted((asked[member] for member in members if member in asked), reverse=True)
    needed = majority(len(members))
    return times[needed - 1] if len(times) >= needed else float("-inf")
