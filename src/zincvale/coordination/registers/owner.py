"""Owner (proposer) of one key's register.

The owner takes the key under a new epoch and gets changes of the key chosen by a majority of its
replicas. A new owner collects promises until they form a quorum of the configuration in the newest
promised record. It writes that record again under its own epoch and serves changes only once this
write is chosen. One write is in flight at a time; changes that arrive meanwhile are queued and
batched into the next write.

The configuration is part of the record and changes only together with the epoch. To move the record
to other replicas, the owner takes a new epoch and writes the record under the joint configuration,
which requires a majority of the old set, a majority of the new set and every added disk. It then
takes another epoch and writes the record under the new set alone.
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
"""Maximum number of changes in one write; a larger batch would delay its first change longer."""
STRAGGLER_INTERVAL_S = 1.0
"""Interval at which replicas that lack the chosen record are sent it again in full."""
RECONFIGURATION_RETRY_S = 1.0
"""Minimum interval between two attempts to move a record to other replicas. Each attempt takes a
new epoch, and no change is written until the record is chosen under that epoch."""


class OwnerPhase(enum.Enum):
    """Progress of this process in owning a key.

    Legal transitions:

    - FOLLOWING -> PREPARING: `start` takes a new epoch in order to become the owner.
    - SERVING -> PREPARING: `tick` takes a new epoch in order to move the record to other replicas.
    - PREPARING -> REPROPOSING: a quorum promised the epoch; the newest record among the promises is
      written again.
    - REPROPOSING -> SERVING: that write was chosen.
    - PREPARING, REPROPOSING, SERVING -> FOLLOWING: a higher epoch was observed, a replica refused
      this epoch, or the process resigned. PREPARING also ends at the prepare timeout.

    REPROPOSING is entered only from PREPARING, so nothing is proposed under an epoch that a quorum
    did not promise.
    """

    FOLLOWING = "following"
    PREPARING = "preparing"
    REPROPOSING = "reproposing"
    SERVING = "serving"


@attrs.frozen
class NewlyChosen:
    """A record of the key that was chosen; it includes the changes of the accepted proposals."""

    record: Record
    accepted: list[AcceptedProposal]


Outcome = RejectedProposal | NewlyChosen


@attrs.define
class _InFlightWrite:
    """A record that was sent to the replicas and that no quorum has acknowledged yet.

    Attributes
    ----------
    update : the complete record, or its delta from the last chosen record.
    quorum : the configuration whose majorities must acknowledge the record. It differs from the
        configuration in `record` when the write leaves a joint configuration.
    acknowledged : the replicas that have the record on their disks.
    enters_joint : whether the record begins the move to other replicas.
    rejections : changes that were rejected because of others in this write. They get their results
        once it is chosen: until then the others may still be lost, and another owner accept these.
    """

    record: Record
    update: RecordUpdate
    accepted: list[AcceptedProposal]
    quorum: ReplicaConfig
    sent_at: float
    acknowledged: set[str] = attrs.field(factory=set)
    enters_joint: bool = False
    rejections: list[RejectedProposal] = attrs.field(factory=list)


class RegisterOwner:
    """Proposer for the changes of one key.

    Parameters
    ----------
    key : name of the key.
    owner : `member/incarnation` of this process, the owner field of its epochs.
    reducer : computes the row changes that a change makes.
    timings : timeouts and intervals.

    Attributes
    ----------
    epoch : the newest epoch that this process took for the key.
    retry_at : earliest time of the next call of `start`; set by the component that calls it.
    outcomes : rejections and chosen records in order; the caller processes and clears them.
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
        self._initial_config = ReplicaConfig()
        self._desired_replicas: list[str] = []
        self._prepared_members: set[MemberId] = set()
        self._promises: dict[str, RecordUpdate] = {}
        self._prepare_sent_at = 0.0
        self._record = Record()
        self._replicas_with_record: set[str] = set()
        self._straggler_push_at = 0.0
        self._reconfiguration_at = 0.0
        self._in_flight: _InFlightWrite | None = None
        self._queue: deque[tuple[str, ProposeChange]] = deque()
        self._proof = OwnershipProof(key, timings.resend_interval_s)
        self._is_restoring = False

    @property
    def record(self) -> Record:
        """The newest record that this owner knows to be chosen."""
        return self._record

    @property
    def chosen_version(self) -> int:
        """The newest version that this owner knows to be chosen."""
        return self._record.position.version

    def is_serving(self) -> bool:
        """Whether this owner accepts changes."""
        return self.phase is OwnerPhase.SERVING

    def observe_epoch(self, epoch: Epoch) -> list[Effect]:
        """Record an observed epoch; one above this owner's epoch ends its ownership."""
        self._highest_number = max(self._highest_number, epoch.number)
        if self.phase is OwnerPhase.FOLLOWING or epoch <= self.epoch:
            return []
        return self._step_down(epoch)

    def start(
        self,
        known_config: ReplicaConfig,
        initial_config: ReplicaConfig,
        desired_replicas: list[str],
        now: float,
    ) -> list[Effect]:
        """Take a new epoch and request promises of it from the replicas.

        Parameters
        ----------
        known_config : the newest configuration known here; its replicas get the first requests.
        initial_config : the configuration to use if the key was never written.
        desired_replicas : the replicas that are to store the record.
        """
        self._highest_number += 1
        self.epoch = Epoch(self._highest_number, self._owner)
        self.phase = OwnerPhase.PREPARING
        self._initial_config = initial_config
        self._desired_replicas = desired_replicas
        self._promises = {}
        self._prepared_members = set()
        self._prepare_sent_at = now
        self._in_flight = None
        return self._prepare_requests(known_config)

    def resign(self) -> None:
        """Stop owning the key; the caller reroutes unfinished changes to the next owner."""
        self._is_restoring = False
        self.phase = OwnerPhase.FOLLOWING
        self._promises = {}

    def take_abandoned_tokens(self) -> list[str]:
        """Remove and return the tokens of the changes that have no outcome yet."""
        tokens = [token for token, _ in self._queue]
        if self._in_flight is not None:
            tokens.extend(proposal.token for proposal in self._in_flight.accepted)
            tokens.extend(rejection.token for rejection in self._in_flight.rejections)
        self._queue.clear()
        self._in_flight = None
        return [*tokens, *self._proof.abandon()]

    def submit(self, token: str, proposal: ProposeChange, now: float) -> list[Effect]:
        """Queue a change; it is written as soon as no other write is in flight."""
        self._queue.append((token, proposal))
        return self._write_next(now)

    def restore(self, version: int, rows: Rows, now: float) -> list[Effect]:
        """Write a value that the replicas lost, if it is newer than the chosen one."""
        if not self.is_serving() or self._in_flight is not None or version <= self.chosen_version:
            return []
        position = Position(self.epoch, version)
        record = attrs.evolve(self._record, position=position, rows=dict(rows))
        self._is_restoring = True
        return self._begin_write(_InFlightWrite(record, record.to_update(), [], record.config, now))

    def handle(self, sender: MemberId, message: object, now: float) -> list[Effect]:
        """Process a replica's response."""
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

    def tick(self, desired_replicas: list[str], now: float) -> list[Effect]:
        """Resend unacknowledged writes, give up at a timeout and move to the desired replicas."""
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
        if self._is_reconfiguration_due(desired_replicas, now):
            self._reconfiguration_at = now + RECONFIGURATION_RETRY_S
            return effects + self.start(
                self._record.config, self._initial_config, desired_replicas, now
            )
        return effects + self._push_to_stragglers(now)

    def _is_reconfiguration_due(self, desired_replicas: list[str], now: float) -> bool:
        config = self._record.config
        if not desired_replicas or now < self._reconfiguration_at:
            return False
        if not config.previous:
            return config.replicas != desired_replicas
        is_copied = all(replica in self._replicas_with_record for replica in config.added())
        return is_copied or config.replicas != desired_replicas

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
        newest_update = max(self._promises.values(), key=lambda update: update.position)
        newest_promised = apply_update(Record(), newest_update)
        assert newest_promised is not None
        if not newest_promised.config.replicas:
            newest_promised = attrs.evolve(newest_promised, config=self._initial_config)
        if not newest_promised.config.is_quorum(self._promises):
            return self._prepare_requests(newest_promised.config)
        self.phase = OwnerPhase.REPROPOSING
        record = newest_promised.reproposed_under(self.epoch, self._next_config(newest_promised))
        quorum = newest_promised.config if newest_promised.config.previous else record.config
        enters_joint = bool(record.config.previous) and not newest_promised.config.previous
        return self._begin_write(
            _InFlightWrite(record, record.to_update(), [], quorum, now, enters_joint=enters_joint)
        )

    def _next_config(self, newest_promised: Record) -> ReplicaConfig:
        """Return the configuration under which the newest promised record is written again.

        A joint configuration is left only when it is known to be chosen, that is when the promised
        record is the one that this owner last had chosen. Otherwise a process that contacts only
        the old set might still miss the joint configuration.
        """
        config = newest_promised.config
        if not config.previous:
            return config.joint_with(self._desired_replicas) if self._desired_replicas else config
        if newest_promised.position == self._record.position:
            return config.settled_from_joint(self._desired_replicas)
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
        effects = self._log_moved_record(self._record.config, in_flight.record.config)
        self._record = in_flight.record
        self._replicas_with_record = in_flight.acknowledged
        self._straggler_push_at = now + STRAGGLER_INTERVAL_S
        self.outcomes.append(NewlyChosen(in_flight.record, in_flight.accepted))
        self.outcomes.extend(in_flight.rejections)
        if self._is_restoring:
            self._is_restoring = False
            fields = {"key": self.key, "version": self.chosen_version}
            effects.append(Log(log_events.VALUE_RESTORED, fields))
        if self.phase is OwnerPhase.REPROPOSING:
            self.phase = OwnerPhase.SERVING
            if in_flight.enters_joint:
                # The move is half done; it is completed as soon as the record is copied.
                self._reconfiguration_at = now
            fields = {"key": self.key, "epoch": self.epoch.number, "version": self.chosen_version}
            effects.append(Log(log_events.OWNER_STARTED, fields))
        return effects + self._write_next(now)

    def _log_moved_record(self, former: ReplicaConfig, chosen: ReplicaConfig) -> list[Effect]:
        if chosen == former or not (former.replicas or chosen.previous):
            return []
        fields = {
            "key": self.key,
            "epoch": self.epoch.number,
            "replicas": chosen.replicas,
            "previous": chosen.previous,
        }
        return [Log(log_events.RECORD_MOVED, fields)]

    def _handle_base_missing(self, sender: MemberId, epoch: Epoch) -> list[Effect]:
        if epoch != self.epoch or self.phase is OwnerPhase.FOLLOWING:
            return []
        record = self._in_flight.record if self._in_flight else self._record
        return [Send(sender, self._accept_request(record.to_update()))]

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
        rejections_by_record: list[RejectedProposal] = []
        rejections_by_batch: list[RejectedProposal] = []
        while self._queue and len(batch.accepted) < BATCH_LIMIT:
            token, proposal = self._queue.popleft()
            rejection = batch.add(token, proposal)
            if rejection is not None:
                group = rejections_by_batch if batch.entries else rejections_by_record
                group.append(RejectedProposal(token, rejection))
        effects = self._proof.add(rejections_by_record, self.epoch, self._record.config, now)
        if not batch.entries:
            if batch.accepted:
                self.outcomes.append(NewlyChosen(self._record, batch.accepted))
            return effects
        record, update = batch.finish(self.epoch)
        return effects + self._begin_write(
            _InFlightWrite(
                record,
                update,
                batch.accepted,
                record.config,
                now,
                rejections=rejections_by_batch,
            )
        )

    def _begin_write(self, write: _InFlightWrite) -> list[Effect]:
        self._in_flight = write
        return self._send_accepts(write)

    def _send_accepts(self, in_flight: _InFlightWrite) -> list[Effect]:
        unacknowledged = [
            replica
            for replica in in_flight.quorum.all_replicas()
            if replica not in in_flight.acknowledged
        ]
        return self._sends_to_replicas(unacknowledged, self._accept_request(in_flight.update))

    def _push_to_stragglers(self, now: float) -> list[Effect]:
        if now < self._straggler_push_at:
            return []
        self._straggler_push_at = now + STRAGGLER_INTERVAL_S
        stragglers = [
            replica
            for replica in self._record.config.all_replicas()
            if replica not in self._replicas_with_record
        ]
        if not stragglers:
            return []
        return self._sends_to_replicas(stragglers, self._accept_request(self._record.to_update()))

    def _accept_request(self, update: RecordUpdate) -> Accept:
        return Accept(self.key, self.epoch, update, self.chosen_version)

    def _sends_to_replicas(self, replicas: Iterable[str], message: Accept) -> list[Effect]:
        members = dict.fromkeys(member_of(replica) for replica in replicas)
        return [Send(member, message) for member in members]
