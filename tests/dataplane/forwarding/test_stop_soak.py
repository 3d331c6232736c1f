"""Stops of a node whose callers keep using their connections until the process is gone."""

from __future__ import annotations

import random
from collections.abc import Iterator

import attrs
import testtools

from tests.dataplane.forwarding.builders import make_document, make_pool, make_route
from tests.dataplane.forwarding.test_service import Node, Sink
from zincvale.dataplane.forwarding.service import (
    LONGEST_RESPONSE_FACTOR,
    NEW_REQUESTS_ALLOWED_S,
    NEW_STREAMS_ALLOWED_S,
)
from zincvale.simulator.virtual_loop import VirtualLoop
from zincvale.transport.server_exchange import ResponseHead

SEEDS = range(1, 101)
LIMIT_S = 7.4
FINAL_REFUSALS_S = 0.4
LONGEST_FREEZE_S = 4.0
REQUESTS_PER_S = 6.0
TIMEOUT_S = 15.0
MOST_CUT_STREAMS = 5
"""Streams that took longer than any seen lately at the node, over all seeds."""
STREAM_HEAD = ResponseHead(
    200, "OK", [("X-Request-Id", "q1"), ("Content-Type", "text/event-stream")]
)
HEAD = ResponseHead(200, "OK", [("X-Request-Id", "q1")])


@attrs.define
class Request:
    """One request of a caller and what its server needs for it."""

    sent_at: float
    is_stream: bool
    took_s: float
    sink: Sink
    begun: bool
    longest_before_s: float

    @property
    def is_complete(self) -> bool:
        return "end" in self.sink.log

    @property
    def is_refused(self) -> bool:
        return any(entry[0] == 503 for entry in self.sink.log if isinstance(entry, tuple))


class StopSoak:
    """Callers send all the time; the node is told to stop, perhaps while it stands still."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = VirtualLoop()
        self.requests: list[Request] = []
        self.told_to_stop_at = self.random.uniform(40.0, 70.0)
        self.frozen_s = self.random.choice((0.0, 0.0, self.random.uniform(0.1, LONGEST_FREEZE_S)))
        self.noticed_at = self.told_to_stop_at + self.frozen_s
        self.load = 1.0

    def run(self) -> None:
        """Play until the node has ended."""
        self.loop.call_soon(self._start)
        self.loop.run_until(self.noticed_at + LIMIT_S)

    def _start(self) -> None:
        self.node = Node()
        routes = [
            make_route(),
            make_route("stream", streaming=True, resumable=True, attempts=2, timeout_s=TIMEOUT_S),
        ]
        self.node.service.apply_document(make_document(2, routes, [make_pool(engine=None)]))
        for at_s in self._arrivals():
            self.loop.call_at(at_s, self._send)
        self.loop.call_at(self.noticed_at, self._stop)
        refused_at = max(self.noticed_at, self.told_to_stop_at + LIMIT_S - FINAL_REFUSALS_S)
        self.loop.call_at(refused_at, self._at_node_time, self._refuse_pending)

    def _arrivals(self) -> Iterator[float]:
        now = 0.0
        while now < self.noticed_at + LIMIT_S:
            now += self.random.expovariate(REQUESTS_PER_S)
            is_frozen = self.told_to_stop_at <= now < self.noticed_at
            # What arrives during a freeze is read at the thaw, after the signal.
            yield self.noticed_at + 0.001 if is_frozen else now

    def _at_node_time(self, action) -> None:
        self.node.now = self.loop.time()
        action()

    def _stop(self) -> None:
        self._at_node_time(lambda: self.node.service.start_draining(self.told_to_stop_at, LIMIT_S))

    def _refuse_pending(self) -> None:
        self.node.service.reject_pending()

    def _send(self) -> None:
        self._at_node_time(self._ask)

    def _ask(self) -> None:
        if self.random.random() < 0.02:
            self.load = self.random.choice((1.0, 2.0, 4.0))
        is_stream = self.random.random() < 0.5
        route = "stream" if is_stream else "r"
        now, node = self.node.now, self.node
        longest_s = node.service.context.response_times.longest_s(route, now)
        before = len(node.client.sent)
        _, sink = node.ask(f"/{route}/x")
        begun = len(node.client.sent) > before
        took_s = self.load * self.random.uniform(0.3, 1.5) if is_stream else 0.03
        self.requests.append(Request(now, is_stream, took_s, sink, begun, longest_s))
        if begun:
            listener = node.client.sent[-1][2]
            self.loop.call_later(took_s, self._at_node_time, lambda: _complete(listener, is_stream))


def _complete(listener, is_stream: bool) -> None:
    listener.on_head(STREAM_HEAD if is_stream else HEAD)
    listener.on_content(b"id: 1\ndata: a\n\n" if is_stream else b"{}")
    listener.on_complete()


class StopSoakTest(testtools.TestCase):
    def test_a_stopping_node_ends_what_it_begins_and_refuses_the_rest(self) -> None:
        refused = complete = cut = 0
        for seed in SEEDS:
            soak = StopSoak(seed)
            soak.run()
            ends_at = soak.told_to_stop_at + LIMIT_S
            for request in soak.requests:
                facts = f"seed {seed}, told at {soak.told_to_stop_at:.3f}: {request}"
                self.assertEqual(request.begun, not request.is_refused, facts)
                elapsed_s = request.sent_at - soak.told_to_stop_at
                if elapsed_s < 0.0 or request.sent_at < soak.noticed_at:
                    continue
                allowed_s = NEW_STREAMS_ALLOWED_S if request.is_stream else NEW_REQUESTS_ALLOWED_S
                if elapsed_s >= allowed_s:
                    self.assertTrue(request.is_refused, facts)
                if request.took_s <= request.longest_before_s * LONGEST_RESPONSE_FACTOR:
                    is_cut = request.begun and request.sent_at + request.took_s > ends_at
                    self.assertFalse(is_cut, facts)
                refused += request.is_refused
                complete += request.is_complete
                cut += request.begun and not request.is_complete
        self.assertGreater(refused, 10 * len(SEEDS))
        self.assertGreater(complete, 5 * len(SEEDS))
        self.assertLessEqual(cut, MOST_CUT_STREAMS)
