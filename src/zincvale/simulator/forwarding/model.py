"""A model of forwarding under back ends that fail: real nodes, model servers and callers, one seed.

The nodes are `ForwardingService` objects as the daemon runs them, on a loop in virtual time. What
they learn of servers, evacuations and other nodes comes late and to each at another moment.
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
    ORDINARY_CHECKS,
    count_endings,
    first_problems,
    retries_within,
    slow_start_within,
)
from zincvale.simulator.forwarding.journal import CallerRecord, Ending, ForwardingJournal
from zincvale.simulator.forwarding.servers import Behavior, ModelClient, ModelServer
from zincvale.simulator.virtual_loop import VirtualLoop
from zincvale.tracing.recorder.no_spans import NoSpans
from zincvale.transport.server_exchange import HeaderList

HOST = "model.example"
POOL = "pool"
ZONES = ("z1", "z2", "z3")
NODES = 4
SERVERS = 6
DAY_S = 20.0
AFTER_S = 8.0
"""Beyond the last request: every one of them must have ended by then."""
REQUESTS_PER_S = 12.0
FAULTS = 26
UPDATE_DELAY_S = (0.05, 1.5)
SLOW_START_PER_S = 3.0
SLOW_START_S = 3.0
RETRIES = RetryConfig(ratio=0.2, slack=8.0, window_s=5.0)
SLOW_START = SlowStartConfig(factor=1.5, slack=2.0)
LEAVING_SHARE = 0.03
RESTART_ALL_BELOW, RESTART_BELOW, DRAIN_BELOW, EVACUATE_BELOW = 0.05, 0.2, 0.3, 0.4
"""Bounds of a uniform draw that select a fault; above the last a server's behavior changes."""


@attrs.frozen
class ForwardingOutcome:
    """What one seed showed."""

    seed: int
    problems: list[str]
    requests: int
    endings: Counter[str]


def run_forwarding(seed: int) -> ForwardingOutcome:
    """Play one seed; the same seed gives the same outcome."""
    model = ForwardingModel(seed)
    model.play()
    checks = {
        **ORDINARY_CHECKS,
        "retries-within": retries_within(RETRIES),
        "cold-within": slow_start_within(SLOW_START, SLOW_START_PER_S),
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
    """Nodes, servers and callers of one seed; `play` runs them and fills the journal."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._loop = VirtualLoop()
        self.journal = ForwardingJournal()
        self._servers = [
            ModelServer(f"s{index}", f"10.0.0.{index}:80", ZONES[index % len(ZONES)])
            for index in range(SERVERS)
        ]
        self._evacuated: frozenset[str] = frozenset()
        self._versions = 0
        self._nodes = [self._node(index) for index in range(NODES)]
        self._directory_versions = [0] * NODES

    def play(self) -> None:
        """Run the day, and what is open after its last request."""
        for node in self._nodes:
            node.apply_members(self._members())
            node.apply_document(self._document())
            node.apply_directory(self._directory())
        at = 0.0
        while at < DAY_S:
            at += self._random.expovariate(REQUESTS_PER_S)
            self._loop.call_at(at, self._send_request)
        for _ in range(FAULTS):
            self._loop.call_at(self._random.uniform(0.0, DAY_S), self._fault)
        self._loop.run_until(DAY_S + AFTER_S)
        self._loop.close()

    # --- nodes ----------------------------------------------------------------------------

    def _node(self, index: int) -> ForwardingService:
        name = f"n{index}"
        service = ForwardingService(
            ForwardingConfig(
                MemberId(name),
                ZoneName(ZONES[index % len(ZONES)]),
                FleetLimits(RETRIES, SLOW_START),
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

    def _broadcast(self, what: str) -> None:
        """Send an update to every node, to each at another moment and never out of order."""
        document, directory = self._document(), self._directory()
        for index, node in enumerate(self._nodes):
            delay_s = self._random.uniform(*UPDATE_DELAY_S)
            if what == "document":
                self._loop.call_later(delay_s, node.apply_document, document)
            else:
                self._loop.call_later(delay_s, self._apply_newer, index, directory)

    def _apply_newer(self, index: int, directory: Directory) -> None:
        """Bring a directory to a node, unless a newer one overtook it."""
        if directory.version > self._directory_versions[index]:
            self._directory_versions[index] = directory.version
            self._nodes[index].apply_directory(directory)

    def _document(self) -> ForwardingDocument:
        self._versions += 1
        return ForwardingDocument(
            self._versions,
            self._versions,
            {route.name: route for route in ROUTES},
            {POOL: ForwardPool(name=POOL, cold_start_s=SLOW_START_S, cold_per_s=SLOW_START_PER_S)},
            evacuated=frozenset(ZoneName(zone) for zone in self._evacuated),
        )

    def _directory(self) -> Directory:
        self._versions += 1
        rows = [_row(server, self._loop.time()) for server in self._servers]
        return Directory(1, self._versions, {row.server: row for row in rows})

    def _members(self) -> Members:
        rows = {
            MemberId(f"n{index}"): MemberRow(
                MemberId(f"n{index}"),
                Role.NODE,
                ZoneName(ZONES[index % len(ZONES)]),
                Address("10.1.0.1:1"),
                Address("10.1.0.1:2"),
            )
            for index in range(NODES)
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
        if handle is not None and self._random.random() < LEAVING_SHARE:
            self._loop.call_later(0.1, sink.leave, handle)

    # --- faults ---------------------------------------------------------------------------

    def _fault(self) -> None:
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
            self._loop.call_later(self._random.uniform(0.2, 4.0), _recover, server)

    def _restart(self, server: ModelServer) -> None:
        """Replace the server by another incarnation, which is in slow start."""
        server.starts += 1
        server.behavior = Behavior.WELL
        server.slow_start_until = self._loop.time() + SLOW_START_S
        self._broadcast("directory")


def _recover(server: ModelServer) -> None:
    server.behavior = Behavior.WELL


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
    """A caller that reads everything at once."""

    unsent_bytes = 0

    def __init__(self, record: CallerRecord, loop: asyncio.AbstractEventLoop) -> None:
        self._record = record
        self._loop = loop

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Take the head."""
        self._record.status = status
        self._record.retry_after = dict(headers).get("Retry-After", "")

    def write(self, data: bytes) -> None:
        """Take a part of the body."""
        self._record.body += data

    def end(self) -> None:
        """The response is complete."""
        self._close(Ending.COMPLETE)

    def abort(self) -> None:
        """The connection broke."""
        self._close(Ending.BROKEN)

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Take a complete response of the node."""
        self.open(status, "", headers)
        self.write(body)
        self.end()

    def leave(self, handle: Any) -> None:
        """The caller goes away, unless it has its answer."""
        if self._record.ending is Ending.OPEN:
            self._close(Ending.LEFT)
            handle.on_caller_disconnected()

    def _close(self, ending: Ending) -> None:
        if self._record.ending is Ending.OPEN:
            self._record.ending = ending
            self._record.ended_at = self._loop.time()
