"""System: computes the desired replicas of each changed item and queues the shortages."""

from __future__ import annotations

import math

from zincvale.controlplane.placement.fairness import is_due
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.moves import URGENCY_BY_REASON, MoveReason
from zincvale.controlplane.placement.replica_value import has_unmet_demand, item_value, unmet_demand
from zincvale.controlplane.placement.state import PlacementState

SCALE_UP_DELAY_S = 1.0
"""Requests must have waited this long before another replica is added for them.

A shorter delay causes loads for waits that would have ended without one."""
URGENT_REVIEW_INTERVAL_S = 1.0
"""Interval between reviews of an item with waiting requests, whose weight grows with time."""
DEFAULT_SLOTS_PER_SERVER = 16
"""Assumed limit of concurrent requests per server for a pool that declares none."""
BUSY_ADAPTER_RATE_PER_S = 1.0 / 600.0
"""Request rate from which an adapter gets as many replicas as its base model's `min_replicas`."""
DAILY_CHANGE_FACTOR = 2.0
"""Ratio of the predicted to the measured rate above which the increase counts as a daily change."""


def review_items(placement: PlacementState, now: float) -> None:
    """System: review items that changed or whose review is due, up to the review budget."""
    _queue_due_reviews(placement, now)
    _queue_unplaced(placement, now)
    _queue_daily_change(placement, now)
    for _ in range(min(len(placement.reviews), placement.config.review_budget)):
        item = placement.items.get(placement.reviews.pop())
        if item is not None:
            _review(placement, item, now)


def _queue_due_reviews(placement: PlacementState, now: float) -> None:
    while (item := placement.reviews.pop_due(placement.items, now)) is not None:
        placement.queue_review(item.key)


def _queue_unplaced(placement: PlacementState, now: float) -> None:
    """Queue the items for which no server was found, once there is new capacity."""
    for key in placement.unplaced.take(now):
        placement.items[key].placement_retry_at = now
        placement.queue_review(key)


def _queue_daily_change(placement: PlacementState, now: float) -> None:
    """Queue every item with a demand history before each bucket of the day begins."""
    bucket = int((now + placement.config.lookahead_s) / placement.config.bucket_s)
    if bucket == placement.reviews.profile_bucket:
        return
    placement.reviews.profile_bucket = bucket
    for key, item in placement.items.items():
        if item.demand.profile is not None:
            placement.queue_review(key)


def _review(placement: PlacementState, item: ItemRow, now: float) -> None:
    ready = item.ready
    pending = placement.pending_replicas(item)
    if item.kind is ItemKind.MODEL:
        item.desired = _desired_model_replicas(placement, item, ready, pending, now)
    else:
        item.desired = _desired_adapter_replicas(placement, item, now)
    if ready + pending < item.desired:
        _queue_shortage(placement, item, ready, pending, now)
    _schedule_next_review(placement, item, ready, now)


def _schedule_next_review(placement: PlacementState, item: ItemRow, ready: int, now: float) -> None:
    if item.waiting:
        placement.reviews.queue_at(item, now + URGENT_REVIEW_INTERVAL_S)
    elif item.desired or ready:
        placement.reviews.queue_at(item, now + placement.config.review_interval_s)


def _desired_model_replicas(
    placement: PlacementState, item: ItemRow, ready: int, pending: int, now: float
) -> int:
    waiting = _waiting_for_replica(placement, item, ready)
    # The number of requests that wait for the first replica is no estimate of how many will run
    # at once when that replica is ready.
    requests = item.running + (waiting if ready else 0)
    _update_concurrency(placement, item, requests, now)
    slots = _slots_per_replica(placement, item)
    config = placement.config
    by_load = math.ceil(item.concurrency / (slots * config.target_utilization))
    if by_load < item.desired:
        # Hysteresis: a replica is given up only if the others stay well below the target without
        # it.
        kept_by_hysteresis = math.ceil(item.concurrency / (slots * config.release_utilization))
        by_load = min(item.desired, max(kept_by_hysteresis, by_load))
    waiting_persists = waiting > 0 and now - item.waiting_since > SCALE_UP_DELAY_S
    if waiting_persists and pending == 0 and not config.overload_counts_as_waiting:
        by_load = max(by_load, ready + 1)
    desired = max(
        item.min_replicas,
        by_load,
        _baseline_replicas(placement, item),
        _replicas_for_adapters(placement, item, now),
    )
    servers = len(placement.server_index.by_pool.get(item.pool, ()))
    if desired > servers:
        # The item is reviewed again when the pool gets more servers.
        placement.unplaced.add(item.key)
    return min(desired, servers)


def _replicas_for_adapters(placement: PlacementState, item: ItemRow, now: float) -> int:
    """Return how many replicas of a model its recently requested adapters need."""
    pool = placement.intent.pools.get(item.pool)
    if not placement.config.adapters_add_replicas or pool is None or not pool.adapter_slots:
        return 0
    requested = sum(1 for key in item.adapters if is_requested(placement.items[key], now))
    return math.ceil(requested / pool.adapter_slots)


def is_requested(adapter: ItemRow, now: float) -> bool:
    """Whether an adapter has waiting, running or recent requests."""
    return bool(adapter.waiting or adapter.running or adapter.demand.is_recent(now))


def _desired_adapter_replicas(placement: PlacementState, item: ItemRow, now: float) -> int:
    base = placement.items.get(item.base) if item.base is not None else None
    if base is None:
        return 0
    base_replicas = base.ready + placement.pending_replicas(base)
    if base_replicas == 0:
        return 0
    _update_concurrency(placement, item, item.running + item.waiting, now)
    slots = _slots_per_replica(placement, base)
    desired = math.ceil(item.concurrency / (slots * placement.config.target_utilization))
    if item.demand.slow_rate(now) >= BUSY_ADAPTER_RATE_PER_S:
        desired = max(desired, base.min_replicas)
    desired = max(desired, _baseline_replicas(placement, item))
    return min(desired, base_replicas)


def _baseline_replicas(placement: PlacementState, item: ItemRow) -> int:
    """Return 1 if the item should have at least one replica, memory permitting, else 0."""
    if item.waiting or item.demand.profile is not None:
        return 1
    return 1 if placement.config.fill_free_memory and item.kind is ItemKind.MODEL else 0


def _waiting_for_replica(placement: PlacementState, item: ItemRow, ready: int) -> int:
    """Return the waiting requests that another replica of the model could serve.

    Once a replica is ready, requests that wait for an adapter to be loaded do not count.
    """
    if ready == 0:
        return item.waiting
    waiting_for_adapters = 0
    for key in item.adapters:
        adapter = placement.items[key]
        if adapter.waiting and adapter.ready == 0:
            waiting_for_adapters += adapter.waiting
    return max(item.waiting - waiting_for_adapters, 0)


def _update_concurrency(
    placement: PlacementState, item: ItemRow, requests: int, now: float
) -> None:
    elapsed = max(now - item.concurrency_at, 0.0)
    weight = 1.0 - math.exp(-elapsed / placement.config.concurrency_time_s)
    item.concurrency += weight * (requests - item.concurrency)
    item.concurrency_at = now


def _slots_per_replica(placement: PlacementState, item: ItemRow) -> int:
    pool = placement.intent.pools.get(item.pool)
    if pool is not None and pool.max_concurrent_per_server > 0:
        return pool.max_concurrent_per_server
    return DEFAULT_SLOTS_PER_SERVER


def _queue_shortage(
    placement: PlacementState, item: ItemRow, ready: int, pending: int, now: float
) -> None:
    if item.retry_at > now:
        placement.reviews.queue_at(item, item.retry_at)
        return
    if not placement.leadership.is_leader:
        return
    reason = _shortage_reason(placement, item, ready, pending, now)
    if now < item.placement_retry_at and reason is not MoveReason.WAITING_REQUESTS:
        return
    urgency = URGENCY_BY_REASON[reason]
    is_queued = item.shortage_stamp != 0 and item.shortage_urgency == urgency
    if is_queued and reason is not MoveReason.WAITING_REQUESTS:
        return
    if reason is not MoveReason.WAITING_REQUESTS:
        placement.shortages.add(item, urgency, -item_value(placement, item, now))
        return
    # Weighted shortest job first, which minimizes the total waiting time.
    rank = -unmet_demand(placement, item, now) / max(item.weight_bytes, 1)
    due_since = item.unserved.since if is_due(placement, item, now) else math.inf
    placement.shortages.add(item, urgency, rank, due_since)


def _shortage_reason(
    placement: PlacementState, item: ItemRow, ready: int, pending: int, now: float
) -> MoveReason:
    replicas = ready + pending
    if has_unmet_demand(placement, item, now) and (replicas == 0 or ready > 0):
        return MoveReason.WAITING_REQUESTS
    if replicas < item.min_replicas:
        return MoveReason.MIN_REPLICAS
    if replicas == 0 and item.kind is ItemKind.ADAPTER:
        return MoveReason.BESIDE_BASE
    if replicas == 0 and _has_lost_replicas(placement, item):
        return MoveReason.REPLACEMENT
    if replicas > 0:
        return MoveReason.MORE_LOAD
    config = placement.config
    predicted = item.demand.predicted_rate(now + config.lookahead_s, now, config)
    if predicted is not None and predicted > DAILY_CHANGE_FACTOR * item.demand.slow_rate(now):
        return MoveReason.DAILY_CHANGE
    if item.demand.profile is None:
        return MoveReason.FREE_MEMORY
    return MoveReason.HIGHER_VALUE


def _has_lost_replicas(placement: PlacementState, item: ItemRow) -> bool:
    return any(not placement.servers[server].is_serving for server in item.holders)
