"""The node's side of its member lease.

The lease is valid while a majority of the granting cores granted it within its lifetime. A grant
counts from the instant of the node's request, not from its arrival: grants that waited in the
sockets of a process that was frozen are worth no more. It counts only while the node has applied
the versions that the grant requires.

While the replica sets change, a majority of the old and of the new grantors is needed.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.messages import LeaseGranted, RenewLease
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig, majority, member_of
from zincvale.model.control_tables import Role
from zincvale.model.identifiers import Address, MemberId, member_at


@attrs.frozen
class Grant:
    """The newest grant of one core; `requested_at` is on the node's own clock."""

    requested_at: float
    required: dict[str, int]


class MemberLeaseHolder:
    """The grants that this node has, and where the cores are reached."""

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

    def own_info(self) -> MemberInfo:
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
        self,
        applied_versions: dict[str, int],
        *,
        ready: bool,
        may_confirm: bool,
        fence: int,
        now: float,
    ) -> RenewLease:
        """Return the request for a grant; the parameters are fields of `RenewLease`."""
        return RenewLease(
            info=self.own_info(),
            requested_at=now,
            ready=ready,
            applied_versions=applied_versions,
            may_confirm=may_confirm,
            cluster_incarnation=self.cluster_incarnation,
            config_version=self._config_version,
            fence=max(fence, self.fence),
        )

    def targets(self) -> list[MemberId]:
        """Return whom to send renewals: the grantors, else the cores known, else the seeds."""
        if self._grantors.replicas:
            return self._grantors.members()
        if self.cores:
            return list(self.cores)
        return self.seeds()

    def is_majority(self, cores: list[MemberId]) -> bool:
        """Whether grants of `cores` are enough for a lease."""
        return self._grantors.is_member_quorum(cores)

    def grantors(self) -> list[MemberId]:
        """Return the cores whose grants count; none before the first grant."""
        return self._grantors.members()

    def in_own_zone(self, members: list[MemberId]) -> list[MemberId]:
        """Return those of `members` that are cores of this node's zone."""
        infos = ((member, self.cores.get(member)) for member in members)
        zone = self._config.zone
        return [member for member, info in infos if info is not None and info.zone == zone]

    def seeds(self) -> list[MemberId]:
        """Return the seeds, by address."""
        return [member_at(seed) for seed in self._config.seeds]

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take other addresses for first contact."""
        self._config = attrs.evolve(self._config, seeds=seeds)

    def address_of(self, member: MemberId) -> Address | None:
        """Return where a core is reached."""
        info = self.cores.get(member)
        return Address(info.peer_address) if info else None

    def learn_cores(self, infos: list[MemberInfo]) -> None:
        """Add cores that a process named; what a core granted itself is not overwritten."""
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
        if known is None or granted.requested_at > known.requested_at:
            self._grants[sender] = Grant(granted.requested_at, granted.required)
            self._valid_for = None

    def discard_grants(self) -> None:
        """Discard every grant: the clock jumped, so the lifetimes counted by it are void."""
        self._grants.clear()
        self._valid_for = None

    def valid_until(self, applied_versions: dict[str, int]) -> float:
        """Return until when a majority's grants count for a node with these applied versions.

        It is minus infinity without a majority.
        """
        if self._valid_for != applied_versions:
            self._valid_for = dict(applied_versions)
            self._valid_until = self._majority_valid_until(applied_versions)
        return self._valid_until

    def _majority_valid_until(self, applied_versions: dict[str, int]) -> float:
        if not self._grantors.replicas:
            return float("-inf")
        requested = {
            core: grant.requested_at
            for core, grant in self._grants.items()
            if all(
                applied_versions.get(key, 0) >= version for key, version in grant.required.items()
            )
        }
        sets = self._grantors.quorum_sets()
        return (
            min(_majority_requested_at(each, requested) for each in sets)
            + self._config.timings.lease_ttl_s
        )


def _majority_requested_at(replicas: list[str], requested: dict[MemberId, float]) -> float:
    """Return the latest instant since which a majority of `replicas` granted requests.

    `node.partition_guard` counts nodes in the same way, but there an empty set needs no evidence;
    here a lease never exists without grantors.
    """
    members = [member_of(replica) for replica in replicas]
    times = sorted((requested[member] for member in members if member in requested), reverse=True)
    needed = majority(len(members))
    return times[needed - 1] if len(times) >= needed else float("-inf")
