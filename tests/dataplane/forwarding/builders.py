"""Builders of routes, servers, prompts and routing states for tests of forwarding."""

from __future__ import annotations

from zincvale.dataplane.forwarding.dialect import Prompt, PromptPart
from zincvale.dataplane.forwarding.routing_state import FleetLimits, RoutingState
from zincvale.model.control_tables import Directory, MemberRow, Members, Role, ServerRow
from zincvale.model.forwarding import (
    Engine,
    EngineModel,
    ForwardingDocument,
    ForwardPool,
    ForwardRoute,
    WeightedPool,
)
from zincvale.model.identifiers import (
    Address,
    MemberId,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.resources import PoolKind


def make_route(name="r", **fields):
    fields = {
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "split": [WeightedPool("p")],
        "timeout_s": 4.0,
        "objective_s": 0.8,
        **fields,
    }
    return ForwardRoute(name=name, **fields)


def make_pool(name="p", **fields):
    engine = Engine(
        slots=8,
        memory_bytes=300,
        adapter_slots=2,
        loads_per_s=2.0,
        models={"m": EngineModel(100, load_s=0.5, adapters=("a1", "a2"), adapter_bytes=1)},
    )
    return ForwardPool(name=name, **{"engine": engine, **fields})


def make_row(server="s1", zone="z1", models=("m",), adapters=(), pool="p", **fields):
    return ServerRow(
        server=ServerId(server),
        address=Address(f"10.0.0.{server[1:]}:80"),
        pool=PoolName(pool),
        zone=ZoneName(zone),
        kind=PoolKind.LANGUAGE_MODEL,
        incarnation=fields.pop("incarnation", server),
        models=frozenset(ModelName(model) for model in models),
        adapters=frozenset(adapters),
        **fields,
    )


def make_members(*names):
    rows = {
        MemberId(name): MemberRow(
            MemberId(name), Role.NODE, ZoneName("z1"), Address("10.0.1.1:1"), Address("10.0.1.1:2")
        )
        for name in names
    }
    return Members(1, rows)


def make_document(version=1, routes=(), pools=(), evacuated=()):
    return ForwardingDocument(
        version,
        version,
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
        evacuated=frozenset(evacuated),
    )


def make_routing(*rows, routes=None, pools=None, nodes=("n1",), fleet_limits=None):
    routing = RoutingState(ZoneName("z1"), MemberId("n1"), fleet_limits or FleetLimits())
    routing.apply_document(make_document(1, routes or [make_route()], pools or [make_pool()]), 0.0)
    routing.apply_members(make_members(*nodes))
    routing.apply_directory(make_directory(*rows), 0.0)
    return routing


def make_directory(*rows, version=1):
    return Directory(1, version, {row.server: row for row in rows})


def make_prompt(model="m", adapter="", parts=(("shared", 500), ("own", 100))):
    return Prompt(
        model,
        adapter,
        sum(tokens for _, tokens in parts),
        20,
        tuple(PromptPart(part, tokens) for part, tokens in parts),
    )
