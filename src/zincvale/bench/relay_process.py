"""Processes of the relay bench: a fast back end, a minimal pass-through, and one node.

Started as `python -m zincvale.bench.relay_process ROLE ADDRESS [BACK_END ...]`; each process stops
by itself after `MAX_SECONDS`.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from typing import Any

import orjson
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.web import Application, RequestHandler

from zincvale.dataplane.claims.service import ClaimService
from zincvale.dataplane.inference.node_service import NodeService
from zincvale.dataplane.stream_journal.service import StreamJournalService
from zincvale.model.control_tables import (
    Directory,
    Intent,
    MemberRow,
    Members,
    Role,
    ServerRow,
)
from zincvale.model.forwarding import CallerLimits
from zincvale.model.identifiers import (
    Address,
    MemberId,
    ModelName,
    PoolName,
    RouteName,
    ServerId,
    ZoneName,
)
from zincvale.model.resources import ModelSpec, PoolKind, PoolSpec, RouteSpec, ZoneSpec
from zincvale.runtime.admission.admission import Admission
from zincvale.runtime.admission.limits import FixedLimits, process_limits
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.listening import listen
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.service import TracingService
from zincvale.transport.peer import PeerUnreachableError

MAX_SECONDS = 300.0
"""Time after which a process stops by itself, and the timeout of a relayed request."""
MAX_BODY_BYTES = 1024 * 1024
TICK_MS = 50
PATH = "/v1/bench"
MODEL = "bench-model"
TOKENS = 60
TOKEN_INTERVAL_S = 0.030
FAST_TOKENS = 2_000
"""Tokens of a stream without pauses; a paced stream has `TOKENS`."""
AMPLE_LIMIT = 1_000
"""Limit on concurrent requests and queue length, high enough never to be reached."""


class GenerateHandler(RequestHandler):
    """A back end that responds at once, or streams tokens at an interval or without pauses."""

    async def post(self, *_path: str) -> None:
        """Respond to one generation request; a prompt that begins with `paced` paces the stream."""
        request = orjson.loads(self.request.body)
        if not request.get("stream"):
            self.finish(
                {"request_id": request.get("request_id", ""), "text": "x" * 64, "tokens": 16}
            )
            return
        self.set_header("Content-Type", "text/event-stream")
        paced = request["prompt"].startswith("paced")
        count = TOKENS if paced else FAST_TOKENS
        for number in range(1, count + 1):
            self.write(f'id: {number}\ndata: {{"text": "tok{number} "}}\n\n')
            await self.flush()
            if paced:
                await asyncio.sleep(TOKEN_INTERVAL_S)
        self.finish(f'event: end\ndata: {{"count": {count}}}\n\n')


class PassThroughHandler(RequestHandler):
    """A minimal relay: a tornado server that forwards each request with tornado's curl client."""

    client: CurlAsyncHTTPClient
    back_ends: list[str]

    async def post(self, *_path: str) -> None:
        """Relay one exchange."""
        back_end = random.choice(self.back_ends)
        body = self.request.body
        streams = b'"stream": true' in body or b'"stream":true' in body
        request = HTTPRequest(
            f"http://{back_end}/v1/generate",
            method="POST",
            body=body,
            headers={"Content-Type": "application/json", "Expect": ""},
            request_timeout=MAX_SECONDS,
            streaming_callback=self._relay if streams else None,
        )
        response = await self.client.fetch(request)
        self.finish(response.body if not streams else None)

    def _relay(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


class UnreachablePeers:
    """Peer client of a node without peers."""

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        """Raise `PeerUnreachableError` at once."""
        del message, timeout_s  # part of the interface, but nothing is sent
        raise PeerUnreachableError(str(member))

    def send(self, member: MemberId, message: Any) -> None:
        """Drop the message."""


def _admission() -> tuple[Admission, FixedLimits]:
    """Return what limits the listener of this process."""
    limits = FixedLimits(CallerLimits(max_body_bytes=MAX_BODY_BYTES))
    return Admission(process_limits(), suspend_aware_now), limits


def serve_back_end(address: str) -> None:
    """Start a back end."""
    listen(
        Application([(r"/(.*)", GenerateHandler)], log_function=_skip_access_log),
        address,
        "back end",
        *_admission(),
    )


def serve_pass_through(address: str, back_ends: list[str]) -> None:
    """Start the minimal relay."""
    PassThroughHandler.client = CurlAsyncHTTPClient(force_instance=True, max_clients=AMPLE_LIMIT)
    PassThroughHandler.back_ends = back_ends
    application = Application([(r"/(.*)", PassThroughHandler)], log_function=_skip_access_log)
    listen(application, address, "pass-through", *_admission())


def serve_node(
    address: str, back_ends: list[str], tracing_type: type[TracingService] = TracingService
) -> None:
    """Start the request path and tracing of one node, on a fixed intent and directory."""
    member = MemberId("bench-node")
    zone = ZoneName("zone-a")
    settings = DaemonSettings("bench", member, "node", zone, address, address)
    source = random.Random(1)
    peers = UnreachablePeers()
    clock = suspend_aware_now
    tracing = tracing_type(member, source, clock, wall_now, peers.send)
    claims = ClaimService(member, "1", source, clock, peers)
    journal = StreamJournalService(member, "1", zone, clock, peers)
    service = NodeService(
        settings, source, clock, peers, claims, journal, tracing.recorder, lambda: True
    )
    row = MemberRow(member, Role.NODE, zone, Address(address), Address(address), "1", True)
    members = Members(1, {member: row})
    tracing.apply_members(members)
    service.apply_members(members)
    service.apply_intent(_intent())
    service.apply_directory(_directory(back_ends))
    application = Application(service.http_routes(), log_function=_skip_access_log)
    listen(application, address, "node", *_admission())

    def tick() -> None:
        service.tick(clock())
        tracing.tick(clock())

    PeriodicCallback(tick, TICK_MS).start()


def _intent() -> Intent:
    pool = PoolName("bench")
    return Intent(
        version=1,
        zones={ZoneName("zone-a"): ZoneSpec()},
        pools={pool: PoolSpec(max_concurrent_per_server=AMPLE_LIMIT, max_queue=AMPLE_LIMIT)},
        routes={
            RouteName("bench"): RouteSpec(PATH, pool, deadline_ms=60_000, max_concurrent=2_000)
        },
        models={ModelName(MODEL): ModelSpec(1, "store", pool)},
    )


def _directory(back_ends: list[str]) -> Directory:
    rows = {}
    for number, address in enumerate(back_ends):
        server = ServerId(f"server-{number}")
        rows[server] = ServerRow(
            server,
            Address(address),
            PoolName("bench"),
            ZoneName("zone-a"),
            PoolKind.LANGUAGE_MODEL,
            incarnation="1",
            memory_bytes=10,
            models=frozenset({ModelName(MODEL)}),
            max_running=AMPLE_LIMIT,
        )
    return Directory(1, 1, rows)


def _skip_access_log(handler: Any) -> None:
    """Write no access log."""


def main(
    role: str, address: str, *back_ends: str, tracing_type: type[TracingService] = TracingService
) -> None:
    """Run one role until it is stopped or `MAX_SECONDS` pass; `tracing_type` is for a node."""
    if role == "back-end":
        serve_back_end(address)
    elif role == "pass-through":
        serve_pass_through(address, list(back_ends))
    else:
        serve_node(address, list(back_ends), tracing_type)
    loop = IOLoop.current()
    loop.call_later(MAX_SECONDS, loop.stop)
    print(f"ready {time.monotonic()}", flush=True)
    loop.start()


if __name__ == "__main__":
    main(*sys.argv[1:])
