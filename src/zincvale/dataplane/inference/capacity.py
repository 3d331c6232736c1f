"""Estimates of a pool's throughput and of load times, from which Retry-After is computed."""

from __future__ import annotations

import math

from zincvale.dataplane.inference.requests import InferenceRequest
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState, ServerState
from zincvale.model.identifiers import StoreName

LOAD_OVERHEAD_FACTOR = 1.5
"""Estimated load time as a multiple of the bare transfer time; planning, the server's own work and
loads that share the bandwidth come on top of the transfer."""
MIN_LOAD_S = 1.0
DEFAULT_LOAD_S = 10.0
"""Estimated load time of a model when it or its store is not declared, or the store has no rate."""


def server_rate_per_s(server: ServerState, now: float) -> float:
    """Return how many requests per second `server` is expected to take from this node.

    The rate is infinite when neither the server's latency nor a limit of its rate is known.
    """
    if server.latency_s <= 0.0:
        return server.rate.rate_per_s
    by_concurrency = server.concurrency_limit(now) / server.latency_s
    return min(by_concurrency, server.rate.rate_per_s)


def pool_rate_per_s(pool: PoolState, inference_request: InferenceRequest, now: float) -> float:
    """Return the total rate of the servers in service that hold the request's model.

    While requests wait, the total is bounded by the throughput that this node measured.
    """
    total = 0.0
    for server in pool.servers:
        if server.drained or server.evacuated:
            continue
        if inference_request.model and not server.holds(inference_request.model, now):
            continue
        total += server_rate_per_s(server, now)
    service_s = max((server.latency_s for server in pool.servers), default=0.0)
    return pool.throughput.bounded_rate_per_s(total, service_s, now)


def estimated_wait_s(requests_ahead: int, rate_per_s: float) -> float:
    """Return how long `requests_ahead` requests take; 0 when the rate is unknown (infinite)."""
    if requests_ahead <= 0 or math.isinf(rate_per_s):
        return 0.0
    if rate_per_s <= 0.0:
        return math.inf
    return requests_ahead / rate_per_s


def estimated_load_s(routing_state: RoutingState, inference_request: InferenceRequest) -> float:
    """Return the estimated load time of the model, or of the adapter if its base is loaded."""
    intent = routing_state.intent
    model = intent.models.get(inference_request.model)
    if model is None:
        return DEFAULT_LOAD_S
    weight_bytes, store_name = model.weight_bytes, model.store
    if inference_request.adapter is not None and _base_is_loaded(routing_state, inference_request):
        adapter = intent.adapters.get(inference_request.adapter)
        if adapter is not None:
            weight_bytes, store_name = adapter.weight_bytes, adapter.store
    store = intent.stores.get(StoreName(store_name))
    if store is None or store.bytes_per_second <= 0:
        return DEFAULT_LOAD_S
    return max(MIN_LOAD_S, weight_bytes / store.bytes_per_second * LOAD_OVERHEAD_FACTOR)


def _base_is_loaded(routing_state: RoutingState, inference_request: InferenceRequest) -> bool:
    return any(
        inference_request.model in state.row.models for state in routing_state.servers.values()
    )
