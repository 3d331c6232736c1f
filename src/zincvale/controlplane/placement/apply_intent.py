"""Applies a changed intent to the tables; unchanged tables and specs are skipped by identity."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from typing import Any

from zincvale.controlplane.placement.apply_demand import remove_item_demand
from zincvale.controlplane.placement.demand import Demand
from zincvale.controlplane.placement.items import (
    ItemKey,
    ItemKind,
    ItemRow,
    adapter_key,
    model_key,
)
from zincvale.controlplane.placement.servers import CountedAs, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.stores import StoreState
from zincvale.controlplane.placement.unknown_sizes import bound_unknown_sizes
from zincvale.model.control_tables import Intent
from zincvale.model.identifiers import (
    Address,
    PoolName,
    ServerId,
    StoreName,
    ZoneName,
)
from zincvale.model.resources import AdapterSpec, ModelSpec, PoolSpec, StoreSpec

UNDECLARED_STORE = StoreName("")
"""Store of a new row until its declaration is applied; no store has this name."""


def apply_intent_change(placement: PlacementState, intent: Intent, now: float) -> None:
    """Update the tables to `intent`; models and adapters are applied within the budget."""
    old = placement.intent
    placement.intent = intent
    for name, store_spec in _changed_specs(old.stores, intent.stores):
        _apply_store(placement, StoreName(name), store_spec)
    for name, model_spec in _changed_specs(old.models, intent.models):
        placement.pending_declarations[model_key(name)] = model_spec
    for name, adapter_spec in _changed_specs(old.adapters, intent.adapters):
        placement.pending_declarations[adapter_key(name)] = adapter_spec
    apply_declarations(placement, now)
    _apply_zones(placement, old, intent)
    for name, pool_spec in _changed_specs(old.pools, intent.pools):
        for server_id in placement.server_index.by_pool.get(PoolName(name), {}):
            _apply_adapter_limit(placement.servers[server_id], pool_spec)
    for name, _ in _changed_specs(old.servers, intent.servers):
        server = placement.servers.get(ServerId(name))
        if server is not None:
            update_service_state(placement, server)


def apply_declarations(placement: PlacementState, now: float) -> None:
    """System: apply changed models and adapters to the tables, up to the declaration budget.

    Most changes are applied in one run; only the first intent of a large fleet takes several runs.
    """
    for key in list(
        itertools.islice(placement.pending_declarations, placement.config.declaration_budget)
    ):
        spec = placement.pending_declarations.pop(key)
        name = key.partition("/")[2]
        if spec is None:
            _remove_item(placement, key, now)
        elif isinstance(spec, ModelSpec):
            _apply_model(placement, key, name, spec, now)
        else:
            _apply_adapter(placement, key, name, spec, now)


def update_service_state(placement: PlacementState, server: ServerState) -> None:
    """Update whether one server is drained or its zone evacuated."""
    spec = placement.intent.servers.get(server.server)
    zone = placement.intent.zones.get(server.zone)
    drained = spec is not None and spec.drained
    evacuated = zone is not None and zone.evacuated
    if (drained, evacuated) == (server.drained, server.zone_evacuated):
        return
    server.drained = drained
    server.zone_evacuated = evacuated
    if server.in_service:
        placement.unplaced.mark_new_capacity()
    else:
        placement.drains.check_at[server.server] = float("-inf")
    placement.recount_server(server)


def _apply_adapter_limit(server: ServerState, spec: PoolSpec | None) -> None:
    server.adapter_slots = spec.adapter_slots if spec is not None else 0


def set_adapter_slots(placement: PlacementState, server: ServerState) -> None:
    """Set a server's limit of adapters to that of its pool."""
    _apply_adapter_limit(server, placement.intent.pools.get(server.pool))


def _changed_specs(old: Mapping[Any, Any], new: Mapping[Any, Any]) -> list[tuple[Any, Any]]:
    """Return (name, new spec) of every changed resource; the spec is None if it was deleted."""
    if old is new:
        return []
    changed = [(name, spec) for name, spec in new.items() if old.get(name) is not spec]
    changed = [(name, spec) for name, spec in changed if old.get(name) != spec]
    changed.extend((name, None) for name in old if name not in new)
    return changed


def _apply_store(placement: PlacementState, name: StoreName, spec: StoreSpec | None) -> None:
    store = placement.stores.get(name)
    if spec is None:
        # The row stays: pulls from the deleted store may still be running.
        if store is not None:
            store.max_concurrent_loads = 0
        return
    if store is None:
        placement.stores[name] = StoreState(
            name, Address(spec.address), spec.bytes_per_second, spec.max_concurrent_loads
        )
        _set_window(placement.stores[name], spec)
        return
    store.address = Address(spec.address)
    store.bytes_per_second = spec.bytes_per_second
    store.max_concurrent_loads = spec.max_concurrent_loads
    _set_window(store, spec)


def _set_window(store: StoreState, spec: StoreSpec) -> None:
    store.loads_per_window = spec.loads_per_window
    store.window_s = spec.window_s


def _apply_model(
    placement: PlacementState, key: ItemKey, name: str, spec: ModelSpec, now: float
) -> None:
    item = placement.items.get(key)
    if item is None:
        item = _new_item(placement, key, ItemKind.MODEL, name, now)
        item.adapters = placement.adapters_by_base.setdefault(key, {})
    item.weight_bytes = spec.weight_bytes
    item.kv_bytes = spec.kv_bytes_per_token * placement.config.kv_tokens_per_model
    item.store = StoreName(spec.store)
    item.pool = PoolName(spec.pool)
    for adapter in item.adapters:
        placement.items[adapter].pool = item.pool
    item.min_replicas = spec.min_replicas
    item.stake = spec.stake
    item.declared_load_s = spec.load_s
    _link_reported_replicas(placement, item)


def _apply_adapter(
    placement: PlacementState, key: ItemKey, name: str, spec: AdapterSpec, now: float
) -> None:
    item = placement.items.get(key)
    if item is not None and item.base is not None:
        placement.adapters_by_base[item.base].pop(key, None)
    if item is None:
        item = _new_item(placement, key, ItemKind.ADAPTER, name, now)
    item.weight_bytes = spec.weight_bytes
    item.store = StoreName(spec.store)
    item.base = model_key(spec.base_model)
    placement.adapters_by_base.setdefault(item.base, {})[key] = None
    base = placement.items.get(item.base)
    if base is not None:
        item.pool = base.pool
    _link_reported_replicas(placement, item)


def _new_item(
    placement: PlacementState, key: ItemKey, kind: ItemKind, name: str, now: float
) -> ItemRow:
    demand = Demand.begin(placement.config, now)
    item = ItemRow(key, kind, name, 0, UNDECLARED_STORE, PoolName(""), demand)
    placement.items[key] = item
    return item


def _link_reported_replicas(placement: PlacementState, item: ItemRow) -> None:
    """Link replicas that were reported before the item was declared, and set their sizes."""
    item.holders.update(dict.fromkeys(placement.undeclared.pop_declared(item.key)))
    for server_id in item.holders:
        server = placement.servers[server_id]
        replica = server.replicas[item.key]
        placement.resize_replica(server, replica, item)
        placement.recount_replica(server, item.key, replica)
        bound_unknown_sizes(placement, server)
    placement.queue_review(item.key)


def _remove_item(placement: PlacementState, key: ItemKey, now: float) -> None:
    """Remove a deleted item; its replicas stay counted and are unloaded after the grace period."""
    item = placement.items.pop(key, None)
    if item is None:
        return
    if item.base is not None:
        placement.adapters_by_base[item.base].pop(key, None)
    placement.reviews.remove(key)
    placement.unplaced.remove(key)
    placement.unserved.remove(key)
    remove_item_demand(placement, key)
    placement.disk_copies.remove(key)
    for server_id in item.holders:
        placement.servers[server_id].replicas[key].counted_as = CountedAs.NOTHING
        placement.undeclared.add(key, server_id, placement.config.undeclared_grace_s, now)


def _apply_zones(placement: PlacementState, old: Intent, new: Intent) -> None:
    for name, _ in _changed_specs(old.zones, new.zones):
        for server_id in placement.server_index.by_zone.get(ZoneName(name), {}):
            update_service_state(placement, placement.servers[server_id])
