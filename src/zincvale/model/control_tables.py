"""Tables of the control state that nodes receive: intent, server directory and members.

`Intent` is durable and versioned; `Directory` is observed and can be rebuilt; `Members` lists the
daemons with live leases. Rows are keyed by typed ids.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.model.identifiers import (
    AdapterName,
    Address,
    MemberId,
    ModelName,
    PoolName,
    RouteName,
    ServerId,
    StoreName,
    ZoneName,
)
from zincvale.model.resources import (
    AdapterSpec,
    ModelSpec,
    PoolKind,
    PoolSpec,
    RouteSpec,
    ServerSpec,
    StoreSpec,
    ZoneSpec,
)


@attrs.frozen
class Intent:
    """The operators' configuration at one version of the control state."""

    version: int = 0
    zones: dict[ZoneName, ZoneSpec] = attrs.field(factory=dict)
    servers: dict[ServerId, ServerSpec] = attrs.field(factory=dict)
    pools: dict[PoolName, PoolSpec] = attrs.field(factory=dict)
    routes: dict[RouteName, RouteSpec] = attrs.field(factory=dict)
    stores: dict[StoreName, StoreSpec] = attrs.field(factory=dict)
    models: dict[ModelName, ModelSpec] = attrs.field(factory=dict)
    adapters: dict[AdapterName, AdapterSpec] = attrs.field(factory=dict)


class ServerHealth(enum.Enum):
    """Health of a server as last observed."""

    READY = "ready"
    COLD = "cold"
    """The server serves, but gets only a few requests at first (slow start)."""
    DOWN = "down"


@attrs.frozen
class ServerRow:
    """One back-end server, as last observed."""

    server: ServerId
    address: Address
    pool: PoolName
    zone: ZoneName
    kind: PoolKind
    health: ServerHealth = ServerHealth.READY
    incarnation: str = ""
    memory_bytes: int = 0
    used_bytes: int = 0
    models: frozenset[ModelName] = frozenset()
    """Models that are loaded and can serve requests."""
    adapters: frozenset[AdapterName] = frozenset()
    loading: frozenset[str] = frozenset()
    running: int = 0
    max_running: int = 0
    closing: frozenset[str] = frozenset()
    """Models and adapters that are about to be unloaded; the server gets no new requests for
    them."""
    draining: bool = False
    """Whether the server is about to leave; it gets no new requests."""
    cold_remaining_s: float = 0.0
    """Remaining slow start in seconds, counted from the first publication of the row with this
    value."""


@attrs.frozen
class Directory:
    """The observed servers at one version of the directory in one epoch of its publisher."""

    epoch: int = 0
    version: int = 0
    servers: dict[ServerId, ServerRow] = attrs.field(factory=dict)


class Role(enum.Enum):
    """The role of a daemon in the cluster."""

    CORE = "core"
    NODE = "node"


@attrs.frozen
class MemberRow:
    """One daemon with a live lease."""

    member: MemberId
    role: Role
    zone: ZoneName
    api_address: Address
    peer_address: Address
    incarnation: str = ""
    ready: bool = False


@attrs.frozen
class Members:
    """The members with live leases, at one version of the member table."""

    version: int = 0
    rows: dict[MemberId, MemberRow] = attrs.field(factory=dict)
