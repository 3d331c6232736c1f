"""Compares a node with a minimal pass-through: throughput, added latency and relayed tokens.

Every figure is compared between the two relays, or with a back end that is called directly, in the
same run on the same machine.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs

from zincvale.bench.http_load import LoadResult, closed_loop, open_loop
from zincvale.bench.relay_process import FAST_TOKENS, MODEL, PATH
from zincvale.bench.stream_load import StreamResult, paced_streams

BACK_END_ADDRESSES = ("127.0.8.1:7001", "127.0.8.2:7001")
PASS_THROUGH_ADDRESS = "127.0.8.3:7001"
NODE_ADDRESS = "127.0.8.4:7001"
CONNECTIONS = 32
"""Connections of the throughput load."""
FAST_STREAMS = 8
"""Concurrent streams when relayed tokens are measured."""
ROUNDS = 3
"""Throughput measurements of each relay, of which the mean is taken."""
STOP_TIMEOUT_S = 5.0


@attrs.define
class RelayFigures:
    """Figures of one relay.

    Attributes
    ----------
    per_second : successful exchanges per second.
    per_cpu_second : successful exchanges per second of the relay's processor time.
    added_p50_ms : median latency beyond that of a back end called directly.
    added_p99_ms : the same for the 99th percentile.
    added_gap_p95_ms : 95th percentile of the gap between chunks beyond that of a back end.
    """

    name: str
    per_second: float = 0.0
    per_cpu_second: float = 0.0
    added_p50_ms: float = 0.0
    added_p99_ms: float = 0.0
    tokens_per_cpu_second: float = 0.0
    added_gap_p95_ms: float = 0.0


def short_body(number: int) -> bytes:
    """Return a short request without streaming."""
    return _body(number, "bench prompt", False)


def fast_stream_body(number: int) -> bytes:
    """Return a request for a stream whose tokens are sent without pauses."""
    return _body(number, "fast", True)


def _body(number: int, prompt: str, stream: bool) -> bytes:
    request = {
        "request_id": f"bench-{number}",
        "model": MODEL,
        "adapter": None,
        "prompt": prompt,
        "max_tokens": FAST_TOKENS,
        "stream": stream,
    }
    return json.dumps(request).encode()


class RelayBench:
    """Runs the processes and measures both relays under each load."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._processes: dict[str, subprocess.Popen[str]] = {}

    def run(self) -> dict[str, RelayFigures]:
        """Return the figures of both relays."""
        with self._running_processes():
            figures = {"pass-through": RelayFigures("pass-through"), "node": RelayFigures("node")}
            self._measure_throughput(figures)
            self._measure_latency(figures)
            self._measure_tokens(figures)
            self._measure_gaps(figures)
        return figures

    def _measure_throughput(self, figures: dict[str, RelayFigures]) -> None:
        """Alternate the relays over the rounds, so that noise of the machine affects both alike."""
        for _ in range(ROUNDS):
            for name, address in _relay_addresses():
                result, cpu_s = self._measure_load(name, address, short_body)
                figures[name].per_second += result.per_second / ROUNDS
                figures[name].per_cpu_second += result.succeeded / cpu_s / ROUNDS

    def _measure_load(
        self,
        name: str,
        address: str,
        body_of: Callable[[int], bytes],
        connections: int = CONNECTIONS,
    ) -> tuple[LoadResult, float]:
        before = self._cpu_s(name)
        result = asyncio.run(closed_loop(address, PATH, body_of, connections, self._seconds))
        return result, max(self._cpu_s(name) - before, 1e-9)

    def _measure_latency(self, figures: dict[str, RelayFigures]) -> None:
        rate = figures["node"].per_second / 2
        direct = asyncio.run(
            open_loop(BACK_END_ADDRESSES[0], "/v1/generate", short_body, rate, self._seconds, 1)
        )
        for name, address in _relay_addresses():
            result = asyncio.run(open_loop(address, PATH, short_body, rate, self._seconds, 1))
            figures[name].added_p50_ms = result.quantile_ms(50) - direct.quantile_ms(50)
            figures[name].added_p99_ms = result.quantile_ms(99) - direct.quantile_ms(99)

    def _measure_tokens(self, figures: dict[str, RelayFigures]) -> None:
        for name, address in _relay_addresses():
            result, cpu_s = self._measure_load(name, address, fast_stream_body, FAST_STREAMS)
            figures[name].tokens_per_cpu_second = result.succeeded * FAST_TOKENS / cpu_s

    def _measure_gaps(self, figures: dict[str, RelayFigures]) -> None:
        direct = _run_paced_streams(BACK_END_ADDRESSES[0], "/v1/generate")
        for name, address in _relay_addresses():
            result = _run_paced_streams(address, PATH)
            figures[name].added_gap_p95_ms = result.gap_ms(95) - direct.gap_ms(95)

    def _cpu_s(self, name: str) -> float:
        with open(f"/proc/{self._processes[name].pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @contextmanager
    def _running_processes(self) -> Iterator[None]:
        try:
            for number, address in enumerate(BACK_END_ADDRESSES):
                self._start(f"back-end-{number}", "back-end", address)
            self._start("pass-through", "pass-through", PASS_THROUGH_ADDRESS, *BACK_END_ADDRESSES)
            self._start("node", "node", NODE_ADDRESS, *BACK_END_ADDRESSES)
            yield
        finally:
            for process in self._processes.values():
                process.terminate()
            for process in self._processes.values():
                process.wait(STOP_TIMEOUT_S)

    def _start(self, name: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "zincvale.bench.relay_process", *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes[name] = process
        assert process.stdout is not None
        process.stdout.readline()


def _relay_addresses() -> tuple[tuple[str, str], ...]:
    return (("pass-through", PASS_THROUGH_ADDRESS), ("node", NODE_ADDRESS))


def _run_paced_streams(address: str, path: str) -> StreamResult:
    return asyncio.run(paced_streams(address, path, lambda number: _body(number, "paced", True)))
