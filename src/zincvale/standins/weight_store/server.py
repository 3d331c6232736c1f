"""The weight store stand-in: sends weights; its concurrent pulls share its bandwidth.

Sizes are in declared bytes. To limit the cost of a transfer, the body has one real byte for every
`DECLARED_BYTES_PER_REAL_BYTE` declared ones, rounded up, and is paced by the declared size: a model
of 10 GB at 10 GB/s takes one second and sends 10 kB.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from zincvale.standins.journal import JournalWriter
from zincvale.standins.weight_store.bandwidth import Pull, SharedBandwidth

DECLARED_BYTES_PER_REAL_BYTE = 1_000_000
SCALE_HEADER = "Zincvale-Declared-Bytes-Per-Byte"
PACE_INTERVAL_S = 0.02
"""Seconds between two writes of one pull; must stay below `bandwidth.LONGEST_ADVANCE_S`."""


class WeightStore:
    """State of one store.

    Parameters
    ----------
    store : name of the store.
    bytes_per_second : total bandwidth in declared bytes.
    max_concurrent_pulls : limit that operators declare; a pull beyond it is refused.
    journal : records what actually happened.
    clock : seconds on `CLOCK_BOOTTIME`.
    """

    def __init__(
        self,
        store: str,
        bytes_per_second: int,
        max_concurrent_pulls: int,
        journal: JournalWriter,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.max_concurrent_pulls = max_concurrent_pulls
        self.journal = journal
        self.clock = clock
        self.bandwidth = SharedBandwidth(bytes_per_second)
        self.pull_ids = itertools.count(1)

    def allows_one_more(self) -> bool:
        """Return whether another pull stays within the limit of concurrent pulls."""
        return self.bandwidth.count() < self.max_concurrent_pulls


class StatusHandler(RequestHandler):
    """`GET /status`."""

    def initialize(self, store: WeightStore) -> None:
        """Keep a reference to the state of the weight store."""
        self.store = store

    def get(self) -> None:
        """Respond with the number of pulls in progress."""
        self.set_header("Content-Type", "application/json")
        self.finish(
            orjson.dumps({"store": self.store.store, "pulls": self.store.bandwidth.count()})
        )


class WeightsHandler(RequestHandler):
    """`GET /v1/weights/NAME?bytes=N&puller=&rate=`."""

    _is_client_disconnected = False

    def initialize(self, store: WeightStore) -> None:
        """Keep a reference to the state of the weight store."""
        self.store = store

    def on_connection_close(self) -> None:
        """Mark the client as disconnected."""
        self._is_client_disconnected = True

    async def get(self, name: str) -> None:
        """Send the weights, or refuse a pull beyond the limit of concurrent pulls."""
        size_bytes = int(self.get_query_argument("bytes"))
        puller = self.get_query_argument("puller", str(self.request.remote_ip))
        cap = float(self.get_query_argument("rate", "inf"))
        store = self.store
        if not store.allows_one_more():
            self._refuse(name, size_bytes, puller)
            return
        pull = Pull(next(store.pull_ids), size_bytes, cap)
        store.bandwidth.open(pull, store.clock())
        self._write_row("pull-start", pull, name, puller, size_bytes)
        try:
            await self._send(pull)
        except StreamClosedError:
            self._is_client_disconnected = True
        finally:
            store.bandwidth.close(pull.pull_id, store.clock())
            self._write_row("pull-end", pull, name, puller, int(pull.sent_bytes))
        if not self._is_client_disconnected:
            self.finish(self._last_chunk)

    async def _send(self, pull: Pull) -> None:
        real_bytes = -(-pull.size_bytes // DECLARED_BYTES_PER_REAL_BYTE)
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(real_bytes))
        self.set_header(SCALE_HEADER, str(DECLARED_BYTES_PER_REAL_BYTE))
        await self.flush()
        written = 0
        while not self._is_client_disconnected:
            self.store.bandwidth.advance(self.store.clock())
            if pull.is_complete():
                # The last chunk is sent after the pull is closed: a puller that has received all
                # bytes may start its next pull immediately, and the slot must be free by then.
                self._last_chunk = bytes(real_bytes - written)
                return
            due = min(real_bytes - 1, int(pull.sent_bytes) // DECLARED_BYTES_PER_REAL_BYTE)
            if due > written:
                self.write(bytes(due - written))
                await self.flush()
                written = due
            await asyncio.sleep(PACE_INTERVAL_S)

    def _refuse(self, name: str, size_bytes: int, puller: str) -> None:
        self.store.journal.write(
            "pull-refused",
            name=name,
            bytes=size_bytes,
            puller=puller,
            concurrent=self.store.bandwidth.count(),
        )
        self.set_status(503)
        self.finish(orjson.dumps({"error": "too-many-pulls"}))

    def _write_row(
        self, event: str, pull: Pull, name: str, puller: str, counted_bytes: int
    ) -> None:
        """Journal the start or the end of a pull; `counted_bytes` is its size or what was sent."""
        rates = self.store.bandwidth.rates()
        self.store.journal.write(
            event,
            store=self.store.store,
            name=name,
            bytes=counted_bytes,
            puller=puller,
            size_bytes=pull.size_bytes,
            complete=pull.is_complete(),
            concurrent=self.store.bandwidth.count(),
            bytes_per_second=int(sum(rates.values())),
        )


def make_application(store: WeightStore) -> Application:
    """Return the HTTP application of one store."""
    state = {"store": store}
    return Application(
        [("/status", StatusHandler, state), ("/v1/weights/(.+)", WeightsHandler, state)],
        log_function=lambda _handler: None,
    )
