"""Derives from a deployment and its intent what the invariant checks expect of a run."""

from __future__ import annotations

from collections.abc import Iterable

from zincvale.fleet.invariants.evidence import Expectations, RoutePromise, StoreLimit
from zincvale.fleet.invariants.rows import MachineAdded
from zincvale.model.checked import read_checked
from zincvale.model.resources import Document, RouteSpec, StoreSpec
from zincvale.standins.deployment import Deployment


def expectations_of(deployment: Deployment, documents: Iterable[Document]) -> Expectations:
    """Return the routes' guarantees, the stores' limits, and the place of each daemon."""
    found = Expectations(
        seat_by_core={core.name: core.name for core in deployment.cores()},
        member_by_host={deployment.ip(m.host): m.name for m in deployment.machines},
        zone_by_member={machine.name: machine.zone for machine in deployment.machines},
    )
    for document in documents:
        if document.spec is None:
            continue
        where = f"{document.kind} {document.name}"
        if document.kind == "Route":
            route = read_checked(RouteSpec, document.spec, where)
            promise = RoutePromise(route.at_most_once, route.stream)
            found.routes[document.name] = promise
            found.routes[route.path] = promise
        elif document.kind == "Store":
            store = read_checked(StoreSpec, document.spec, where)
            limit = StoreLimit(store.bytes_per_second, store.max_concurrent_loads)
            found.stores[document.name] = limit
            found.stores[store.address] = limit
    return found


def include_added_machines(expectations: Expectations, added: Iterable[MachineAdded]) -> None:
    """Add the machines started during a run; a new core takes the seat of the one it replaces."""
    seats = expectations.seat_by_core
    for machine in added:
        expectations.member_by_host[machine.host] = machine.member
        expectations.zone_by_member[machine.member] = machine.zone
        if machine.replaces in seats:
            seats[machine.member] = seats[machine.replaces]
