"""Value of a replica: the requests per second that would otherwise wait for a load.

`item_value`, `predicted_value` and `replica_value` are rates. `unmet_demand` and `expected_waits`
are request counts and are compared only with each other. `load_candidates.is_worth_loading` decides
which pair applies.
"""

from __future__ import annotations

import math

from zincvale.controlplane.placement.items import ItemRow
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.resources import Stake

FAST_RATE_WEIGHT = 0.25
"""Fraction of the fast average rate that is expected to last."""
HISTORY_WEIGHT = 0.5
"""Weight of the rate predicted from earlier days; the slow average has the rest."""
SURPLUS_WEIGHT = 0.05
"""Value of a replica that other replicas can replace, as a fraction of an only replica's value."""
MIN_OVERLOAD = 2.0
"""Minimum number of requests above the replicas' concurrency limit that counts as overload."""
MIN_UNMET_DEMAND = 0.5
"""Unmet demand, in requests, from which a load counts as one that requests wait for."""
WEIGHT_BY_STAKE = {Stake.LOW: 0.5, Stake.NORMAL: 1.0, Stake.HIGH: 4.0}
"""Weight of a request by the stake that the model declares."""


def expected_rate(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the expected requests per second, from the averages and the daily profile.

    The slow average is blended with the rate predicted from earlier days; part of the fast average
    and the configured prior rate are lower bounds. The result is cached for the time `now`.
    """
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
    """Return the weighted waits per second that an item's only replica avoids.

    Without a replica, a request starts a load, and the requests that arrive during the load wait
    as well.
    """
    rate = expected_rate(placement, item, now)
    waits = rate * (1.0 + rate * placement.expected_reload_s(item))
    return waits * WEIGHT_BY_STAKE[item.stake]


def unmet_demand(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the weighted number of requests that lack a replica of the item.

    It counts waiting requests, requests that overload the existing replicas, and recent requests
    that found no ready replica and may have been refused. An item with declared minimum replicas
    counts as if at least one request waited. The weight grows with the time that requests have been
    waiting.
    """
    requests = item.waiting + item.unserved.recent.current(now) + overload(placement, item)
    if item.min_replicas:
        requests = max(requests, 1.0)
    wait_factor = 1.0
    if item.waiting:
        wait_factor += (now - item.waiting_since) / placement.config.urgent_age_s
    return requests * wait_factor * WEIGHT_BY_STAKE[item.stake]


def overload(placement: PlacementState, item: ItemRow) -> float:
    """Return the running requests of a model above the concurrency limit of its replicas.

    It is 0 unless the option `overload_counts_as_waiting` is set.
    """
    pool = placement.intent.pools.get(item.pool)
    if not placement.config.overload_counts_as_waiting or not item.ready or pool is None:
        return 0.0
    excess = item.running - (item.ready + item.loading) * pool.max_concurrent_per_server
    return float(excess) if excess >= MIN_OVERLOAD and item.base is None else 0.0


def has_unmet_demand(placement: PlacementState, item: ItemRow, now: float) -> bool:
    """Whether the item has unmet demand and no ready replica, or its ready ones are overloaded."""
    if item.ready:
        return overload(placement, item) > 0.0
    return item.waiting > 0 or unmet_demand(placement, item, now) >= MIN_UNMET_DEMAND


def predicted_value(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the item value at the rate predicted from earlier days, or the current item value.

    The current value is returned when there is no prediction.
    """
    config = placement.config
    rate = item.demand.predicted_rate(now + config.lookahead_s, now, config)
    if rate is None:
        return item_value(placement, item, now)
    waits = rate * (1.0 + rate * placement.expected_load_s(item))
    return waits * WEIGHT_BY_STAKE[item.stake]


def replica_value(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the value of one of the item's replicas; surplus replicas have less."""
    value = item_value(placement, item, now)
    replicas = item.ready
    if replicas > max(item.desired, 1):
        return value * SURPLUS_WEIGHT
    if replicas > 1:
        return value / replicas
    return value


def expected_waits(placement: PlacementState, item: ItemRow, now: float) -> float:
    """Return the weighted number of requests expected to wait if a replica is evicted.

    It is the cost of an eviction for a load that requests wait for.
    """
    rate = expected_rate(placement, item, now)
    requested_again = 1.0 - math.exp(-rate * placement.config.urgent_horizon_s)
    waits = requested_again * (1.0 + rate * placement.expected_reload_s(item))
    if item.ready > 1:
        waits *= SURPLUS_WEIGHT
    return waits * WEIGHT_BY_STAKE[item.stake]
