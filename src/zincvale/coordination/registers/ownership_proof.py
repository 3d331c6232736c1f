"""Proof that an owner was still the owner when it refused a change.

A refusal says what the newest record is. An owner that was replaced without knowing it would say it
of an old record; so a refusal is answered only after a quorum of replicas, asked after the change
was evaluated, had promised no higher epoch.
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
class Evaluated:
    """A change that was refused."""

    token: str
    result: ChangeResult


class OwnershipProof:
    """Refusals of one owner that wait for their proof; one round at a time."""

    def __init__(self, key: str, resend_interval_s: float) -> None:
        self._key = key
        self._resend_interval_s = resend_interval_s
        self._round = 0
        self._confirmed: set[str] = set()
        self._asked: list[Evaluated] = []
        """Refusals that the current round proves."""
        self._waiting: list[Evaluated] = []
        self._sent_at = 0.0

    def add(
        self, refusals: Sequence[Evaluated], epoch: Epoch, config: ReplicaConfig, now: float
    ) -> list[Effect]:
        """Start proving refusals; those that come during a round wait for the next."""
        self._waiting.extend(refusals)
        return [] if self._asked else self._start_round(epoch, config, now)

    def handle(
        self,
        sender: MemberId,
        answer: EpochConfirmed,
        epoch: Epoch,
        config: ReplicaConfig,
        now: float,
    ) -> tuple[list[Evaluated], list[Effect]]:
        """Count an answer; return the refusals that are proven, and what to send."""
        if answer.epoch != epoch or answer.round != self._round:
            return [], []
        self._confirmed.add(replica_id(sender, answer.disk))
        if not config.reached_by(self._confirmed):
            return [], []
        proven, self._asked = self._asked, []
        return proven, self._start_round(epoch, config, now)

    def tick(self, epoch: Epoch, config: ReplicaConfig, now: float) -> list[Effect]:
        """Ask again those that did not answer."""
        if not self._asked or now - self._sent_at < self._resend_interval_s:
            return []
        self._sent_at = now
        return self._ask(epoch, config)

    def abandon(self) -> list[str]:
        """Return and forget the tokens of refusals that were not proven."""
        tokens = [each.token for each in [*self._asked, *self._waiting]]
        self._asked, self._waiting = [], []
        return tokens

    def _start_round(self, epoch: Epoch, config: ReplicaConfig, now: float) -> list[Effect]:
        self._asked, self._waiting = self._waiting, []
        if not self._asked:
            return []
        self._round += 1
        self._confirmed = set()
        self._sent_at = now
        return self._ask(epoch, config)

    def _ask(self, epoch: Epoch, config: ReplicaConfig) -> list[Effect]:
        question = ConfirmEpoch(self._key, epoch, self._round)
        return [Send(member, question) for member in config.members()]
