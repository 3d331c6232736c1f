"""Tells when a chosen version is in force: held by every node that may serve.

A version is in force when a majority of the granting cores reports that every live lease holds it,
and a majority of the registered nodes confirmed it. The second condition keeps a majority island of
nodes that no core can reach on a version that nothing newer was acknowledged over.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import AppliedVersionsReport
from zincvale.coordination.replication.replica_config import ReplicaConfig, has_majority
from zincvale.model.identifiers import MemberId


@attrs.frozen
class Waiter:
    """A change that waits for its version to be in force."""

    token: str
    version: int


@attrs.frozen
class QuorumRules:
    """By what a core counts reports and confirmations.

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
    strict : count only nodes that hold the newest of *every* key that any report knows. A change of
        the registry is closed by this rule, so that the new set knows all that the old set does.
    """

    def __init__(self, registry_key: str, strict: bool) -> None:
        self._registry_key = registry_key
        self._strict = strict
        self._reports: dict[MemberId, AppliedVersionsReport] = {}
        self.waiters: list[Waiter] = []
        self.version = 0
        self.stale = False
        """Whether counting anew may tell something new."""

    def note(self, sender: MemberId, report: AppliedVersionsReport) -> None:
        """Remember the newest report of a core."""
        self._reports[sender] = report
        self.stale = True

    def wait(self, waiter: Waiter) -> None:
        """Add a change that waits."""
        self.waiters.append(waiter)
        self.stale = True

    def update(self, rules: QuorumRules) -> list[Waiter]:
        """Work out the version in force; return the waiters it satisfies."""
        self.stale = False
        for version in sorted({report.version for report in self._reports.values()}, reverse=True):
            if version <= self.version:
                break
            if self._in_force(version, rules):
                self.version = version
                break
        done = [waiter for waiter in self.waiters if waiter.version <= self.version]
        self.waiters = [waiter for waiter in self.waiters if waiter.version > self.version]
        return done

    def _in_force(self, version: int, rules: QuorumRules) -> bool:
        reports = {
            core: report for core, report in self._reports.items() if report.version >= version
        }
        if not rules.grantors.is_member_quorum(reports):
            return False
        if any(self._knows_newer_rules(report, rules) for report in reports.values()):
            return False
        counted = self._newest(reports) if self._strict else reports
        confirmed = _confirmed(counted, rules.grantors)
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


def _confirmed(reports: dict[MemberId, AppliedVersionsReport], grantors: ReplicaConfig) -> set[str]:
    """Return the nodes that confirmed to a majority of the granting cores.

    To one core is not enough: a node that restarts could get a new lease from the others, without
    what it confirmed before.
    """
    cores_by_node: dict[str, set[MemberId]] = {}
    for core, report in reports.items():
        for node in report.nodes:
            cores_by_node.setdefault(node, set()).add(core)
    return {node for node, cores in cores_by_node.items() if grantors.is_member_quorum(cores)}
