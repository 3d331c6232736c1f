"""Simulated cluster for the stream journal: nodes, a faulty network, and callers that resume.

It runs in virtual time from a seed. Back ends are not deterministic: each generation marks its
chunks with its own name, so that a stream spliced from two generations is detected.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from zincvale.dataplane.inference.dependencies import JournalAppend, JournalState
from zincvale.dataplane.stream_journal.events import (
    AppendCompleted,
    AppendRequested,
    BatchDue,
    EndRequested,
    FlushAt,
    NodesChanged,
    Resumed,
    ResumeRequested,
)
from zincvale.dataplane.stream_journal.node_machine import StreamJournalNode
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReceived, CallReplied, Reply, Tick

TICK_S = 0.05
CHUNK_INTERVAL_S = 0.03
LEASE_S = 2.0
CALLER_TIMEOUT_S = 1.0
MIN_CRASH_INTERVAL_S = 2.5
"""Shortest time between two crashes.

In this time callers reconnect, and their streams have two copies again.
"""
ZONES = ("zone-a", "zone-b", "zone-c")


@attrs.define
class StreamProfile:
    """Workload and faults of one simulation.

    Attributes
    ----------
    loss : probability that a message is lost.
    fault_interval_s : mean time between two faults.
    faults : kinds of faults, of which `inject_fault` chooses one at random.
    streams : number of streams.
    length : number of chunks in each stream.
    """

    loss: float = 0.0
    fault_interval_s: float = 0.3
    faults: tuple[str, ...] = ("crash", "crash", "freeze", "cut", "leave", "leave")
    streams: int = 24
    length: int = 120


@attrs.define
class Node:
    """One node and its current process."""

    name: MemberId
    zone: ZoneName
    machine: StreamJournalNode
    incarnation: str = ""
    is_up: bool = True
    frozen_at: float = 0.0
    frozen_until: float = 0.0
    backlog: list[Callable[[], None]] = attrs.field(factory=list)


@attrs.define
class Generation:
    """One run of a back end, which continues `prefix` with chunks marked with its own name."""

    name: str
    prefix: tuple[str, ...]


@attrs.define
class Caller:
    """One caller and the chunks that it has received of its stream.

    Attributes
    ----------
    connection : number of the latest connection; chunks of earlier ones are discarded.
    is_lost : whether a resume found no copy of the stream.
    """

    request_id: str
    length: int
    chunks: list[str] = attrs.field(factory=list)
    connection: int = 0
    last_received_at: float = 0.0
    is_complete: bool = False
    is_lost: bool = False
    resumes: int = 0


class SimulatedStreams:
    """Simulates one cluster with one seed; `problems` lists chunks that a caller must not get."""

    def __init__(self, seed: int, profile: StreamProfile | None = None, nodes: int = 8) -> None:
        self.random = Random(seed)
        self.profile = profile or StreamProfile()
        self.now = 10.0
        self.nodes: dict[MemberId, Node] = {}
        self.callers: dict[str, Caller] = {}
        self.generations: dict[str, Generation] = {}
        self.problems: list[str] = []
        self.append_results: Counter[JournalAppend] = Counter()
        self.call_counts: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tokens = itertools.count(1)
        self._on_token: dict[str, Callable[[object], None]] = {}
        self._next_crash_at = 0.0
        self._down_links: set[tuple[MemberId, MemberId]] = set()
        for number in range(nodes):
            name = MemberId(f"node-{number + 1}")
            self.nodes[name] = Node(name, ZoneName(ZONES[number % 3]), None)  # type: ignore
        for node in self.nodes.values():
            self.start(node)
        self._publish_members()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run_for(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # Nodes and network

    def start(self, node: Node) -> None:
        node.incarnation = f"i{next(self._tokens)}"
        node.is_up = True
        node.frozen_until = 0.0
        node.backlog = []
        node.machine = StreamJournalNode(node.name, node.incarnation, node.zone, JournalTimings())
        self._tick(node, node.incarnation)

    def crash(self, node: Node) -> None:
        node.is_up = False
        self.schedule(0.5 + self.random.random(), lambda: self.start(node))

    def freeze(self, node: Node, duration_s: float) -> None:
        node.frozen_at = self.now
        node.frozen_until = self.now + duration_s

        def thaw() -> None:
            backlog, node.backlog = node.backlog, []
            for action in backlog:
                action()

        self.schedule(duration_s, thaw)

    def run_on_node(self, node: Node, incarnation: str, action: Callable[[], None]) -> None:
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until > self.now:
            node.backlog.append(lambda: self.run_on_node(node, incarnation, action))
            return
        action()

    def handle_input(self, node: Node, event: object) -> None:
        incarnation = node.incarnation
        for effect in node.machine.handle(event, self.now):  # type: ignore[arg-type]
            match effect:
                case AppendCompleted(token, result) | Resumed(token, result):
                    self._on_token.pop(token)(result)
                case FlushAt(at):
                    self.schedule(
                        max(0.0, at - self.now),
                        lambda: self.run_on_node(
                            node, incarnation, lambda: self.handle_input(node, BatchDue())
                        ),
                    )
                case Call():
                    self._call(node, effect)
                case Reply(token, message):
                    self._on_token.pop(token)(message)

    def request(self, node: Node, make_event: Callable[[str], object], on_result: Callable) -> None:
        token = f"t{next(self._tokens)}"
        self._on_token[token] = on_result
        self.handle_input(node, make_event(token))

    def _tick(self, node: Node, incarnation: str) -> None:
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until <= self.now:
            self.handle_input(node, Tick())
        self.schedule(TICK_S, lambda: self._tick(node, incarnation))

    def _publish_members(self) -> None:
        live = [node for node in self.nodes.values() if self._has_lease(node)]
        zones = {node.name: node.zone for node in live}
        incarnations = {node.name: node.incarnation for node in live}
        for node in self.nodes.values():
            if node.is_up and node.frozen_until <= self.now:
                self.handle_input(node, NodesChanged(zones, incarnations))
        self.schedule(0.5, self._publish_members)

    def _has_lease(self, node: Node) -> bool:
        is_frozen = node.frozen_until > self.now and self.now > node.frozen_at + LEASE_S
        return node.is_up and not is_frozen

    def _call(self, node: Node, call: Call) -> None:
        self.call_counts[type(call.message).__name__] += 1
        other = self.nodes[call.to]
        incarnation = node.incarnation
        is_finished = [False]

        def finish(event: object) -> None:
            if not is_finished[0]:
                is_finished[0] = True
                self.run_on_node(node, incarnation, lambda: self.handle_input(node, event))

        def on_reply(message: object) -> None:
            self._transmit(other, node, lambda: finish(CallReplied(call.token, message)))

        def arrive() -> None:
            if not other.is_up:
                finish(CallFailed(call.token, "refused"))
                return
            self.run_on_node(
                other,
                other.incarnation,
                lambda: self.request(
                    other, lambda token: CallReceived(node.name, token, call.message), on_reply
                ),
            )

        self.schedule(call.timeout_s, lambda: finish(CallFailed(call.token, "timeout")))
        self._transmit(node, other, arrive)

    def _transmit(self, node: Node, other: Node, deliver: Callable[[], None]) -> None:
        if (node.name, other.name) in self._down_links or self.random.random() < self.profile.loss:
            return
        self.schedule(0.0005 + self.random.random() * 0.002, deliver)

    # Faults of one machine at a time

    def inject_fault(self) -> None:
        if any(not node.is_up or node.frozen_until > self.now for node in self.nodes.values()):
            return
        if self._down_links:
            return
        node = self.random.choice(list(self.nodes.values()))
        match self.random.choice(self.profile.faults):
            case "crash" if self.now > self._next_crash_at:
                self._next_crash_at = self.now + MIN_CRASH_INTERVAL_S
                self.crash(node)
            case "freeze":
                self.freeze(node, self.random.choice((0.3, 1.5, 4.0)))
            case "cut":
                other = self.random.choice(list(self.nodes.values()))
                self._down_links = {(node.name, other.name), (other.name, node.name)}
                self.schedule(1.5, self._down_links.clear)
            case "leave":
                caller = self.random.choice(list(self.callers.values()))
                self._reconnect(caller)

    # Callers and relays

    def connect(self, caller: Caller) -> None:
        """Connect a caller to a random node, which starts its stream or resumes it."""
        running_nodes = [
            node for node in self.nodes.values() if node.is_up and node.frozen_until <= self.now
        ]
        node = self.random.choice(running_nodes)
        caller.connection += 1
        caller.last_received_at = self.now
        connection = caller.connection
        if caller.connection == 1:
            self._relay(caller, connection, node, (), 1)
            return
        after = len(caller.chunks)

        def on_resumed(state: JournalState | None) -> None:
            if caller.connection == connection:
                self._on_resumed(caller, connection, node, state)

        self.request(
            node, lambda token: ResumeRequested(token, caller.request_id, after), on_resumed
        )

    def _on_resumed(
        self, caller: Caller, connection: int, node: Node, state: JournalState | None
    ) -> None:
        if state is None:
            caller.is_lost = bool(caller.chunks)
            if not caller.is_lost:
                self._relay(caller, connection, node, (), 0)
            return
        caller.resumes += 1
        after = len(caller.chunks)
        self._deliver(caller, connection, after + 1, list(state.chunks[after:]))
        if state.complete:
            caller.is_complete = True
            return
        self._relay(caller, connection, node, state.chunks, state.epoch)

    def _relay(
        self,
        caller: Caller,
        connection: int,
        node: Node,
        prefix: tuple[str, ...],
        epoch: int,
    ) -> None:
        """Generate chunks one by one, and deliver each once its append has completed."""
        generation = Generation(f"g{next(self._tokens)}", prefix)
        self.generations[generation.name] = generation
        incarnation = node.incarnation
        request_id = caller.request_id

        def generate(index: int) -> None:
            chunk = f"{generation.name}/{index}"
            self.request(
                node,
                lambda token: AppendRequested(token, request_id, "d", index, [chunk], epoch),
                lambda result: on_appended(index, chunk, result),
            )

        def on_appended(index: int, chunk: str, result: JournalAppend) -> None:
            self.append_results[result] += 1
            if result is JournalAppend.FENCED:
                return
            self._deliver(caller, connection, index, [chunk])
            if index < caller.length:
                schedule_chunk(index + 1)
                return
            self.request(
                node,
                lambda token: EndRequested(token, request_id, caller.length, epoch),
                lambda ended: self._complete(caller, connection),
            )

        def schedule_chunk(index: int) -> None:
            self.schedule(
                CHUNK_INTERVAL_S,
                lambda: self.run_on_node(node, incarnation, lambda: generate(index)),
            )

        if len(prefix) >= caller.length:
            self._complete(caller, connection)
            return
        schedule_chunk(len(prefix) + 1)

    def _deliver(
        self, caller: Caller, connection: int, first_index: int, chunks: list[str]
    ) -> None:
        """Deliver chunks to the caller, unless it has a newer connection."""
        if caller.connection != connection:
            return
        caller.last_received_at = self.now
        for offset, chunk in enumerate(chunks):
            self._receive(caller, first_index + offset, chunk)

    def _receive(self, caller: Caller, index: int, chunk: str) -> None:
        if index != len(caller.chunks) + 1:
            self.problems.append(f"{caller.request_id}: {chunk} arrived with event number {index}")
            return
        generation = self.generations[chunk.split("/")[0]]
        is_first = index == len(generation.prefix) + 1
        if is_first and tuple(caller.chunks) != generation.prefix:
            self.problems.append(
                f"{caller.request_id}: {chunk} does not continue the received chunks"
            )
        if not is_first and caller.chunks[-1].split("/")[0] != generation.name:
            self.problems.append(f"{caller.request_id}: {chunk} follows {caller.chunks[-1]}")
        caller.chunks.append(chunk)

    def _complete(self, caller: Caller, connection: int) -> None:
        if caller.connection == connection:
            caller.is_complete = True

    def _reconnect(self, caller: Caller) -> None:
        if not caller.is_complete and not caller.is_lost:
            self.connect(caller)

    def _reconnect_if_silent(self, caller: Caller) -> None:
        """Periodically reconnect a caller that received nothing for `CALLER_TIMEOUT_S`."""
        if caller.is_complete or caller.is_lost:
            return
        if self.now > caller.last_received_at + CALLER_TIMEOUT_S:
            self.connect(caller)
        self.schedule(0.2, lambda: self._reconnect_if_silent(caller))

    def run_workload(self) -> None:
        """Start the streams and inject faults, then let every caller finish."""
        for number in range(self.profile.streams):
            caller = Caller(f"stream-{number}", self.profile.length)
            self.callers[caller.request_id] = caller
            self.schedule(
                self.random.random() * 6, lambda caller=caller: self._start_caller(caller)
            )
        end = self.now + 8.0
        while self.now < end:
            if self.random.random() < TICK_S / self.profile.fault_interval_s:
                self.inject_fault()
            self.run_for(TICK_S)
        self.run_for(12.0)

    def _start_caller(self, caller: Caller) -> None:
        self.connect(caller)
        self._reconnect_if_silent(caller)

    def nodes_storing(self, request_id: str) -> list[MemberId]:
        """Return the ingress node of a stream and the peer that stores its chunks, or nothing."""
        for node in self.nodes.values():
            writer = node.machine.writer(request_id) if node.is_up else None
            if writer is not None and writer.peer is not None:
                return [node.name, writer.peer]
        return []

    def unfinished(self) -> list[str]:
        """Return the requests whose callers have not received the complete stream."""
        return [name for name, caller in self.callers.items() if not caller.is_complete]
