"""What waits for a caller that reads slowly is counted by its connection."""

from __future__ import annotations

from concurrent.futures import Future
from types import SimpleNamespace

import testtools

from zincvale.dataplane.forwarding.caller_server import _ConnectionSink


class Stream:
    def __init__(self) -> None:
        self.unsent_bytes = 0
        self.is_closed = False

    def closed(self) -> bool:
        return self.is_closed


class Connection:
    """A connection of which, as with tornado, only the newest write ever ends."""

    def __init__(self) -> None:
        self.stream = Stream()
        self.writes: list[Future] = []

    def write(self, data: bytes) -> Future:
        self.stream.unsent_bytes += len(data)
        self.writes.append(Future())
        return self.writes[-1]

    def flush(self) -> None:
        self.stream.unsent_bytes = 0
        self.writes[-1].set_result(None)


class ConnectionSinkTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.connection = Connection()
        self.sink = _ConnectionSink(self.connection, SimpleNamespace(is_draining=False))

    def test_nothing_is_unsent_once_a_paused_caller_has_read_everything(self) -> None:
        """LOST: writes that a later one followed counted as unsent for ever, so that the rest of
        the answer was never read from its server."""
        for _ in range(3):
            self.sink.write(b"x" * 100)
        self.assertEqual(300, self.sink.unsent_bytes)
        self.connection.flush()
        self.assertEqual(0, self.sink.unsent_bytes)

    def test_nothing_waits_for_a_caller_that_has_gone(self) -> None:
        self.sink.write(b"x" * 100)
        self.connection.stream.is_closed = True
        self.assertEqual(0, self.sink.unsent_bytes)
