"""Requests of operators who have left: nothing begins for them."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import testtools

from zincvale.controlplane.api.messages import ApiRequest, ApiResponse, CallCore
from zincvale.coordination.registers.change_messages import ProposeChange
from zincvale.daemons.control_api_handler import ControlApiServer
from zincvale.transport.closed_peers import is_closed_by_peer

PROPOSAL = ProposeChange("intent", "key", None, b"")


class CallingApi:
    """Passes each request to the core; records what it learns of them."""

    def __init__(self) -> None:
        self.abandoned: list[str] = []

    def handle(self, request: ApiRequest, now: float) -> list[Any]:
        return [CallCore(request.token, PROPOSAL)]

    def on_core_response(self, token: str, message: object, now: float) -> list[Any]:
        return [ApiResponse(token, 200, {}, b"")]

    def abandon(self, token: str) -> None:
        self.abandoned.append(token)


class RecordingDriver:
    def __init__(self) -> None:
        self.messages: list[object] = []

    async def call_local(self, message: object) -> object:
        self.messages.append(message)
        return object()


class CallerWhoLeftTest(testtools.TestCase):
    def begun(self, *, is_connected: bool) -> list[object]:
        """Return what reaches the core for a request whose caller is connected or not."""
        self.api, driver = CallingApi(), RecordingDriver()

        async def play() -> None:
            server = ControlApiServer(self.api, driver, lambda: 0.0)
            self.token, _response = server.open_request(lambda: is_connected)
            server.submit(ApiRequest("POST", "/", {}, {}, b"", self.token))
            await asyncio.sleep(0)

        asyncio.run(play())
        return driver.messages

    def test_a_change_whose_caller_has_left_does_not_reach_the_core(self) -> None:
        self.assertEqual([], self.begun(is_connected=False))
        self.assertEqual([self.token], self.api.abandoned)

    def test_a_change_whose_caller_waits_reaches_the_core(self) -> None:
        self.assertEqual([PROPOSAL], self.begun(is_connected=True))


class ClosedPeerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.near.setblocking(False)

    def test_an_open_connection_without_data_is_not_closed(self) -> None:
        self.assertFalse(is_closed_by_peer(self.near))

    def test_unread_data_is_not_the_end_and_stays_unread(self) -> None:
        self.far.send(b"next")
        self.assertFalse(is_closed_by_peer(self.near))
        self.assertEqual(b"next", self.near.recv(9))

    def test_an_end_that_was_not_read_yet_is_noticed(self) -> None:
        self.far.close()
        self.assertTrue(is_closed_by_peer(self.near))
