"""Whether a server that has just closed a connection is taken to have gone."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from zincvale.transport.server_client import PRESENCE_ATTEMPTS, ServerClient

ADDRESS = "10.0.0.1:80"


class OpenConnection:
    is_open = True
    idle_since = 0.0
    was_reset = False

    def close(self):
        self.is_open = False


class PresenceCheckTest(testtools.TestCase):
    def check(self, outcome, *, cancel=False):
        """Check a server whose connection attempt has this outcome; return the results."""
        results = []

        async def scenario():
            self.client = ServerClient(lambda: 0.0)
            outcomes = outcome if isinstance(outcome, list) else [outcome]
            connect = mock.AsyncMock(side_effect=outcomes)
            with mock.patch.object(self.client, "_connect", connect):
                check = self.client.check_presence(ADDRESS, "i1", 0.0, results.append)
                if cancel:
                    check.cancel()
                await asyncio.gather(*self.client._connecting)

        asyncio.run(scenario())
        return results

    def test_a_server_that_refuses_connections_has_gone(self):
        self.assertEqual([False], self.check(ConnectionRefusedError()))
        self.assertEqual([False], self.check(ConnectionResetError()))

    def test_a_server_that_is_overloaded_or_cut_off_is_still_there(self):
        self.assertEqual([True], self.check([TimeoutError()] * PRESENCE_ATTEMPTS))
        self.assertEqual([True], self.check(OSError(113, "No route to host")))

    def test_a_server_that_resets_the_connection_while_it_is_watched_has_gone(self):
        """ORDER: on a busy machine the port of a killed server closed after its connections."""

        class ResetConnection(OpenConnection):
            was_reset = True

        self.assertEqual([False], self.check(ResetConnection()))

    def test_an_attempt_that_the_closing_port_dropped_is_made_again(self):
        self.assertEqual([False], self.check([TimeoutError(), ConnectionRefusedError()]))

    def test_the_connection_is_kept_for_the_next_request(self):
        connection = OpenConnection()
        self.assertEqual([True], self.check(connection))
        self.assertEqual([connection], self.client._pools[(ADDRESS, "i1")].idle)

    def test_a_cancelled_check_has_no_result(self):
        self.assertEqual([], self.check(ConnectionRefusedError(), cancel=True))
