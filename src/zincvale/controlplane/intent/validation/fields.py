"""Rules on the fields of a single resource: sizes, limits, paths, addresses."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any

from zincvale.controlplane.addresses import is_address
from zincvale.controlplane.intent.change_body import read_name
from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import (
    SPEC_BY_KIND,
    AdapterSpec,
    ModelSpec,
    PoolSpec,
    RouteSpec,
    StoreSpec,
    ZoneSpec,
)

MAX_DEADLINE_MS = 24 * 3_600 * 1_000
"""Longest deadline that a route may declare: one day."""
MAX_WEIGHT_BYTES = 2**50
"""Largest declared size of weights.

No model is as large as a pebibyte; a larger value is a mistaken unit.
"""
MAX_PATH_CHARACTERS = 256
"""Longest path that a route may declare."""

RESERVED_PATHS = frozenset({"/ready", "/healthz", "/metrics"})
"""Paths that every node serves itself and that no route may declare."""
RESERVED_PATH_PREFIXES = ("/v1/traces", "/v1/requests", "/peer")
"""Prefixes of paths that every node serves itself and that no route may declare."""

_PATH = re.compile(r"(/[A-Za-z0-9._~-]+)+")


def check_fields(
    kind: str, name: str, fields: Mapping[str, Any], known_policies: frozenset[str] | None
) -> Checked:
    """Return the typed spec of `fields`; raises `InvalidInputError` for the first invalid one.

    Parameters
    ----------
    kind, name : the resource.
    fields : its declared fields.
    known_policies : names that a pool may list; None accepts every name.
    """
    where = f"{kind} {name}: spec"
    spec = read_checked(SPEC_BY_KIND[kind], fields, where)
    if isinstance(spec, PoolSpec):
        _check_pool(spec, where, known_policies)
    else:
        check = _CHECK_BY_SPEC.get(type(spec))
        if check is not None:
            check(spec, where)
    return spec


def _check_zone(spec: ZoneSpec, where: str) -> None:
    read_name(spec.region, where, "region")


def _check_pool(spec: PoolSpec, where: str, known_policies: frozenset[str] | None) -> None:
    _check_at_least(spec.max_concurrent_per_server, 1, where, "max_concurrent_per_server")
    _check_at_least(
        spec.max_requests_per_second_per_server, 0, where, "max_requests_per_second_per_server"
    )
    _check_at_least(spec.max_queue, 0, where, "max_queue")
    _refuse_repeats(spec.policies, where, "policies")
    if known_policies is None:
        return
    for policy in spec.policies:
        if policy not in known_policies:
            raise InvalidInputError(
                f"{where}: policies names {policy!r}, which is not a known policy",
                f"use any of {', '.join(sorted(known_policies))}",
            )


def _check_route(spec: RouteSpec, where: str) -> None:
    if len(spec.path) > MAX_PATH_CHARACTERS or not _PATH.fullmatch(spec.path):
        raise InvalidInputError(
            f"{where}: path {spec.path[:MAX_PATH_CHARACTERS]!r} is not a plain HTTP path",
            "write a path as in /v1/quotes, without query, spaces or a slash at the end",
        )
    if spec.path in RESERVED_PATHS or spec.path.startswith(RESERVED_PATH_PREFIXES):
        raise InvalidInputError(
            f"{where}: path {spec.path!r} is served by the node itself", "choose another path"
        )
    _check_at_least(spec.deadline_ms, 1, where, "deadline_ms")
    _check_at_most(spec.deadline_ms, MAX_DEADLINE_MS, where, "deadline_ms")
    _check_at_least(spec.max_concurrent, 1, where, "max_concurrent")
    _refuse_repeats(spec.models, where, "models")


def _check_store(spec: StoreSpec, where: str) -> None:
    if not is_address(spec.address):
        raise InvalidInputError(
            f"{where}: address {spec.address!r} is not `ip:port`",
            "write an IP address and a port, not a host name",
        )
    _check_at_least(spec.bytes_per_second, 1, where, "bytes_per_second")
    _check_at_least(spec.max_concurrent_loads, 1, where, "max_concurrent_loads")


def _check_model(spec: ModelSpec, where: str) -> None:
    _check_weight(spec.weight_bytes, where)
    _check_at_least(spec.kv_bytes_per_token, 0, where, "kv_bytes_per_token")
    _check_at_least(spec.min_replicas, 0, where, "min_replicas")


def _check_adapter(spec: AdapterSpec, where: str) -> None:
    _check_weight(spec.weight_bytes, where)


def _check_weight(weight_bytes: int, where: str) -> None:
    _check_at_least(weight_bytes, 1, where, "weight_bytes")
    _check_at_most(weight_bytes, MAX_WEIGHT_BYTES, where, "weight_bytes")


def _check_at_least(value: float, lowest: float, where: str, field: str) -> None:
    if not value >= lowest:
        raise InvalidInputError(f"{where}: {field} is {value}", f"write {lowest} or more")


def _check_at_most(value: float, highest: float, where: str, field: str) -> None:
    if not value <= highest:
        raise InvalidInputError(f"{where}: {field} is {value}", f"write {highest} or less")


def _refuse_repeats(values: list[str], where: str, field: str) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise InvalidInputError(
                f"{where}: {field} names {value!r} twice", "keep one of the two"
            )
        seen.add(value)


_CHECK_BY_SPEC: dict[type[Checked], Callable[[Any, str], None]] = {
    ZoneSpec: _check_zone,
    RouteSpec: _check_route,
    StoreSpec: _check_store,
    ModelSpec: _check_model,
    AdapterSpec: _check_adapter,
}
