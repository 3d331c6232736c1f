"""The platform stand-in: a lagging server list, readiness polls and the list of ready nodes.

The fleet rig reports replaced servers and nodes through `/admin/servers/NAME` and
`/admin/nodes/NAME`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.web import Application, RequestHandler

from zincvale.model.checked import read_checked
from zincvale.standins.journal import JournalWriter
from zincvale.standins.platform.state import LaggingList, NodeReadiness
from zincvale.standins.settings import (
    ListedServer,
    PlatformSettings,
    PolledNode,
    dialled_address,
)

POLL_TIMEOUT_S = 0.5


class Platform:
    """State of the platform.

    Parameters
    ----------
    settings : servers, nodes, lag of the list and polling intervals.
    journal : records changes of readiness and the replacements that the rig reported.
    clock : seconds on `CLOCK_BOOTTIME`.
    """

    def __init__(
        self, settings: PlatformSettings, journal: JournalWriter, clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.clock = clock
        self.servers = LaggingList(settings.list_lag_s, settings.servers)
        self.readiness = NodeReadiness(settings.nodes, settings.unready_after_polls)
        self._client = CurlAsyncHTTPClient(force_instance=True)

    async def poll_until(self, stop: asyncio.Event) -> None:
        """Poll every node until `stop` is set."""
        while not stop.is_set():
            addresses = self.readiness.addresses()
            await asyncio.gather(
                *(self._poll(node, address) for node, address in addresses.items())
            )
            await asyncio.sleep(self.settings.poll_interval_s)
        self._client.close()

    async def _poll(self, node: str, address: str) -> None:
        target = dialled_address(address, self.settings.address_map)
        request = HTTPRequest(
            f"http://{target}/ready",
            connect_timeout=POLL_TIMEOUT_S,
            request_timeout=POLL_TIMEOUT_S,
        )
        try:
            await self._client.fetch(request)
            ok = True
        except (HTTPClientError, OSError):
            ok = False
        new_readiness = self.readiness.record_poll(node, ok)
        if new_readiness is not None:
            self.journal.write("node-ready" if new_readiness else "node-unready", node=node)


class PlatformHandler(RequestHandler):
    """Base class of the request handlers of the platform."""

    def initialize(self, platform: Platform) -> None:
        """Keep a reference to the state of the platform."""
        self.platform = platform

    def respond(self, payload: object) -> None:
        """Send a JSON response."""
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(payload))


class ServersHandler(PlatformHandler):
    """`GET /v1/servers`."""

    def get(self) -> None:
        """Respond with the server list as it was `list_lag_s` seconds ago."""
        rows = self.platform.servers.visible(self.platform.clock())
        self.respond({"servers": [row.to_dict() for row in rows]})


class NodesHandler(PlatformHandler):
    """`GET /v1/nodes`."""

    def get(self) -> None:
        """Respond with the nodes that are ready, which callers may use."""
        rows = self.platform.readiness.ready_nodes()
        self.respond({"nodes": [row.to_dict() for row in rows]})


class AdminServerHandler(PlatformHandler):
    """`/admin/servers/NAME`: the rig reports a replaced or removed server."""

    def put(self, name: str) -> None:
        """Add or replace a server; the published list shows the change after its lag."""
        data = {**orjson.loads(self.request.body), "server": name}
        row = read_checked(ListedServer, data, f"server {name}")
        self.platform.servers.put(row, self.platform.clock())
        self.platform.journal.write("server-listed", server=name, address=row.address)
        self.respond({"server": name})

    def delete(self, name: str) -> None:
        """Remove a server; the published list shows the change after its lag."""
        self.platform.servers.remove(name, self.platform.clock())
        self.platform.journal.write("server-unlisted", server=name)
        self.respond({"server": name})


class AdminNodeHandler(PlatformHandler):
    """`/admin/nodes/NAME`: the rig reports a replaced or removed node."""

    def put(self, name: str) -> None:
        """Add or replace a node, which is polled at the address in the body from now on."""
        data = {**orjson.loads(self.request.body), "node": name}
        self.platform.readiness.put(read_checked(PolledNode, data, f"node {name}"))
        self.platform.journal.write("node-listed", node=name)
        self.respond({"node": name})

    def delete(self, name: str) -> None:
        """Remove a node, which is no longer polled or handed out to callers."""
        self.platform.readiness.remove(name)
        self.platform.journal.write("node-unlisted", node=name)
        self.respond({"node": name})


def make_application(platform: Platform) -> Application:
    """Return the HTTP application of the platform."""
    state = {"platform": platform}
    return Application(
        [
            ("/v1/servers", ServersHandler, state),
            ("/v1/nodes", NodesHandler, state),
            ("/admin/servers/([^/]+)", AdminServerHandler, state),
            ("/admin/nodes/([^/]+)", AdminNodeHandler, state),
        ],
        log_function=lambda _handler: None,
    )
