"""Tells when a chosen version is rolled out: applied by every node that may serve.

A version is rolled out when a majority of the granting cores reports that every live lease has
applied it, and a majority of the registered nodes confirmed it (docs/design-coordination.md,
"Acknowledgement"). By the first condition no node serves on a lease without it. By the second none
serves without a lease either: nodes that reach no core go on serving only with evidence from a
majority of the registered nodes, and whoever gave evidence does not confirm.

A core that reports newer replica sets or a newer registry than the one that counts stops the count:
majorities of outdated sets prove nothing.

There is no time limit here: a change that is not counted in time is answered `not-confirmed` by
`coordination.registers.proposal_router`, and may still be counted later.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import AppliedVersionsReport
from zincvale.coordination.replication.replica_config import ReplicaConfig, has_majority
from zincvale.model.identifiers import MemberId


@attrs.frozen
class PendingChange:
    """A chosen change whose caller, at the call `token`, waits until its version is rolled out.

    `controlplane.api.intent_changes.PendingChange` is the same change at the operators' API.
    """

    token: str
    version: int


@attrs.frozen
class QuorumRules:
    """The sets by whose majorities a core counts reports and confirmations.

    Attributes
    ----------
    grantors : the cores that grant leases.
    config_version : the version of the replica sets that `grantors` come from.
    registry_version : the version of the registry that `registries` come from.
    registries : the sets of nodes of which a majority each must confirm.
    """

    grantors: ReplicaConfig
    config_version: int
    registry_version: int
    registries: list[list[str]]


class RolloutTracker:
    """Collects the cores' reports about one key.

    Parameters
    ----------
    registry_key : the key of the registry.
    strict : count only nodes that applied the newest version of *every* key that any report knows.
        A change of the registry ends by this rule, so that the new set has applied all that the
        old set has.
    """

    def __init__(self, registry_key: str, *, strict: bool) -> None:
        self._registry_key = registry_key
        self._strict = strict
        self._reports: dict[MemberId, AppliedVersionsReport] = {}
        self.pending: list[PendingChange] = []
        self.version = 0
        self.is_stale = False
        """Whether counting anew may have another result."""

    def record_report(self, sender: MemberId, report: AppliedVersionsReport) -> None:
        """Record the newest report of a core."""
        self._reports[sender] = report
        self.is_stale = True

    def wait(self, change: PendingChange) -> None:
        """Add a change that waits for its version."""
        self.pending.append(change)
        self.is_stale = True

    def update(self, rules: QuorumRules) -> list[PendingChange]:
        """Count anew; remove and return the pending changes that are rolled out."""
        self.is_stale = False
        for version in sorted({report.version for report in self._reports.values()}, reverse=True):
            if version <= self.version:
                break
            if self._is_applied_everywhere(version, rules):
                self.version = version
                break
        done = [change for change in self.pending if change.version <= self.version]
        self.pending = [change for change in self.pending if change.version > self.version]
        return done

    def _is_applied_everywhere(self, version: int, rules: QuorumRules) -> bool:
        reports = {
            core: report for core, report in self._reports.items() if report.version >= version
        }
        if not rules.grantors.is_member_quorum(reports):
            return False
        if any(self._knows_newer_rules(report, rules) for report in reports.values()):
            return False
        counted = self._newest(reports) if self._strict else reports
        confirmed = _confirmed_nodes(counted, rules.grantors)
        return all(has_majority(registry, confirmed) for registry in rules.registries)

    def _knows_newer_rules(self, report: AppliedVersionsReport, rules: QuorumRules) -> bool:
        registry_version = report.chosen.get(self._registry_key, 0)
        return (
            report.config_version > rules.config_version
            or registry_version > rules.registry_version
        )

    def _newest(
        self, reports: dict[MemberId, AppliedVersionsReport]
    ) -> dict[MemberId, AppliedVersionsReport]:
        newest: dict[str, int] = {}
        for report in reports.values():
            for key, version in report.chosen.items():
                newest[key] = max(newest.get(key, 0), version)
        return {core: report for core, report in reports.items() if report.chosen == newest}


def _confirmed_nodes(
    reports: dict[MemberId, AppliedVersionsReport], grantors: ReplicaConfig
) -> set[str]:
    """Return the nodes that confirmed to a majority of the granting cores.

    One core is not enough: a node that restarts could get a new lease from the others, without the
    version that it had applied and confirmed before.
    """
    cores_by_node: dict[str, set[MemberId]] = {}
    for core, report in reports.items():
        for node in report.nodes:
            cores_by_node.setdefault(node, set()).add(core)
    return {node for node, cores in cores_by_node.items() if grantors.is_member_quorum(cores)}
