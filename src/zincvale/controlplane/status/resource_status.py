"""Status of a resource: its conditions, computed from intent, directory and members."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from zincvale.controlplane.status import conditions
from zincvale.controlplane.status.cluster_snapshot import ClusterSnapshot
from zincvale.controlplane.status.conditions import Condition, known_condition, unknown_condition
from zincvale.controlplane.status.server_status import server_conditions, zone_conditions
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import AdapterName, ModelName, PoolName, RouteName

MAX_NAMES_SHOWN = 5
"""Most names listed in a message; of the others only the number is given."""


def conditions_of(
    kind: str, name: str, snapshot: ClusterSnapshot, *, is_declared: bool
) -> list[Condition]:
    """Return the conditions of a resource; `is_declared` tells whether the intent contains it."""
    shared = _declaration_conditions(snapshot) if is_declared else []
    conditions_of_kind = _CONDITIONS_BY_KIND.get(kind)
    return shared if conditions_of_kind is None else shared + conditions_of_kind(name, snapshot)


def _declaration_conditions(snapshot: ClusterSnapshot) -> list[Condition]:
    version = snapshot.intent.version
    accepted = known_condition(
        conditions.ACCEPTED, "Durable", f"part of intent version {version}", is_true=True
    )
    return [accepted, _in_force_condition(snapshot)]


def _in_force_condition(snapshot: ClusterSnapshot) -> Condition:
    version = snapshot.intent.version
    if snapshot.lagging:
        message = f"version {version} is not yet applied by {_join_names(snapshot.lagging)}"
        return known_condition(conditions.IN_FORCE, "NodesLag", message, is_true=False)
    if snapshot.node_count == 0:
        message = "no node has a live lease, so no node routes by it"
        return unknown_condition(conditions.IN_FORCE, "NoNodes", message)
    message = (
        f"version {version} is applied by every node with a live lease ({snapshot.node_count})"
    )
    return known_condition(conditions.IN_FORCE, "Held", message, is_true=True)


def _pool_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    return [_serving_condition(PoolName(name), snapshot)]


def _route_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    route = snapshot.intent.routes[RouteName(name)]
    return [_serving_condition(PoolName(route.pool), snapshot)]


def _serving_condition(pool: PoolName, snapshot: ClusterSnapshot) -> Condition:
    observed = len(snapshot.servers_by_pool.get(pool, []))
    ready = len(snapshot.ready_servers(pool))
    message = f"{ready} of {observed} servers of pool {pool} are ready and in service"
    return known_condition(
        conditions.SERVING, "Ready" if ready else "NoServer", message, is_true=ready > 0
    )


def _model_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    model = snapshot.intent.models[ModelName(name)]
    pool = PoolName(model.pool)
    servers = [row for row in snapshot.ready_servers(pool) if ModelName(name) in row.models]
    return [
        _resident_condition(servers, max(1, model.min_replicas)),
        _fits_condition(pool, model.weight_bytes, snapshot),
    ]


def _adapter_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    adapter = snapshot.intent.adapters[AdapterName(name)]
    base = snapshot.intent.models[ModelName(adapter.base_model)]
    pool = PoolName(base.pool)
    servers = [row for row in snapshot.ready_servers(pool) if AdapterName(name) in row.adapters]
    return [
        _resident_condition(servers, 1),
        _fits_condition(pool, base.weight_bytes + adapter.weight_bytes, snapshot),
    ]


def _resident_condition(servers: list[ServerRow], desired: int) -> Condition:
    names = _join_names(row.server for row in servers)
    if len(servers) >= desired:
        return known_condition(conditions.RESIDENT, "Loaded", f"loaded on {names}", is_true=True)
    if servers:
        message = f"loaded on {names}: {len(servers)} of {desired} servers"
        return known_condition(conditions.RESIDENT, "TooFew", message, is_true=False)
    return known_condition(
        conditions.RESIDENT, "NotLoaded", "loaded on no server in service", is_true=False
    )


def _fits_condition(pool: PoolName, needed_bytes: int, snapshot: ClusterSnapshot) -> Condition:
    largest = snapshot.largest_memory_bytes(pool)
    if largest == 0:
        message = f"no server of pool {pool} was observed"
        return unknown_condition(conditions.FITS, "NoServer", message)
    message = f"needs {needed_bytes} bytes; the largest server of pool {pool} has {largest}"
    fits = needed_bytes <= largest
    return known_condition(conditions.FITS, "Memory" if fits else "TooLarge", message, is_true=fits)


def _join_names(names: Iterable[str]) -> str:
    ordered = sorted(names)
    shown = ", ".join(ordered[:MAX_NAMES_SHOWN])
    if len(ordered) <= MAX_NAMES_SHOWN:
        return shown
    return f"{shown} and {len(ordered) - MAX_NAMES_SHOWN} more"


_CONDITIONS_BY_KIND: dict[str, Callable[[str, ClusterSnapshot], list[Condition]]] = {
    "Zone": zone_conditions,
    "Server": server_conditions,
    "Pool": _pool_conditions,
    "Route": _route_conditions,
    "Model": _model_conditions,
    "Adapter": _adapter_conditions,
}
