"""The platform's list of servers, and the servers: lookups, and streams of events."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs
import orjson
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from tests.soak.documents import SERVICES, STREAM_SERVICE
from tests.soak.history import History, ServerRun
from tests.soak.layout import ZONES, Network

SERVERS_PER_SERVICE = 3
SLOTS = 64
LOOKUP_WORK_S = 0.02
STREAM_EVENTS = (6, 30)
EVENT_GAP_S = 0.1


@attrs.frozen
class StandInServer:
    """One server of a service."""

    instance: str
    service: str
    zone: str
    address: str


class Servers:
    """All servers of a run, and the list of them.

    Parameters
    ----------
    clock : seconds on the monotonic clock.
    """

    def __init__(
        self,
        network: Network,
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.history = history
        self.random = random_source
        self.clock = clock
        self._network = network
        self._http_servers: list[HTTPServer] = []
        names = [name for name in (*SERVICES, STREAM_SERVICE) for _ in range(SERVERS_PER_SERVICE)]
        self.servers = [
            StandInServer(
                f"i-{random_source.getrandbits(40):010x}",
                name,
                ZONES[number % len(ZONES)],
                network.server_address(number),
            )
            for number, name in enumerate(names)
        ]

    def listen(self) -> None:
        """Bind the list and every server."""
        self._listen(self._network.list_address, [(r"/instances", _ListHandler, {"servers": self})])
        for server in self.servers:
            arguments = {"servers": self, "server": server}
            self._listen(
                server.address,
                [
                    (r"/health", _HealthHandler, arguments),
                    (r"/v1/report", _ReportHandler, arguments),
                    (r"/.*", _RequestHandler, arguments),
                ],
            )

    def close(self) -> None:
        """Stop serving."""
        for server in self._http_servers:
            server.stop()

    def _listen(self, address: str, routes: list[tuple[str, type, dict[str, object]]]) -> None:
        host, _, port = address.rpartition(":")
        server = HTTPServer(Application(routes, log_function=lambda _handler: None))
        server.add_sockets(bind_sockets(int(port), host))
        self._http_servers.append(server)


class _ListHandler(RequestHandler):
    def initialize(self, servers: Servers) -> None:
        self.servers = servers

    def get(self) -> None:
        rows = [
            {
                "id": server.instance,
                "service": server.service,
                "address": server.address,
                "zone": server.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldRemainingMs": 0,
            }
            for server in self.servers.servers
        ]
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps({"instances": rows, "nextPageToken": None}))


class _ServerHandler(RequestHandler):
    def initialize(self, servers: Servers, server: StandInServer) -> None:
        self.servers = servers
        self.server = server


class _HealthHandler(_ServerHandler):
    def get(self) -> None:
        self.set_header("Instance-Id", self.server.instance)
        self.finish(b"")


class _ReportHandler(_ServerHandler):
    def get(self) -> None:
        report = {"stage": "both", "models": [], "busy": False, "sequence": 0, "running": 0}
        self.finish(orjson.dumps(report))


class _RequestHandler(_ServerHandler):
    async def prepare(self) -> None:
        """Run one request, whatever its method."""
        expected = self.request.headers.get("Expect-Instance", self.server.instance)
        if expected != self.server.instance:
            self.set_status(421)
            self.set_header("Instance-Id", self.server.instance)
            self.finish(b"")
            return
        request_id = self.request.headers.get("Request-Id", "")
        self.servers.history.runs.append(
            ServerRun(self.servers.clock(), request_id, self.server.service, self.server.zone)
        )
        self.set_header("Request-Id", request_id)
        self.set_header("Server-Signature", f"{self.server.service}.{request_id}")
        if self.server.service == STREAM_SERVICE:
            await self._stream()
            return
        await asyncio.sleep(LOOKUP_WORK_S * self.servers.random.uniform(0.5, 2.0))
        self.finish(b"x" * int(self.request.headers.get("Answer-Bytes", "400")))

    async def _stream(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        for number in range(self.servers.random.randint(*STREAM_EVENTS)):
            self.write(f"id: {number}\ndata: {'y' * 20}\n\n")
            try:
                await self.flush()
            except StreamClosedError:
                return
            await asyncio.sleep(EVENT_GAP_S)
        self.finish(b"event: end\ndata: \n\n")
