"""Where a load could go, and whether that is worth what leaves for it."""

from __future__ import annotations

from zincvale.controlplane.placement.choose_server import Choice, choose_by_disk, choose_server
from zincvale.controlplane.placement.eviction import Space
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.moves import MoveReason
from zincvale.controlplane.placement.replica_value import (
    eviction_cost,
    expected_rate,
    foreseen_value,
    item_value,
    need,
)
from zincvale.controlplane.placement.state import PlacementState

DRAIN_DELAY_S = 2.0
"""Requests that waited this long may drain a replica on which others still run."""
EXPECTED_DRAIN_S = 5.0
"""Time for which requests to a draining replica are expected to wait."""


def find_candidate(
    placement: PlacementState, item: ItemRow, reason: MoveReason, now: float
) -> Choice | None:
    """Return the best server for a load, with memory for the adapters that come along if possible.

    A server that has the weights on its own disk comes first, where that is sooner.

    Raises `AllServersBusyError` when servers could take it, but not soon.
    """
    may_drain = item.waiting > 0 and now - item.waiting_since > DRAIN_DELAY_S
    if placement.config.servers_keep_weights and item.kind is ItemKind.MODEL:
        choice = choose_by_disk(placement, Space(item, item.weight_bytes, may_drain), now)
        if choice is not None and is_worth_loading(placement, item, reason, choice, now):
            return choice
    spread_first = reason is MoveReason.MIN_REPLICAS
    companions = _companion_bytes(placement, item)
    for extra in (companions, 0) if companions else (0,):
        space = Space(item, item.weight_bytes + extra, may_drain)
        choice = choose_server(placement, space, now, spread_first=spread_first)
        if choice is not None:
            return choice
    return None


def _companion_bytes(placement: PlacementState, item: ItemRow) -> int:
    """Return the room for adapters that were asked for and will come with the model."""
    limit = int(item.weight_bytes * placement.config.companion_share)
    total = 0
    for key in item.adapters:
        adapter = placement.items[key]
        if adapter.demand.profile is not None and adapter.ready == 0:
            total += adapter.weight_bytes
    return min(total, limit)


def is_worth_loading(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice, now: float
) -> bool:
    """Whether the load is worth more than what leaves for it.

    What is compared depends on the reason. Where requests wait: the requests expected to wait after
    the eviction, with those that wait now and those expected without the load. Before a daily
    change: the values that earlier days show, times `foreseen_gain`. Else: the present values,
    times `swap_gain`. Declared minimum replicas, and loads for which nothing leaves, are always
    worth it.
    """
    if not choice.eviction.keys or reason is MoveReason.MIN_REPLICAS:
        return True
    if reason is MoveReason.WAITING_REQUESTS:
        cost = _waits_caused(placement, choice, now)
        return cost <= need(placement, item, now) + eviction_cost(placement, item, now)
    if reason is MoveReason.DAILY_CHANGE:
        victims = [placement.items[key] for key in choice.eviction.keys]
        if any(_needed_until_change(placement, victim, now) for victim in victims):
            return False
        loss = max(foreseen_value(placement, victim, now) for victim in victims)
        return foreseen_value(placement, item, now) > placement.config.foreseen_gain * loss
    return item_value(placement, item, now) > placement.config.swap_gain * choice.eviction.cost


def _needed_until_change(placement: PlacementState, item: ItemRow, now: float) -> bool:
    """Whether the item will be asked for before the change that is looked ahead to."""
    return item.demand.fast_rate(now) * placement.config.lookahead_s >= 1.0


def _waits_caused(placement: PlacementState, choice: Choice, now: float) -> float:
    """Return requests expected to wait; those of an adapter are among those of its model.

    While a replica drains, requests for it wait already.
    """
    total = 0.0
    for key in choice.eviction.keys:
        victim = placement.items[key]
        if victim.base in choice.eviction.keys:
            continue
        total += eviction_cost(placement, victim, now)
        if placement.running_on(choice.server, key):
            total += expected_rate(placement, victim, now) * EXPECTED_DRAIN_S
    return total
