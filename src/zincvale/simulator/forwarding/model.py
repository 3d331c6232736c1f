"""Simulates forwarding to failing back ends: real nodes with simulated servers and callers.

The nodes are `ForwardingService` objects as the daemon runs them, on an event loop in virtual time.
Updates about servers and evacuations reach each node with a different random delay.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

import attrs

from zincvale.dataplane.forwarding.caller_sink import IncomingRequest
from zincvale.dataplane.forwarding.fleet_budgets import RetryConfig, SlowStartConfig
from zincvale.dataplane.forwarding.native_dialect import NativeDialect
from zincvale.dataplane.forwarding.routing_state import FleetLimits
from zincvale.dataplane.forwarding.service import ForwardingConfig, ForwardingService
from zincvale.model.control_tables import (
    Directory,
    MemberRow,
    Members,
    Role,
    ServerHealth,
    ServerRow,
)
from zincvale.model.forwarding import (
    ForwardingDocument,
    ForwardPool,
    ForwardRoute,
    WeightedPool,
)
from zincvale.model.identifiers import Address, MemberId, PoolName, ServerId, ZoneName
from zincvale.model.resources import PoolKind
from zincvale.simulator.forwarding.checks import (
    CHECKS_WITHOUT_CONFIG,
    count_endings,
    first_problems,
    retries_are_bounded,
    slow_start_is_bounded,
)
from zincvale.simulator.forwarding.journal import CallerRecord, Ending, ForwardingJournal
from zincvale.simulator.forwarding.servers import Behavior, ModelClient, ModelServer
from zincvale.simulator.virtual_loop import VirtualLoop
from zincvale.tracing.recorder.no_spans import NoSpans
from zincvale.transport.server_exchange import HeaderList

HOST = "model.example"
POOL = "pool"
ZONES = ("z1", "z2", "z3")
NODE_COUNT = 4
SERVER_COUNT = 6
TRAFFIC_S = 20.0
"""Duration of the traffic."""
COMPLETION_LIMIT_S = 8.0
"""Time after the end of the traffic within which every request must have ended."""
REQUESTS_PER_S = 12.0
"""Mean rate of requests from all callers together."""
FAULT_COUNT = 26
"""Number of faults, at random times during the traffic."""
UPDATE_DELAY_RANGE_S = (0.05, 1.5)
"""Shortest and longest time that an update takes to reach a node."""
SLOW_START_PER_S = 3.0
"""Request rate to which a server in slow start is limited."""
SLOW_START_S = 3.0
"""Duration of the slow start after a restart."""
RETRY_CONFIG = RetryConfig(ratio=0.2, slack=8.0, window_s=5.0)
SLOW_START_CONFIG = SlowStartConfig(factor=1.5, slack=2.0)
DISCONNECT_SHARE = 0.03
"""Fraction of the callers that disconnect before their response is complete."""
RESTART_ALL_BELOW, RESTART_BELOW, DRAIN_BELOW, EVACUATE_BELOW = 0.05, 0.2, 0.3, 0.4
"""Upper bounds of a uniform draw from [0, 1) that select a fault; above them, a server's behavior
changes."""


@attrs.frozen
class ForwardingOutcome:
    """The result of one seed: the violations found, and how the requests ended."""

    seed: int
    problems: list[str]
    requests: int
    endings: Counter[str]


def run_forwarding(seed: int) -> ForwardingOutcome:
    """Run the simulation of one seed; the same seed gives the same outcome."""
    model = ForwardingModel(seed)
    model.run()
    checks = {
        **CHECKS_WITHOUT_CONFIG,
        "retries-within": retries_are_bounded(RETRY_CONFIG),
        "cold-within": slow_start_is_bounded(SLOW_START_CONFIG, SLOW_START_PER_S),
    }
    callers = model.journal.callers
    problems = first_problems(model.journal, checks.items())
    return ForwardingOutcome(seed, problems, len(callers), count_endings(callers.values()))


def _route(name: str, attempts: int, **fields: bool) -> ForwardRoute:
    return ForwardRoute(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        split=[WeightedPool(POOL)],
        timeout_s=3.0,
        objective_s=0.8,
        attempts=attempts,
        **fields,
    )


ROUTES = (
    _route("safe", 3, repeatable=True),
    _route("once", 2),
    _route("stream", 2, streaming=True),
    _route("stream-on", 3, streaming=True, resumable=True),
)


class ForwardingModel:
    """The nodes, servers and callers of one seed; `run` simulates them and fills the journal."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._loop = VirtualLoop()
        self.journal = ForwardingJournal()
        self._servers = [
            ModelServer(f"s{index}", f"10.0.0.{index}:80", ZONES[index % len(ZONES)])
            for index in range(SERVER_COUNT)
        ]
        self._evacuated: frozenset[str] = frozenset()
        self._last_version = 0
        self._nodes = [self._node(index) for index in range(NODE_COUNT)]
        self._directory_versions = [0] * NODE_COUNT

    def run(self) -> None:
        """Simulate the traffic and faults, and the time in which the last requests end."""
        for node in self._nodes:
            node.apply_members(self._members())
            node.apply_document(self._document())
            node.apply_directory(self._directory())
        at = 0.0
        while at < TRAFFIC_S:
            at += self._random.expovariate(REQUESTS_PER_S)
            self._loop.call_at(at, self._send_request)
        for _ in range(FAULT_COUNT):
            self._loop.call_at(self._random.uniform(0.0, TRAFFIC_S), self._inject_fault)
        self._loop.run_until(TRAFFIC_S + COMPLETION_LIMIT_S)
        self._loop.close()

    # --- nodes ----------------------------------------------------------------------------

    def _node(self, index: int) -> ForwardingService:
        name = f"n{index}"
        service = ForwardingService(
            ForwardingConfig(
                MemberId(name),
                ZoneName(ZONES[index % len(ZONES)]),
                FleetLimits(RETRY_CONFIG, SLOW_START_CONFIG),
            ),
            NativeDialect(),
            spans=NoSpans(),
            random=self._random,
            clock=self._loop.time,
            on_urgent=lambda: None,
        )
        routing = service.routing

        def knows_draining(server: ModelServer) -> bool:
            state = routing.servers.get(ServerId(server.name))
            return state is None or state.row.draining

        def knows_evacuated(server: ModelServer) -> bool:
            return server.zone in routing.document.evacuated

        client: Any = ModelClient(
            name,
            {server.address: server for server in self._servers},
            self.journal,
            self._random,
            knows_draining,
            knows_evacuated,
        )
        service.context.client = client
        return service

    def _broadcast(self, update_kind: str) -> None:
        """Send the current document or directory to every node, each with its own delay.

        An older one never replaces a newer one.
        """
        document, directory = self._document(), self._directory()
        for index, node in enumerate(self._nodes):
            delay_s = self._random.uniform(*UPDATE_DELAY_RANGE_S)
            if update_kind == "document":
                self._loop.call_later(delay_s, node.apply_document, document)
            else:
                self._loop.call_later(delay_s, self._apply_newer, index, directory)

    def _apply_newer(self, index: int, directory: Directory) -> None:
        """Apply a directory to a node, unless a newer one overtook it."""
        if directory.version > self._directory_versions[index]:
            self._directory_versions[index] = directory.version
            self._nodes[index].apply_directory(directory)

    def _document(self) -> ForwardingDocument:
        self._last_version += 1
        return ForwardingDocument(
            self._last_version,
            self._last_version,
            {route.name: route for route in ROUTES},
            {POOL: ForwardPool(name=POOL, cold_start_s=SLOW_START_S, cold_per_s=SLOW_START_PER_S)},
            evacuated=frozenset(ZoneName(zone) for zone in self._evacuated),
        )

    def _directory(self) -> Directory:
        self._last_version += 1
        rows = [_row(server, self._loop.time()) for server in self._servers]
        return Directory(1, self._last_version, {row.server: row for row in rows})

    def _members(self) -> Members:
        rows = {
            MemberId(f"n{index}"): MemberRow(
                MemberId(f"n{index}"),
                Role.NODE,
                ZoneName(ZONES[index % len(ZONES)]),
                Address("10.1.0.1:1"),
                Address("10.1.0.1:2"),
            )
            for index in range(NODE_COUNT)
        }
        return Members(1, rows)

    # --- callers --------------------------------------------------------------------------

    def _send_request(self) -> None:
        route = self._random.choice(ROUTES)
        node = self._random.choice(self._nodes)
        now = self._loop.time()
        deadline_s = self._random.choice((1.0, 2.0, 6.0))
        request_id = f"q{len(self.journal.callers)}"
        record = CallerRecord(
            request_id,
            route.attempts,
            route.repeatable or route.resumable,
            route.streaming,
            now,
            now + min(deadline_s, route.timeout_s),
        )
        self.journal.callers[request_id] = record
        headers = [
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(int(deadline_s * 1000))),
        ]
        target = f"{route.path_prefix}x"
        sink = CallerSink(record, self._loop)
        handle = node.handle_request(IncomingRequest("POST", target, headers, b"", now), sink)
        if handle is not None and self._random.random() < DISCONNECT_SHARE:
            self._loop.call_later(0.1, sink.disconnect, handle)

    # --- faults ---------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        server = self._random.choice(self._servers)
        draw = self._random.random()
        if draw < RESTART_ALL_BELOW:
            for each in self._servers:
                self._restart(each)
        elif draw < RESTART_BELOW:
            self._restart(server)
        elif draw < DRAIN_BELOW:
            server.draining = not server.draining
            self._broadcast("directory")
        elif draw < EVACUATE_BELOW:
            self._evacuated = frozenset() if self._evacuated else frozenset({server.zone})
            self._broadcast("document")
        else:
            server.behavior = self._random.choice(list(Behavior))
            self._loop.call_later(self._random.uniform(0.2, 4.0), _restore_behavior, server)

    def _restart(self, server: ModelServer) -> None:
        """Restart a server as a new incarnation, which begins in slow start."""
        server.starts += 1
        server.behavior = Behavior.HEALTHY
        server.slow_start_until = self._loop.time() + SLOW_START_S
        self._broadcast("directory")


def _restore_behavior(server: ModelServer) -> None:
    server.behavior = Behavior.HEALTHY


def _row(server: ModelServer, now: float) -> ServerRow:
    return ServerRow(
        server=ServerId(server.name),
        address=Address(server.address),
        pool=PoolName(POOL),
        zone=ZoneName(server.zone),
        kind=PoolKind.LOOKUP,
        health=ServerHealth.READY,
        incarnation=server.incarnation,
        draining=server.draining,
        cold_remaining_s=max(0.0, server.slow_start_until - now),
    )


class CallerSink:
    """A simulated caller that reads its response without delay and records it."""

    unsent_bytes = 0

    def __init__(self, record: CallerRecord, loop: asyncio.AbstractEventLoop) -> None:
        self._record = record
        self._loop = loop

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Record the head of the response."""
        self._record.status = status
        self._record.retry_after = dict(headers).get("Retry-After", "")

    def write(self, data: bytes) -> None:
        """Record a part of the body."""
        self._record.body += data

    def end(self) -> None:
        """Record that the response is complete."""
        self._close(Ending.COMPLETE)

    def abort(self) -> None:
        """Record that the connection broke."""
        self._close(Ending.BROKEN)

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Record a complete response that the node itself produced."""
        self.open(status, "", headers)
        self.write(body)
        self.end()

    def disconnect(self, handle: Any) -> None:
        """Disconnect the caller, unless its response has already ended."""
        if self._record.ending is Ending.OPEN:
            self._close(Ending.DISCONNECTED)
            handle.on_caller_disconnected()

    def _close(self, ending: Ending) -> None:
        if self._record.ending is Ending.OPEN:
            self._record.ending = ending
            self._record.ended_at = self._loop.time()
