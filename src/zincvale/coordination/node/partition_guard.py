"""What a node may do that reaches no core, directly or through a peer (a network partition).

It goes on serving only while a majority of the registered nodes gave evidence, within a lease
lifetime, that they reach no core either and have applied nothing newer. A node that gave evidence
confirms no version for as long as the evidence may count.

Proof that it serves nothing outdated: an acknowledgement needs confirmations of a majority of the
registered nodes (`delivery.rollout`). Any two such majorities share a node, and that node either
confirmed before it gave evidence, so its evidence shows the newer version, or does not confirm. In
a minority partition there is no majority for evidence, so the node turns unready.

Races that are guarded here:

- Evidence counts from the instant of its request, so a delayed response is worth no more.
- A response forwards the evidence that its sender collected, with its age when the response left.
  Seen from the requester, that evidence is at least as recent as its own request less the age. So a
  majority of many nodes is reached in a few rounds of few requests each.
- A process that restarted does not know what evidence its former run gave: it counts as having
  given some at its start.
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

PROBED_PEERS = 8
"""Peers asked in a round. Responses forward evidence, so a few rounds reach a majority."""
AGE_STEPS = 250
"""Ages are sent in this many steps of a lifetime, rounded up: evidence never looks newer."""
NO_EVIDENCE = 255
"""The age byte of a node without evidence; above every step."""


class PartitionGuard:
    """The evidence of a partition that this node requested from and gave to peers.

    Parameters
    ----------
    config : who this node is, and `lease_ttl_s`, the lifetime of evidence.
    random_source : chooses the peers of a round.
    now : the time of the process's start, in seconds.
    """

    def __init__(self, config: NodeConfig, random_source: random.Random, now: float) -> None:
        self._config = config
        self._random = random_source
        self._lifetime_s = config.timings.lease_ttl_s
        self._requested_at: dict[str, float] = {}
        """When the newest evidence of each node that has applied nothing newer was requested."""
        self._newer_versions: dict[str, tuple[float, dict[str, int]]] = {}
        """Peers that have applied something newer: when their evidence was requested, and what."""
        self._given_at = now
        """When this node last gave evidence; an earlier run may have given some until its end."""
        self._probe_at = 0.0

    def discard_evidence(self) -> None:
        """Discard all evidence: the clock jumped, so the lifetimes counted by it are void."""
        self._requested_at.clear()
        self._newer_versions.clear()

    def may_confirm(self, now: float) -> bool:
        """Whether this node may confirm versions: no evidence that it gave may still count."""
        return now - self._given_at > self._lifetime_s * CLOCK_RATE_ALLOWANCE

    def probe(self, registered: Rows, now: float) -> list[Effect]:
        """Return requests for evidence to some peers, every `peer_probe_s` at most."""
        if now < self._probe_at:
            return []
        self._probe_at = now + self._config.timings.peer_probe_s
        peers = [node for node in registered if node != self._config.member]
        chosen = self._random.sample(peers, min(PROBED_PEERS, len(peers)))
        return [Send(MemberId(peer), PartitionProbe(now)) for peer in chosen]

    def give_evidence(
        self,
        sender: MemberId,
        probe: PartitionProbe,
        registered: Rows,
        applied_versions: dict[str, int],
        now: float,
    ) -> list[Effect]:
        """Send evidence; from now on this node confirms nothing until it cannot count any more."""
        self._given_at = now
        ages = bytes(self._age(node, now) for node in sorted(registered))
        return [Send(sender, PartitionEvidence(probe.requested_at, applied_versions, ages))]

    def record_evidence(
        self,
        sender: MemberId,
        evidence: PartitionEvidence,
        registered: Rows,
        applied_versions: dict[str, int],
    ) -> None:
        """Count a peer's evidence and what it forwards, unless it has applied something newer.

        What it forwards is by position in the registry, so both must have the same one.
        """
        if not _has_applied_all(applied_versions, evidence.applied_versions):
            self._newer_versions[sender] = (evidence.requested_at, evidence.applied_versions)
            return
        self._newer_versions.pop(sender, None)
        self._count(sender, evidence.requested_at)
        if evidence.applied_versions.get(REGISTRY_KEY) != applied_versions.get(REGISTRY_KEY):
            return
        for node, age in zip(sorted(registered), evidence.ages, strict=False):
            if age != NO_EVIDENCE and node != self._config.member:
                self._count(node, evidence.requested_at - age * self._lifetime_s / AGE_STEPS)

    def valid_until(self, registered: Rows, now: float) -> float:
        """Return until when evidence lets this node serve; minus infinity without a majority."""
        if not registered:
            return float("-inf")
        requested = {**self._requested_at, str(self._config.member): now}
        sets = registry.quorum_sets(registered)
        return min(_majority_requested_at(each, requested) for each in sets) + self._lifetime_s

    def newer_peers(self, applied_versions: dict[str, int], now: float) -> list[MemberId]:
        """Return the peers that have applied something newer, by evidence that still counts."""
        return [
            MemberId(node)
            for node, (requested_at, theirs) in self._newer_versions.items()
            if now < requested_at + self._lifetime_s
            and not _has_applied_all(applied_versions, theirs)
        ]

    def _count(self, node: str, requested_at: float) -> None:
        self._requested_at[node] = max(requested_at, self._requested_at.get(node, float("-inf")))

    def _age(self, node: str, now: float) -> int:
        """Return the age of a node's evidence in steps, rounded up."""
        if node == self._config.member:
            return 0
        age_s = now - self._requested_at.get(node, float("-inf"))
        if age_s >= self._lifetime_s:
            return NO_EVIDENCE
        return int(age_s / self._lifetime_s * AGE_STEPS) + 1


def _majority_requested_at(registered: list[str], requested: dict[str, float]) -> float:
    """Return the latest instant since which a majority of `registered` gave requested evidence.

    An empty set needs no evidence: a registry whose last nodes leave has an empty new set. The
    count of grants in `leases.member_lease` never meets one.
    """
    if not registered:
        return float("inf")
    times = sorted((requested[node] for node in registered if node in requested), reverse=True)
    needed = majority(len(registered))
    return times[needed - 1] if len(times) >= needed else float("-inf")


def _has_applied_all(applied_versions: dict[str, int], other: dict[str, int]) -> bool:
    return all(applied_versions.get(key, 0) >= version for key, version in other.items())
