"""Tunables of placement. Times are seconds, sizes bytes."""

from __future__ import annotations

import attrs

GIGABYTE_BYTES = 1_000_000_000
"""Decimal, as vendors of memory and disks count."""


@attrs.frozen
class PlacementConfig:
    """Defaults suit loads of a second to a minute; a deployment may change any of them.

    Attributes
    ----------
    plan_interval_s : the systems run at most this often.
    order_lifetime_s : an order that was sent can reach its server no later than this, counted
        from sending; the runtime's order timeout must be shorter by the network's delay.
    first_order_delay_s : a new leader gives no order before it has led for this long.
    confirmation_interval_s : a server that responded to two status requests this far apart has
        handled whatever was waiting in its sockets before the first.
    takeover_limit_s : a new leader waits at most this long for unresponsive servers before it uses
        the stores.
    unresponsive_release_s : an unresponsive server's store slot is given up after this long.
    demand_expiry_s : a node that has not reported for this long counts as departed.
    drain_notice_s : time for nodes to learn that a model is draining, before it is unloaded.
    drain_limit_s : longest wait for requests that still run on a draining model.
    max_loads_per_server, max_loads_per_cold_server : concurrent loads ordered to one server.
    cold_ramp_s : a server counts as cold for this long after its incarnation appeared.
    kv_headroom_fraction : part of a server's memory kept for KV caches.
    kv_tokens_per_model : tokens of KV cache kept for each resident model at least.
    min_residency_s : a replica is not evicted within this time after its load.
    fast_half_life_s, slow_half_life_s : decay of the two demand averages.
    day_s, day_buckets : length of the repeating day and its parts, for the daily profile.
    lookahead_s : how early a predicted change is acted on, besides the expected load time.
    concurrency_time_s : time constant of the running requests that replicas are counted by.
    target_utilization, release_utilization : running requests per server slot above which a
        replica is added, and below which the last replica counts as surplus.
    swap_gain : a replica displaces others without waiting requests only if worth this much more.
    foreseen_gain : as `swap_gain`, for loads before a daily change, by what earlier days show.
    companion_share : memory for adapters that is freed together with a model, as a share of its
        size.
    urgent_horizon_s : how far the cost of an eviction for waiting requests is looked at.
    urgent_age_s : waiting this long doubles the weight of the waiting requests.
    declaration_budget : changed models and adapters taken into the tables in one run.
    review_budget, plan_budget : items reviewed and loads planned in one run.
    review_interval_s : an item in demand is reviewed at least this often.
    candidate_sample : servers examined for one load when a pool is larger.
    store_burst_s : seconds of a store's rate that may be ordered ahead.
    small_item_bytes, small_item_share : items up to this size may use that share of a store's
        rate while a large pull is still owed.
    retry_backoff_s, max_retry_backoff_s : pause after a failed load of one item, doubling.
    prior_rate_per_s : assumed demand of a declared model that was never requested.
    fill_free_memory : load what is declared but absent while memory is free.
    finished_move_retention_s, max_finished_moves : history that stays readable.
    status_interval_s : time between two status requests to a server that is not confirmed, or whose
        order has no response.
    min_status_interval_s : as above, near the end of a load.
    undeclared_grace_s : a replica that no resource declares is unloaded after this long.
    one_status_confirms : orders carry the number of orders that the server's status showed, so that
        one status is enough to order on.
    servers_guard_unloads : servers themselves refuse requests for what they unload and let running
        ones end, so that an unload needs no report of the nodes.
    adapters_add_replicas : a model gets more replicas when its adapters in demand do not fit beside
        the present ones.
    overload_counts_as_waiting : requests that crowd a model's replicas count like those that wait,
        and nothing else adds replicas at once; what nobody waits for is loaded while the store is
        idle.
    serial_orders : a server carries out one order at a time; the next waits for its end.
    servers_keep_weights : a server keeps on its own disk what it loaded, and loads it from there in
        another time than from the store.
    confirms_orders : the runtime learns the end of an order itself; no status is requested for it.
    """

    plan_interval_s: float = 0.1
    order_lifetime_s: float = 3.0
    first_order_delay_s: float = 0.0
    confirmation_interval_s: float = 1.0
    takeover_limit_s: float = 15.0
    unresponsive_release_s: float = 120.0
    demand_expiry_s: float = 3.0
    drain_notice_s: float = 0.2
    drain_limit_s: float = 60.0
    max_loads_per_server: int = 2
    max_loads_per_cold_server: int = 1
    cold_ramp_s: float = 10.0
    kv_headroom_fraction: float = 0.125
    kv_tokens_per_model: int = 4096
    min_residency_s: float = 2.0
    fast_half_life_s: float = 30.0
    slow_half_life_s: float = 1800.0
    day_s: float = 86_400.0
    day_buckets: int = 48
    lookahead_s: float = 120.0
    concurrency_time_s: float = 5.0
    target_utilization: float = 0.6
    release_utilization: float = 0.35
    swap_gain: float = 8.0
    foreseen_gain: float = 3.0
    companion_share: float = 0.1
    urgent_horizon_s: float = 600.0
    urgent_age_s: float = 1.0
    declaration_budget: int = 400
    review_budget: int = 1500
    plan_budget: int = 16
    review_interval_s: float = 30.0
    candidate_sample: int = 48
    store_burst_s: float = 2.0
    small_item_bytes: int = GIGABYTE_BYTES
    small_item_share: float = 0.2
    retry_backoff_s: float = 1.0
    max_retry_backoff_s: float = 60.0
    prior_rate_per_s: float = 1e-7
    fill_free_memory: bool = True
    finished_move_retention_s: float = 600.0
    max_finished_moves: int = 500
    status_interval_s: float = 0.2
    min_status_interval_s: float = 0.1
    undeclared_grace_s: float = 30.0
    one_status_confirms: bool = False
    servers_guard_unloads: bool = False
    adapters_add_replicas: bool = False
    overload_counts_as_waiting: bool = False
    serial_orders: bool = False
    servers_keep_weights: bool = False
    confirms_orders: bool = False

    @property
    def bucket_s(self) -> float:
        """Length of one part of the day."""
        return self.day_s / self.day_buckets
