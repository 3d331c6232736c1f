"""Proof that an owner was still the owner when it rejected a change.

A rejection says what the newest record is. An owner that was replaced without knowing it would say
it of an old record; so a rejection is sent only after a quorum of replicas confirmed, in a round
that began after the change was evaluated, that they had promised no higher epoch (as the read index
of Raft, Ongaro 2014 section 6.4).
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from zincvale.coordination.registers.change_messages import ChangeResult
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.messages import ConfirmEpoch, EpochConfirmed
from zincvale.coordination.replication.replica_config import ReplicaConfig, replica_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send


@attrs.frozen
class RejectedProposal:
    """A change that was rejected; its result is sent once the ownership is proven."""

    token: str
    result: ChangeResult


class OwnershipProof:
    """Rejections of one owner that wait for their proof; one round at a time."""

    def __init__(self, key: str, resend_interval_s: float) -> None:
        self._key = key
        self._resend_interval_s = resend_interval_s
        self._round = 0
        self._confirmed: set[str] = set()
        self._proving: list[RejectedProposal] = []
        """Rejections that the current round proves."""
        self._pending: list[RejectedProposal] = []
        self._sent_at = 0.0

    def add(
        self,
        rejections: Sequence[RejectedProposal],
        epoch: Epoch,
        config: ReplicaConfig,
        now: float,
    ) -> list[Effect]:
        """Start proving rejections; those that come during a round wait for the next."""
        self._pending.extend(rejections)
        return [] if self._proving else self._start_round(epoch, config, now)

    def handle(
        self,
        sender: MemberId,
        response: EpochConfirmed,
        epoch: Epoch,
        config: ReplicaConfig,
        now: float,
    ) -> tuple[list[RejectedProposal], list[Effect]]:
        """Count a response; return the rejections that are proven, and what to send."""
        if response.epoch != epoch or response.round != self._round:
            return [], []
        self._confirmed.add(replica_id(sender, response.disk))
        if not config.is_quorum(self._confirmed):
            return [], []
        proven, self._proving = self._proving, []
        return proven, self._start_round(epoch, config, now)

    def tick(self, epoch: Epoch, config: ReplicaConfig, now: float) -> list[Effect]:
        """Resend the round to all replicas when it is not complete in time."""
        if not self._proving or now - self._sent_at < self._resend_interval_s:
            return []
        self._sent_at = now
        return self._confirm_requests(epoch, config)

    def abandon(self) -> list[str]:
        """Return and forget the tokens of rejections that were not proven."""
        tokens = [each.token for each in [*self._proving, *self._pending]]
        self._proving, self._pending = [], []
        return tokens

    def _start_round(self, epoch: Epoch, config: ReplicaConfig, now: float) -> list[Effect]:
        self._proving, self._pending = self._pending, []
        if not self._proving:
            return []
        self._round += 1
        self._confirmed = set()
        self._sent_at = now
        return self._confirm_requests(epoch, config)

    def _confirm_requests(self, epoch: Epoch, config: ReplicaConfig) -> list[Effect]:
        request = ConfirmEpoch(self._key, epoch, self._round)
        return [Send(member, request) for member in config.members()]
