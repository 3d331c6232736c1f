"""What a node knows of each server: its directory row, residency, and the node's measurements."""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.fleet_budgets import SlowStartLimiter
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import ServerId

INITIAL_BACKOFF_S = 0.25
"""Back-off after the first failure; it doubles with each consecutive failure."""
MAX_BACKOFF_S = 2.0
"""The longest back-off: a longer one would keep a restarted server without traffic."""
REFUSED_BACKOFF_S = 0.05
"""Back-off after a refusal: a full server frees a slot soon; a longer one leaves slots unused."""
ABSENT_TTL_S = 0.3
"""How long a server's statement that a model or adapter is not resident overrides the published
residency; a newer publication ends it sooner."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of the latency."""
MAX_CACHED_PARTS = 512
"""How many prompt parts are remembered for each server; bounds the node's memory."""


@attrs.frozen
class Residency:
    """The models and adapters that are resident at one incarnation of a server."""

    incarnation: str
    models: frozenset[str]
    adapters: frozenset[str]
    """Each as `MODEL/ADAPTER`."""

    def has_resident(self, prompt: Prompt) -> bool:
        """Whether the prompt's model and adapter are resident."""
        if prompt.model not in self.models:
            return False
        return not prompt.adapter or adapter_name(prompt.model, prompt.adapter) in self.adapters


def adapter_name(model: str, adapter: str) -> str:
    """Return the name of an adapter, unique among those of all models."""
    return f"{model}/{adapter}"


def required_names(prompt: Prompt) -> tuple[str, ...]:
    """Return the names that must be resident for a prompt."""
    if not prompt.adapter:
        return (prompt.model,)
    return (prompt.model, adapter_name(prompt.model, prompt.adapter))


@attrs.define(eq=False)
class ServerState:
    """One incarnation of a server, as this node sees it.

    The native request path has a `ServerState` of its own (`inference.routing_state`) with learned
    concurrency and rate limits and `resilience.outlier_detection`. They are not merged: forwarding
    has no limits of its own, and its back-off after a failure ends by time, without a probe.

    Attributes
    ----------
    residency : what is resident and not about to be unloaded, as last published by the placement
        leader or in the directory.
    outstanding : requests of this node that are in flight at the server.
    outstanding_tokens : prompt tokens that it had to process for these requests when they were
        sent.
    slow_start_until : until when the server gets only a few requests.
    backoff_until : until when the server gets no requests, after failures or a refusal.
    consecutive_failures : failures since the last response.
    latency_s : moving average of the time from sending a request to the head of its response, or to
        the first event of a stream; 0 when never measured.
    """

    row: ServerRow
    residency: Residency
    outstanding: int = 0
    outstanding_tokens: int = 0
    slow_start_until: float = -math.inf
    backoff_until: float = -math.inf
    consecutive_failures: int = 0
    latency_s: float = 0.0
    slow_start_limiter: SlowStartLimiter = attrs.field(factory=SlowStartLimiter)
    _absent_until: dict[str, float] = attrs.field(factory=dict)
    _cached_parts: OrderedDict[tuple[str, str], None] = attrs.field(factory=OrderedDict)

    @property
    def server(self) -> ServerId:
        """The server's identifier in the directory."""
        return self.row.server

    def has_resident(self, prompt: Prompt, now: float) -> bool:
        """Whether model and adapter are published as resident and the server has not denied it."""
        if not self.residency.has_resident(prompt):
            return False
        return all(
            now >= self._absent_until.get(name, -math.inf) for name in required_names(prompt)
        )

    def has_resident_model(self, prompt: Prompt, now: float) -> bool:
        """Whether the prompt's model is resident, whatever adapter it names."""
        if prompt.model not in self.residency.models:
            return False
        return now >= self._absent_until.get(prompt.model, -math.inf)

    def mark_absent(self, prompt: Prompt, now: float) -> None:
        """Record the server's statement that the prompt's model or adapter is not resident."""
        self._absent_until[required_names(prompt)[-1]] = now + ABSENT_TTL_S

    def forget_absent(self) -> None:
        """Forget what `mark_absent` recorded, since the published residency is newer."""
        self._absent_until.clear()

    def is_in_slow_start(self, now: float) -> bool:
        """Whether the server gets only a few requests now."""
        return now < self.slow_start_until

    def is_backing_off(self, now: float) -> bool:
        """Whether the server gets no requests now, after failures or a refusal."""
        return now < self.backoff_until

    def on_unreachable(self, now: float) -> None:
        """Back off for a time that doubles with each consecutive failure."""
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.consecutive_failures)
        self.consecutive_failures += 1
        self.backoff_until = now + backoff_s

    def on_refused(self, now: float) -> None:
        """Back off for a moment: the server is full."""
        self.backoff_until = max(self.backoff_until, now + REFUSED_BACKOFF_S)

    def on_response(self, latency_s: float) -> None:
        """Record a response, which ends any back-off and the count of failures."""
        self.consecutive_failures = 0
        self.backoff_until = -math.inf
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_cached_parts(self, prompt: Prompt) -> None:
        """Record the prompt's shared parts, which the server caches from now on."""
        namespace = "/".join(required_names(prompt))
        for part in prompt.parts[:-1]:
            key = (namespace, part.part_id)
            self._cached_parts[key] = None
            self._cached_parts.move_to_end(key)
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the prompt's leading parts that this node sent here recently."""
        namespace = "/".join(required_names(prompt))
        total = 0
        for part in prompt.parts[:-1]:
            if (namespace, part.part_id) not in self._cached_parts:
                break
            total += part.tokens
        return total
