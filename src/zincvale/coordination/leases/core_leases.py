"""Member leases at a core: granting them, and the tables and reports derived from them.

A core grants no lease before it has caught up (see `catch_up`), nor before `grants_blocked_until`.
A grant must require every version that was acknowledged before this process started.
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
    """The member leases of one core, and the tables derived from them.

    Attributes
    ----------
    grantor : the leases granted by this core.
    applied_versions : the reports of applied versions, of this core and of the others.
    members : the member table, built from the leases and the cores' heartbeats.
    caught_up : whether this core knows every version acknowledged before its start.
    """

    def __init__(self, context: CoreContext) -> None:
        timings = context.config.timings
        earlier_leases_until = context.started_at + timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._context = context
        self.grantor = LeaseGrantor(timings, earlier_leases_until)
        self.applied_versions = AppliedVersions(context, self.grantor)
        self.members = MemberTable(context, self.grantor)
        self._registry = RegistryReconciler(context, self.grantor)
        self.caught_up = False

    def handle_renewal(
        self, renewal: RenewLease, newest_versions: dict[str, int], now: float
    ) -> LeaseGranted | LeaseRedirect:
        """Grant a lease, or respond that none can be granted.

        A new lease requires `newest_versions`.
        """
        context = self._context
        context.cores.record_address(renewal.info)
        if not self.caught_up or not context.is_voter() or now < context.grants_blocked_until:
            return LeaseRedirect(self.core_infos(), "this core cannot grant yet")
        if self.grantor.has_departed(renewal.info):
            return LeaseRedirect(self.core_infos(), "this run has released its lease")
        knows_replica_sets = renewal.config_version == context.replica_sets.version
        return LeaseGranted(
            requested_at=renewal.requested_at,
            config_version=context.replica_sets.version,
            grantors=ReplicaConfig() if knows_replica_sets else context.replica_sets.grantors(),
            required=self.grantor.renew(renewal, newest_versions, now),
            chosen=context.chosen_versions(),
            cores=[] if knows_replica_sets else self.core_infos(),
            cluster_incarnation=context.replica_sets.cluster_incarnation,
            fence=context.newest_role_epoch(),
        )

    def core_infos(self) -> list[MemberInfo]:
        """Return the addresses and zones of the cluster's cores; of this core if none is known."""
        infos = [row.info for row in self._context.replica_sets.cores.values()]
        return infos if infos else [self._context.info()]

    def report_if_all_applied(self, now: float) -> list[Effect]:
        """Report changed applied versions if every node with a lease has all chosen versions."""
        if (
            not self.caught_up
            or not self.grantor.applied_versions_changed
            or self.grantor.has_stale_members()
        ):
            return []
        return self.applied_versions.report(now, only_changes=True)

    def tick(self, now: float) -> list[Effect]:
        """Remove expired leases, report applied versions, and invite registered nodes to renew.

        Only registered nodes without a lease are invited.
        """
        self.grantor.expire(now)
        if not self.caught_up:
            return []
        invitation_effects = self._registry.invite_nodes_without_lease(self.core_infos(), now)
        return [*self.applied_versions.tick(now), *invitation_effects]

    def next_registry_change(self, now: float) -> bytes | None:
        """Return the encoded change of the registry to propose next; None if none is due."""
        if not self.caught_up:
            return None
        return self._registry.next_change(self.applied_versions.is_rolled_out(REGISTRY_KEY), now)
