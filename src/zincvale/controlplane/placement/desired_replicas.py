"""System: how many replicas each changed item wants, and which are missing."""

from __future__ import annotations

import math

from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.moves import URGENCY_BY_REASON, MoveReason
from zincvale.controlplane.placement.replica_value import is_missed, item_value, need
from zincvale.controlplane.placement.state import PlacementState

PRESSURE_DELAY_S = 1.0
"""Requests wait this long before they add a replica; less loads for waits that end by
themselves."""
URGENT_REVIEW_S = 1.0
"""An item with waiting requests is reviewed this often, as the weight of waiting grows with
time."""
DEFAULT_SLOTS_PER_SERVER = 16
"""Concurrent requests of a server whose pool declares no limit."""
BUSY_ADAPTER_RATE_PER_S = 1.0 / 600.0
"""An adapter with this rate is placed beside every pinned replica of its base."""
DAILY_CHANGE_FACTOR = 2.0
"""A predicted rate this much above the present one is a daily change."""


def review_items(placement: PlacementState, now: float) -> None:
    """System: look at the items that changed or whose review is due, within the budget."""
    _queue_due(placement, now)
    _queue_unplaced(placement, now)
    _queue_daily_change(placement, now)
    for _ in range(min(len(placement.reviews), placement.config.review_budget)):
        item = placement.items.get(placement.reviews.pop())
        if item is not None:
            _review(placement, item, now)


def _queue_due(placement: PlacementState, now: float) -> None:
    while (item := placement.reviews.pop_due(placement.items, now)) is not None:
        placement.queue_review(item.key)


def _queue_unplaced(placement: PlacementState, now: float) -> None:
    """Look again at what found no server, after servers appeared or were confirmed."""
    for key in placement.unplaced.take(now):
        placement.items[key].placement_retry_at = now
        placement.queue_review(key)


def _queue_daily_change(placement: PlacementState, now: float) -> None:
    """Look at everything with a history before each part of the day begins."""
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
        item.desired = _desired_models(placement, item, ready, pending, now)
    else:
        item.desired = _desired_adapters(placement, item, now)
    if ready + pending < item.desired:
        _queue_shortage(placement, item, ready, pending, now)
    _plan_next_review(placement, item, ready, now)


def _plan_next_review(placement: PlacementState, item: ItemRow, ready: int, now: float) -> None:
    if item.waiting:
        placement.reviews.queue_at(item, now + URGENT_REVIEW_S)
    elif item.desired or ready:
        placement.reviews.queue_at(item, now + placement.config.review_interval_s)


def _desired_models(
    placement: PlacementState, item: ItemRow, ready: int, pending: int, now: float
) -> int:
    pressure = _pressure(placement, item, ready)
    # A crowd that waits for the first replica says little about how many it will keep busy.
    present = item.running + (pressure if ready else 0)
    _follow_concurrency(placement, item, present, now)
    slots = _slots_per_replica(placement, item)
    config = placement.config
    by_load = math.ceil(item.concurrency / (slots * config.target_utilization))
    if by_load < item.desired:
        # Hysteresis: the last replica goes only when the others would stay well below the target.
        keep = math.ceil(item.concurrency / (slots * config.release_utilization))
        by_load = min(item.desired, max(keep, by_load))
    pressed = pressure > 0 and now - item.waiting_since > PRESSURE_DELAY_S
    if pressed and pending == 0 and not config.overload_counts_as_waiting:
        by_load = max(by_load, ready + 1)
    desired = max(
        item.min_replicas,
        by_load,
        _single_replica(placement, item),
        _for_adapters(placement, item, now),
    )
    servers = len(placement.server_index.by_pool.get(item.pool, ()))
    if desired > servers:
        # Looked at again when servers of the pool appear.
        placement.unplaced.add(item.key)
    return min(desired, servers)


def _for_adapters(placement: PlacementState, item: ItemRow, now: float) -> int:
    """Return the replicas that have room for the adapters asked for lately."""
    pool = placement.intent.pools.get(item.pool)
    if not placement.config.adapters_add_replicas or pool is None or not pool.adapter_slots:
        return 0
    requested = sum(1 for key in item.adapters if _is_requested(placement.items[key], now))
    return math.ceil(requested / pool.adapter_slots)


def _is_requested(adapter: ItemRow, now: float) -> bool:
    """Whether more than one request came within the time that recent demand is counted over."""
    return bool(adapter.waiting or adapter.running or adapter.demand.is_recent(now))


def _desired_adapters(placement: PlacementState, item: ItemRow, now: float) -> int:
    base = placement.items.get(item.base) if item.base is not None else None
    if base is None:
        return 0
    base_replicas = base.ready + placement.pending_replicas(base)
    if base_replicas == 0:
        return 0
    _follow_concurrency(placement, item, item.running + item.waiting, now)
    slots = _slots_per_replica(placement, base)
    desired = math.ceil(item.concurrency / (slots * placement.config.target_utilization))
    if item.demand.slow_rate(now) >= BUSY_ADAPTER_RATE_PER_S:
        desired = max(desired, base.min_replicas)
    desired = max(desired, _single_replica(placement, item))
    return min(desired, base_replicas)


def _single_replica(placement: PlacementState, item: ItemRow) -> int:
    """Return 1 when one replica is worth having as far as memory allows."""
    if item.waiting or item.demand.profile is not None:
        return 1
    return 1 if placement.config.fill_free_memory and item.kind is ItemKind.MODEL else 0


def _pressure(placement: PlacementState, item: ItemRow, ready: int) -> int:
    """Return waiting requests that more replicas of the model would help."""
    if ready == 0:
        return item.waiting
    waiting_for_adapters = 0
    for key in item.adapters:
        adapter = placement.items[key]
        if adapter.waiting and adapter.ready == 0:
            waiting_for_adapters += adapter.waiting
    return max(item.waiting - waiting_for_adapters, 0)


def _follow_concurrency(placement: PlacementState, item: ItemRow, present: int, now: float) -> None:
    elapsed = max(now - item.concurrency_at, 0.0)
    weight = 1.0 - math.exp(-elapsed / placement.config.concurrency_time_s)
    item.concurrency += weight * (present - item.concurrency)
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
    reason = _reason(placement, item, ready, pending, now)
    if now < item.placement_retry_at and reason is not MoveReason.WAITING_REQUESTS:
        return
    urgency = URGENCY_BY_REASON[reason]
    pending = item.shortage_stamp != 0 and item.shortage_urgency == urgency
    if pending and reason is not MoveReason.WAITING_REQUESTS:
        return
    rank = -item_value(placement, item, now)
    if reason is MoveReason.WAITING_REQUESTS:
        # Weighted shortest first: the sum of the waits is least.
        rank = -need(placement, item, now) / max(item.weight_bytes, 1)
    placement.shortages.add(item, urgency, rank)


def _reason(
    placement: PlacementState, item: ItemRow, ready: int, pending: int, now: float
) -> MoveReason:
    replicas = ready + pending
    if is_missed(placement, item, now) and (replicas == 0 or ready > 0):
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
