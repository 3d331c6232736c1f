"""The ordered chain of sampling policies: each retains or abstains, and the first verdict counts.

Source: "Trace sampling: head, tail, adaptive". Changed: the chain reads evidence instead of spans,
the root is the span without a parent instead of the longest one, and the baseline is drawn from the
trace identifier, so that every collector that sees a part of a trace draws the same.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import xxhash

from zincvale.model.identifiers import TraceId
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.recorder.limiter import MAX_RATE, AdaptiveLimiter

ERROR_POLICY = "errors-always"
INGRESS_LOST_POLICY = "entry-lost"
SLOW_POLICY = "slow-always"
BASELINE_POLICY = "random-baseline"
NO_POLICY = ""
"""Policy of late spans that join a retained trace although no policy would retain them."""
CERTAIN = 1.0
"""Probability of a verdict that does not depend on a random draw."""


@attrs.define(slots=True)
class Evidence:
    """What is known about a trace when the chain is evaluated."""

    trace_id: TraceId
    error: bool = False
    root_ms: float = -1.0
    """Duration of the root; negative while it is not known."""
    at: float = 0.0
    """When the chain is evaluated, in seconds on the collector's monotonic clock."""
    is_ingress_lost: bool = False
    """Whether the member with the root departed while the root was open."""


@attrs.frozen(slots=True)
class Verdict:
    """Which policy retains the trace, and its probability of retaining one with this evidence."""

    policy: str
    probability: float


class SamplingPolicy(Protocol):
    """One policy of the chain."""

    def evaluate(self, evidence: Evidence) -> Verdict | None:
        """Return the verdict, or None to abstain."""
        ...


@attrs.frozen(slots=True)
class ErrorsAlways:
    """Retains every trace that has a span with status ERROR."""

    def evaluate(self, evidence: Evidence) -> Verdict | None:
        """Return the verdict, or None to abstain."""
        return Verdict(ERROR_POLICY, CERTAIN) if evidence.error else None


@attrs.frozen(slots=True)
class IngressNodeLost:
    """Retains every trace whose root was open on an ingress node that departed."""

    def evaluate(self, evidence: Evidence) -> Verdict | None:
        """Return the verdict, or None to abstain."""
        return Verdict(INGRESS_LOST_POLICY, CERTAIN) if evidence.is_ingress_lost else None


@attrs.frozen(slots=True)
class SlowAlways:
    """Retains every trace whose root took longer than `threshold_ms`."""

    threshold_ms: float

    def evaluate(self, evidence: Evidence) -> Verdict | None:
        """Return the verdict, or None to abstain."""
        return Verdict(SLOW_POLICY, CERTAIN) if evidence.root_ms > self.threshold_ms else None


@attrs.frozen(slots=True)
class RandomBaseline:
    """Retains a share of all traces, by a hash that is independent of the head decision.

    The share falls as ordinary traces become more frequent, down to the limiter's minimum rate.
    Under light traffic every trace is retained, so that every request can be explained.
    """

    limiter: AdaptiveLimiter

    def evaluate(self, evidence: Evidence) -> Verdict | None:
        """Return the verdict, or None to abstain."""
        draw = xxhash.xxh64_intdigest(evidence.trace_id.encode())
        if not self.limiter.decide(draw, evidence.at):
            return None
        return Verdict(BASELINE_POLICY, self.limiter.rate)


def default_chain(config: TracingConfig) -> tuple[SamplingPolicy, ...]:
    """Return the default chain: errors, lost ingress nodes, slow roots, baseline."""
    baseline = AdaptiveLimiter(config.baseline_traces_per_s, MAX_RATE, config.baseline_share)
    if not config.baseline_traces_per_s:
        baseline.set_rate(config.baseline_share)
    return (
        ErrorsAlways(),
        IngressNodeLost(),
        SlowAlways(config.slow_root_ms),
        RandomBaseline(baseline),
    )


def evaluate(chain: Sequence[SamplingPolicy], evidence: Evidence) -> Verdict | None:
    """Return the first verdict of the chain, or None when every policy abstains."""
    for policy in chain:
        verdict = policy.evaluate(evidence)
        if verdict is not None:
            return verdict
    return None


def weight(verdict: Verdict, head_probability: float, is_error: bool) -> float:
    """Return how many traces a retained one represents: 1 / probability of its retention.

    Every ERROR trace is retained, because it is sampled or promoted, so its weight is 1. A trace
    whose head probability is not known gets 0.0, which leaves it out of statistics.
    """
    if is_error:
        return 1.0
    if head_probability <= 0.0:
        return 0.0
    return 1.0 / (head_probability * verdict.probability)
