"""Estimates of how fast a pool works and how long a load takes: what Retry-After is made of."""

from __future__ import annotations

import math

from zincvale.dataplane.inference.requests import InferenceRequest
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState, ServerState
from zincvale.model.identifiers import StoreName

LOAD_OVERHEAD_FACTOR = 1.5
"""A load takes longer than the bare transfer: planning, the server's own work, sharing."""
LEAST_LOAD_S = 1.0
DEFAULT_LOAD_S = 10.0


def server_rate_per_s(server: ServerState, now: float) -> float:
    """Return how many requests a second this node may expect of `server`; inf when unknown."""
    if server.latency_s <= 0.0:
        return server.rate.rate_per_s
    by_concurrency = server.concurrency_limit(now) / server.latency_s
    return min(by_concurrency, server.rate.rate_per_s)


def pool_rate_per_s(pool: PoolState, inference_request: InferenceRequest, now: float) -> float:
    """Return the rate of those servers in service that hold what the request needs.

    While requests wait, it is no more than what this node was seen to get.
    """
    total = 0.0
    for server in pool.servers:
        if server.drained or server.evacuated:
            continue
        if inference_request.model and not server.holds(inference_request.model, now):
            continue
        total += server_rate_per_s(server, now)
    service_s = max((server.latency_s for server in pool.servers), default=0.0)
    return pool.throughput.bound(total, service_s, now)


def estimated_wait_s(ahead: int, rate_per_s: float) -> float:
    """Return how long `ahead` requests take at `rate_per_s`; 0 when nothing is known."""
    if ahead <= 0 or math.isinf(rate_per_s):
        return 0.0
    if rate_per_s <= 0.0:
        return math.inf
    return ahead / rate_per_s


def estimated_load_s(routing_state: RoutingState, inference_request: InferenceRequest) -> float:
    """Return how long it takes until the model (or adapter) is loaded somewhere."""
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
    return max(LEAST_LOAD_S, weight_bytes / store.bytes_per_second * LOAD_OVERHEAD_FACTOR)


def _base_is_loaded(routing_state: RoutingState, inference_request: InferenceRequest) -> bool:
    return any(
        inference_request.model in state.row.models for state in routing_state.servers.values()
    )
