"""Measures what tracing costs a node, and which traces survive the crash of a collector.

`python -m zincvale.bench.tracing_bench run` prints the processor time of a traced request, and of a
node with and without tracing, within one run; the memory at ten times the target rate, compared
with the budgets; and the share of ERROR traces that are kept when a collector crashes, over seeds.
"""

from __future__ import annotations

import functools
import gc
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

import attrs
import fire
import orjson

from zincvale.bench.tracing_fleet import RequestMix, TracingFleet, trace_request
from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.tracing.chunks import ROW_OVERHEAD_BYTES
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.recorder.recorder import SpanRecorder
from zincvale.tracing.service import TracingService
from zincvale.transport.codec import decode_message, encode_message

ROUNDS = 7
REQUESTS_PER_ROUND = 4_000
REQUESTS_PER_S = 500.0
"""Rate of the traced requests in virtual time."""
US_PER_S = 1e6
NODE = MemberId("node-1")
PEER = MemberId("node-2")
POLICIES = ("route-match", "zone-exclusion", "residency", "least-outstanding-tokens")


@attrs.define
class NodePair:
    """A node and a peer that exchange encoded messages, in virtual time."""

    config: TracingConfig = attrs.field(factory=TracingConfig)
    now: float = 1000.0
    services: dict[MemberId, TracingService] = attrs.field(factory=dict)

    def start(self) -> TracingService:
        """Start both services and return the node's."""
        for member in (NODE, PEER):
            self.services[member] = TracingService(
                member,
                random.Random(member),
                lambda: self.now,
                time.time,
                functools.partial(self._deliver, member),
                self.config,
            )
        rows = {
            member: MemberRow(member, Role.NODE, ZoneName("z"), Address("a"), Address("b"))
            for member in self.services
        }
        for service in self.services.values():
            service.apply_members(Members(1, rows))
        return self.services[NODE]

    def tick(self) -> None:
        """Run the timers of both services."""
        for service in self.services.values():
            service.tick(self.now)

    def _deliver(self, sender: MemberId, to: MemberId, message: object) -> None:
        service = self.services[to]
        decoded = decode_message(type(message).MESSAGE_NAME, encode_message(message))  # type: ignore[attr-defined]
        reply = service.handle_message(sender, decoded)
        if reply is not None:
            self._deliver(to, sender, reply)


def traced_request(recorder: SpanRecorder, number: int, is_error: bool = False) -> None:
    """Record the trace of an ordinary request: three spans, one event per policy, the outcome."""
    root = recorder.start("request", attributes={"route": "summaries"})
    root.set("request_id", f"request-{number:09}")
    root.set("model", "model-17")
    hold = recorder.start("hold", root.context)
    hold.end()
    dispatch = recorder.start("dispatch", root.context)
    for policy in POLICIES:
        dispatch.event("policy", policy=policy, kind="filter", kept=4, reason="2 not resident")
    dispatch.set("server", "language-model-3")
    dispatch.set("attempt", 1)
    if is_error:
        dispatch.error("connection reset")
    dispatch.end()
    root.set("server", "language-model-3")
    root.set("held_ms", 1.25)
    root.set("outcome", "unknown" if is_error else "answered")
    root.end()


def _processor_time_s(action: Callable[[], None]) -> float:
    begin = time.process_time()
    action()
    return time.process_time() - begin


class TracingBench:
    """Measurements of tracing; each prints its result."""

    def cost(self) -> None:
        """Print the processor time per traced request: recording, sending, collecting, deciding."""
        per_request = [self._measure_cost_us() for _ in range(ROUNDS)]
        print(f"traced request, all parts: {_median_and_rounds(per_request)} us")
        print(
            f"reference (orjson round trip of 1 kB): {self._reference_us():.2f} us in the same run"
        )

    def node(self, rounds: int = 5, seconds: float = 4.0) -> None:
        """Print a node's processor time per request, with and without tracing, in one run."""
        from zincvale.bench.tracing_cost import NodeCostBench

        for variant, row in NodeCostBench(rounds, seconds).run().items():
            print(f"node {variant}: {_median_and_rounds(row.cpu_us)} us per request")
            print(
                f"  tracing on the stack {row.tracing_share:.2%} of {row.samples} samples, gc"
                f" {row.gc_share:.2%} of its processor time at {row.per_second:.0f} requests/s"
            )

    def memory(self, factor: float = 10.0) -> None:
        """Print the memory at `factor` times the target rate, for longer than the decision wait."""
        pair = NodePair()
        service = pair.start()
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        peak_traces = peak_counted = 0
        rate = pair.config.target_traces_per_s * factor
        step_s = 0.05
        for step in range(int(60 / step_s)):
            for number in range(int(rate * step_s)):
                traced_request(service.recorder, step * 1000 + number)
            pair.now += step_s
            pair.tick()
            counted = sum(
                s.collector.size_bytes + s.sender.retained_bytes + s.sender.queued_bytes
                for s in pair.services.values()
            )
            if counted > peak_counted:
                peak_counted = counted
                peak_traces = sum(len(s.collector) for s in pair.services.values())
                peak_allocated = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        budget = 2 * (pair.config.collector_bytes + pair.config.sender_bytes)
        print(f"offered {rate:.0f} traces/s for 60 s to one node of two")
        print(f"peak: {peak_traces} undecided traces, counted {peak_counted / 1e6:.1f} MB,")
        print(
            f"  allocated {peak_allocated / 1e6:.1f} MB, budget {budget / 1e6:.1f} MB (two nodes)"
        )
        print(f"  dropped at the senders: {dict(service.sender.stats.dropped)}")
        print(f"  counted overhead of a chunk: {ROW_OVERHEAD_BYTES} bytes")

    def crash(self, seeds: int = 10, nodes: int = 8, per_second: int = 80) -> None:
        """Print the share of ERROR traces kept, without a crash and when one node crashes."""
        for crashed in (False, True):
            retained = failed = 0
            worst = 1.0
            for seed in range(seeds):
                seed_retained, seed_failed = _run_fleet(seed, nodes, per_second, crashed)
                retained += seed_retained
                failed += seed_failed
                worst = min(worst, seed_retained / seed_failed)
            state = "one node crashes" if crashed else "every process lives"
            share = retained / failed
            print(
                f"{state}: {retained} of {failed} ERROR traces kept"
                f" ({share:.3%}, worst {worst:.3%})"
            )

    def run(self) -> None:
        """Run every measurement."""
        print(f"python {sys.version.split()[0]}, seeds 0.., virtual time, one process")
        self.cost()
        self.node()
        self.memory()
        self.crash()

    def _measure_cost_us(self) -> float:
        pair = NodePair()
        service = pair.start()
        service.recorder.limiter.set_rate(1.0)
        gc.collect()

        def work() -> None:
            for number in range(REQUESTS_PER_ROUND):
                traced_request(service.recorder, number, is_error=number % 100 == 0)
                pair.now += 1.0 / REQUESTS_PER_S
                if number % 125 == 0:
                    pair.tick()
            for _ in range(160):
                pair.now += 0.25
                pair.tick()

        return _processor_time_s(work) / REQUESTS_PER_ROUND * US_PER_S

    def _reference_us(self) -> float:
        value = {"name": "x" * 40, "rows": [{"number": n, "text": "y" * 30} for n in range(16)]}

        def work() -> None:
            for _ in range(20_000):
                orjson.loads(orjson.dumps(value))

        return _processor_time_s(work) / 20_000 * US_PER_S


def _run_fleet(seed: int, nodes: int, per_second: int, crashed: bool) -> tuple[int, int]:
    fleet = TracingFleet(seed, TracingConfig(), loss=0.01)
    fleet.start(nodes)
    source = random.Random(seed)
    begin = fleet.now
    failed = []

    def request() -> None:
        trace_id, is_error = trace_request(fleet, fleet.pick_service(), RequestMix(0.25), source)
        if is_error:
            failed.append(trace_id)

    for number in range(int(60 * per_second)):
        fleet.run_at(begin + number / per_second, request)
    if crashed:
        fleet.run_at(
            begin + 30.0 + source.random(), lambda: fleet.crash(fleet.pick_service().member_id)
        )
    fleet.run_until(begin + 200.0)
    return sum(fleet.is_retained_anywhere(trace_id) for trace_id in failed), len(failed)


def _median_and_rounds(values: list[float]) -> str:
    median = statistics.median(values)
    return f"{median:.1f} (rounds {', '.join(f'{value:.1f}' for value in values)})"


if __name__ == "__main__":
    fire.Fire(TracingBench)
