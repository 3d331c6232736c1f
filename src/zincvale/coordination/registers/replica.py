"""Replica (acceptor) of the registers: durable promises and accepted records of every key.

Requests for a key are queued while a write of that key is in flight to the disk. A response is sent
only after the disk has stored the state that it reports.
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
"""Maximum length of a chain of a snapshot and its deltas; limits how much a restart reads."""
MIN_DELTA_BYTES = 262_144
"""Size up to which the deltas of a chain may grow in any case. Above it they take no more space
than the snapshot before them."""
PENDING_REQUESTS_LIMIT = 64
"""Maximum number of queued requests per key; further ones are dropped and their senders resend."""
WRITE_TOKEN_PREFIX = "record:"

Request = Prepare | Accept | CreateCluster


@attrs.frozen
class _DiskWrite:
    token: str
    state: StoredKeyState
    responses: list[Send]


@attrs.define
class _KeyReplica:
    state: StoredKeyState = attrs.field(factory=StoredKeyState)
    last_file: int = 0
    files_since_snapshot: int = SNAPSHOT_EVERY_FILES
    snapshot_bytes: int = 0
    """Size of the newest snapshot."""
    delta_bytes: int = 0
    """Size of the deltas after it."""
    in_flight: _DiskWrite | None = None
    pending: deque[tuple[MemberId, Request]] = attrs.field(factory=deque)


class RegisterReplica:
    """The replicas of all keys on the disk of this process.

    Parameters
    ----------
    recovered : the state recovered from the data folder.
    timings : timeouts and intervals.
    """

    def __init__(self, recovered: RecoveredState, timings: Timings) -> None:
        self._timings = timings
        self._disk = recovered.disk
        self._key_replicas: dict[str, _KeyReplica] = {}
        self._failure = ""
        self._retry_at = 0.0
        for key, files in recovered.keys.items():
            state = decode_chain(files.contents)
            sizes = [len(content) for content in files.contents]
            self._key_replicas[key] = _KeyReplica(
                state, files.last_file, len(sizes), sizes[0], sum(sizes[1:])
            )

    @property
    def failure(self) -> str:
        """Error of the last failed write; empty while the disk accepts writes."""
        return self._failure

    def known_keys(self) -> list[str]:
        """Return the keys that have a record or a promise, sorted."""
        return sorted(self._key_replicas)

    def state(self, key: str) -> StoredKeyState:
        """Return the durable state of `key`."""
        key_replica = self._key_replicas.get(key)
        return key_replica.state if key_replica else StoredKeyState()

    def handle(self, sender: MemberId, request: Request, key: str) -> list[Effect]:
        """Process a request; its response is sent once the disk has stored the new state."""
        if self._failure:
            return []
        key_replica = self._key_replicas.setdefault(key, _KeyReplica())
        if key_replica.in_flight is not None:
            if len(key_replica.pending) < PENDING_REQUESTS_LIMIT:
                key_replica.pending.append((sender, request))
            return []
        return self._start(key, key_replica, sender, request)

    def confirm_epoch(self, sender: MemberId, request: ConfirmEpoch) -> list[Effect]:
        """Confirm without a write that no epoch above the requested one is promised, or refuse."""
        key, epoch = request.key, request.epoch
        promised = self.state(key).promised
        if epoch < promised:
            return [Send(sender, Refused(key, epoch, promised))]
        return [Send(sender, EpochConfirmed(key, self._disk, epoch, request.round))]

    def handle_written(self, token: str, error: str, now: float) -> list[Effect]:
        """Complete a write: send its responses, or stop voting if it failed."""
        key = token.removeprefix(WRITE_TOKEN_PREFIX).rpartition(":")[0]
        key_replica = self._key_replicas.get(key)
        if (
            key_replica is None
            or key_replica.in_flight is None
            or key_replica.in_flight.token != token
        ):
            return []
        write = key_replica.in_flight
        key_replica.in_flight = None
        if error:
            return self._stop_voting(error, now)
        effects: list[Effect] = []
        if self._failure:
            self._failure = ""
            effects.append(Log(log_events.REPLICA_RESUMED, {"key": key}))
        key_replica.state = write.state
        effects.extend(write.responses)
        while key_replica.pending and key_replica.in_flight is None:
            sender, request = key_replica.pending.popleft()
            effects.extend(self._start(key, key_replica, sender, request))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Test with a write whether a failed disk accepts writes again."""
        if not self._failure or now < self._retry_at or not self._key_replicas:
            return []
        self._retry_at = now + self._timings.disk_retry_s
        key = min(self._key_replicas)
        key_replica = self._key_replicas[key]
        if key_replica.in_flight is not None:
            return []
        return [self._write(key, key_replica, key_replica.state, None, [])]

    def _stop_voting(self, error: str, now: float) -> list[Effect]:
        for key_replica in self._key_replicas.values():
            key_replica.pending.clear()
            key_replica.files_since_snapshot = SNAPSHOT_EVERY_FILES
        self._retry_at = now + self._timings.disk_retry_s
        if self._failure:
            return []
        self._failure = error
        return [Log(log_events.REPLICA_STOPPED, {"error": error})]

    def _start(
        self, key: str, key_replica: _KeyReplica, sender: MemberId, request: Request
    ) -> list[Effect]:
        match request:
            case Prepare():
                return self._start_prepare(key, key_replica, sender, request)
            case Accept(_, epoch, update, _):
                return self._start_accept(key, key_replica, sender, epoch, update)
            case CreateCluster(_, update):
                return self._start_create(key, key_replica, update)

    def _start_prepare(
        self, key: str, key_replica: _KeyReplica, sender: MemberId, request: Prepare
    ) -> list[Effect]:
        promised = key_replica.state.promised
        if request.epoch < promised:
            return [Send(sender, Refused(key, request.epoch, promised))]
        response = Send(
            sender, Promise(key, self._disk, request.epoch, key_replica.state.record.to_update())
        )
        if request.epoch == promised:
            return [response]
        state = attrs.evolve(key_replica.state, promised=request.epoch)
        record = state.record
        unchanged = RecordUpdate(record.position, record.position, record.config, {}, [], [])
        return [self._write(key, key_replica, state, unchanged, [response])]

    def _start_accept(
        self,
        key: str,
        key_replica: _KeyReplica,
        sender: MemberId,
        epoch: Epoch,
        update: RecordUpdate,
    ) -> list[Effect]:
        if epoch < key_replica.state.promised:
            return [Send(sender, Refused(key, epoch, key_replica.state.promised))]
        response = Send(sender, Accepted(key, self._disk, update.position))
        if update.position == key_replica.state.record.position:
            return [response]
        if update.position < key_replica.state.record.position:
            return []
        record = apply_update(key_replica.state.record, update)
        if record is None:
            return [Send(sender, BaseVersionMissing(key, epoch))]
        state = StoredKeyState(epoch, record)
        return [self._write(key, key_replica, state, update, [response])]

    def _start_create(
        self, key: str, key_replica: _KeyReplica, update: RecordUpdate
    ) -> list[Effect]:
        if key_replica.state.record.position != Position():
            return []
        record = apply_update(key_replica.state.record, update)
        if record is None:
            return []
        state = StoredKeyState(update.position.epoch, record)
        return [self._write(key, key_replica, state, None, [])]

    def _write(
        self,
        key: str,
        key_replica: _KeyReplica,
        state: StoredKeyState,
        update: RecordUpdate | None,
        responses: list[Send],
    ) -> Write:
        key_replica.last_file += 1
        content = _encode_next_delta(key_replica, state, update)
        if content is None:
            content = encode_snapshot(state)
            key_replica.files_since_snapshot = 1
            key_replica.snapshot_bytes = len(content)
            key_replica.delta_bytes = 0
        else:
            key_replica.files_since_snapshot += 1
            key_replica.delta_bytes += len(content)
        token = f"{WRITE_TOKEN_PREFIX}{key}:{key_replica.last_file}"
        key_replica.in_flight = _DiskWrite(token, state, responses)
        return Write(token, key, key_replica.last_file, content)


def _encode_next_delta(
    key_replica: _KeyReplica, state: StoredKeyState, update: RecordUpdate | None
) -> bytes | None:
    """Return the next file of the newest chain, or None if a snapshot is to begin another one."""
    if update is None or update.base is None:
        return None
    if key_replica.files_since_snapshot >= SNAPSHOT_EVERY_FILES:
        return None
    content = encode_delta(state.promised, update)
    limit_bytes = max(MIN_DELTA_BYTES, key_replica.snapshot_bytes)
    return content if key_replica.delta_bytes + len(content) <= limit_bytes else None
