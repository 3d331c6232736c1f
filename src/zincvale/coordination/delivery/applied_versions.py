"""Reports among the cores about the versions that nodes applied, and what is rolled out by them."""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import AppliedVersionsReport
from zincvale.coordination.delivery.rollout import PendingChange, QuorumRules, RolloutTracker
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.membership import registry
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS, REGISTRY_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect

BUSY_INTERVAL_S = 0.5
"""Between two reports while a version is not rolled out: a lost one delays an acknowledgement by
this much."""
IDLE_INTERVAL_S = 2.0
"""Between two reports otherwise; a core that started needs them before it may count."""


class AppliedVersions:
    """This core's reports, and for each delivered key the tracker that counts every core's."""

    def __init__(self, context: CoreContext, grantor: LeaseGrantor) -> None:
        self._context = context
        self._grantor = grantor
        self.trackers = {
            key: RolloutTracker(REGISTRY_KEY, strict=key == REGISTRY_KEY) for key in DELIVERED_KEYS
        }
        self._reported: dict[str, AppliedVersionsReport] = {}
        self._repeat_at = 0.0
        self._cached_quorum_sets: tuple[int, list[list[str]]] = (0, [])

    def handle(self, sender: MemberId, report: AppliedVersionsReport) -> None:
        """Record another core's report."""
        tracker = self.trackers.get(report.key)
        if tracker is not None:
            tracker.record_report(sender, report)

    def take_rolled_out(self, key: str) -> list[PendingChange]:
        """Remove and return the pending changes of `key` that are rolled out."""
        tracker = self.trackers[key]
        if not tracker.is_stale:
            return []
        rules = QuorumRules(
            grantors=self._context.sets.grantors(),
            config_version=self._context.sets.version,
            registry_version=self._context.chosen_version(REGISTRY_KEY),
            registries=self._quorum_sets(),
        )
        return tracker.update(rules)

    def is_rolled_out(self, key: str) -> bool:
        """Whether the newest chosen version is rolled out."""
        return self.trackers[key].version >= self._context.chosen_version(key)

    def on_rules_changed(self) -> None:
        """Have every key counted anew: the replica sets or the registry changed."""
        for tracker in self.trackers.values():
            tracker.is_stale = True

    def tick(self, now: float) -> list[Effect]:
        """Report what changed, and repeat reports now and then: they may be lost."""
        if now >= self._repeat_at:
            all_rolled_out = all(self.is_rolled_out(key) for key in DELIVERED_KEYS)
            self._repeat_at = now + (IDLE_INTERVAL_S if all_rolled_out else BUSY_INTERVAL_S)
            return self.report(now, only_changes=False)
        if self._grantor.applied_versions_changed or self._grantor.has_stale_members():
            return self.report(now, only_changes=True)
        return []

    def report(self, now: float, *, only_changes: bool) -> list[Effect]:
        """Send the other cores the versions that every live lease here has applied.

        With `only_changes`, keys whose report is the same as the last one are left out.
        """
        self._grantor.applied_versions_changed = False
        effects: list[Effect] = []
        for key in DELIVERED_KEYS:
            report = self._report(key, now)
            if only_changes and self._reported.get(key) == report:
                continue
            self._reported[key] = report
            self.trackers[key].record_report(self._context.own_id, report)
            effects.extend(self._context.to_other_cores(report))
        return effects

    def _report(self, key: str, now: float) -> AppliedVersionsReport:
        chosen = self._context.chosen_versions()
        floor = self._grantor.lowest_applied_version(key, chosen[key], now)
        confirmed = chosen if key == REGISTRY_KEY else {key: floor}
        return AppliedVersionsReport(
            key=key,
            version=floor,
            nodes=self._grantor.confirming_nodes(confirmed, now),
            chosen=chosen,
            config_version=self._context.sets.version,
        )

    def _quorum_sets(self) -> list[list[str]]:
        table = self._context.values.get(REGISTRY_KEY)
        if table is None:
            return []
        if self._cached_quorum_sets[0] != table.version:
            self._cached_quorum_sets = (table.version, registry.quorum_sets(table.rows))
        return self._cached_quorum_sets[1]
