"""A test case that runs one stand-in over loopback HTTP, on a socket bound to port 0."""

import asyncio

import orjson
from testtools import TestCase
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port

from zincvale.standins.back_end import ServerIdentity

IDENTITY = ServerIdentity("s1", "pool", "zone-a", "incarnation-1")


class HttpCase(TestCase):
    """Runs one application on a free port and talks to it."""

    def run_with(self, make_application, exchange):
        async def body():
            server = HTTPServer(make_application())
            socket, port = bind_unused_port()
            server.add_sockets([socket])
            self.base = f"http://127.0.0.1:{port}"
            self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=20)
            try:
                await exchange()
            finally:
                server.stop()
                self.client.close()

        asyncio.run(body())

    async def call(self, method, path, body=None):
        """Return status and JSON; status 0 when the connection was cut."""
        request = HTTPRequest(
            self.base + path, method=method, body=orjson.dumps(body) if body else None
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return 0, None
        return response.code, orjson.loads(response.body)

    async def text(self, path, body):
        """Return the body of a POST as text."""
        request = HTTPRequest(self.base + path, method="POST", body=orjson.dumps(body))
        response = await self.client.fetch(request)
        return response.body.decode()
