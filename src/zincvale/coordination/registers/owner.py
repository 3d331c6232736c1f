"""Owner of one key's register: takes the key under a new epoch and carries changes to a majority.

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
from zincvale.coordination.registers.ownership_proof import Evaluated, OwnershipProof
from zincvale.coordination.registers.records import Record, apply_update
from zincvale.coordination.replication.replica_config import ReplicaConfig, member_of, replica_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send

BATCH_LIMIT = 64
"""Most changes in one write."""
STRAGGLER_INTERVAL_S = 1.0
"""How often a replica that lacks the chosen record gets it again."""
MIGRATION_RETRY_S = 1.0


class Phase(enum.Enum):
    """How far this process is with owning a key."""

    FOLLOWING = "following"
    PREPARING = "preparing"
    WRITING_AGAIN = "writing-again"
    SERVING = "serving"


@attrs.frozen
class NewlyChosen:
    """The key's record was chosen at `record.position`; the accepted proposals are in it."""

    record: Record
    accepted: list[AcceptedProposal]


Outcome = Evaluated | NewlyChosen


@attrs.define
class _InFlight:
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
    """

    def __init__(self, key: str, owner: str, reducer: Reducer, timings: Timings) -> None:
        self.key = key
        self.phase = Phase.FOLLOWING
        self.epoch = Epoch()
        self.retry_at = 0.0
        self.outcomes: list[Outcome] = []
        self._owner = owner
        self._reducer = reducer
        self._timings = timings
        self._highest_number = 0
        self._initial = ReplicaConfig()
        self._desired: list[str] = []
        self._asked: set[MemberId] = set()
        self._promises: dict[str, RecordUpdate] = {}
        self._asked_at = 0.0
        self._record = Record()
        self._holders: set[str] = set()
        self._straggler_at = 0.0
        self._migrate_at = 0.0
        self._in_flight: _InFlight | None = None
        self._queue: deque[tuple[str, ProposeChange]] = deque()
        self._proof = OwnershipProof(key, timings.resend_interval_s)
        self._restoring = False

    @property
    def record(self) -> Record:
        """The newest record this owner knows to be chosen."""
        return self._record

    @property
    def chosen_version(self) -> int:
        """The newest version this owner knows to be chosen."""
        return self._record.position.version

    def serving(self) -> bool:
        """Whether changes are taken."""
        return self.phase is Phase.SERVING

    def note_epoch(self, epoch: Epoch) -> list[Effect]:
        """Learn of an epoch; a higher one ends this ownership."""
        self._highest_number = max(self._highest_number, epoch.number)
        if self.phase is Phase.FOLLOWING or epoch <= self.epoch:
            return []
        return self._step_down(epoch)

    def start(
        self, guess: ReplicaConfig, initial: ReplicaConfig, desired: list[str], now: float
    ) -> list[Effect]:
        """Ask the replicas to promise a new epoch.

        Parameters
        ----------
        guess : the newest configuration known here, to know whom to ask first.
        initial : the configuration of a key that was never written.
        desired : the replicas that the record is to have.
        """
        self._highest_number += 1
        self.epoch = Epoch(self._highest_number, self._owner)
        self.phase = Phase.PREPARING
        self._initial = initial
        self._desired = desired
        self._promises = {}
        self._asked = set()
        self._asked_at = now
        self._in_flight = None
        return self._ask(guess)

    def resign(self) -> None:
        """Own the key no longer; changes in flight are routed to the next owner."""
        self._restoring = False
        self.phase = Phase.FOLLOWING
        self._promises = {}

    def abandon_queue(self) -> list[str]:
        """Return and forget the tokens of changes that wait or are in flight."""
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
        """Write a newer value that nodes hold and the replicas lost."""
        if not self.serving() or self._in_flight is not None or version <= self.chosen_version:
            return []
        position = Position(self.epoch, version)
        record = attrs.evolve(self._record, position=position, rows=dict(rows))
        self._restoring = True
        return self._begin_write(record, record.to_update(), [], record.config, now)

    def handle(self, sender: MemberId, message: object, now: float) -> list[Effect]:
        """Apply a replica's answer."""
        match message:
            case Promise():
                return self._handle_promise(sender, message, now)
            case Accepted():
                return self._handle_accepted(sender, message, now)
            case BaseVersionMissing(_, epoch):
                return self._handle_base_missing(sender, epoch)
            case EpochConfirmed() if self.phase is Phase.SERVING:
                proven, effects = self._proof.handle(
                    sender, message, self.epoch, self._record.config, now
                )
                self.outcomes.extend(proven)
                return effects
            case Refused(_, epoch, promised):
                self._highest_number = max(self._highest_number, promised.number)
                if epoch == self.epoch and self.phase is not Phase.FOLLOWING:
                    return self._step_down(promised)
        return []

    def tick(self, desired: list[str], now: float) -> list[Effect]:
        """Repeat what got no answer; give up what takes too long; move to the desired replicas."""
        if self.phase is Phase.PREPARING:
            if now - self._asked_at > self._timings.prepare_timeout_s:
                return self._step_down(self.epoch)
            return []
        effects = self._proof.tick(self.epoch, self._record.config, now)
        flight = self._in_flight
        if flight is not None:
            if now - flight.sent_at >= self._timings.resend_interval_s:
                flight.sent_at = now
                effects.extend(self._send_accepts(flight))
            return effects
        if self.phase is not Phase.SERVING:
            return effects
        if self._is_move_due(desired, now):
            self._migrate_at = now + MIGRATION_RETRY_S
            return effects + self.start(self._record.config, self._initial, desired, now)
        return effects + self._push_to_stragglers(now)

    def _is_move_due(self, desired: list[str], now: float) -> bool:
        config = self._record.config
        if not desired or now < self._migrate_at:
            return False
        if not config.previous:
            return config.replicas != desired
        copied = all(replica in self._holders for replica in config.added())
        return copied or config.replicas != desired

    def _ask(self, config: ReplicaConfig) -> list[Effect]:
        effects: list[Effect] = []
        for member in config.members():
            if member not in self._asked:
                self._asked.add(member)
                effects.append(Send(member, Prepare(self.key, self.epoch)))
        return effects

    def _handle_promise(self, sender: MemberId, message: Promise, now: float) -> list[Effect]:
        if self.phase is not Phase.PREPARING or message.epoch != self.epoch:
            return []
        self._promises[replica_id(sender, message.disk)] = message.record
        newest = max(self._promises.values(), key=lambda update: update.position)
        found = apply_update(Record(), newest)
        assert found is not None
        if not found.config.replicas:
            found = attrs.evolve(found, config=self._initial)
        if not found.config.reached_by(self._promises):
            return self._ask(found.config)
        self.phase = Phase.WRITING_AGAIN
        record = found.moved_to(self.epoch, self._next_config(found))
        quorum = found.config if found.config.previous else record.config
        return self._begin_write(record, record.to_update(), [], quorum, now)

    def _next_config(self, found: Record) -> ReplicaConfig:
        """Return the configuration to write a found record with.

        A change is closed only when its opening is known to be chosen: it is the very record that
        this owner wrote last. Otherwise a reader of the old set alone might still miss it.
        """
        config = found.config
        if not config.previous:
            return config.opened_to(self._desired) if self._desired else config
        if found.position == self._record.position:
            return config.closed_to(self._desired)
        return config

    def _handle_accepted(self, sender: MemberId, message: Accepted, now: float) -> list[Effect]:
        replica = replica_id(sender, message.disk)
        if message.position == self._record.position:
            self._holders.add(replica)
        flight = self._in_flight
        if flight is None or message.position != flight.record.position:
            return []
        flight.acknowledged.add(replica)
        if not flight.quorum.reached_by(flight.acknowledged):
            return []
        self._in_flight = None
        self._record = flight.record
        self._holders = flight.acknowledged
        self._straggler_at = now + STRAGGLER_INTERVAL_S
        self.outcomes.append(NewlyChosen(flight.record, flight.accepted))
        effects: list[Effect] = []
        if self._restoring:
            self._restoring = False
            fields = {"key": self.key, "version": self.chosen_version}
            effects.append(Log(log_events.VALUE_RESTORED, fields))
        if self.phase is Phase.WRITING_AGAIN:
            self.phase = Phase.SERVING
            fields = {"key": self.key, "epoch": self.epoch.number, "version": self.chosen_version}
            effects.append(Log(log_events.OWNER_STARTED, fields))
        return effects + self._write_next(now)

    def _handle_base_missing(self, sender: MemberId, epoch: Epoch) -> list[Effect]:
        if epoch != self.epoch or self.phase is Phase.FOLLOWING:
            return []
        record = self._in_flight.record if self._in_flight else self._record
        return [Send(sender, self._accept(record.to_update()))]

    def _step_down(self, promised: Epoch) -> list[Effect]:
        self._restoring = False
        was_serving = self.phase is Phase.SERVING
        self.phase = Phase.FOLLOWING
        self._promises = {}
        if not was_serving:
            return []
        fields = {"key": self.key, "epoch": self.epoch.number, "higher": promised.number}
        return [Log(log_events.OWNER_LOST, fields)]

    def _write_next(self, now: float) -> list[Effect]:
        if self.phase is not Phase.SERVING or self._in_flight is not None or not self._queue:
            return []
        batch = ChangeBatch(self._record, self._reducer)
        refusals = []
        while self._queue and len(batch.accepted) < BATCH_LIMIT:
            token, proposal = self._queue.popleft()
            refusal = batch.add(token, proposal)
            if refusal is not None:
                refusals.append(Evaluated(token, refusal))
        effects = self._proof.add(refusals, self.epoch, self._record.config, now)
        if not batch.entries:
            if batch.accepted:
                self.outcomes.append(NewlyChosen(self._record, batch.accepted))
            return effects
        record, update = batch.finish(self.epoch)
        return effects + self._begin_write(record, update, batch.accepted, record.config, now)

    def _begin_write(
        self,
        record: Record,
        update: RecordUpdate,
        accepted: list[AcceptedProposal],
        quorum: ReplicaConfig,
        now: float,
    ) -> list[Effect]:
        self._in_flight = _InFlight(record, update, accepted, quorum, now)
        return self._send_accepts(self._in_flight)

    def _send_accepts(self, flight: _InFlight) -> list[Effect]:
        missing = [each for each in flight.quorum.everyone() if each not in flight.acknowledged]
        return self._to_replicas(missing, self._accept(flight.update))

    def _push_to_stragglers(self, now: float) -> list[Effect]:
        if now < self._straggler_at:
            return []
        self._straggler_at = now + STRAGGLER_INTERVAL_S
        lacking = [each for each in self._record.config.everyone() if each not in self._holders]
        if not lacking:
            return []
        return self._to_replicas(lacking, self._accept(self._record.to_update()))

    def _accept(self, update: RecordUpdate) -> Accept:
        return Accept(self.key, self.epoch, update, self.chosen_version)

    def _to_replicas(self, replicas: Iterable[str], message: Accept) -> list[Effect]:
        members = dict.fromkeys(member_of(replica) for replica in replicas)
        return [Send(member, message) for member in members]
