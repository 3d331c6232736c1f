"""A node with fake dependencies, back ends and callers, and a transcript of what each received."""

from __future__ import annotations

import asyncio
from random import Random

import attrs

from tests.dataplane.inference.builders import intent
from zincvale.dataplane.inference.dependencies import ClaimGranted, JournalAppend
from zincvale.dataplane.inference.node_service import NodeService
from zincvale.dataplane.inference.stream_relay import CallerDisconnectedError
from zincvale.model.control_tables import Directory
from zincvale.model.identifiers import PoolName, RouteName
from zincvale.model.resources import PoolKind, PoolSpec, RouteSpec
from zincvale.transport.curl_exchange import ExchangeFailure

ROUTES = {
    "sum": RouteSpec("/v1/sum", "lm"),
    "quote": RouteSpec("/v1/quote", "lm", at_most_once=True),
    "chat": RouteSpec("/v1/chat", "lm", stream=True),
    "ticket": RouteSpec("/v1/ticket", "lm", stream=True, at_most_once=True),
    "scan": RouteSpec("/v1/scan", "lookup", at_most_once=True),
}
GENERATE_BODY = b'{"model":"m","prompt":"p","max_tokens":3}'


@attrs.define
class Settings:
    member_id: str = "n1"
    zone: str = "a"
    address_map: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class FakeExchange:
    """An exchange with a back end whose events the test triggers."""

    harness: Harness
    request: object
    listener: object
    sent: bool = False
    closed: bool = False
    paused: bool = False

    def connect(self):
        if not self.request.may_send():
            self.fail("the request may not be sent")
            return
        self.sent = True
        self.listener.on_connected()

    def respond(self, status=200, body=b""):
        if not self.sent:
            self.connect()
        self.listener.on_headers(status, {"content-type": "application/json"})
        if self.request.streaming:
            self.listener.on_body(body)
            body = b""
        self.listener.on_done(body)

    def start_stream(self):
        self.connect()
        self.listener.on_headers(200, {"content-type": "text/event-stream"})

    def receive_events(self, text):
        self.listener.on_body(text.encode())

    def fail(self, reason="connection reset"):
        self.listener.on_failed(ExchangeFailure(reason, self.sent))

    def cancel(self):
        if not self.closed:
            self.harness.record_line(f"{self.request.address} closed by the node")
        self.closed = True

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False

    def close_connection(self):
        self.harness.record_line(f"{self.request.address} connection never used again")


class FakeClient:
    def __init__(self, harness):
        self.harness = harness

    def start(self, request, listener):
        body = "" if request.body is None else f" {request.body.decode()}"
        self.harness.record_line(f"{request.address} < {request.target}{body}")
        exchange = FakeExchange(self.harness, request, listener)
        self.harness.exchanges.append(exchange)
        return exchange


class FakeClaims:
    """Claims that are granted, dispatchable and renewable unless a test sets otherwise."""

    def __init__(self, harness):
        self.harness = harness
        self.decision = ClaimGranted()
        self.dispatchable = [True]
        self.renewed = True

    async def claim(self, request_id, digest, route, deadline_at):
        self.harness.record_line(f"claim {request_id}: {type(self.decision).__name__}")
        if isinstance(self.decision, Exception):
            raise self.decision
        return self.decision

    def may_dispatch(self, request_id):
        return self.dispatchable.pop(0) if len(self.dispatchable) > 1 else self.dispatchable[0]

    async def renew(self, request_id, deadline_at):
        self.harness.record_line(f"renew {request_id}: {self.renewed}")
        return self.renewed

    async def record(self, request_id, outcome, status, headers, body):
        self.harness.record_line(f"record {request_id}: {outcome.value} {status} {body.decode()!r}")
        return True

    async def release(self, request_id):
        self.harness.record_line(f"release {request_id}")
        return True


class FakeJournal:
    def __init__(self, harness):
        self.harness = harness
        self.append_result = JournalAppend.REPLICATED
        self.state = None

    async def append(self, request_id, digest, first_index, chunks, epoch=1):
        self.harness.record_line(f"journal {request_id} epoch {epoch}: {first_index} {chunks}")
        return self.append_result

    async def close(self, request_id, count, epoch=1):
        self.harness.record_line(f"journal {request_id} epoch {epoch}: ends at {count}")

    def forget(self, request_id):
        self.harness.record_line(f"journal {request_id}: forgotten")

    async def resume(self, request_id, after):
        self.harness.record_line(f"journal {request_id}: resumed after {after}")
        return self.state


@attrs.define
class FakeSpan:
    trace_id: str = "t" * 32
    span_id: str = "s" * 16
    sampled: bool = False
    name: str = ""
    attributes: dict = attrs.field(factory=dict)
    receive_events: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)
    ended: bool = False

    @property
    def context(self):
        return self

    def set(self, name, value):
        self.attributes[name] = value

    def event(self, name, **attributes):
        self.receive_events.append((name, attributes))

    def error(self, message):
        self.errors.append(message)

    def end(self):
        self.ended = True


class FakeSpans:
    def __init__(self):
        self.spans = []

    def start(self, name, trace=None, parent=None, attributes=None):
        span = FakeSpan(name=name, attributes=dict(attributes or {}))
        self.spans.append(span)
        return span


class FakeCaller:
    """A caller's connection (`stream_relay.CallerSink`)."""

    def __init__(self, harness, name):
        self.harness = harness
        self.name = name
        self.is_disconnected = False
        self.write_gate = None

    def record_line(self, text):
        self.harness.record_line(f"{self.name} > {text}")

    def send_response(self, status, headers, body):
        retry_after = f" retry after {headers['Retry-After']}" if "Retry-After" in headers else ""
        self.record_line(f"{status} {headers['Zincvale-Outcome']}{retry_after} {body.decode()}")

    def open_stream(self, headers):
        self.record_line(f"200 {headers['Content-Type']}")

    async def write(self, data):
        if self.write_gate is not None:
            await self.write_gate
        if self.is_disconnected:
            raise CallerDisconnectedError
        for event in data.decode().strip().split("\n\n"):
            self.record_line(event.replace("\n", " | "))

    async def end(self):
        self.record_line("whole")

    def cut(self):
        self.record_line("cut")


class Harness:
    """One node and its fakes; time advances only when a test sets `now`."""

    def __init__(self, *rows, ready=True, **pool):
        self.transcript = []
        self.exchanges = []
        self.now = 0.0
        self.claims = FakeClaims(self)
        self.journal = FakeJournal(self)
        self.spans = FakeSpans()
        self.ready = ready
        self.node = NodeService(
            Settings(),
            Random(1),
            lambda: self.now,
            None,
            self.claims,
            self.journal,
            self.spans,
            lambda: self.ready,
        )
        self.node.context.client = FakeClient(self)
        self.node.apply_intent(self.intent(1, **pool))
        self.apply_directory(1, *rows)

    def intent(self, version, **pool):
        built_intent = intent(version, **pool)
        built_intent.routes.clear()
        built_intent.routes.update({RouteName(name): spec for name, spec in ROUTES.items()})
        built_intent.pools[PoolName("lookup")] = PoolSpec(kind=PoolKind.LOOKUP)
        return built_intent

    def apply_directory(self, version, *rows):
        self.node.apply_directory(Directory(1, version, {row.server: row for row in rows}))

    def record_line(self, text):
        self.transcript.append(text)

    def post(self, path, body=GENERATE_BODY, name="caller", **headers):
        caller = FakeCaller(self, name)
        request_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        caller.runner = self.node.ingress.begin(path, request_headers, body, caller)
        return caller

    async def run_pending_tasks(self):
        for _ in range(12):
            await asyncio.sleep(0)

    def take_transcript(self):
        transcript, self.transcript = self.transcript, []
        return transcript
