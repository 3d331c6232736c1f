"""`zincvale bench`: the relay benchmark and the capacity measurement."""

from __future__ import annotations

import json
from pathlib import Path

import attrs

GOAL_THROUGHPUT_RATIO = 0.7
"""Least throughput of a node, as a fraction of the pass-through's."""
GOAL_ADDED_P99_MS = 5.0
"""Most latency that a node may add at the 99th percentile."""
GOAL_ADDED_GAP_MS = 3.0
"""Most that a node may add to the gap between chunks of a stream at the 95th percentile."""


class BenchCommands:
    """Measurements, as ratios within one run."""

    def run(self, seconds: float = 5.0, output: str = "table") -> None:
        """Measure one node beside a bare tornado and curl pass-through.

        Args:
            seconds: length of each load.
            output: table or json.
        """
        from zincvale.bench.relay_bench import RelayBench

        figures = RelayBench(seconds).run()
        node, pass_through = figures["node"], figures["pass-through"]
        summary = {
            "node": attrs.asdict(node),
            "pass_through": attrs.asdict(pass_through),
            "throughput_ratio": node.per_second / pass_through.per_second,
            "per_cpu_second_ratio": node.per_cpu_second / pass_through.per_cpu_second,
            "tokens_ratio": node.tokens_per_cpu_second / pass_through.tokens_per_cpu_second,
        }
        if output == "json":
            print(json.dumps(summary, indent=2))
            return
        for relay in (pass_through, node):
            print(
                f"{relay.name:13} {relay.per_second:8.0f} requests/s"
                f" {relay.per_cpu_second:8.0f} per core-second;"
                f" added p50 {relay.added_p50_ms:6.2f} ms, p99 {relay.added_p99_ms:6.2f} ms"
                f" at half the node's load;"
                f" {relay.tokens_per_cpu_second:8.0f} tokens per core-second;"
                f" added p95 gap {relay.added_gap_p95_ms:5.2f} ms over 200 paced streams"
            )
        print(
            f"throughput {summary['throughput_ratio']:.2f} of the pass-through"
            f" (goal {GOAL_THROUGHPUT_RATIO}), added p99 {node.added_p99_ms:.2f} ms"
            f" (goal {GOAL_ADDED_P99_MS}), tokens {summary['tokens_ratio']:.2f},"
            f" added p95 gap {node.added_gap_p95_ms:.2f} ms (goal {GOAL_ADDED_GAP_MS})"
        )

    def capacity(self, results: str = "docs/capacity.json", page: str = "docs/CAPACITY.md") -> None:
        """Measure the slopes with hollow nodes before three real cores and write the page.

        Args:
            results: where the raw figures go.
            page: the page that is written from them.
        """
        from zincvale.bench.capacity_page import write_page
        from zincvale.bench.capacity_run import measure

        measured = measure(print)
        write_page(measured, Path(results), Path(page))
        print(f"written: {results}, {page}")
