"""Settings of the tracing plane."""

from __future__ import annotations

from dataclasses import dataclass

from zincvale.model.checked import Checked

MEBIBYTE = 1024 * 1024


@dataclass
class TracingConfig(Checked):
    """Budgets, waits and thresholds; the defaults are those of the design page, or ours."""

    head_sampling: bool = True
    """False samples every trace: for members that make few of them."""
    target_traces_per_s: float = 500.0
    """Traces a second that the head decisions of all nodes together aim at."""
    node_traces_per_s: float = 0.0
    """Traces a second that the head decisions of one node aim at, at most; 0 bounds only all nodes
    together. With many collectors each trace is an exchange of its own."""
    decision_wait_s: float = 30.0
    """From a trace's first span at its collector until its verdict."""
    longest_wait_s: float = 600.0
    """Bound of the wait while open-root markers come."""
    slow_root_ms: float = 500.0
    baseline_share: float = 0.01
    """Least share of ordinary traces that a collector retains."""
    baseline_traces_per_s: float = 10.0
    """Ordinary traces a second that a collector retains as long as the share allows; 0 means just
    the share."""
    num_traces: int = 200_000
    """Most undecided traces in one collector."""
    collector_bytes: int = 64 * MEBIBYTE
    """Most bytes of undecided traces in one collector."""
    sender_bytes: int = 32 * MEBIBYTE
    """Most bytes queued for collectors, or retained until their verdict."""
    kept_bytes: int = 64 * MEBIBYTE
    """Most bytes of retained traces in one member, replicas included."""
    kept_s: float = 24 * 3600.0
    """Longest retention of a retained trace."""
    open_bytes: int = 16 * MEBIBYTE
    """Most bytes of ended spans whose trace is not flushed or dropped yet."""
    copy_errors: bool = True
    """Whether retained ERROR traces are replicated to a second member."""
