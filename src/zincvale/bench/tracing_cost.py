"""Measures a node with and without tracing under the load of the relay bench, one at a time."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys

import attrs

from zincvale.bench.http_load import closed_loop
from zincvale.bench.relay_bench import short_body
from zincvale.bench.relay_process import PATH

BACK_END = "127.0.9.1:7101"
ADDRESS_BY_VARIANT = {
    "untraced": "127.0.9.2:7101",
    "traced": "127.0.9.3:7101",
    "alone": "127.0.9.5:7101",
}
CONNECTIONS = 16
STOP_TIMEOUT_S = 5.0
WARM_UP_ROUNDS = 4
"""Rounds of load that are not counted, before the measured ones."""
US_PER_S = 1e6


@attrs.define
class VariantFigures:
    """Figures of one variant of the node.

    Attributes
    ----------
    cpu_us : processor time per request in microseconds, by round.
    per_second : requests per second in the last round.
    samples : stack samples taken.
    tracing_share : share of the samples that have code of the tracing package on the stack.
    gc_share : share of the processor time in the garbage collector, which overlaps with the
        share of tracing.
    """

    cpu_us: list[float] = attrs.field(factory=list)
    per_second: float = 0.0
    samples: int = 0
    tracing_share: float = 0.0
    gc_share: float = 0.0


class NodeCostBench:
    """Runs the processes and measures each variant of the node under load."""

    def __init__(self, rounds: int, seconds: float) -> None:
        self._rounds = rounds
        self._seconds = seconds
        self._processes: dict[str, subprocess.Popen[str]] = {}

    def run(self) -> dict[str, VariantFigures]:
        """Return the figures of every variant; one node at a time is under load."""
        figures = {variant: VariantFigures() for variant in ADDRESS_BY_VARIANT}
        try:
            self._start("back-end", "zincvale.bench.relay_process", "back-end", BACK_END)
            for variant, row in figures.items():
                self._measure(variant, row)
        finally:
            for name in list(self._processes):
                self._stop(name)
        return figures

    def _measure(self, variant: str, row: VariantFigures) -> None:
        """Load one node without pauses, since the limiter's window and the wait elapse in them."""
        address = ADDRESS_BY_VARIANT[variant]
        self._start(variant, "zincvale.bench.tracing_node", variant, address, BACK_END)
        for _ in range(WARM_UP_ROUNDS):
            self._run_round(variant)
        self._processes[variant].send_signal(signal.SIGUSR1)
        for _ in range(self._rounds):
            cpu_us, row.per_second = self._run_round(variant)
            row.cpu_us.append(cpu_us)
        samples, tracing, collecting = self._stop(variant).split()
        row.samples = int(samples)
        row.tracing_share = float(tracing)
        row.gc_share = float(collecting)

    def _stop(self, name: str) -> str:
        """Terminate a process; return the rest of its output."""
        process = self._processes.pop(name)
        process.terminate()
        text, _ = process.communicate(timeout=STOP_TIMEOUT_S)
        return text

    def _run_round(self, variant: str) -> tuple[float, float]:
        """Run a round of load; return processor time per request (us) and requests per second."""
        before = self._cpu_s(variant)
        address = ADDRESS_BY_VARIANT[variant]
        result = asyncio.run(closed_loop(address, PATH, short_body, CONNECTIONS, self._seconds))
        cpu_s = self._cpu_s(variant) - before
        return cpu_s / max(result.succeeded, 1) * US_PER_S, result.per_second

    def _cpu_s(self, variant: str) -> float:
        pid = self._processes[variant].pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _start(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes[name] = process
        assert process.stdout is not None
        process.stdout.readline()
