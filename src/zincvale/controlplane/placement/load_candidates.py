"""Finds a server for a load and decides whether the load is worth the evictions it needs."""

from __future__ import annotations

from zincvale.controlplane.placement.choose_server import (
    Choice,
    choose_by_disk,
    choose_idle_server,
    choose_server,
)
from zincvale.controlplane.placement.eviction import RequiredSpace
from zincvale.controlplane.placement.fairness import is_due
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.moves import MoveReason
from zincvale.controlplane.placement.replica_value import (
    expected_rate,
    expected_waits,
    item_value,
    predicted_value,
    unmet_demand,
)
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.unserved import PlanResult
from zincvale.controlplane.placement.victim_groups import EvictableReplicas

DRAIN_DELAY_S = 2.0
"""Waiting time of requests after which a load for them may drain an item's only replica in use."""
EXPECTED_DRAIN_S = 5.0
"""Expected duration of a drain, during which new requests for the replica wait."""


def find_candidate(
    placement: PlacementState, item: ItemRow, reason: MoveReason, now: float
) -> Choice | None:
    """Return the best server for a load, if possible with memory for the model's adapters.

    The adapters that count are those that were requested and are not ready. For a model, a server
    with the weights on its own disk is preferred if a load from there is faster; for an adapter, a
    server that executes one order at a time and has none to execute.

    Raises `AllServersBusyError` if some servers could take the load, but none of them soon.
    """
    may_evict = _may_evict(placement, item, now)
    preferred = _soonest_choice(placement, RequiredSpace(item, item.weight_bytes, may_evict), now)
    if preferred is not None and is_worth_loading(placement, item, reason, preferred, now):
        return preferred
    spread_first = reason is MoveReason.MIN_REPLICAS
    adapter_bytes = _adapter_reserve_bytes(placement, item)
    for extra in (adapter_bytes, 0) if adapter_bytes else (0,):
        space = RequiredSpace(item, item.weight_bytes + extra, may_evict)
        choice = choose_server(placement, space, now, spread_first=spread_first)
        if choice is not None:
            return choice
    return None


def _may_evict(placement: PlacementState, item: ItemRow, now: float) -> EvictableReplicas:
    """Return which only replicas may leave for the item."""
    found_no_server = item.unserved.result is PlanResult.NO_SERVER
    if found_no_server and is_due(placement, item, now):
        return EvictableReplicas.REQUESTED
    if item.waiting and now - item.waiting_since > DRAIN_DELAY_S:
        return EvictableReplicas.IN_USE
    return EvictableReplicas.IDLE


def _soonest_choice(placement: PlacementState, space: RequiredSpace, now: float) -> Choice | None:
    """Return the best server on which the load would end sooner than elsewhere, or None.

    Raises `AllServersBusyError` if such a server is busy and worth waiting for.
    """
    config = placement.config
    if space.item.kind is ItemKind.MODEL:
        return choose_by_disk(placement, space, now) if config.servers_keep_weights else None
    # Behind the load of a model, an adapter waits many times as long as its own load takes.
    return choose_idle_server(placement, space, now) if config.serial_orders else None


def _adapter_reserve_bytes(placement: PlacementState, item: ItemRow) -> int:
    """Return the memory to reserve for the model's requested adapters that are not ready."""
    limit = int(item.weight_bytes * placement.config.adapter_reserve_fraction)
    total = 0
    for key in item.adapters:
        adapter = placement.items[key]
        if adapter.demand.profile is not None and adapter.ready == 0:
            total += adapter.weight_bytes
    return min(total, limit)


def is_worth_loading(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice, now: float
) -> bool:
    """Whether the load is worth more than the replicas evicted for it.

    The comparison depends on the reason of the load. If requests wait, the requests expected to
    wait after the eviction must not exceed those that wait now plus those expected to wait without
    the load; an item that is due need not be compared. Before a daily change, the item's predicted
    value must exceed `predicted_swap_gain` times the greatest predicted value among the victims,
    and no victim may be expected to be requested before the change. Otherwise the item's value must
    exceed `swap_gain` times the cost of the eviction. Loads for declared minimum replicas, and
    loads that evict nothing, are always worth it.
    """
    if not choice.eviction.keys or reason is MoveReason.MIN_REPLICAS:
        return True
    if reason is MoveReason.WAITING_REQUESTS:
        if is_due(placement, item, now):
            return True
        cost = _waits_from_eviction(placement, choice, now)
        return cost <= unmet_demand(placement, item, now) + expected_waits(placement, item, now)
    if reason is MoveReason.DAILY_CHANGE:
        victims = [placement.items[key] for key in choice.eviction.keys if key in placement.items]
        if any(_needed_until_change(placement, victim, now) for victim in victims):
            return False
        losses = (predicted_value(placement, victim, now) for victim in victims)
        loss = max(losses, default=0.0)
        return predicted_value(placement, item, now) > placement.config.predicted_swap_gain * loss
    return item_value(placement, item, now) > placement.config.swap_gain * choice.eviction.cost


def _needed_until_change(placement: PlacementState, item: ItemRow, now: float) -> bool:
    """Whether a request for the item is expected before the daily change."""
    return item.demand.fast_rate(now) * placement.config.lookahead_s >= 1.0


def _waits_from_eviction(placement: PlacementState, choice: Choice, now: float) -> float:
    """Return the number of requests expected to wait because of an eviction.

    An evicted adapter does not count if its model is evicted too, since the model's requests
    include those of its adapters. Requests for a replica in use already wait while it drains.
    """
    total = 0.0
    for key in choice.eviction.keys:
        victim = placement.items.get(key)
        if victim is None:
            # No request can ask for what no resource declares.
            continue
        if victim.base in choice.eviction.keys:
            continue
        total += expected_waits(placement, victim, now)
        if placement.running_on(choice.server, key):
            total += expected_rate(placement, victim, now) * EXPECTED_DRAIN_S
    return total
