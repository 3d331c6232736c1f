"""Resources that operators declare, which together are the intent.

A resource file contains documents `{kind, name, spec}`; the status is observed, never declared.
Sizes are bytes, rates are per second, and names of times end with their unit.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from zincvale.model.checked import Checked


class Stake(enum.Enum):
    """Priority of requests, by what a caller loses when its request is not served.

    The class has the name of the field `stake` in resource files.
    """

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class PoolKind(enum.Enum):
    """What the servers of a pool do."""

    LANGUAGE_MODEL = "language-model"
    LOOKUP = "lookup"


@dataclass
class ZoneSpec(Checked):
    """A failure domain; if `evacuated`, it gets no requests and no placement."""

    region: str = "region-1"
    evacuated: bool = False


@dataclass
class ServerSpec(Checked):
    """Declared state of one back-end server; a server without a declared state is in service."""

    drained: bool = False


@dataclass
class PoolSpec(Checked):
    """A group of interchangeable servers, with its limits and routing policies."""

    kind: PoolKind = PoolKind.LANGUAGE_MODEL
    policies: list[str] = field(default_factory=list)
    """Names of filters and scorers, in order; empty means the default chain of the kind."""
    max_concurrent_per_server: int = 16
    max_requests_per_second_per_server: float = 0.0
    """Rate limit of requests to one server; 0 means no limit."""
    max_queue: int = 256
    adapter_slots: int = 0
    """Number of adapters, of any size, that fit on one server; 0 means no limit."""


@dataclass
class RouteSpec(Checked):
    """Which requests go to which pool, and their limits."""

    path: str
    """Exact HTTP path, for example `/v1/quotes`."""
    pool: str
    stake: Stake = Stake.NORMAL
    at_most_once: bool = False
    stream: bool = False
    deadline_ms: int = 30_000
    max_concurrent: int = 512
    models: list[str] = field(default_factory=list)
    """Models that requests of the route may ask for; empty means any."""


@dataclass
class StoreSpec(Checked):
    """A weight store, and the limits of loads from it across the fleet."""

    address: str
    bytes_per_second: int = 1_000_000_000
    max_concurrent_loads: int = 4
    loads_per_window: int = 0
    """Number of loads that may start within any `window_s`; 0 means no limit."""
    window_s: float = 0.0


@dataclass
class ModelSpec(Checked):
    """A base model."""

    weight_bytes: int
    store: str
    pool: str
    kv_bytes_per_token: int = 1024
    min_replicas: int = 0
    stake: Stake = Stake.NORMAL
    load_s: float = 0.0
    """Expected duration of a load from the store; 0 when not declared."""


@dataclass
class AdapterSpec(Checked):
    """An adapter on top of a base model."""

    base_model: str
    weight_bytes: int
    store: str


Spec = ZoneSpec | ServerSpec | PoolSpec | RouteSpec | StoreSpec | ModelSpec | AdapterSpec

SPEC_BY_KIND: dict[str, type[Checked]] = {
    "Zone": ZoneSpec,
    "Server": ServerSpec,
    "Pool": PoolSpec,
    "Route": RouteSpec,
    "Store": StoreSpec,
    "Model": ModelSpec,
    "Adapter": AdapterSpec,
}


@dataclass
class Document(Checked):
    """One resource as written in a file; in a merge, a `spec` of None deletes the resource."""

    kind: str
    name: str
    spec: dict[str, Any] | None = None
