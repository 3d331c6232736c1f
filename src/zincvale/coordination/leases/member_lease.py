"""The node's side of its member lease.

The lease is valid while a majority of the granting cores have granted it within the last lease
lifetime. The lifetime of a grant starts when the node sent its request, not when the grant arrived.
A grant that waited in a socket buffer while the process was frozen therefore expires no later. A
grant is valid only while the node has applied the versions that it requires.

While the replica sets change, the lease needs a majority of the old and of the new grantors.
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
    """The newest grant of one core; `requested_at` is a time on the node's clock."""

    requested_at: float
    required: dict[str, int]


class MemberLeaseHolder:
    """Holds the grants that this node received, and the cores that it knows."""

    def __init__(self, config: NodeConfig) -> None:
        self._config = config
        self._grants: dict[MemberId, Grant] = {}
        self._grantors = ReplicaConfig()
        self._config_version = 0
        self._cached_for_versions: dict[str, int] | None = None
        self._cached_valid_until = float("-inf")
        self.cores: dict[MemberId, MemberInfo] = {}
        self.cluster_incarnation = ""
        self.fence = 0
        """The newest fencing epoch of any role that a core reported in a grant."""

    def own_info(self) -> MemberInfo:
        """Return this node's identity and addresses."""
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
        """Return the request for a grant; the parameters become fields of `RenewLease`."""
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

    def renewal_targets(self) -> list[MemberId]:
        """Return where to send renewals: the grantors, else the known cores, else the seeds."""
        if self._grantors.replicas:
            return self._grantors.members()
        if self.cores:
            return list(self.cores)
        return self.seeds()

    def is_majority(self, cores: list[MemberId]) -> bool:
        """Whether grants from `cores` are a majority, which a lease needs."""
        return self._grantors.is_member_quorum(cores)

    def grantors(self) -> list[MemberId]:
        """Return the cores that may grant the lease; empty before the first grant."""
        return self._grantors.members()

    def in_own_zone(self, members: list[MemberId]) -> list[MemberId]:
        """Return the members in `members` that are known cores in this node's zone."""
        infos = ((member, self.cores.get(member)) for member in members)
        zone = self._config.zone
        return [member for member, info in infos if info is not None and info.zone == zone]

    def seeds(self) -> list[MemberId]:
        """Return the seeds, as members identified by their address."""
        return [member_at(seed) for seed in self._config.seeds]

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the peer addresses for first contact."""
        self._config = attrs.evolve(self._config, seeds=seeds)

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of a core; None if the core is unknown."""
        info = self.cores.get(member)
        return Address(info.peer_address) if info else None

    def add_cores(self, infos: list[MemberInfo]) -> None:
        """Add cores that another process reported, without changing those already known."""
        for info in infos:
            self.cores.setdefault(MemberId(info.member), info)

    def handle_granted(self, sender: MemberId, granted: LeaseGranted) -> None:
        """Record a grant; replica sets that it carries replace the grantors unless outdated."""
        if granted.grantors.replicas and granted.config_version >= self._config_version:
            self._config_version = granted.config_version
            self._grantors = granted.grantors
            self.cores = {MemberId(info.member): info for info in granted.cores}
            self.cluster_incarnation = granted.cluster_incarnation
            self._cached_for_versions = None
        self.fence = max(self.fence, granted.fence)
        known = self._grants.get(sender)
        if known is None or granted.requested_at > known.requested_at:
            self._grants[sender] = Grant(granted.requested_at, granted.required)
            self._cached_for_versions = None

    def discard_grants(self) -> None:
        """Discard every grant: after a jump of the clock, the request times are meaningless."""
        self._grants.clear()
        self._cached_for_versions = None

    def valid_until(self, applied_versions: dict[str, int]) -> float:
        """Return until when the lease is valid for a node with these applied versions.

        It is minus infinity without valid grants from a majority.
        """
        if self._cached_for_versions != applied_versions:
            self._cached_for_versions = dict(applied_versions)
            self._cached_valid_until = self._majority_valid_until(applied_versions)
        return self._cached_valid_until

    def _majority_valid_until(self, applied_versions: dict[str, int]) -> float:
        if not self._grantors.replicas:
            return float("-inf")
        requested_at_by_core = {
            core: grant.requested_at
            for core, grant in self._grants.items()
            if all(
                applied_versions.get(key, 0) >= version for key, version in grant.required.items()
            )
        }
        quorum_sets = self._grantors.quorum_sets()
        return (
            min(_majority_requested_at(replicas, requested_at_by_core) for replicas in quorum_sets)
            + self._config.timings.lease_ttl_s
        )


def _majority_requested_at(
    replicas: list[str], requested_at_by_core: dict[MemberId, float]
) -> float:
    """Return the latest time such that a majority granted requests sent then or later.

    It is minus infinity without a majority of `replicas`. `node.partition_guard` has a function
    like it, for which an empty set needs no evidence; a lease never exists without grantors.
    """
    members = [member_of(replica) for replica in replicas]
    times = sorted(
        (requested_at_by_core[member] for member in members if member in requested_at_by_core),
        reverse=True,
    )
    needed = majority(len(members))
    return times[needed - 1] if len(times) >= needed else float("-inf")
