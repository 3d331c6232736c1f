"""Proof that an owner still owned its key when it rejected a change.

A rejection states what the newest record contains. An owner that was replaced without noticing
would base this statement on an outdated record. Therefore a rejection is sent only after a quorum
of replicas confirmed, in a round that began after the change was evaluated, that they had promised
no higher epoch. The read index of Raft works in the same way (Ongaro 2014, section 6.4).

A change that was rejected because of others in the same batch needs no round of its own: the owner
sends the result once the batch is chosen, which proves as much.
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
    """A rejected change; its result is sent only once the ownership is proven."""

    token: str
    result: ChangeResult


class OwnershipProof:
    """Rejections by one owner that wait for a proof of ownership, in one round at a time."""

    def __init__(self, key: str, resend_interval_s: float) -> None:
        self._key = key
        self._resend_interval_s = resend_interval_s
        self._round = 0
        self._confirmed: set[str] = set()
        self._proving: list[RejectedProposal] = []
        """Rejections that are sent when the current round completes."""
        self._pending: list[RejectedProposal] = []
        self._sent_at = 0.0

    def add(
        self,
        rejections: Sequence[RejectedProposal],
        epoch: Epoch,
        config: ReplicaConfig,
        now: float,
    ) -> list[Effect]:
        """Add rejections to a new round, or to the next one while a round is in progress."""
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
        """Count a confirmation; return the rejections that it proves and the next requests."""
        if response.epoch != epoch or response.round != self._round:
            return [], []
        self._confirmed.add(replica_id(sender, response.disk))
        if not config.is_quorum(self._confirmed):
            return [], []
        proven, self._proving = self._proving, []
        return proven, self._start_round(epoch, config, now)

    def tick(self, epoch: Epoch, config: ReplicaConfig, now: float) -> list[Effect]:
        """Resend the round's requests to all replicas when the resend interval is over."""
        if not self._proving or now - self._sent_at < self._resend_interval_s:
            return []
        self._sent_at = now
        return self._confirm_requests(epoch, config)

    def abandon(self) -> list[str]:
        """Remove all unproven rejections and return their tokens."""
        tokens = [rejection.token for rejection in [*self._proving, *self._pending]]
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
