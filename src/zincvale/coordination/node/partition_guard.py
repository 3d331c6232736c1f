"""Decides whether a node that reaches no core, directly or through a peer, may continue to serve.

During such a network partition, the node serves only while a majority of the registered nodes have
given evidence, within the last lease lifetime, that they reach no core either and have applied
nothing newer. A node that gave evidence confirms no version while the evidence may be in use.

Proof that such a node serves nothing outdated: an acknowledgement needs confirmations from a
majority of the registered nodes (`delivery.rollout`). Any two such majorities share a node. That
node either confirmed before it gave evidence, in which case its evidence shows the newer version,
or it does not confirm. In a minority partition, evidence from a majority cannot be collected, so
the node becomes unready.

Races that are handled here:

- The lifetime of evidence starts when it was requested, so delayed evidence expires no later.
- A response also carries the evidence that its sender collected, with its age when the response was
  sent. The requester counts that evidence from the time of its own request minus the age, which is
  never too recent. Evidence from a majority of many nodes is thus collected in a few rounds of a
  few requests each.
- A restarted process does not know which evidence its former run gave. It assumes that some was
  given until the process started.

All this holds under `ReadinessRule.LEASE_OR_EVIDENCE`. Under `ReadinessRule.LEASE`, evidence only
says that most nodes reach no core.
"""

from __future__ import annotations

import random

from zincvale.coordination.changes import Rows
from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.lease_grantor import CLOCK_RATE_ALLOWANCE
from zincvale.coordination.leases.messages import PartitionEvidence, PartitionProbe
from zincvale.coordination.membership import registry
from zincvale.coordination.replication.replica_config import majority
from zincvale.coordination.replication.replica_sets import REGISTRY_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

PEERS_PER_PROBE_ROUND = 8
"""Number of peers probed in one round. Because responses carry collected evidence, a few rounds
reach a majority."""
AGE_STEPS_PER_LIFETIME = 250
"""Number of steps into which a lease lifetime is divided to encode the age of evidence in a byte.
Ages are rounded up, so that evidence never appears more recent than it is."""
NO_EVIDENCE_AGE = 255
"""The age byte that stands for no evidence; it is greater than the byte of any valid age."""


class PartitionGuard:
    """Tracks the evidence of a partition that this node received from peers and gave to them.

    Parameters
    ----------
    config : this node's identity, and `lease_ttl_s`, which is also the lifetime of evidence.
    random_source : chooses the peers to probe in each round.
    now : the time of the process's start, in seconds.
    """

    def __init__(self, config: NodeConfig, random_source: random.Random, now: float) -> None:
        self._config = config
        self._random = random_source
        self._lifetime_s = config.timings.lease_ttl_s
        self._requested_at: dict[str, float] = {}
        """When the newest evidence that showed no newer version was requested, by node."""
        self._newer_versions: dict[str, tuple[float, dict[str, int]]] = {}
        """Peers that have applied a newer version: when their evidence was requested, and the
        versions that they have applied."""
        self._gave_evidence_at = now
        """When this node last gave evidence; an earlier run of the process may have given some
        until this process started."""
        self._probe_at = 0.0

    def discard_evidence(self) -> None:
        """Discard all evidence: after a jump of the clock, the request times are meaningless."""
        self._requested_at.clear()
        self._newer_versions.clear()

    def may_confirm(self, now: float) -> bool:
        """Whether this node may confirm versions: all evidence that it gave has expired."""
        return now - self._gave_evidence_at > self._lifetime_s * CLOCK_RATE_ALLOWANCE

    def probe(self, registry_rows: Rows, now: float) -> list[Effect]:
        """Request evidence from some random peers, at most once per `peer_probe_s`."""
        if now < self._probe_at:
            return []
        self._probe_at = now + self._config.timings.peer_probe_s
        peers = [node for node in registry_rows if node != self._config.member]
        chosen = self._random.sample(peers, min(PEERS_PER_PROBE_ROUND, len(peers)))
        return [Send(MemberId(peer), PartitionProbe(now)) for peer in chosen]

    def give_evidence(
        self,
        sender: MemberId,
        probe: PartitionProbe,
        registry_rows: Rows,
        applied_versions: dict[str, int],
        now: float,
    ) -> list[Effect]:
        """Respond to a probe with evidence; this node confirms nothing until it has expired."""
        self._gave_evidence_at = now
        ages = bytes(self._age_byte(node, now) for node in sorted(registry_rows))
        return [Send(sender, PartitionEvidence(probe.requested_at, applied_versions, ages))]

    def record_evidence(
        self,
        sender: MemberId,
        evidence: PartitionEvidence,
        registry_rows: Rows,
        applied_versions: dict[str, int],
    ) -> None:
        """Record a peer's evidence, and that which it collected from other nodes.

        If the peer has applied a newer version, only that fact is recorded. The ages of collected
        evidence are in the order of the registry's nodes, so they are used only if both nodes have
        the same version of the registry.
        """
        if not _has_applied_all(applied_versions, evidence.applied_versions):
            self._newer_versions[sender] = (evidence.requested_at, evidence.applied_versions)
            return
        self._newer_versions.pop(sender, None)
        self._record_request_time(sender, evidence.requested_at)
        if evidence.applied_versions.get(REGISTRY_KEY) != applied_versions.get(REGISTRY_KEY):
            return
        for node, age in zip(sorted(registry_rows), evidence.ages, strict=False):
            if age != NO_EVIDENCE_AGE and node != self._config.member:
                self._record_request_time(
                    node, evidence.requested_at - age * self._lifetime_s / AGE_STEPS_PER_LIFETIME
                )

    def valid_until(self, registry_rows: Rows, now: float) -> float:
        """Return until when this node may serve by evidence; minus infinity without a majority."""
        if not registry_rows:
            return float("-inf")
        requested_at_by_node = {**self._requested_at, str(self._config.member): now}
        node_sets = registry.quorum_sets(registry_rows)
        return (
            min(_majority_requested_at(nodes, requested_at_by_node) for nodes in node_sets)
            + self._lifetime_s
        )

    def newer_peers(self, applied_versions: dict[str, int], now: float) -> list[MemberId]:
        """Return the peers that have applied a newer version, by evidence not yet expired."""
        return [
            MemberId(node)
            for node, (requested_at, peer_versions) in self._newer_versions.items()
            if now < requested_at + self._lifetime_s
            and not _has_applied_all(applied_versions, peer_versions)
        ]

    def _record_request_time(self, node: str, requested_at: float) -> None:
        self._requested_at[node] = max(requested_at, self._requested_at.get(node, float("-inf")))

    def _age_byte(self, node: str, now: float) -> int:
        """Return the age of a node's evidence as a byte: in steps, rounded up."""
        if node == self._config.member:
            return 0
        age_s = now - self._requested_at.get(node, float("-inf"))
        if age_s >= self._lifetime_s:
            return NO_EVIDENCE_AGE
        return int(age_s / self._lifetime_s * AGE_STEPS_PER_LIFETIME) + 1


def _majority_requested_at(nodes: list[str], requested_at_by_node: dict[str, float]) -> float:
    """Return the latest time such that a majority of `nodes` gave evidence requested then or later.

    It is minus infinity without a majority. An empty set needs no evidence: when the last nodes
    leave the registry, the new set is empty. The function for grants in `leases.member_lease` never
    gets an empty set.
    """
    if not nodes:
        return float("inf")
    times = sorted(
        (requested_at_by_node[node] for node in nodes if node in requested_at_by_node), reverse=True
    )
    needed = majority(len(nodes))
    return times[needed - 1] if len(times) >= needed else float("-inf")


def _has_applied_all(applied_versions: dict[str, int], required_versions: dict[str, int]) -> bool:
    return all(
        applied_versions.get(key, 0) >= version for key, version in required_versions.items()
    )
