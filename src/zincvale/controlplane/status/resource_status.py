"""Status of a resource: its conditions, computed from intent, directory and members."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from zincvale.controlplane.status import conditions
from zincvale.controlplane.status.cluster_snapshot import ClusterSnapshot
from zincvale.controlplane.status.conditions import Condition, holds, unknown
from zincvale.controlplane.status.server_status import server_conditions, zone_conditions
from zincvale.model.identifiers import AdapterName, ModelName, PoolName, RouteName
from zincvale.model.view import ServerRow

NAMES_SHOWN = 5
"""Longest list of names inside a message."""


def conditions_of(kind: str, name: str, declared: bool, world: ClusterSnapshot) -> list[Condition]:
    """Return the conditions of a resource; `declared` is whether the intent has it."""
    shared = _declaration_conditions(world) if declared else []
    rule = _RULE_BY_KIND.get(kind)
    return shared if rule is None else shared + rule(name, world)


def _declaration_conditions(world: ClusterSnapshot) -> list[Condition]:
    version = world.intent.version
    accepted = holds(conditions.ACCEPTED, True, "Durable", f"part of intent version {version}")
    return [accepted, _in_force(world)]


def _in_force(world: ClusterSnapshot) -> Condition:
    version = world.intent.version
    if world.lagging:
        message = f"version {version} is not yet held by {_list(world.lagging)}"
        return holds(conditions.IN_FORCE, False, "NodesLag", message)
    if world.node_count == 0:
        message = "no node has a live lease: nothing routes on it"
        return unknown(conditions.IN_FORCE, "NoNodes", message)
    message = f"version {version} is held by every node with a live lease ({world.node_count})"
    return holds(conditions.IN_FORCE, True, "Held", message)


def _pool_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    return [_serving(PoolName(name), world)]


def _route_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    route = world.intent.routes[RouteName(name)]
    return [_serving(PoolName(route.pool), world)]


def _serving(pool: PoolName, world: ClusterSnapshot) -> Condition:
    known = len(world.rows_by_pool.get(pool, []))
    ready = len(world.in_service(pool))
    message = f"{ready} of {known} servers of pool {pool} are ready and in service"
    return holds(conditions.SERVING, ready > 0, "Ready" if ready else "NoServer", message)


def _model_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    model = world.intent.models[ModelName(name)]
    pool = PoolName(model.pool)
    holders = [row for row in world.in_service(pool) if ModelName(name) in row.models]
    return [
        _resident(holders, max(1, model.min_replicas)),
        _fits(pool, model.weight_bytes, world),
    ]


def _adapter_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    adapter = world.intent.adapters[AdapterName(name)]
    base = world.intent.models[ModelName(adapter.base_model)]
    pool = PoolName(base.pool)
    holders = [row for row in world.in_service(pool) if AdapterName(name) in row.adapters]
    return [
        _resident(holders, 1),
        _fits(pool, base.weight_bytes + adapter.weight_bytes, world),
    ]


def _resident(holders: list[ServerRow], wanted: int) -> Condition:
    names = _list(row.server for row in holders)
    if len(holders) >= wanted:
        return holds(conditions.RESIDENT, True, "Loaded", f"loaded on {names}")
    if holders:
        message = f"loaded on {names}: {len(holders)} of {wanted} servers"
        return holds(conditions.RESIDENT, False, "TooFew", message)
    return holds(conditions.RESIDENT, False, "NotLoaded", "loaded on no server in service")


def _fits(pool: PoolName, needed_bytes: int, world: ClusterSnapshot) -> Condition:
    largest = world.largest_memory_bytes(pool)
    if largest == 0:
        message = f"no server of pool {pool} was observed"
        return unknown(conditions.FITS, "NoServer", message)
    message = f"needs {needed_bytes} bytes; the largest server of pool {pool} has {largest}"
    fits = needed_bytes <= largest
    return holds(conditions.FITS, fits, "Memory" if fits else "TooLarge", message)


def _list(names: Iterable[str]) -> str:
    ordered = sorted(names)
    shown = ", ".join(ordered[:NAMES_SHOWN])
    if len(ordered) <= NAMES_SHOWN:
        return shown
    return f"{shown} and {len(ordered) - NAMES_SHOWN} more"


_RULE_BY_KIND: dict[str, Callable[[str, ClusterSnapshot], list[Condition]]] = {
    "Zone": zone_conditions,
    "Server": server_conditions,
    "Pool": _pool_conditions,
    "Route": _route_conditions,
    "Model": _model_conditions,
    "Adapter": _adapter_conditions,
}
