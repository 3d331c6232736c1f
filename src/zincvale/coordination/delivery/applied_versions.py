"""Reports that cores exchange about the versions that nodes have applied."""

from __future__ import annotations

from zincvale.coordination.config import ReadinessRule
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import AppliedVersionsReport
from zincvale.coordination.delivery.rollout import ChosenChange, QuorumRules, RolloutTracker
from zincvale.coordination.leases.lease_grantor import LeaseGrantor
from zincvale.coordination.membership import registry
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS, REGISTRY_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect

BUSY_INTERVAL_S = 0.5
"""Interval between two full reports while a chosen version is not rolled out, in seconds. A lost
report delays an acknowledgement by this much."""
IDLE_INTERVAL_S = 2.0
"""Interval between two full reports while every version is rolled out, in seconds. A started core
needs the reports before it can determine what is rolled out."""


class AppliedVersions:
    """Sends this core's reports, and keeps a tracker of all cores' reports for each key."""

    def __init__(self, context: CoreContext, grantor: LeaseGrantor) -> None:
        self._context = context
        self._grantor = grantor
        self.trackers = {
            key: RolloutTracker(REGISTRY_KEY, strict=key == REGISTRY_KEY) for key in DELIVERED_KEYS
        }
        self._last_reports: dict[str, AppliedVersionsReport] = {}
        self._full_report_at = 0.0
        self._cached_quorum_sets: tuple[int, list[list[str]]] = (0, [])

    def handle(self, sender: MemberId, report: AppliedVersionsReport) -> None:
        """Record another core's report, if it is about a delivered key."""
        tracker = self.trackers.get(report.key)
        if tracker is not None:
            tracker.record_report(sender, report)

    def take_rolled_out_changes(self, key: str) -> list[ChosenChange]:
        """Remove and return the pending changes of `key` whose versions are rolled out."""
        tracker = self.trackers[key]
        if not tracker.needs_update:
            return []
        rules = QuorumRules(
            grantors=self._context.replica_sets.grantors(),
            config_version=self._context.replica_sets.version,
            registry_version=self._context.chosen_version(REGISTRY_KEY),
            node_sets=self._confirming_sets(),
        )
        return tracker.update(rules)

    def unconfirmed_nodes(self, key: str) -> list[str]:
        """Return the registered nodes that have not confirmed the rolled-out version of `key`."""
        grantors = self._context.replica_sets.grantors()
        confirmed = self.trackers[key].confirmed_nodes(grantors)
        registered = {node for nodes in self._quorum_sets() for node in nodes}
        return sorted(registered - confirmed)

    def is_rolled_out(self, key: str) -> bool:
        """Whether the newest chosen version of `key` is rolled out."""
        return self.trackers[key].rolled_out_version >= self._context.chosen_version(key)

    def on_rules_changed(self) -> None:
        """Mark every tracker for an update, because the replica sets or the registry changed."""
        for tracker in self.trackers.values():
            tracker.needs_update = True

    def tick(self, now: float) -> list[Effect]:
        """Report what changed; send full reports at an interval, because reports may be lost."""
        if now >= self._full_report_at:
            all_rolled_out = all(self.is_rolled_out(key) for key in DELIVERED_KEYS)
            self._full_report_at = now + (IDLE_INTERVAL_S if all_rolled_out else BUSY_INTERVAL_S)
            return self.report(now, only_changes=False)
        if self._grantor.applied_versions_changed or self._grantor.has_stale_members():
            return self.report(now, only_changes=True)
        return []

    def report(self, now: float, *, only_changes: bool) -> list[Effect]:
        """Send the other cores the versions that every node with a live lease here has applied.

        With `only_changes`, keys whose report is the same as the previous one are omitted.
        """
        self._grantor.applied_versions_changed = False
        effects: list[Effect] = []
        for key in DELIVERED_KEYS:
            report = self._build_report(key, now)
            if only_changes and self._last_reports.get(key) == report:
                continue
            self._last_reports[key] = report
            self.trackers[key].record_report(self._context.own_id, report)
            effects.extend(self._context.to_other_cores(report))
        return effects

    def _build_report(self, key: str, now: float) -> AppliedVersionsReport:
        chosen = self._context.chosen_versions()
        lowest_version = self._grantor.lowest_applied_version(key, chosen[key], now)
        confirmed_versions = chosen if key == REGISTRY_KEY else {key: lowest_version}
        return AppliedVersionsReport(
            key=key,
            version=lowest_version,
            nodes=self._grantor.confirming_nodes(confirmed_versions, now),
            chosen=chosen,
            config_version=self._context.replica_sets.version,
        )

    def _confirming_sets(self) -> list[list[str]]:
        """Return the sets of nodes of which a majority must confirm; none if leases are enough."""
        if self._context.config.readiness is ReadinessRule.LEASE:
            return []
        return self._quorum_sets()

    def _quorum_sets(self) -> list[list[str]]:
        table = self._context.values.get(REGISTRY_KEY)
        if table is None:
            return []
        if self._cached_quorum_sets[0] != table.version:
            self._cached_quorum_sets = (table.version, registry.quorum_sets(table.rows))
        return self._cached_quorum_sets[1]
