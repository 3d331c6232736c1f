"""Tunables of placement in a forwarding deployment.

Its engines load a model within one to a few seconds, delay unloads until running requests end, and
execute one order at a time; demand shifts within seconds. So replica counts follow averages over
short times, and all items in demand are reviewed often.
"""

from __future__ import annotations

from zincvale.controlplane.placement.config import PlacementConfig

ORDER_LIFETIME_S = 2.1
"""Time after which an order of an earlier leader can no longer arrive; it exceeds the timeout of
an order."""
UNDECLARED_EVICTION_S = 2.0
"""Age from which a replica that no resource declares may be evicted; it exceeds the time in which a
change of the document reaches the leader."""


def placement_config(order_quiet_s: float) -> PlacementConfig:
    """Return the tunables of placement.

    Parameters
    ----------
    order_quiet_s : time for which a new leader gives no orders.
    """
    return PlacementConfig(
        plan_interval_s=0.05,
        order_lifetime_s=ORDER_LIFETIME_S,
        first_order_delay_s=order_quiet_s,
        one_status_confirms=True,
        takeover_limit_s=ORDER_LIFETIME_S,
        drain_notice_s=0.0,
        min_residency_s=0.5,
        servers_guard_unloads=True,
        adapters_add_replicas=True,
        overload_counts_as_waiting=True,
        fill_free_memory=False,
        urgent_horizon_s=20.0,
        store_burst_s=10.0,
        max_loads_per_server=1,
        kv_headroom_fraction=0.0,
        kv_tokens_per_model=0,
        fast_half_life_s=5.0,
        concurrency_time_s=0.4,
        review_interval_s=0.25,
        slow_half_life_s=20.0,
        status_interval_s=0.25,
        max_finished_moves=20,
        undeclared_grace_s=600.0,
        undeclared_eviction_s=UNDECLARED_EVICTION_S,
        serial_orders=True,
        confirms_orders=True,
        servers_keep_weights=True,
    )
