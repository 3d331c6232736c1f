"""Base of tests that call one stand-in over loopback HTTP, on a port that the system assigns."""

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
    """Serves one application on a free port and sends requests to it."""

    def run_with(self, make_application, exchange):
        async def body():
            server = HTTPServer(make_application())
            socket, port = bind_unused_port()
            server.add_sockets([socket])
            self.base_url = f"http://127.0.0.1:{port}"
            self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=20)
            try:
                await exchange()
            finally:
                server.stop()
                self.client.close()

        asyncio.run(body())

    async def call(self, method, path, body=None):
        """Return the status and the JSON body; status 0 if the connection was closed early."""
        request = HTTPRequest(
            self.base_url + path, method=method, body=orjson.dumps(body) if body else None
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return 0, None
        return response.code, orjson.loads(response.body)

    async def response_text(self, path, body):
        """Send a POST and return the body of the response as text."""
        request = HTTPRequest(self.base_url + path, method="POST", body=orjson.dumps(body))
        response = await self.client.fetch(request)
        return response.body.decode()
