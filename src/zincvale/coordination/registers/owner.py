"""Owner of one key's register: takes the key under a new epoch and has its changes chosen
by a majority.

A new owner collects promises until they make up a quorum of the configuration in the newest record
among them, writes that record again under its own epoch and only then serves. One write is in
flight at a time; changes that arrive meanwhile wait and go together in the next one.

The configuration is part of the record and changes only with an epoch: an owner that is to move the
record takes a new epoch, writes the record again with both sets, which needs majorities of both and
the disks that are added, then takes another epoch and writes it with the new set alone.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.changes import Reducer, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.change_batch import AcceptedProposal, ChangeBatch
from zincvale.coordination.registers.change_messages import ProposeChange
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import (
    Accept,
    Accepted,
    BaseVersionMissing,
    EpochConfirmed,
    Prepare,
    Promise,
    RecordUpdate,
    Refused,
)
from zincvale.coordination.registers.ownership_proof import OwnershipProof, RejectedProposal
from zincvale.coordination.registers.records import Record, apply_update
from zincvale.coordination.replication.replica_config import ReplicaConfig, member_of, replica_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send

BATCH_LIMIT = 64
"""Most changes in one write; a larger batch delays the first change of it longer."""
STRAGGLER_INTERVAL_S = 1.0
"""How often a replica that lacks the chosen record gets it again, complete."""
CONFIG_MOVE_RETRY_S = 1.0
"""Between two attempts to move a record; each takes a new epoch and stops changes meanwhile."""


class OwnerPhase(enum.Enum):
    """How far this process is with owning a key.

    Legal transitions:

    - FOLLOWING -> PREPARING: `start` takes a new epoch, to become the owner.
    - SERVING -> PREPARING: `tick` takes a new epoch, to move the record to other replicas.
    - PREPARING -> REPROPOSING: promises of a quorum arrived; their newest record is written again.
    - REPROPOSING -> SERVING: that write is chosen.
    - PREPARING, REPROPOSING, SERVING -> FOLLOWING: a higher epoch was seen, a replica refused this
      one, or the process resigns; PREPARING also when the prepare timeout is over.

    REPROPOSING is entered from PREPARING alone: nothing is proposed under an epoch that a quorum
    did not promise.
    """

    FOLLOWING = "following"
    PREPARING = "preparing"
    REPROPOSING = "reproposing"
    SERVING = "serving"


@attrs.frozen
class NewlyChosen:
    """The key's record was chosen at `record.position`; the accepted proposals are in it."""

    record: Record
    accepted: list[AcceptedProposal]


Outcome = RejectedProposal | NewlyChosen


@attrs.define
class _InFlightWrite:
    """A record that the replicas were sent and no quorum acknowledged yet.

    `update` leads to `record` from the chosen one, or is complete; `quorum` is the configuration
    whose majorities choose it, not the one in `record` when that leaves a joint configuration;
    `acknowledged` are the replicas with the record on their disks.
    """

    record: Record
    update: RecordUpdate
    accepted: list[AcceptedProposal]
    quorum: ReplicaConfig
    sent_at: float
    acknowledged: set[str] = attrs.field(factory=set)


class RegisterOwner:
    """The owner's side of one key.

    Parameters
    ----------
    key : the key.
    owner : `member/incarnation` of this process.
    reducer : turns a change into row changes.
    timings : durations.

    Attributes
    ----------
    epoch : the newest epoch that this process took of the key.
    retry_at : earliest time of the next `start`; set by who decides to take the key.
    outcomes : what the caller must act on, in order; the caller takes and clears them.
    """

    def __init__(self, key: str, owner: str, reducer: Reducer, timings: Timings) -> None:
        self.key = key
        self.phase = OwnerPhase.FOLLOWING
        self.epoch = Epoch()
        self.retry_at = 0.0
        self.outcomes: list[Outcome] = []
        self._owner = owner
        self._reducer = reducer
        self._timings = timings
        self._highest_number = 0
        self._initial = ReplicaConfig()
        self._desired: list[str] = []
        self._prepared_members: set[MemberId] = set()
        self._promises: dict[str, RecordUpdate] = {}
        self._prepare_sent_at = 0.0
        self._record = Record()
        self._replicas_with_record: set[str] = set()
        self._straggler_push_at = 0.0
        self._config_move_at = 0.0
        self._in_flight: _InFlightWrite | None = None
        self._queue: deque[tuple[str, ProposeChange]] = deque()
        self._proof = OwnershipProof(key, timings.resend_interval_s)
        self._is_restoring = False

    @property
    def record(self) -> Record:
        """The newest record this owner knows to be chosen."""
        return self._record

    @property
    def chosen_version(self) -> int:
        """The newest version this owner knows to be chosen."""
        return self._record.position.version

    def is_serving(self) -> bool:
        """Whether changes are taken."""
        return self.phase is OwnerPhase.SERVING

    def observe_epoch(self, epoch: Epoch) -> list[Effect]:
        """Learn of an epoch; a higher one ends this ownership."""
        self._highest_number = max(self._highest_number, epoch.number)
        if self.phase is OwnerPhase.FOLLOWING or epoch <= self.epoch:
            return []
        return self._step_down(epoch)

    def start(
        self, guess: ReplicaConfig, initial: ReplicaConfig, desired: list[str], now: float
    ) -> list[Effect]:
        """Request promises of a new epoch from the replicas.

        Parameters
        ----------
        guess : the newest configuration known here: its replicas get the first requests.
        initial : the configuration of a key that was never written.
        desired : the replicas that the record is to have.
        """
        self._highest_number += 1
        self.epoch = Epoch(self._highest_number, self._owner)
        self.phase = OwnerPhase.PREPARING
        self._initial = initial
        self._desired = desired
        self._promises = {}
        self._prepared_members = set()
        self._prepare_sent_at = now
        self._in_flight = None
        return self._prepare_requests(guess)

    def resign(self) -> None:
        """Own the key no longer; changes in flight are routed to the next owner."""
        self._is_restoring = False
        self.phase = OwnerPhase.FOLLOWING
        self._promises = {}

    def take_abandoned_tokens(self) -> list[str]:
        """Return and forget the tokens of changes that are queued or in flight."""
        tokens = [token for token, _ in self._queue]
        if self._in_flight is not None:
            tokens.extend(proposal.token for proposal in self._in_flight.accepted)
        self._queue.clear()
        self._in_flight = None
        return [*tokens, *self._proof.abandon()]

    def submit(self, token: str, proposal: ProposeChange, now: float) -> list[Effect]:
        """Queue a change."""
        self._queue.append((token, proposal))
        return self._write_next(now)

    def restore(self, version: int, rows: Rows, now: float) -> list[Effect]:
        """Write a newer value that nodes still store and the replicas lost."""
        if not self.is_serving() or self._in_flight is not None or version <= self.chosen_version:
            return []
        position = Position(self.epoch, version)
        record = attrs.evolve(self._record, position=position, rows=dict(rows))
        self._is_restoring = True
        return self._begin_write(_InFlightWrite(record, record.to_update(), [], record.config, now))

    def handle(self, sender: MemberId, message: object, now: float) -> list[Effect]:
        """Apply a replica's response."""
        match message:
            case Promise():
                return self._handle_promise(sender, message, now)
            case Accepted():
                return self._handle_accepted(sender, message, now)
            case BaseVersionMissing(_, epoch):
                return self._handle_base_missing(sender, epoch)
            case EpochConfirmed() if self.phase is OwnerPhase.SERVING:
                proven, effects = self._proof.handle(
                    sender, message, self.epoch, self._record.config, now
                )
                self.outcomes.extend(proven)
                return effects
            case Refused(_, epoch, promised):
                self._highest_number = max(self._highest_number, promised.number)
                if epoch == self.epoch and self.phase is not OwnerPhase.FOLLOWING:
                    return self._step_down(promised)
        return []

    def tick(self, desired: list[str], now: float) -> list[Effect]:
        """Resend what got no response; give up at a timeout; move to the desired replicas."""
        if self.phase is OwnerPhase.PREPARING:
            if now - self._prepare_sent_at > self._timings.prepare_timeout_s:
                return self._step_down(self.epoch)
            return []
        effects = self._proof.tick(self.epoch, self._record.config, now)
        in_flight = self._in_flight
        if in_flight is not None:
            if now - in_flight.sent_at >= self._timings.resend_interval_s:
                in_flight.sent_at = now
                effects.extend(self._send_accepts(in_flight))
            return effects
        if self.phase is not OwnerPhase.SERVING:
            return effects
        if self._is_move_due(desired, now):
            self._config_move_at = now + CONFIG_MOVE_RETRY_S
            return effects + self.start(self._record.config, self._initial, desired, now)
        return effects + self._push_to_stragglers(now)

    def _is_move_due(self, desired: list[str], now: float) -> bool:
        config = self._record.config
        if not desired or now < self._config_move_at:
            return False
        if not config.previous:
            return config.replicas != desired
        copied = all(replica in self._replicas_with_record for replica in config.added())
        return copied or config.replicas != desired

    def _prepare_requests(self, config: ReplicaConfig) -> list[Effect]:
        effects: list[Effect] = []
        for member in config.members():
            if member not in self._prepared_members:
                self._prepared_members.add(member)
                effects.append(Send(member, Prepare(self.key, self.epoch)))
        return effects

    def _handle_promise(self, sender: MemberId, message: Promise, now: float) -> list[Effect]:
        if self.phase is not OwnerPhase.PREPARING or message.epoch != self.epoch:
            return []
        self._promises[replica_id(sender, message.disk)] = message.record
        newest = max(self._promises.values(), key=lambda update: update.position)
        newest_promised = apply_update(Record(), newest)
        assert newest_promised is not None
        if not newest_promised.config.replicas:
            newest_promised = attrs.evolve(newest_promised, config=self._initial)
        if not newest_promised.config.is_quorum(self._promises):
            return self._prepare_requests(newest_promised.config)
        self.phase = OwnerPhase.REPROPOSING
        record = newest_promised.moved_to(self.epoch, self._next_config(newest_promised))
        quorum = newest_promised.config if newest_promised.config.previous else record.config
        return self._begin_write(_InFlightWrite(record, record.to_update(), [], quorum, now))

    def _next_config(self, newest_promised: Record) -> ReplicaConfig:
        """Return the configuration to write the newest promised record again with.

        A change is closed only when its opening is known to be chosen: it is the very record that
        this owner wrote last. Otherwise a reader of the old set alone might still miss it.
        """
        config = newest_promised.config
        if not config.previous:
            return config.joint_with(self._desired) if self._desired else config
        if newest_promised.position == self._record.position:
            return config.settled_from_joint(self._desired)
        return config

    def _handle_accepted(self, sender: MemberId, message: Accepted, now: float) -> list[Effect]:
        replica = replica_id(sender, message.disk)
        if message.position == self._record.position:
            self._replicas_with_record.add(replica)
        in_flight = self._in_flight
        if in_flight is None or message.position != in_flight.record.position:
            return []
        in_flight.acknowledged.add(replica)
        if not in_flight.quorum.is_quorum(in_flight.acknowledged):
            return []
        self._in_flight = None
        self._record = in_flight.record
        self._replicas_with_record = in_flight.acknowledged
        self._straggler_push_at = now + STRAGGLER_INTERVAL_S
        self.outcomes.append(NewlyChosen(in_flight.record, in_flight.accepted))
        effects: list[Effect] = []
        if self._is_restoring:
            self._is_restoring = False
            fields = {"key": self.key, "version": self.chosen_version}
            effects.append(Log(log_events.VALUE_RESTORED, fields))
        if self.phase is OwnerPhase.REPROPOSING:
            self.phase = OwnerPhase.SERVING
            fields = {"key": self.key, "epoch": self.epoch.number, "version": self.chosen_version}
            effects.append(Log(log_events.OWNER_STARTED, fields))
        return effects + self._write_next(now)

    def _handle_base_missing(self, sender: MemberId, epoch: Epoch) -> list[Effect]:
        if epoch != self.epoch or self.phase is OwnerPhase.FOLLOWING:
            return []
        record = self._in_flight.record if self._in_flight else self._record
        return [Send(sender, self._accept(record.to_update()))]

    def _step_down(self, promised: Epoch) -> list[Effect]:
        self._is_restoring = False
        was_serving = self.phase is OwnerPhase.SERVING
        self.phase = OwnerPhase.FOLLOWING
        self._promises = {}
        if not was_serving:
            return []
        fields = {"key": self.key, "epoch": self.epoch.number, "higher": promised.number}
        return [Log(log_events.OWNER_LOST, fields)]

    def _write_next(self, now: float) -> list[Effect]:
        if self.phase is not OwnerPhase.SERVING or self._in_flight is not None or not self._queue:
            return []
        batch = ChangeBatch(self._record, self._reducer)
        rejections = []
        while self._queue and len(batch.accepted) < BATCH_LIMIT:
            token, proposal = self._queue.popleft()
            rejection = batch.add(token, proposal)
            if rejection is not None:
                rejections.append(RejectedProposal(token, rejection))
        effects = self._proof.add(rejections, self.epoch, self._record.config, now)
        if not batch.entries:
            if batch.accepted:
                self.outcomes.append(NewlyChosen(self._record, batch.accepted))
            return effects
        record, update = batch.finish(self.epoch)
        return effects + self._begin_write(
            _InFlightWrite(record, update, batch.accepted, record.config, now)
        )

    def _begin_write(self, write: _InFlightWrite) -> list[Effect]:
        self._in_flight = write
        return self._send_accepts(write)

    def _send_accepts(self, in_flight: _InFlightWrite) -> list[Effect]:
        missing = [
            each for each in in_flight.quorum.all_replicas() if each not in in_flight.acknowledged
        ]
        return self._to_replicas(missing, self._accept(in_flight.update))

    def _push_to_stragglers(self, now: float) -> list[Effect]:
        if now < self._straggler_push_at:
            return []
        self._straggler_push_at = now + STRAGGLER_INTERVAL_S
        lacking = [
            each
            for each in self._record.config.all_replicas()
            if each not in self._replicas_with_record
        ]
        if not lacking:
            return []
        return self._to_replicas(lacking, self._accept(self._record.to_update()))

    def _accept(self, update: RecordUpdate) -> Accept:
        return Accept(self.key, self.epoch, update, self.chosen_version)

    def _to_replicas(self, replicas: Iterable[str], message: Accept) -> list[Effect]:
        members = dict.fromkeys(member_of(replica) for replica in replicas)
        return [Send(member, message) for member in members]
