"""Configurations that the operators of a run send, and what each allows."""

from __future__ import annotations

import random
from typing import Any

import attrs
import orjson

HOST = "soak.example"
SERVICES = ("service-a", "service-b", "service-c")
STREAM_SERVICE = "service-s"
BASE_ROUTES = ("base-0", "base-1")
MOVING_ROUTE = "moving"
STREAM_ROUTE = "stream"
MAX_ADDED_ROUTES = 14
ROUTE_TIMEOUT_MS = 4_000
STREAM_TIMEOUT_MS = 15_000


@attrs.frozen
class Document:
    """A configuration: services by name of the route, in the order of the document."""

    number: int
    routes: dict[str, tuple[str, ...]]
    """The services to which each route may send."""

    def services(self, path: str) -> tuple[str, ...]:
        """Return the services that may run a request of `path`; none without a route."""
        return self.routes.get(path.strip("/").partition("/")[0], ())


@attrs.frozen
class DraftedChange:
    """A change as it is sent, and the document that it leads to."""

    document: Document
    is_patch: bool
    body: bytes
    added: str = ""
    removed: str = ""


def first_document(number: int) -> DraftedChange:
    """Return the whole configuration with which a run begins."""
    routes = {name: (SERVICES[index],) for index, name in enumerate(BASE_ROUTES)}
    routes[MOVING_ROUTE] = (SERVICES[0],)
    routes[STREAM_ROUTE] = (STREAM_SERVICE,)
    return _complete(Document(number, routes))


def draft_change(
    current: Document, number: int, label: str, random_source: random.Random
) -> DraftedChange:
    """Return a valid change of `current`; `label` makes the name of an added route unique."""
    added = [name for name in current.routes if name.startswith("added-")]
    kind = random_source.choices(("add", "remove", "move", "replace"), (40, 20, 30, 10))[0]
    if kind == "remove" and not added or kind == "add" and len(added) >= MAX_ADDED_ROUTES:
        kind = "move"
    if kind == "remove":
        name = added[0]
        routes = {key: value for key, value in current.routes.items() if key != name}
        return _patch(Document(number, routes), {}, [name])
    if kind == "move":
        services = _other_services(current.routes[MOVING_ROUTE], random_source)
        changed = {MOVING_ROUTE: services}
        return _patch(Document(number, {**current.routes, **changed}), changed, [])
    changed = {f"added-{label}": (random_source.choice(SERVICES),)}
    document = Document(number, {**current.routes, **changed})
    if kind == "add":
        return _patch(document, changed, [])
    dropped = added[0] if added else ""
    routes = {key: value for key, value in document.routes.items() if key != dropped}
    return _complete(Document(number, routes))


def invalid_bodies(current: Document, number: int) -> list[tuple[str, bytes, bool]]:
    """Return invalid changes as (name, body, whether it is a patch)."""
    route = _route("invalid", ("service-a",))

    def patch(**fields: Any) -> bytes:
        return orjson.dumps({"version": number, "set": {"routes": [{**route, **fields}]}})

    same_place = patch(pathPrefix=f"/{BASE_ROUTES[0]}/")
    return [
        ("unknown-service", patch(service="no-such-service"), True),
        ("no-timeout", patch(timeoutMs=0), True),
        ("same-place", same_place, True),
        ("no-weight", patch(trafficSplit=[{"service": "service-a", "weight": 0}]), True),
        ("cut-short", patch()[:-9], True),
        (
            "old-version",
            orjson.dumps({"version": current.number, "set": {"routes": [route]}}),
            True,
        ),
    ]


def document_of(decoded: dict[str, Any]) -> Document:
    """Return the document in the answer to a read."""
    return Document(
        int(decoded["version"]),
        {route["name"]: _services(route) for route in decoded["routes"]},
    )


def _other_services(present: tuple[str, ...], random_source: random.Random) -> tuple[str, ...]:
    free = [service for service in SERVICES if service not in present]
    return tuple(sorted(random_source.sample(free, random_source.randint(1, len(free)))))


def _services(route: dict[str, Any]) -> tuple[str, ...]:
    if "trafficSplit" in route:
        return tuple(part["service"] for part in route["trafficSplit"] if part["weight"] > 0)
    return (route["service"],)


def _route(name: str, services: tuple[str, ...]) -> dict[str, Any]:
    is_stream = name == STREAM_ROUTE
    route: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "streaming" if is_stream else "unsafe",
        "timeoutMs": STREAM_TIMEOUT_MS if is_stream else ROUTE_TIMEOUT_MS,
        "targetLatencyMs": 600 if is_stream else 125,
        "priority": 1,
        "attempts": 1,
    }
    if len(services) == 1:
        route["service"] = services[0]
    else:
        route["trafficSplit"] = [{"service": service, "weight": 50} for service in services]
    return route


def _service(name: str) -> dict[str, Any]:
    return {"name": name, "healthPath": "/health", "connectionLimit": 390, "protocol": "h1"}


def _complete(document: Document) -> DraftedChange:
    body = {
        "version": document.number,
        "routes": [_route(name, services) for name, services in document.routes.items()],
        "services": [_service(name) for name in (*SERVICES, STREAM_SERVICE)],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }
    return DraftedChange(document, is_patch=False, body=orjson.dumps(body))


def _patch(
    document: Document, changed: dict[str, tuple[str, ...]], removed: list[str]
) -> DraftedChange:
    body: dict[str, Any] = {"version": document.number, "set": {}, "remove": {}}
    if changed:
        body["set"] = {"routes": [_route(name, services) for name, services in changed.items()]}
    if removed:
        body["remove"] = {"routes": removed}
    added = next((name for name in changed if name.startswith("added-")), "")
    return DraftedChange(
        document,
        is_patch=True,
        body=orjson.dumps(body),
        added=added,
        removed=removed[0] if removed else "",
    )
