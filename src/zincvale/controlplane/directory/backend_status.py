"""Adapter for the back ends' `GET /status` and the platform's `GET /v1/servers`.

This is the only module of the control plane that knows the field names of these responses. Another
back-end dialect needs another module with the same two functions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs
import orjson

from zincvale.controlplane.addresses import is_address
from zincvale.model.control_tables import ServerHealth
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import AdapterName, Address, ModelName, PoolName, ServerId, ZoneName
from zincvale.model.resources import PoolKind

STATUS_PATH = "/status"
PLATFORM_LIST_PATH = "/v1/servers"
MAX_STATUS_BYTES = 1024 * 1024
"""Largest accepted status; decoding it blocks the event loop of the process that probes."""
MAX_PLATFORM_LIST_BYTES = 16 * 1024 * 1024

Decoded = TypeVar("Decoded")

_HEALTH_BY_STATE = {"ready": ServerHealth.READY, "cold": ServerHealth.COLD}
_STATUS_REMEDY = (
    "check that the address belongs to a back end and that its dialect is the configured one"
)
_LIST_REMEDY = "check the platform's address and its list"


@attrs.frozen
class ServerStatus:
    """A server's report on itself; sizes are in bytes."""

    server: ServerId
    incarnation: str
    health: ServerHealth
    memory_bytes: int
    used_bytes: int
    running: int
    queued: int
    max_running: int
    models: frozenset[ModelName]
    """Models that are loaded and can serve requests."""
    adapters: frozenset[AdapterName]
    loading: frozenset[str]
    """Models and adapters being loaded."""
    unloading: frozenset[str]
    """Models and adapters being unloaded."""


@attrs.frozen
class PlatformServer:
    """One row of the platform's list."""

    server: ServerId
    address: Address
    pool: PoolName
    zone: ZoneName
    kind: PoolKind


def read_server_status(body: bytes) -> ServerStatus:
    """Return the status in the body of `GET /status`; raises `MalformedBodyError`."""
    return _read(body, MAX_STATUS_BYTES, "a server's status", _STATUS_REMEDY, _server_status)


def read_platform_list(body: bytes) -> list[PlatformServer]:
    """Return the rows in the body of `GET /v1/servers`; raises `MalformedBodyError`."""
    return _read(
        body, MAX_PLATFORM_LIST_BYTES, "the platform's list", _LIST_REMEDY, _platform_servers
    )


def _read(
    body: bytes, limit_bytes: int, what: str, remedy: str, decode: Callable[[Any], Decoded]
) -> Decoded:
    if len(body) > limit_bytes:
        raise MalformedBodyError(f"{what} has {len(body)} bytes, more than {limit_bytes}", remedy)
    try:
        return decode(orjson.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedBodyError(f"{what} cannot be read: {error!r}", remedy) from error


def _server_status(data: Mapping[str, Any]) -> ServerStatus:
    models = data["models"]
    adapters = data.get("adapters", [])
    return ServerStatus(
        server=ServerId(_read_text(data["server"])),
        incarnation=_read_text(data["incarnation"]),
        health=_HEALTH_BY_STATE[data["state"]],
        memory_bytes=_read_count(data["memory_bytes"]),
        used_bytes=_read_count(data["used_bytes"]),
        running=_read_count(data["running"]),
        queued=_read_count(data["queued"]),
        max_running=_read_count(data["max_running"]),
        models=frozenset(ModelName(name) for name in _names_in_state(models, "loaded")),
        adapters=frozenset(AdapterName(name) for name in _names_in_state(adapters, "loaded")),
        loading=frozenset(
            [*_names_in_state(models, "loading"), *_names_in_state(adapters, "loading")]
        ),
        unloading=frozenset(
            [*_names_in_state(models, "unloading"), *_names_in_state(adapters, "unloading")]
        ),
    )


def _names_in_state(items: Iterable[Mapping[str, Any]], state: str) -> list[str]:
    return [_read_text(item["name"]) for item in items if item["state"] == state]


def _platform_servers(data: Mapping[str, Any]) -> list[PlatformServer]:
    return [_platform_server(item) for item in data["servers"]]


def _platform_server(item: Mapping[str, Any]) -> PlatformServer:
    address = _read_text(item["address"])
    if not is_address(address):
        raise ValueError(f"{address!r} is not ip:port")
    return PlatformServer(
        server=ServerId(_read_text(item["server"])),
        address=Address(address),
        pool=PoolName(_read_text(item["pool"])),
        zone=ZoneName(_read_text(item["zone"])),
        kind=PoolKind(item["kind"]),
    )


def _read_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty text")
    return value


def _read_count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a count")
    return value
