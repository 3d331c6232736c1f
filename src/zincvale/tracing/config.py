"""Settings of tracing."""

from __future__ import annotations

from dataclasses import dataclass

from zincvale.model.checked import Checked

MEBIBYTE = 1024 * 1024


@dataclass
class TracingConfig(Checked):
    """Budgets, waits and thresholds of tracing, with their defaults."""

    head_sampling: bool = True
    """Whether new traces are sampled at an adaptive rate. False samples every trace, for members
    that start few of them."""
    target_traces_per_s: float = 500.0
    """Target number of traces that all nodes together sample per second."""
    node_traces_per_s: float = 0.0
    """Upper limit of the target of one node, in traces per second; 0 sets none beyond the node's
    share of `target_traces_per_s`. With many collectors each trace needs a message exchange of its
    own."""
    decision_wait_s: float = 30.0
    """Time from the arrival of a trace's first span at its collector until its verdict."""
    longest_wait_s: float = 600.0
    """Longest time until the verdict of a trace whose wait is extended by open-root markers."""
    slow_root_ms: float = 500.0
    """Root duration above which a trace is retained as slow."""
    baseline_share: float = 0.01
    """Smallest fraction of ordinary traces (no ERROR, not slow) that a collector retains."""
    baseline_traces_per_s: float = 10.0
    """Ordinary traces that a collector aims to retain per second, where `baseline_share` would give
    fewer; 0 always retains just `baseline_share`."""
    num_traces: int = 200_000
    """Maximum number of undecided traces in one collector."""
    collector_bytes: int = 64 * MEBIBYTE
    """Maximum bytes of undecided traces in one collector."""
    sender_bytes: int = 32 * MEBIBYTE
    """Maximum bytes of chunks queued for collectors or retained by the sender until their
    verdict."""
    kept_bytes: int = 64 * MEBIBYTE
    """Maximum bytes of retained traces in one member, including replicas."""
    kept_s: float = 24 * 3600.0
    """Maximum time in seconds for which a retained trace is stored."""
    open_bytes: int = 16 * MEBIBYTE
    """Maximum bytes of ended spans that a member buffers before their trace is sent or dropped."""
    copy_errors: bool = True
    """Whether retained ERROR traces are replicated to a second member."""
