"""What a node may do that no core reaches, directly or through a peer.

It goes on serving only while a majority of the registered nodes gave evidence, within a lease
lifetime, that they lost the cores as well and hold nothing newer. Whoever gives evidence confirms
no version towards the registered majority for as long as the evidence may count; as every
acknowledgement needs such a majority, none can happen behind the island's back. A minority island
turns unready.

Evidence counts from when it was asked for, so a delayed answer is worth no more. An answer passes
on the evidence its sender collected, with its age when the answer left: seen from the asker, that
evidence is at least as fresh as its own question less the age. So a majority of many nodes is heard
in a few rounds of few questions each.
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

PEERS_ASKED = 8
"""Peers asked in one round."""
AGE_STEPS = 250
"""Ages travel in this many steps of an evidence lifetime, rounded up."""
NO_EVIDENCE = 255


class PartitionGuard:
    """Evidence asked from and given to peers."""

    def __init__(self, config: NodeConfig, random_source: random.Random, now: float) -> None:
        self._config = config
        self._random = random_source
        self._lifetime_s = config.timings.lease_ttl_s
        self._asked_at: dict[str, float] = {}
        """When the newest evidence of each node, holding nothing newer, was asked for."""
        self._newer: dict[str, tuple[float, dict[str, int]]] = {}
        """Peers that hold something newer, and what."""
        self._given_at = now
        """When this node last gave evidence; an earlier run may have given some until its end."""
        self._probe_at = 0.0

    def drop(self) -> None:
        """Count no evidence any more, after the clock jumped."""
        self._asked_at.clear()
        self._newer.clear()

    def is_silent(self, now: float) -> bool:
        """Whether no evidence that this node gave may still count."""
        return now - self._given_at > self._lifetime_s * CLOCK_RATE_ALLOWANCE

    def probe(self, registered: Rows, now: float) -> list[Effect]:
        """Ask peers, now and then, while the lease is about to lapse or has lapsed."""
        if now < self._probe_at:
            return []
        self._probe_at = now + self._config.timings.peer_probe_s
        peers = [node for node in registered if node != self._config.member]
        asked = self._random.sample(peers, min(PEERS_ASKED, len(peers)))
        return [Send(MemberId(peer), PartitionProbe(now)) for peer in asked]

    def answer(
        self,
        sender: MemberId,
        probe: PartitionProbe,
        registered: Rows,
        applied_versions: dict[str, int],
        now: float,
    ) -> list[Effect]:
        """Give evidence; from now on this node confirms nothing for a while."""
        self._given_at = now
        ages = bytes(self._age(node, now) for node in sorted(registered))
        return [Send(sender, PartitionEvidence(probe.requested_at, applied_versions, ages))]

    def note(
        self,
        sender: MemberId,
        evidence: PartitionEvidence,
        registered: Rows,
        applied_versions: dict[str, int],
    ) -> None:
        """Count a peer's evidence and what it passes on, unless it holds something newer."""
        if not _has_applied_all(applied_versions, evidence.applied_versions):
            self._newer[sender] = (evidence.requested_at, evidence.applied_versions)
            return
        self._newer.pop(sender, None)
        self._count(sender, evidence.requested_at)
        if evidence.applied_versions.get(REGISTRY_KEY) != applied_versions.get(REGISTRY_KEY):
            return
        for node, age in zip(sorted(registered), evidence.ages, strict=False):
            if age != NO_EVIDENCE and node != self._config.member:
                self._count(node, evidence.requested_at - age * self._lifetime_s / AGE_STEPS)

    def valid_until(self, registered: Rows, now: float) -> float:
        """Return until when this node may serve on what it holds."""
        if not registered:
            return float("-inf")
        asked = {**self._asked_at, str(self._config.member): now}
        sets = registry.quorum_sets(registered)
        return min(_majority_asked(each, asked) for each in sets) + self._lifetime_s

    def newer_peers(self, applied_versions: dict[str, int], now: float) -> list[MemberId]:
        """Return peers that lately said that they hold something newer."""
        return [
            MemberId(node)
            for node, (requested_at, theirs) in self._newer.items()
            if now < requested_at + self._lifetime_s
            and not _has_applied_all(applied_versions, theirs)
        ]

    def _count(self, node: str, requested_at: float) -> None:
        self._asked_at[node] = max(requested_at, self._asked_at.get(node, float("-inf")))

    def _age(self, node: str, now: float) -> int:
        """Return the age of a node's evidence in steps, rounded up."""
        if node == self._config.member:
            return 0
        age_s = now - self._asked_at.get(node, float("-inf"))
        if age_s >= self._lifetime_s:
            return NO_EVIDENCE
        return int(age_s / self._lifetime_s * AGE_STEPS) + 1


def _majority_asked(registered: list[str], asked: dict[str, float]) -> float:
    """Return the instant since which a majority of `registered` was asked; empty sets always."""
    if not registered:
        return float("inf")
    times = sorted((asked[node] for node in registered if node in asked), reverse=True)
    needed = majority(len(registered))
    return times[needed - 1] if len(times) >= needed else float("-inf")


def _has_applied_all(applied_versions: dict[str, int], other: dict[str, int]) -> bool:
    return all(applied_versions.get(key, 0) >= version for key, version in other.items())
