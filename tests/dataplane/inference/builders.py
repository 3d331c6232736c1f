"""Builders of the requests, table rows and routing states that the request path's tests use."""

from __future__ import annotations

from zincvale.dataplane.inference.requests import CallerRequest, InferenceRequest
from zincvale.dataplane.inference.routing_state import RoutingState
from zincvale.model.control_tables import Directory, Intent, ServerHealth, ServerRow
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    ModelName,
    PoolName,
    RequestId,
    RouteName,
    ServerId,
    StoreName,
    ZoneName,
)
from zincvale.model.resources import (
    ModelSpec,
    PoolKind,
    PoolSpec,
    RouteSpec,
    ServerSpec,
    StoreSpec,
    ZoneSpec,
)

MODEL = ModelName("m")


def route(**changes) -> RouteSpec:
    return RouteSpec(**{"path": "/v1/r", "pool": "lm", **changes})


def inference_request(**changes) -> InferenceRequest:
    return InferenceRequest(**{"model": MODEL, "prompt": "one two", "max_tokens": 8, **changes})


def request(
    request_id="q1",
    inference=None,
    deadline_at=10.0,
    named_by_caller=True,
    resume_after=None,
    received_at=0.0,
) -> CallerRequest:
    return CallerRequest(
        RequestId(request_id),
        named_by_caller,
        RouteName("r"),
        "digest",
        inference or inference_request(),
        received_at,
        deadline_at,
        resume_after,
    )


def server_row(name, zone="a", models=("m",), adapters=(), pool="lm", **changes) -> ServerRow:
    return ServerRow(
        ServerId(name),
        Address(f"{name}:1"),
        PoolName(pool),
        ZoneName(zone),
        changes.pop("kind", PoolKind.LANGUAGE_MODEL),
        models=frozenset(ModelName(model) for model in models),
        adapters=frozenset(AdapterName(adapter) for adapter in adapters),
        **changes,
    )


def intent(version=1, drained=(), evacuated=(), **pool_changes) -> Intent:
    return Intent(
        version,
        zones={ZoneName(zone): ZoneSpec(evacuated=zone in evacuated) for zone in ("a", "b")},
        servers={ServerId(name): ServerSpec(drained=True) for name in drained},
        pools={PoolName("lm"): PoolSpec(**pool_changes)},
        routes={RouteName("r"): route()},
        stores={StoreName("st"): StoreSpec("st:1", bytes_per_second=1_000)},
        models={
            MODEL: ModelSpec(2_000, "st", "lm"),
            ModelName("rare"): ModelSpec(2_000, "st", "lm"),
        },
    )


def directory(*rows, version=1, epoch=1) -> Directory:
    return Directory(epoch, version, {row.server: row for row in rows})


def routing_state(*rows, **intent_changes) -> RoutingState:
    state = RoutingState(ZoneName("a"))
    state.apply_intent(intent(**intent_changes))
    state.apply_directory(directory(*rows), 0.0)
    return state


DOWN = ServerHealth.DOWN
COLD = ServerHealth.COLD
