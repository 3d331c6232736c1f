"""Calls of a core to servers: what is given up is lost, and does not arrive later."""

import socket
import struct

import pycurl
from testtools import TestCase

from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.daemons.http_fetch import (
    UNACKNOWLEDGED_LIMIT_MS,
    HttpFetcher,
    discard_on_close,
)


class Curl:
    """Notes the options that a call sets."""

    def __init__(self):
        self.options = {}

    def setopt(self, option, value):
        self.options[option] = value


class DiscardTest(TestCase):
    """An order that a partition holds up must not reach its server under the next leader."""

    def setUp(self):
        super().setUp()
        self.socket = socket.socket()
        self.addCleanup(self.socket.close)

    def test_closing_a_connection_resets_it(self):
        self.assertEqual(pycurl.SOCKOPT_OK, discard_on_close(self.socket.fileno(), 0))
        packed = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        self.assertEqual((1, 0), struct.unpack("ii", packed))

    def test_bytes_that_nobody_acknowledges_are_given_up_before_the_lease_ends(self):
        discard_on_close(self.socket.fileno(), 0)
        limit_ms = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(UNACKNOWLEDGED_LIMIT_MS, limit_ms)
        self.assertLessEqual(limit_ms / 1000.0, forwarding_timings().role_margin_s)

    def test_the_socket_stays_open(self):
        discard_on_close(self.socket.fileno(), 0)
        self.assertGreaterEqual(self.socket.fileno(), 0)
        self.socket.getsockname()

    def test_every_call_asks_for_it(self):
        curl = Curl()
        HttpFetcher({}, "core-1", "127.0.0.1:7000")._prepare(curl)
        self.assertIs(discard_on_close, curl.options[pycurl.SOCKOPTFUNCTION])
        self.assertEqual("127.0.0.1", curl.options[pycurl.INTERFACE])
