"""Options of placement. Times are in seconds, sizes in bytes."""

from __future__ import annotations

import attrs

GIGABYTE_BYTES = 1_000_000_000
"""Bytes of a decimal gigabyte, the unit in which vendors state memory and disk sizes."""


@attrs.frozen
class PlacementConfig:
    """Options of placement; the defaults suit load times of a second to a minute.

    Attributes
    ----------
    plan_interval_s : minimum interval between two runs of the systems.
    order_lifetime_s : longest time from sending an order until it may reach its server; the
        runtime's order timeout must be shorter than this by the network delay.
    first_order_delay_s : a new leader sends no order before it has led for this long.
    confirmation_interval_s : minimum interval between two status requests that confirm something;
        a server that responds to both has handled everything that waited in its sockets before the
        first.
    takeover_limit_s : longest time for which a new leader waits for unresponsive servers before it
        orders loads.
    unresponsive_release_s : the store slots of a server are released after it has been unresponsive
        for this long.
    demand_expiry_s : a node that has not reported for this long counts as gone.
    drain_notice_s : time between the announcement of a drain to the nodes and the unload.
    drain_limit_s : longest wait for the requests that still run on a draining replica; after it the
        unload is cancelled.
    max_loads_per_server, max_loads_per_cold_server : limits on concurrent loads on one server.
    cold_ramp_s : a server counts as cold for this long after its incarnation appeared.
    kv_headroom_fraction : minimum fraction of a server's memory that is kept for KV caches.
    kv_tokens_per_model : minimum number of KV cache tokens for which memory is kept per model.
    min_residency_s : a replica is not evicted within this time after its load.
    fast_half_life_s, slow_half_life_s : half-lives of the two demand averages.
    day_s, day_buckets : length of the repeating day of the daily profile, and its number of
        buckets.
    lookahead_s : how far ahead the daily profile is read; a predicted change is acted on this
        early.
    concurrency_time_s : time constant of the moving average of concurrent requests, from which the
        desired replicas are computed.
    target_utilization, release_utilization : average running requests per request slot of the
        replicas, above which a replica is added, and below which one is given up.
    swap_gain : a load that no requests wait for evicts replicas only if its value is more than this
        many times the cost of the eviction.
    predicted_swap_gain : as `swap_gain`, for loads before a daily change, with the values predicted
        from earlier days.
    adapter_reserve_fraction : limit on the memory that is freed for a model's adapters together
        with the model's own, as a fraction of the model's size.
    urgent_horizon_s : period over which the cost of an eviction for waiting requests is estimated.
    urgent_age_s : waiting time after which the weight of waiting requests has doubled; it grows
        linearly.
    declaration_budget : limit on changed models and adapters that are applied in one run.
    review_budget, plan_budget : limits on items reviewed and on loads planned in one run.
    review_interval_s : longest interval between two reviews of an item in demand.
    candidate_sample : number of servers that are sampled as candidates for a load in a larger pool.
    store_burst_s : size of the burst that may be ordered from a store, in seconds of its rate.
    small_item_bytes, small_item_share : items up to this size may use this fraction of a store's
        rate while the backlog of larger pulls exceeds the burst.
    retry_backoff_s, max_retry_backoff_s : first and longest pause before a failed load of an item
        is retried; the pause doubles with each failure.
    prior_rate_per_s : assumed request rate of a model that was never requested.
    fill_free_memory : also load models that were never requested, while memory is free.
    finished_move_retention_s, max_finished_moves : limits on the age and the number of finished
        moves that are kept.
    status_interval_s : interval between status requests to a server that is not confirmed, or that
        has an order without a response.
    min_status_interval_s : minimum interval between status requests near the end of a load.
    undeclared_grace_s : a replica that no resource declares is unloaded after this time.
    undeclared_eviction_s : a replica that no resource declares may be evicted after this time, if
        another item needs the room. A leader that is behind may not know its resource yet.
    one_status_confirms : one status is enough to confirm a server, because orders carry the number
        of orders that the server's status showed.
    servers_guard_unloads : servers refuse new requests for a replica that they unload and let the
        running ones end, so an unload need not wait for reports of the nodes.
    adapters_add_replicas : add replicas of a model if its requested adapters do not fit beside the
        existing ones.
    overload_counts_as_waiting : running requests above the concurrency limit of a model's replicas
        count like waiting ones and are the only reason to add a replica without the moving average.
        Loads for other reasons than waiting requests, minimum replicas or a higher load are planned
        only while the store is idle.
    serial_orders : a server gets its next order only after the end of the one before.
    servers_keep_weights : a server keeps the weights that it loaded on its own disk and loads them
        from there later, in another time than from the store.
    confirms_orders : the runtime learns the end of an order by itself, so no status is requested
        for it.
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
    predicted_swap_gain: float = 3.0
    adapter_reserve_fraction: float = 0.1
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
    undeclared_eviction_s: float = 30.0
    one_status_confirms: bool = False
    servers_guard_unloads: bool = False
    adapters_add_replicas: bool = False
    overload_counts_as_waiting: bool = False
    serial_orders: bool = False
    servers_keep_weights: bool = False
    confirms_orders: bool = False

    @property
    def bucket_s(self) -> float:
        """Length of one bucket of the day."""
        return self.day_s / self.day_buckets
