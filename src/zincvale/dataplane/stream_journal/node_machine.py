"""The stream journal of one node as a state machine: its writers, replica store and failovers."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import attrs

from zincvale.dataplane.inference.dependencies import (
    FIRST_STREAM_EPOCH,
    NEWEST_STREAM_EPOCH,
    JournalAppend,
    JournalState,
)
from zincvale.dataplane.stream_journal import log_events
from zincvale.dataplane.stream_journal.events import (
    AppendCompleted,
    AppendRequested,
    BatchDue,
    EndRequested,
    FlushAt,
    NodesChanged,
    Resumed,
    ResumeRequested,
    StreamForgotten,
)
from zincvale.dataplane.stream_journal.failover import (
    FailoverCompleted,
    FailoverEffect,
    JournalRequest,
    StreamFailover,
)
from zincvale.dataplane.stream_journal.messages import (
    AppendCall,
    AppendReply,
    FenceCall,
    FenceReply,
    ReadCall,
    ReadReply,
    StreamFence,
)
from zincvale.dataplane.stream_journal.peer_choice import (
    failover_candidates,
    journal_peers,
    owner_name,
    rendezvous_order,
)
from zincvale.dataplane.stream_journal.replica_store import ReplicaStore
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.dataplane.stream_journal.writer import (
    AppendResult,
    PeerReplaced,
    SendBatch,
    StreamWriter,
    StreamWriters,
    WriterEffect,
)
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReceived, CallReplied, Effect, Log, Reply
from zincvale.model.machine import Tick as TimePassed

JournalInput = (
    AppendRequested
    | EndRequested
    | ResumeRequested
    | StreamForgotten
    | NodesChanged
    | BatchDue
    | CallReceived
    | CallReplied
    | CallFailed
    | TimePassed
)
JournalEffect = Effect | AppendCompleted | Resumed | FlushAt


@attrs.frozen
class _PendingBatch:
    peer: MemberId


@attrs.frozen
class _PendingCopy:
    request_id: str


@attrs.frozen
class _PendingRequest:
    token: str
    request: JournalRequest


@attrs.define
class _RunningFailover:
    request_id: str
    after: int
    failover: StreamFailover


class StreamJournalNode:
    """Turns each input into effects; `events` defines both."""

    def __init__(
        self, member_id: MemberId, incarnation: str, zone: ZoneName, timings: JournalTimings
    ) -> None:
        self._member_id = member_id
        self._owner = owner_name(member_id, incarnation)
        self._zone = zone
        self._timings = timings
        self._nodes: list[MemberId] = []
        self._zones: dict[MemberId, ZoneName] = {}
        self._live_owners: set[str] = set()
        self._next_copy_at = 0.0
        self._pending_resumes: dict[str, tuple[ResumeRequested, float]] = {}
        self._store = ReplicaStore(timings)
        self._writers = StreamWriters(timings)
        self._failovers: dict[str, _RunningFailover] = {}
        self._pending: dict[str, _PendingBatch | _PendingCopy | _PendingRequest] = {}
        self._numbers = itertools.count(1)
        self._flush_at = float("inf")
        self._effects: list[JournalEffect] = []

    def handle(self, event: JournalInput, now: float) -> list[JournalEffect]:
        """Apply one input and return its effects in the order to carry them out."""
        match event:
            case AppendRequested():
                self._handle_append(event, now)
            case EndRequested():
                self._handle_end(event, now)
            case ResumeRequested():
                self._handle_resume(event, now)
            case StreamForgotten(request_id):
                self._writers.forget(request_id)
            case NodesChanged():
                self._handle_nodes(event, now)
            case BatchDue():
                self._flush_at = float("inf")
                self._carry_out(self._writers.flush_due(now))
            case CallReceived(_, token, message):
                self._effects.append(Reply(token, self._reply_to(message, now)))
            case CallReplied(token, message):
                self._handle_reply(token, message, now)
            case CallFailed(token):
                self._handle_reply(token, None, now)
            case TimePassed():
                self._handle_tick(now)
        effects, self._effects = self._effects, []
        return effects

    def writer(self, request_id: str) -> StreamWriter | None:
        """Return the writer of a stream of which this node is the ingress node, None for others."""
        return self._writers.find(request_id)

    # Requests of this node's relays

    def _handle_append(self, event: AppendRequested, now: float) -> None:
        writer = self._writers.find(event.request_id)
        if writer is None:
            fence = StreamFence(FIRST_STREAM_EPOCH, self._owner)
            writer = StreamWriter(event.request_id, event.digest, fence)
            self._writers.add(writer, now)
        if event.epoch not in (NEWEST_STREAM_EPOCH, writer.fence.epoch):
            self._effects.append(AppendCompleted(event.token, JournalAppend.FENCED))
            return
        writer.digest = writer.digest or event.digest
        effects = self._writers.append(event.token, writer, event.first_index, event.chunks, now)
        self._carry_out(effects)

    def _handle_end(self, event: EndRequested, now: float) -> None:
        writer = self._writers.find(event.request_id)
        if writer is None or event.epoch not in (NEWEST_STREAM_EPOCH, writer.fence.epoch):
            self._effects.append(AppendCompleted(event.token, JournalAppend.UNREPLICATED))
            return
        self._carry_out(self._writers.end(event.token, writer, event.count, now))

    def _handle_resume(self, event: ResumeRequested, now: float) -> None:
        """Start a failover, or postpone it until the live nodes are known."""
        if not self._nodes:
            self._pending_resumes[event.token] = (event, now + self._timings.search_timeout_s)
            return
        limit = self._timings.max_candidates
        members = failover_candidates(event.request_id, self._nodes, limit)
        if self._member_id not in members:
            members.append(self._member_id)
        failover = StreamFailover(
            event.request_id, self._owner, event.after, members, self._timings
        )
        self._failovers[event.token] = _RunningFailover(event.request_id, event.after, failover)
        self._carry_out_failover(event.token, failover.begin(now), now)

    def _handle_nodes(self, event: NodesChanged, now: float) -> None:
        self._nodes = sorted({*event.zones, self._member_id})
        self._zones = event.zones
        self._live_owners = {
            owner_name(member, incarnation) for member, incarnation in event.incarnations.items()
        }
        peers = journal_peers(self._member_id, self._zone, event.zones)
        self._carry_out(self._writers.set_peers(peers, now))
        pending, self._pending_resumes = self._pending_resumes, {}
        for resume, _ in pending.values():
            self._handle_resume(resume, now)

    def _handle_tick(self, now: float) -> None:
        self._carry_out(self._writers.tick(now))
        self._store.sweep(now)
        self._copy_orphaned_streams(now)
        for token, (_, times_out_at) in list(self._pending_resumes.items()):
            if times_out_at <= now:
                del self._pending_resumes[token]
                self._effects.append(Resumed(token, None))
        for token, running in list(self._failovers.items()):
            self._carry_out_failover(token, running.failover.on_wake(now), now)

    def _copy_orphaned_streams(self, now: float) -> None:
        """Copy the streams whose ingress node is lost to a second node.

        Without the copy, such a stream could not be resumed if this node is lost as well before its
        caller reconnects.
        """
        if now < self._next_copy_at or not self._live_owners:
            return
        self._next_copy_at = now + self._timings.copy_interval_s
        for write in self._store.orphaned_streams(self._live_owners):
            zone_by_candidate = {
                member: zone for member, zone in self._zones.items() if member != self._member_id
            }
            candidates = rendezvous_order(write.request_id, zone_by_candidate)
            candidates.sort(key=lambda member: zone_by_candidate[member] == self._zone)
            if candidates:
                call = AppendCall([write])
                timeout_s = self._timings.call_timeout_s
                self._call(candidates[0], call, timeout_s, _PendingCopy(write.request_id))

    # Calls from peers

    def _reply_to(self, message: object, now: float) -> object:
        match message:
            case AppendCall(writes):
                return AppendReply([self._store.write(write, now) for write in writes])
            case ReadCall(request_id):
                return self._read(request_id)
            case FenceCall():
                return self._fence(message, now)
        return None

    def _read(self, request_id: str) -> ReadReply:
        stored = self._store.read(request_id)
        own = self._writers.read(request_id)
        if own is None:
            return stored
        if stored.fence is None or own.fence is None:
            return own
        return max(own, stored, key=lambda reply: (reply.fence, reply.length))

    def _fence(self, call: FenceCall, now: float) -> FenceReply:
        stored = self._store.fence(call, now)
        own, effects = self._writers.fence(call)
        if effects:
            fields = {"request_id": call.request_id}
            self._effects.append(Log(log_events.STREAM_FENCED, fields))
        self._carry_out(effects)
        if own is None:
            return stored
        contents = [reply.content for reply in (own, stored) if reply.content is not None]
        best = max(contents, key=lambda content: (content.writer, len(content.chunks)))
        return FenceReply(max(own.fence, stored.fence), best)

    # Replies of peers

    def _call(self, member: MemberId, message: object, timeout_s: float, pending: object) -> None:
        token = f"streams-{next(self._numbers)}"
        self._pending[token] = pending  # type: ignore[assignment]
        self._effects.append(Call(member, token, message, timeout_s))

    def _handle_reply(self, token: str, message: object, now: float) -> None:
        """Apply the reply to a call; `message` is None if the call failed."""
        pending = self._pending.pop(token, None)
        match pending, message:
            case _PendingBatch(peer), AppendReply():
                self._carry_out(self._writers.on_batch_reply(peer, message, now))
            case _PendingBatch(peer), _:
                self._carry_out(self._writers.on_batch_failure(peer, now))
            case _PendingCopy(request_id), AppendReply():
                self._store.mark_copied(request_id)
            case _PendingRequest(), _:
                self._handle_failover_reply(pending, message, now)

    def _handle_failover_reply(self, pending: _PendingRequest, message: object, now: float) -> None:
        running = self._failovers.get(pending.token)
        if running is None:
            return
        member, number = pending.request.member, pending.request.round_number
        match message:
            case ReadReply() | FenceReply():
                effects = running.failover.on_reply(member, number, message, now)
            case _:
                effects = running.failover.on_failure(member, number, now)
        self._carry_out_failover(pending.token, effects, now)

    # Effects of writers and failovers

    def _carry_out(self, effects: Iterable[WriterEffect]) -> None:
        for effect in effects:
            match effect:
                case AppendResult(token, result):
                    self._effects.append(AppendCompleted(token, result))
                case SendBatch(peer, call):
                    timeout_s = self._timings.call_timeout_s
                    self._call(peer, call, timeout_s, _PendingBatch(peer))
                case PeerReplaced(peer, streams):
                    fields = {"peer": peer, "streams": streams}
                    self._effects.append(Log(log_events.STREAM_JOURNAL_MOVED, fields))
        if self._writers.wake_at < self._flush_at:
            self._flush_at = self._writers.wake_at
            self._effects.append(FlushAt(self._flush_at))

    def _carry_out_failover(
        self, token: str, effects: Iterable[FailoverEffect], now: float
    ) -> None:
        for effect in effects:
            match effect:
                case JournalRequest(member, message) if member == self._member_id:
                    pending = _PendingRequest(token, effect)
                    self._handle_failover_reply(pending, self._reply_to(message, now), now)
                case JournalRequest(member, message):
                    timeout_s = self._timings.max_read_timeout_s
                    self._call(member, message, timeout_s, _PendingRequest(token, effect))
                case FailoverCompleted():
                    self._finish_failover(token, effect, now)

    def _finish_failover(self, token: str, result: FailoverCompleted, now: float) -> None:
        running = self._failovers.pop(token)
        content = result.content
        if content is not None:
            writer = StreamWriter(
                running.request_id, content.digest, result.fence, list(content.chunks)
            )
            writer.end_count = content.end_count
            writer.is_over = content.end_count > 0
            self._writers.add(writer, now)
            self._effects.append(Resumed(token, _state_of(writer)))
            return
        if running.after == 0:
            self._writers.add(StreamWriter(running.request_id, "", result.fence), now)
        self._effects.append(Resumed(token, None))


def _state_of(writer: StreamWriter) -> JournalState:
    return JournalState(
        writer.digest, tuple(writer.chunks), writer.end_count > 0, writer.fence.epoch
    )
