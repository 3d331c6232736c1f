"""Member leases at a core: who gets a grant, and what follows from the leases."""

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
    """Grants leases once this core knows what was acknowledged before it started."""

    def __init__(self, context: CoreContext) -> None:
        timings = context.config.timings
        earliest = context.started_at + timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._context = context
        self.grantor = LeaseGrantor(timings, earliest)
        self.reports = AppliedVersions(context, self.grantor)
        self.members = MemberTable(context, self.grantor)
        self._registry = RegistryReconciler(context, self.grantor)
        self.caught_up = False

    def handle_renew(
        self, renewal: RenewLease, newest: dict[str, int], now: float
    ) -> LeaseGranted | LeaseRedirect:
        """Grant a lease, or say why not; a lease that starts anew needs the `newest` versions."""
        context = self._context
        context.cores.note_address(renewal.info)
        if not self.caught_up or not context.is_voter() or now < context.grants_blocked_until:
            return LeaseRedirect(self.core_infos(), "this core cannot grant yet")
        is_informed = renewal.config_version == context.sets.version
        return LeaseGranted(
            asked_at=renewal.asked_at,
            config_version=context.sets.version,
            grantors=ReplicaConfig() if is_informed else context.sets.grantors(),
            required=self.grantor.renew(renewal, newest, now),
            chosen=context.chosen_versions(),
            cores=[] if is_informed else self.core_infos(),
            cluster_incarnation=context.sets.cluster_incarnation,
            fence=context.newest_role_epoch(),
        )

    def core_infos(self) -> list[MemberInfo]:
        """Return how the cores of the cluster are reached."""
        infos = [row.info for row in self._context.sets.cores.values()]
        return infos if infos else [self._context.info()]

    def report_if_complete(self, now: float) -> list[Effect]:
        """Report at once when the last node that lacked a version confirmed it."""
        if not self.caught_up or not self.grantor.replicas_changed or self.grantor.has_laggards():
            return []
        return self.reports.report(now, only_news=True)

    def tick(self, now: float) -> list[Effect]:
        """Expire leases, report, call back lost nodes."""
        self.grantor.expire(now)
        if not self.caught_up:
            return []
        call_back = self._registry.call_back(self.core_infos(), now)
        return [*self.reports.tick(now), *call_back]

    def registry_change(self, now: float) -> bytes | None:
        """Return the next change of the registry, if one is due."""
        if not self.caught_up:
            return None
        return self._registry.next_change(self.reports.is_settled(REGISTRY_KEY), now)
