"""Determines when a chosen version is rolled out, that is, applied by every node that may serve.

A version is rolled out when a majority of the granting cores report that every node with a live
lease has applied it, and a majority of the registered nodes have confirmed it
(docs/design-coordination.md, "Acknowledgement"). By the first condition, no node serves on a lease
without the version. By the second, no node is ready by evidence without it either: a node that
reaches no core is ready only with evidence from a majority of the registered nodes, and a node that
gave evidence does not confirm. Where nodes are ready with a lease only, no node has to confirm.

While a core reports newer replica sets or a newer registry than those used here, no version becomes
rolled out, because majorities of outdated sets prove nothing.

No time limit applies here. If a version is not rolled out in time,
`coordination.registers.proposal_router` responds `not-confirmed`; it may be rolled out later.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import AppliedVersionsReport
from zincvale.coordination.replication.replica_config import ReplicaConfig, has_majority
from zincvale.model.identifiers import MemberId


@attrs.frozen
class ChosenChange:
    """A chosen change; the call `token` gets its response when `version` is rolled out.

    `controlplane.api.intent_changes.PendingChange` is the same change at the operators' API.
    """

    token: str
    version: int


@attrs.frozen
class QuorumRules:
    """The sets of cores and nodes of which a rollout needs majorities.

    Attributes
    ----------
    grantors : the cores that grant leases.
    config_version : the version of the replica sets that define `grantors`.
    registry_version : the version of the registry that defines `node_sets`.
    node_sets : the sets of registered nodes; a majority of each one must confirm. There is none
        where nodes are ready with a lease only.
    """

    grantors: ReplicaConfig
    config_version: int
    registry_version: int
    node_sets: list[list[str]]


class RolloutTracker:
    """Collects the cores' reports about one key, and determines its rolled-out version.

    Parameters
    ----------
    registry_key : the key of the registry.
    strict : whether to use only reports that know the newest chosen version of *every* key in any
        report. The key `registry` needs this rule: when a change of the registry is closed, the new
        set must have applied everything that the old set has.
    """

    def __init__(self, registry_key: str, *, strict: bool) -> None:
        self._registry_key = registry_key
        self._strict = strict
        self._reports: dict[MemberId, AppliedVersionsReport] = {}
        self.pending: list[ChosenChange] = []
        self.rolled_out_version = 0
        self.needs_update = False
        """Whether reports or pending changes were added since the last `update`, or the rules may
        have changed."""

    def record_report(self, sender: MemberId, report: AppliedVersionsReport) -> None:
        """Record a core's report in place of its previous one."""
        self._reports[sender] = report
        self.needs_update = True

    def add_pending(self, change: ChosenChange) -> None:
        """Add a change that waits until its version is rolled out."""
        self.pending.append(change)
        self.needs_update = True

    def update(self, rules: QuorumRules) -> list[ChosenChange]:
        """Update the rolled-out version; remove and return the pending changes it covers."""
        self.needs_update = False
        for version in sorted({report.version for report in self._reports.values()}, reverse=True):
            if version <= self.rolled_out_version:
                break
            if self._is_applied_everywhere(version, rules):
                self.rolled_out_version = version
                break
        rolled_out = [
            change for change in self.pending if change.version <= self.rolled_out_version
        ]
        self.pending = [
            change for change in self.pending if change.version > self.rolled_out_version
        ]
        return rolled_out

    def confirmed_nodes(self, grantors: ReplicaConfig) -> set[str]:
        """Return the nodes that confirmed the rolled-out version to a majority of `grantors`."""
        reports = {
            core: report
            for core, report in self._reports.items()
            if report.version >= self.rolled_out_version
        }
        return _confirmed_nodes(reports, grantors)

    def _is_applied_everywhere(self, version: int, rules: QuorumRules) -> bool:
        reports = {
            core: report for core, report in self._reports.items() if report.version >= version
        }
        if not rules.grantors.is_member_quorum(reports):
            return False
        if any(self._knows_newer_rules(report, rules) for report in reports.values()):
            return False
        used_reports = self._reports_of_newest_versions(reports) if self._strict else reports
        confirmed_nodes = _confirmed_nodes(used_reports, rules.grantors)
        return all(has_majority(nodes, confirmed_nodes) for nodes in rules.node_sets)

    def _knows_newer_rules(self, report: AppliedVersionsReport, rules: QuorumRules) -> bool:
        registry_version = report.chosen.get(self._registry_key, 0)
        return (
            report.config_version > rules.config_version
            or registry_version > rules.registry_version
        )

    def _reports_of_newest_versions(
        self, reports: dict[MemberId, AppliedVersionsReport]
    ) -> dict[MemberId, AppliedVersionsReport]:
        newest_versions: dict[str, int] = {}
        for report in reports.values():
            for key, version in report.chosen.items():
                newest_versions[key] = max(newest_versions.get(key, 0), version)
        return {
            core: report for core, report in reports.items() if report.chosen == newest_versions
        }


def _confirmed_nodes(
    reports: dict[MemberId, AppliedVersionsReport], grantors: ReplicaConfig
) -> set[str]:
    """Return the nodes that confirmed to a majority of the granting cores.

    One core is not enough: a node that restarts could get a new lease from the other cores, without
    the version that it had applied and confirmed before.
    """
    cores_by_node: dict[str, set[MemberId]] = {}
    for core, report in reports.items():
        for node in report.nodes:
            cores_by_node.setdefault(node, set()).add(core)
    return {node for node, cores in cores_by_node.items() if grantors.is_member_quorum(cores)}
