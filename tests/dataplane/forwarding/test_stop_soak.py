"""A node stops while its callers keep sending requests until its process exits.

Guards against requests that a stopping node begins although its exit will cut them off, also when
the process was suspended while it received the stop signal. Each seed is one stop in virtual time.
"""

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
STOP_LIMIT_S = 7.4
REFUSALS_BEFORE_EXIT_S = 0.4
MAX_SUSPENSION_S = 4.0
REQUESTS_PER_S = 6.0
TIMEOUT_S = 15.0
MAX_CUT_STREAMS = 5
"""How many streams may be cut off over all seeds: the node cannot predict a stream that takes
longer than all recent ones."""
STREAM_HEAD = ResponseHead(
    200, "OK", [("X-Request-Id", "q1"), ("Content-Type", "text/event-stream")]
)
HEAD = ResponseHead(200, "OK", [("X-Request-Id", "q1")])


@attrs.define
class Request:
    """One request of a caller and how long its server takes to respond."""

    sent_at: float
    is_stream: bool
    duration_s: float
    sink: Sink
    is_begun: bool
    longest_recent_s: float

    @property
    def is_complete(self) -> bool:
        return "end" in self.sink.log

    @property
    def is_refused(self) -> bool:
        return any(entry[0] == 503 for entry in self.sink.log if isinstance(entry, tuple))


class StopSoak:
    """Callers send all the time; the node is told to stop, perhaps while it is suspended."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = VirtualLoop()
        self.requests: list[Request] = []
        self.stop_requested_at = self.random.uniform(40.0, 70.0)
        self.suspended_s = self.random.choice(
            (0.0, 0.0, self.random.uniform(0.1, MAX_SUSPENSION_S))
        )
        self.stop_handled_at = self.stop_requested_at + self.suspended_s
        self.slowdown = 1.0

    def run(self) -> None:
        """Run until the node's process has exited."""
        self.loop.call_soon(self._start)
        self.loop.run_until(self.stop_handled_at + STOP_LIMIT_S)

    def _start(self) -> None:
        self.node = Node()
        routes = [
            make_route(),
            make_route("stream", streaming=True, resumable=True, attempts=2, timeout_s=TIMEOUT_S),
        ]
        self.node.service.apply_document(make_document(2, routes, [make_pool(engine=None)]))
        for at_s in self._arrivals():
            self.loop.call_at(at_s, self._arrive)
        self.loop.call_at(self.stop_handled_at, self._stop)
        refused_at = max(
            self.stop_handled_at, self.stop_requested_at + STOP_LIMIT_S - REFUSALS_BEFORE_EXIT_S
        )
        self.loop.call_at(refused_at, self._run_at_node_time, self._refuse_pending)

    def _arrivals(self) -> Iterator[float]:
        now = 0.0
        while now < self.stop_handled_at + STOP_LIMIT_S:
            now += self.random.expovariate(REQUESTS_PER_S)
            is_suspended = self.stop_requested_at <= now < self.stop_handled_at
            # Requests that arrive during a suspension are read when it ends, after the signal.
            yield self.stop_handled_at + 0.001 if is_suspended else now

    def _run_at_node_time(self, action) -> None:
        self.node.now = self.loop.time()
        action()

    def _stop(self) -> None:
        self._run_at_node_time(
            lambda: self.node.service.start_draining(self.stop_requested_at, STOP_LIMIT_S)
        )

    def _refuse_pending(self) -> None:
        self.node.service.refuse_pending()

    def _arrive(self) -> None:
        self._run_at_node_time(self._handle_arrival)

    def _handle_arrival(self) -> None:
        if self.random.random() < 0.02:
            self.slowdown = self.random.choice((1.0, 2.0, 4.0))
        is_stream = self.random.random() < 0.5
        route = "stream" if is_stream else "r"
        now, node = self.node.now, self.node
        longest_s = node.service.context.response_times.longest_s(route, now)
        before = len(node.client.sent)
        _, sink = node.send_request(f"/{route}/x")
        is_begun = len(node.client.sent) > before
        duration_s = self.slowdown * self.random.uniform(0.3, 1.5) if is_stream else 0.03
        self.requests.append(Request(now, is_stream, duration_s, sink, is_begun, longest_s))
        if is_begun:
            listener = node.client.sent[-1][2]
            self.loop.call_later(
                duration_s, self._run_at_node_time, lambda: _complete(listener, is_stream)
            )


def _complete(listener, is_stream: bool) -> None:
    listener.on_head(STREAM_HEAD if is_stream else HEAD)
    listener.on_content(b"id: 1\ndata: a\n\n" if is_stream else b"{}")
    listener.on_complete(is_delimited=True)


class StopSoakTest(testtools.TestCase):
    def test_a_stopping_node_completes_the_requests_it_begins_and_refuses_the_rest(self) -> None:
        refused = complete = cut = 0
        for seed in SEEDS:
            soak = StopSoak(seed)
            soak.run()
            ends_at = soak.stop_requested_at + STOP_LIMIT_S
            for request in soak.requests:
                description = (
                    f"seed {seed}, stop requested at {soak.stop_requested_at:.3f}: {request}"
                )
                self.assertEqual(request.is_begun, not request.is_refused, description)
                elapsed_s = request.sent_at - soak.stop_requested_at
                if elapsed_s < 0.0 or request.sent_at < soak.stop_handled_at:
                    continue
                allowed_s = NEW_STREAMS_ALLOWED_S if request.is_stream else NEW_REQUESTS_ALLOWED_S
                if elapsed_s >= allowed_s:
                    self.assertTrue(request.is_refused, description)
                if request.duration_s <= request.longest_recent_s * LONGEST_RESPONSE_FACTOR:
                    is_cut = request.is_begun and request.sent_at + request.duration_s > ends_at
                    self.assertFalse(is_cut, description)
                refused += request.is_refused
                complete += request.is_complete
                cut += request.is_begun and not request.is_complete
        self.assertGreater(refused, 10 * len(SEEDS))
        self.assertGreater(complete, 5 * len(SEEDS))
        self.assertLessEqual(cut, MAX_CUT_STREAMS)
