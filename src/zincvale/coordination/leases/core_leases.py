"""Member leases at a core: who gets a grant, and what follows from the leases.

A core grants nothing before it is caught up (see `catch_up`) and while `grants_blocked_until` lies
ahead: a grant must require everything that was acknowledged before this process started.
"""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.delivery.applied_versions import AppliedVersions
from zincvale.coordination.leases.lease_grantor import CLOCK_RATE_ALLOWANCE, LeaseGrantor
from zincvale.coordination.leases.messages import LeaseGranted, LeaseRedirect, RenewLease
from zincvale.coordination.membership.member_table import MemberTable
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.membership.registry_reconciler import RegistryReconciler
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.coordination.replication.replica_sets import REGISTRY_KEY
from zincvale.model.machine import Effect


class MemberLeases:
    """The member leases of one core, and the tables that are made from them.

    Attributes
    ----------
    grantor : the leases granted here.
    applied_versions : this core's reports of applied versions, and the other cores'.
    members : the member table, made from the leases and the cores' heartbeats.
    caught_up : whether this core knows everything acknowledged before it started.
    """

    def __init__(self, context: CoreContext) -> None:
        timings = context.config.timings
        earliest = context.started_at + timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._context = context
        self.grantor = LeaseGrantor(timings, earliest)
        self.applied_versions = AppliedVersions(context, self.grantor)
        self.members = MemberTable(context, self.grantor)
        self._registry = RegistryReconciler(context, self.grantor)
        self.caught_up = False

    def handle_renewal(
        self, renewal: RenewLease, newest: dict[str, int], now: float
    ) -> LeaseGranted | LeaseRedirect:
        """Grant a lease, or say why not; a lease that starts anew requires `newest`."""
        context = self._context
        context.cores.record_address(renewal.info)
        if not self.caught_up or not context.is_voter() or now < context.grants_blocked_until:
            return LeaseRedirect(self.core_infos(), "this core cannot grant yet")
        knows_replica_sets = renewal.config_version == context.sets.version
        return LeaseGranted(
            requested_at=renewal.requested_at,
            config_version=context.sets.version,
            grantors=ReplicaConfig() if knows_replica_sets else context.sets.grantors(),
            required=self.grantor.renew(renewal, newest, now),
            chosen=context.chosen_versions(),
            cores=[] if knows_replica_sets else self.core_infos(),
            cluster_incarnation=context.sets.cluster_incarnation,
            fence=context.newest_role_epoch(),
        )

    def core_infos(self) -> list[MemberInfo]:
        """Return how the cores of the cluster are reached."""
        infos = [row.info for row in self._context.sets.cores.values()]
        return infos if infos else [self._context.info()]

    def report_if_complete(self, now: float) -> list[Effect]:
        """Report applied versions at once when no live lease lacks a chosen version any more."""
        if (
            not self.caught_up
            or not self.grantor.applied_versions_changed
            or self.grantor.has_stale_members()
        ):
            return []
        return self.applied_versions.report(now, only_changes=True)

    def tick(self, now: float) -> list[Effect]:
        """Expire leases, report applied versions, invite registered nodes that have no lease."""
        self.grantor.expire(now)
        if not self.caught_up:
            return []
        invitations = self._registry.invite_absent(self.core_infos(), now)
        return [*self.applied_versions.tick(now), *invitations]

    def registry_change(self, now: float) -> bytes | None:
        """Return the next change of the registry, if one is due."""
        if not self.caught_up:
            return None
        return self._registry.next_change(self.applied_versions.is_rolled_out(REGISTRY_KEY), now)
