"""Forwarding configuration of operators: routes by host and path, pools, and their engines.

A forwarding document is one numbered configuration that is replaced or patched in one change.
Request bodies are opaque to forwarding; a dialect reads what a request needs from its headers.
Times are seconds, sizes bytes, rates per second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import attrs

from zincvale.model.checked import Checked

MIN_ATTEMPTS = 1


@dataclass
class WeightedPool(Checked):
    """A pool and its share of a route's requests."""

    pool: str
    weight: float = 1.0


@dataclass
class ForwardRoute(Checked):
    """Which requests go to which pools, and their limits and objectives."""

    name: str
    host: str
    path_prefix: str
    split: list[WeightedPool]
    streaming: bool = False
    repeatable: bool = False
    """Whether a request may be executed more than once."""
    resumable: bool = False
    """Whether an interrupted stream may be resumed at another server after its last event."""
    attempts: int = MIN_ATTEMPTS
    """Maximum number of servers to which one request of a caller may be sent."""
    timeout_s: float = 30.0
    objective_s: float = 1.0
    gap_s: float = 0.0
    """Longest pause between two events with which a stream meets its objective; 0 when not
    declared."""
    priority: int = 0
    """Priority of the route's requests; 0 is the most urgent."""


@dataclass
class EngineModel(Checked):
    """A model that the servers of a pool can load."""

    weight_bytes: int
    load_s: float = 1.0
    adapters: tuple[str, ...] = ()
    adapter_bytes: int = 0


@dataclass
class Engine(Checked):
    """The language-model engine that each server of a pool runs."""

    slots: int = 1
    cache_tokens: int = 0
    memory_bytes: int = 0
    adapter_slots: int = 0
    loads_per_s: float = 0.0
    models: dict[str, EngineModel] = field(default_factory=dict)


@dataclass
class ForwardPool(Checked):
    """A group of interchangeable servers."""

    name: str
    health_path: str = ""
    connection_limit: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclass
class CallerLimits(Checked):
    """Size limits of a caller's requests, and time limits of its connections."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class ForwardingDocument:
    """The operators' forwarding configuration at one version of the control state.

    Attributes
    ----------
    version : version of the replicated key that stores the document.
    number : the operators' own number of the document, 0 before the first one.
    evacuated : zones whose servers must get no requests.
    """

    version: int = 0
    number: int = 0
    routes: Mapping[str, ForwardRoute] = attrs.field(factory=dict)
    pools: Mapping[str, ForwardPool] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    evacuated: frozenset[str] = frozenset()
