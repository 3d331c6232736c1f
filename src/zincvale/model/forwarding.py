"""What operators declare about forwarding: routes by host and path, pools, and their engines.

A forwarding document is one numbered configuration that is replaced or patched in one change.
Bodies are opaque to it; a dialect reads from the headers what a request needs. Times are seconds,
sizes bytes, rates per second.
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
    """Which requests go to which pools, and what they were promised."""

    name: str
    host: str
    path_prefix: str
    split: list[WeightedPool]
    streaming: bool = False
    repeatable: bool = False
    """The request may run more than once."""
    resumable: bool = False
    """A broken stream may be resumed at another server after its last event."""
    attempts: int = MIN_ATTEMPTS
    """The most servers that one request of a caller may be sent to."""
    timeout_s: float = 30.0
    objective_s: float = 1.0
    gap_s: float = 0.0
    """The longest pause between two events that keeps a stream in time; 0 when not declared."""
    priority: int = 0
    """0 is the most urgent."""


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
    """What one caller may send, and how long a connection may take or be idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class ForwardingDocument:
    """The operators' forwarding configuration at one version of the control state.

    Attributes
    ----------
    version : version of the key that holds it.
    number : the operators' own number of the document, 0 before the first one.
    evacuated : zones whose servers are to receive nothing.
    """

    version: int = 0
    number: int = 0
    routes: Mapping[str, ForwardRoute] = attrs.field(factory=dict)
    pools: Mapping[str, ForwardPool] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    evacuated: frozenset[str] = frozenset()
