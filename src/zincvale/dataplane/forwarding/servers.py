"""What a node knows of each server: the published row, its residency, and its own measurements."""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.fleet_budgets import SlowStartLimiter
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import ServerId

INITIAL_BACKOFF_S = 0.25
"""After the first failure; doubles with each failure in a row."""
MAX_BACKOFF_S = 2.0
"""Longer keeps a server without traffic after its restart."""
REFUSED_BACKOFF_S = 0.05
"""A full server frees a slot soon; longer leaves slots unused."""
ABSENT_TTL_S = 0.3
"""How long a server's statement that a model is not resident overrides what is published; a newer
publication ends it sooner."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest sample in the moving average."""
MAX_CACHED_PARTS = 512
"""Prompt parts remembered for each server; bounds the node's memory."""


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
    residency : what is resident and will not be unloaded next, as last published by the placement
        leader or in the directory.
    outstanding : requests of this node that are in flight at the server.
    outstanding_tokens : prompt tokens that it had to process for them when they were sent.
    slow_start_until : until when it gets only a few requests.
    backoff_until : until when it gets none, after failures or a refusal.
    latency_s : moving average from sending to the head of the response, of a stream to its first
        event; 0 when never measured.
    """

    row: ServerRow
    residency: Residency
    outstanding: int = 0
    outstanding_tokens: int = 0
    slow_start_until: float = -math.inf
    backoff_until: float = -math.inf
    failures: int = 0
    latency_s: float = 0.0
    slow_start_limiter: SlowStartLimiter = attrs.field(factory=SlowStartLimiter)
    _absent_until: dict[str, float] = attrs.field(factory=dict)
    _parts: OrderedDict[tuple[str, str], None] = attrs.field(factory=OrderedDict)

    @property
    def server(self) -> ServerId:
        """The server's identifier in the directory."""
        return self.row.server

    def has_resident(self, prompt: Prompt, now: float) -> bool:
        """Whether the prompt can run here, by what was published and what the server stated."""
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
        """Forget these statements: what is published is newer."""
        self._absent_until.clear()

    def is_in_slow_start(self, now: float) -> bool:
        """Whether the server gets only a few requests now."""
        return now < self.slow_start_until

    def is_backing_off(self, now: float) -> bool:
        """Whether the server gets no requests now, after failures or a refusal."""
        return now < self.backoff_until

    def on_unreachable(self, now: float) -> None:
        """Back off for a time that doubles with failures in a row."""
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.failures)
        self.failures += 1
        self.backoff_until = now + backoff_s

    def on_refused(self, now: float) -> None:
        """Back off for a moment: the server is full."""
        self.backoff_until = max(self.backoff_until, now + REFUSED_BACKOFF_S)

    def on_response(self, latency_s: float) -> None:
        """Record a response: the server is well."""
        self.failures = 0
        self.backoff_until = -math.inf
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_cached_parts(self, prompt: Prompt) -> None:
        """Record the prompt's shared parts, which the server caches from now on."""
        owner = "/".join(required_names(prompt))
        for part in prompt.parts[:-1]:
            key = (owner, part.part_id)
            self._parts[key] = None
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_CACHED_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the prompt's leading parts that this node sent here lately."""
        owner = "/".join(required_names(prompt))
        total = 0
        for part in prompt.parts[:-1]:
            if (owner, part.part_id) not in self._parts:
                break
            total += part.tokens
        return total
