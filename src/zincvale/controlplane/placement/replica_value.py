"""What a replica is worth, in requests a second that would otherwise wait for a load.

`item_value` and `replica_value` are rates; `need` and `eviction_cost` are counts of requests, and
are compared only with each other. Which pair decides is in `load_candidates.is_worth_loading`.
"""

from __future__ import annotations

import math

from zincvale.controlplane.placement.items import ItemRow
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.resources import Stake

FAST_RATE_WEIGHT = 0.25
"""Part of the recent rate that is expected to last."""
HISTORY_WEIGHT = 0.5
"""Of what earlier days show for the time ahead, beside what is measured now."""
SURPLUS_WEIGHT = 0.05
"""Of a replica that others can stand in for, as a part of the value of a single one."""
MIN_OVERLOAD = 2.0
"""Requests beyond what the replicas should run at once that count as if they waited."""
MIN_NEED = 0.5
"""Below this an item is not missed now, only worth having."""
WEIGHT_BY_STAKE = {Stake.LOW: 0.5, Stake.NORMAL: 1.0, Stake.HIGH: 4.0}
"""Weight of a request by the priority that its model declares."""


def expected_rate(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return requests per second expected soon: measured, recent, or shown by earlier days."""
    if item.rate_at == now:
        return item.rate
    config = placement.config
    demand = item.demand
    rate = demand.slow_rate(now)
    predicted = demand.predicted_rate(now + config.lookahead_s, now, config)
    if predicted is not None:
        rate += HISTORY_WEIGHT * (predicted - rate)
    recent = FAST_RATE_WEIGHT * demand.fast_rate(now)
    item.rate = max(rate, recent, config.prior_rate_per_s)
    item.rate_at = now
    return item.rate


def item_value(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return waits per second that one replica avoids while there is no other.

    Without a replica each request starts a load, and those that arrive during it wait as well.
    """
    rate = expected_rate(placement, item, now)
    waits = rate * (1.0 + rate * placement.expected_return_s(item))
    return waits * WEIGHT_BY_STAKE[item.stake]


def need(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return how much a replica of an item is missed now, in requests.

    Requests that wait or crowd the present replicas count, and those that came lately while there
    was none, which may have been refused. What operators pinned counts as if one request waited.
    The longer something waits, the more it counts.
    """
    requests = item.waiting + item.missed.present(now) + overload(placement, item)
    if item.min_replicas:
        requests = max(requests, 1.0)
    age = 1.0
    if item.waiting:
        age += (now - item.waiting_since) / placement.config.urgent_age_s
    return requests * age * WEIGHT_BY_STAKE[item.stake]


def overload(placement: PlacementState, item: ItemRow) -> float:
    """Return the requests that run on a model beyond what its replicas should run at once.

    Only where replicas are added for crowds as urgently as for waiting requests.
    """
    pool = placement.intent.pools.get(item.pool)
    if not placement.config.overload_counts_as_waiting or not item.ready or pool is None:
        return 0.0
    crowd = item.running - (item.ready + item.loading) * pool.max_concurrent_per_server
    return float(crowd) if crowd >= MIN_OVERLOAD and item.base is None else 0.0


def is_missed(placement: PlacementState, item: ItemRow, now: float) -> bool:
    """Whether requests ask now for an item that no replica serves, or too few do."""
    if item.ready:
        return overload(placement, item) > 0.0
    return item.waiting > 0 or need(placement, item, now) >= MIN_NEED


def foreseen_value(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the value that earlier days show for the time ahead, else the present one."""
    config = placement.config
    rate = item.demand.predicted_rate(now + config.lookahead_s, now, config)
    if rate is None:
        return item_value(placement, item, now)
    waits = rate * (1.0 + rate * placement.expected_load_s(item))
    return waits * WEIGHT_BY_STAKE[item.stake]


def replica_value(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return what one of the item's replicas is worth, less when there are more than desired."""
    value = item_value(placement, item, now)
    replicas = item.ready
    if replicas > max(item.desired, 1):
        return value * SURPLUS_WEIGHT
    if replicas > 1:
        return value / replicas
    return value


def eviction_cost(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return requests expected to wait if a replica goes for the sake of waiting ones."""
    rate = expected_rate(placement, item, now)
    requested_again = 1.0 - math.exp(-rate * placement.config.urgent_horizon_s)
    cost = requested_again * (1.0 + rate * placement.expected_return_s(item))
    if item.ready > 1:
        cost *= SURPLUS_WEIGHT
    return cost * WEIGHT_BY_STAKE[item.stake]
