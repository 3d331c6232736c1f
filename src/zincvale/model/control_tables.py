"""Tables of the control state that nodes get: intent, server directory and members.

`Intent` is durable and versioned; `Directory` is observed and rebuilt from its sources; `Members`
are those with live leases. Rows are keyed by typed ids.
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
    """The operators' configuration at one version."""

    version: int = 0
    zones: dict[ZoneName, ZoneSpec] = attrs.field(factory=dict)
    servers: dict[ServerId, ServerSpec] = attrs.field(factory=dict)
    pools: dict[PoolName, PoolSpec] = attrs.field(factory=dict)
    routes: dict[RouteName, RouteSpec] = attrs.field(factory=dict)
    stores: dict[StoreName, StoreSpec] = attrs.field(factory=dict)
    models: dict[ModelName, ModelSpec] = attrs.field(factory=dict)
    adapters: dict[AdapterName, AdapterSpec] = attrs.field(factory=dict)


class ServerHealth(enum.Enum):
    """What probes last showed of a server."""

    READY = "ready"
    COLD = "cold"
    """It serves, but only a few requests at first: slow start."""
    DOWN = "down"


@attrs.frozen
class ServerRow:
    """One back-end server as last observed."""

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
    """Models loaded and able to serve."""
    adapters: frozenset[AdapterName] = frozenset()
    loading: frozenset[str] = frozenset()
    running: int = 0
    max_running: int = 0
    closing: frozenset[str] = frozenset()
    """Models and adapters about to be unloaded: no new request is sent for them."""
    draining: bool = False
    """The server is about to leave: no new request is sent to it."""
    cold_remaining_s: float = 0.0
    """Seconds of slow start that remain, counted from when the row was first published so."""


@attrs.frozen
class Directory:
    """The observed servers at one version of one publisher epoch."""

    epoch: int = 0
    version: int = 0
    servers: dict[ServerId, ServerRow] = attrs.field(factory=dict)


class Role(enum.Enum):
    """The part that a daemon plays in the cluster."""

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
