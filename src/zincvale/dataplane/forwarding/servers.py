"""What a node knows of each server: the published row, its residency, and its own evidence."""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.fleet_budgets import SlowStartLimiter
from zincvale.model.identifiers import ServerId
from zincvale.model.view import ServerRow

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
REFUSED_BACKOFF_S = 0.05
ABSENT_TTL_S = 0.3
"""How long a server's own word that it lacks something counts against what is published."""
LATENCY_WEIGHT = 0.2
MAX_CACHED_PARTS = 512


@attrs.frozen
class Residency:
    """What one incarnation of a server holds."""

    incarnation: str
    models: frozenset[str]
    adapters: frozenset[str]
    """Each as `MODEL/ADAPTER`."""

    def has_resident(self, prompt: Prompt) -> bool:
        """Whether the prompt's model and adapter are there."""
        if prompt.model not in self.models:
            return False
        return not prompt.adapter or adapter_name(prompt.model, prompt.adapter) in self.adapters


def adapter_name(model: str, adapter: str) -> str:
    """Return the name of an adapter among those of all models."""
    return f"{model}/{adapter}"


def required_names(prompt: Prompt) -> tuple[str, ...]:
    """Return the names that must be resident for a prompt."""
    if not prompt.adapter:
        return (prompt.model,)
    return (prompt.model, adapter_name(prompt.model, prompt.adapter))


@attrs.define(eq=False)
class ServerState:
    """One incarnation of a server, as this node sees it.

    Attributes
    ----------
    residency : what it holds and will not unload next, by the newest word of the placement leader
        or of the list.
    outstanding : requests of this node that are there now.
    outstanding_tokens : tokens of these that had to be read when they were sent.
    cold_until : until when it bears only a few requests.
    paused_until : left alone after failures.
    latency_s : moving average from sending to the first answer; 0 when never measured.
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
        """Whether the prompt can run here, as far as known."""
        if not self.residency.has_resident(prompt):
            return False
        return all(
            now >= self._absent_until.get(name, -math.inf) for name in required_names(prompt)
        )

    def has_resident_model(self, prompt: Prompt, now: float) -> bool:
        """Whether the prompt's model is here, whatever adapter it names."""
        if prompt.model not in self.residency.models:
            return False
        return now >= self._absent_until.get(prompt.model, -math.inf)

    def mark_absent(self, prompt: Prompt, now: float) -> None:
        """Remember the server's own word that it lacks what the prompt asks for."""
        self._absent_until[required_names(prompt)[-1]] = now + ABSENT_TTL_S

    def forget_absent(self) -> None:
        """Believe what is published: it is newer."""
        self._absent_until.clear()

    def is_in_slow_start(self, now: float) -> bool:
        """Whether the server bears only a few requests now."""
        return now < self.slow_start_until

    def is_backing_off(self, now: float) -> bool:
        """Whether the server is left alone after failures."""
        return now < self.backoff_until

    def on_unreachable(self, now: float) -> None:
        """Leave the server alone for a time that grows with failures in a row."""
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.failures)
        self.failures += 1
        self.backoff_until = now + pause_s

    def on_refused(self, now: float) -> None:
        """The server is full: leave it alone for a moment."""
        self.backoff_until = max(self.backoff_until, now + REFUSED_BACKOFF_S)

    def on_response(self, latency_s: float) -> None:
        """A first answer came."""
        self.failures = 0
        self.backoff_until = -math.inf
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_cached_parts(self, prompt: Prompt) -> None:
        """The prompt's shared parts are cached here from now on, as far as known."""
        owner = "/".join(required_names(prompt))
        for part in prompt.parts[:-1]:
            key = (owner, part.part_id)
            self._parts[key] = None
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_CACHED_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens at the prompt's beginning that this node sent here lately."""
        owner = "/".join(required_names(prompt))
        total = 0
        for part in prompt.parts[:-1]:
            if (owner, part.part_id) not in self._parts:
                break
            total += part.tokens
        return total
