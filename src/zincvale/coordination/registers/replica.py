"""Replica of the registers: durable promises and accepted records, one key at a time.

A request of a key waits while a write of that key is in flight to the disk, and no response leaves
before the disk stored what it says.
"""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.config import Timings
from zincvale.coordination.core.messages import CreateCluster
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import (
    Accept,
    Accepted,
    BaseVersionMissing,
    ConfirmEpoch,
    EpochConfirmed,
    Prepare,
    Promise,
    RecordUpdate,
    Refused,
)
from zincvale.coordination.registers.record_codec import (
    StoredKeyState,
    decode_chain,
    encode_delta,
    encode_snapshot,
)
from zincvale.coordination.registers.records import apply_update
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send, Write

SNAPSHOT_EVERY_FILES = 64
"""Longest chain of deltas on one snapshot; bounds the reading at a restart."""
PENDING_REQUESTS_LIMIT = 64
"""Most requests of one key that wait for its disk; the senders resend what is dropped."""
WRITE_TOKEN_PREFIX = "record:"

Request = Prepare | Accept | CreateCluster


@attrs.frozen
class _WriteInFlight:
    token: str
    state: StoredKeyState
    responses: list[Send]


@attrs.define
class _KeyReplica:
    state: StoredKeyState = attrs.field(factory=StoredKeyState)
    last_file: int = 0
    files_since_snapshot: int = SNAPSHOT_EVERY_FILES
    in_flight: _WriteInFlight | None = None
    pending: deque[tuple[MemberId, Request]] = attrs.field(factory=deque)


class RegisterReplica:
    """Every key's replica in this process.

    Parameters
    ----------
    recovered : what the data folder held.
    timings : durations.
    """

    def __init__(self, recovered: RecoveredState, timings: Timings) -> None:
        self._timings = timings
        self._disk = recovered.disk
        self._slots: dict[str, _KeyReplica] = {}
        self._failure = ""
        self._retry_at = 0.0
        for key, files in recovered.keys.items():
            state = decode_chain(files.contents)
            self._slots[key] = _KeyReplica(state, files.last_file, len(files.contents))

    @property
    def failure(self) -> str:
        """Why the disk takes no writes; empty when it does."""
        return self._failure

    def known_keys(self) -> list[str]:
        """Return the keys with a record or a promise."""
        return sorted(self._slots)

    def state(self, key: str) -> StoredKeyState:
        """Return what is durable of `key`."""
        slot = self._slots.get(key)
        return slot.state if slot else StoredKeyState()

    def handle(self, sender: MemberId, request: Request, key: str) -> list[Effect]:
        """Apply a request; its response follows once the disk stored it."""
        if self._failure:
            return []
        slot = self._slots.setdefault(key, _KeyReplica())
        if slot.in_flight is not None:
            if len(slot.pending) < PENDING_REQUESTS_LIMIT:
                slot.pending.append((sender, request))
            return []
        return self._start(key, slot, sender, request)

    def confirm(self, sender: MemberId, request: ConfirmEpoch) -> list[Effect]:
        """Respond whether an epoch is the highest durably promised one; needs no write."""
        key, epoch = request.key, request.epoch
        promised = self.state(key).promised
        if epoch < promised:
            return [Send(sender, Refused(key, epoch, promised))]
        return [Send(sender, EpochConfirmed(key, self._disk, epoch, request.round))]

    def handle_written(self, token: str, error: str, now: float) -> list[Effect]:
        """Complete a write: send its responses, or stop voting when it failed."""
        key = token.removeprefix(WRITE_TOKEN_PREFIX).rpartition(":")[0]
        slot = self._slots.get(key)
        if slot is None or slot.in_flight is None or slot.in_flight.token != token:
            return []
        write = slot.in_flight
        slot.in_flight = None
        if error:
            return self._stop(error, now)
        effects: list[Effect] = []
        if self._failure:
            self._failure = ""
            effects.append(Log(log_events.REPLICA_RESUMED, {"key": key}))
        slot.state = write.state
        effects.extend(write.responses)
        while slot.pending and slot.in_flight is None:
            sender, request = slot.pending.popleft()
            effects.extend(self._start(key, slot, sender, request))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Retry the disk after a failure."""
        if not self._failure or now < self._retry_at or not self._slots:
            return []
        self._retry_at = now + self._timings.disk_retry_s
        key = min(self._slots)
        slot = self._slots[key]
        if slot.in_flight is not None:
            return []
        return [self._write(key, slot, slot.state, None, [])]

    def _stop(self, error: str, now: float) -> list[Effect]:
        for each in self._slots.values():
            each.pending.clear()
            each.files_since_snapshot = SNAPSHOT_EVERY_FILES
        self._retry_at = now + self._timings.disk_retry_s
        if self._failure:
            return []
        self._failure = error
        return [Log(log_events.REPLICA_STOPPED, {"error": error})]

    def _start(
        self, key: str, slot: _KeyReplica, sender: MemberId, request: Request
    ) -> list[Effect]:
        match request:
            case Prepare():
                return self._start_prepare(key, slot, sender, request)
            case Accept(_, epoch, update, _):
                return self._start_accept(key, slot, sender, epoch, update)
            case CreateCluster(_, update):
                return self._start_create(key, slot, update)

    def _start_prepare(
        self, key: str, slot: _KeyReplica, sender: MemberId, request: Prepare
    ) -> list[Effect]:
        promised = slot.state.promised
        if request.epoch < promised:
            return [Send(sender, Refused(key, request.epoch, promised))]
        response = Send(
            sender, Promise(key, self._disk, request.epoch, slot.state.record.to_update())
        )
        if request.epoch == promised:
            return [response]
        state = attrs.evolve(slot.state, promised=request.epoch)
        record = state.record
        unchanged = RecordUpdate(record.position, record.position, record.config, {}, [], [])
        return [self._write(key, slot, state, unchanged, [response])]

    def _start_accept(
        self, key: str, slot: _KeyReplica, sender: MemberId, epoch: Epoch, update: RecordUpdate
    ) -> list[Effect]:
        if epoch < slot.state.promised:
            return [Send(sender, Refused(key, epoch, slot.state.promised))]
        response = Send(sender, Accepted(key, self._disk, update.position))
        if update.position == slot.state.record.position:
            return [response]
        if update.position < slot.state.record.position:
            return []
        record = apply_update(slot.state.record, update)
        if record is None:
            return [Send(sender, BaseVersionMissing(key, epoch))]
        state = StoredKeyState(epoch, record)
        return [self._write(key, slot, state, update, [response])]

    def _start_create(self, key: str, slot: _KeyReplica, update: RecordUpdate) -> list[Effect]:
        if slot.state.record.position != Position():
            return []
        record = apply_update(slot.state.record, update)
        if record is None:
            return []
        state = StoredKeyState(update.position.epoch, record)
        return [self._write(key, slot, state, None, [])]

    def _write(
        self,
        key: str,
        slot: _KeyReplica,
        state: StoredKeyState,
        update: RecordUpdate | None,
        responses: list[Send],
    ) -> Write:
        slot.last_file += 1
        is_complete = update is None or update.base is None
        if is_complete or slot.files_since_snapshot >= SNAPSHOT_EVERY_FILES:
            content = encode_snapshot(state)
            slot.files_since_snapshot = 1
        else:
            assert update is not None
            content = encode_delta(state.promised, update)
            slot.files_since_snapshot += 1
        token = f"{WRITE_TOKEN_PREFIX}{key}:{slot.last_file}"
        slot.in_flight = _WriteInFlight(token, state, responses)
        return Write(token, key, slot.last_file, content)
