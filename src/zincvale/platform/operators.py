"""Requests of the platform's operators: the configuration, and the evacuation of zones."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

import orjson

from zincvale.controlplane.api.messages import ApiRequest, ApiResponse, json_response
from zincvale.controlplane.documents.api import ChangeDocument, Command, ReadDocument
from zincvale.controlplane.documents.changes import (
    DeclaredPool,
    DeclaredRoute,
    DocumentChange,
    EvacuationChange,
)
from zincvale.controlplane.documents.rows import SourceDocument
from zincvale.coordination.registers.change_messages import (
    CONFLICT,
    IN_FORCE,
    INVALID,
    ChangeResult,
)
from zincvale.model.errors import (
    InvalidInputError,
    MalformedBodyError,
    NotFoundError,
    ZincvaleError,
)
from zincvale.model.forwarding import (
    CallerLimits,
    Engine,
    EngineModel,
    ForwardPool,
    ForwardRoute,
    WeightedPool,
)

CONFIGURATION_PATH = ["v1", "configuration"]
EVACUATION_PATH = ["v1", "evacuate"]
HTTP_STATUS_BY_RESULT = {IN_FORCE: 200, CONFLICT: 412, INVALID: 400}
HTTP_SERVICE_UNAVAILABLE, HTTP_BAD_REQUEST = 503, 400
BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
KNOWN_FIELDS = ("version", "routes", "services", "limits")


class PlatformOperators:
    """Implements `OperatorDialect` with the platform's paths and JSON fields."""

    def read(self, request: ApiRequest) -> Command:
        """Return the command that a request contains; raises a `ZincvaleError`."""
        segments = [unquote(part) for part in request.path.split("/")[1:]]
        if segments == CONFIGURATION_PATH and request.method == "GET":
            return ReadDocument()
        if segments == CONFIGURATION_PATH and request.method in ("PUT", "PATCH"):
            try:
                return ChangeDocument(_change(request))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise InvalidInputError(
                    f"the configuration cannot be read: {error!r}", "correct the request"
                ) from error
        if segments[:-1] == EVACUATION_PATH and request.method in ("POST", "DELETE"):
            return ChangeDocument(EvacuationChange(segments[-1], request.method == "POST"))
        raise NotFoundError(
            f"no such call: {request.method} {request.path[:200]!r}",
            "see the documentation of the operators' API",
        )

    def document_response(self, token: str, document: SourceDocument) -> ApiResponse:
        """Return a response with the configuration as the operator wrote it."""
        body = {
            **(document.other or {}),
            "version": document.number,
            "routes": document.routes,
            "services": document.pools,
        }
        if document.limits is not None:
            body["limits"] = document.limits
        return json_response(token, 200, body)

    def change_response(self, token: str, result: ChangeResult) -> ApiResponse:
        """Return a response with the result of a change."""
        status = HTTP_STATUS_BY_RESULT.get(result.status, HTTP_SERVICE_UNAVAILABLE)
        body = {"status": result.status, "problem": result.problem, "remedy": result.remedy}
        return json_response(token, status, body)

    def error_response(self, token: str, error: ZincvaleError) -> ApiResponse:
        """Return a response that reports an error."""
        status = (
            HTTP_BAD_REQUEST
            if isinstance(error, InvalidInputError | MalformedBodyError)
            else error.http_status
        )
        return json_response(token, status, error.to_json())


def _change(request: ApiRequest) -> DocumentChange:
    try:
        decoded = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(
            f"the body is not JSON: {error}", "send the complete body"
        ) from error
    is_complete = request.method == "PUT"
    items = decoded if is_complete else decoded.get("set") or {}
    removed = {} if is_complete else decoded.get("remove") or {}
    limits = items.get("limits")
    return DocumentChange(
        base=int(request.header("If-Match").strip().strip('"')),
        number=_integer(decoded["version"]),
        is_complete=is_complete,
        routes=tuple(DeclaredRoute(_route(each), each) for each in items.get("routes") or ()),
        pools=tuple(DeclaredPool(_pool(each), each) for each in items.get("services") or ()),
        removed_routes=tuple(removed.get("routes") or ()),
        removed_pools=tuple(removed.get("services") or ()),
        limits=None if limits is None else _limits(limits),
        limits_source=limits,
        other={name: decoded[name] for name in decoded if name not in KNOWN_FIELDS}
        if is_complete
        else None,
    )


def _route(decoded: dict[str, Any]) -> ForwardRoute:
    split = decoded.get("trafficSplit") or [{"service": decoded["service"], "weight": 1}]
    kind = decoded.get("kind", "unsafe")
    return ForwardRoute(
        name=_nonempty_string(decoded["name"]),
        host=_nonempty_string(decoded["host"]),
        path_prefix=_nonempty_string(decoded["pathPrefix"]),
        split=[
            WeightedPool(_nonempty_string(each["service"]), float(each["weight"])) for each in split
        ],
        streaming=kind == "streaming",
        repeatable=kind == "safe",
        resumable=bool(decoded.get("resumable", False)),
        attempts=int(decoded.get("attempts", 1)),
        timeout_s=decoded.get("timeoutMs", 30_000) / MS_PER_S,
        objective_s=decoded.get("targetLatencyMs", 1000) / MS_PER_S,
        gap_s=decoded.get("gapAimMs", 0) / MS_PER_S,
        priority=int(decoded.get("priority", 0)),
    )


def _pool(decoded: dict[str, Any]) -> ForwardPool:
    engine = decoded.get("engine")
    return ForwardPool(
        name=_nonempty_string(decoded["name"]),
        health_path=decoded.get("healthPath", ""),
        connection_limit=int(decoded.get("connectionLimit", 0)),
        cold_start_s=float(decoded.get("coldStartS", 0)),
        cold_per_s=float(decoded.get("coldPerS", 0)),
        engine=None if engine is None else _engine(engine),
    )


def _engine(decoded: dict[str, Any]) -> Engine:
    return Engine(
        slots=int(decoded.get("slots", 1)),
        cache_tokens=int(decoded.get("cacheTokens", 0)),
        memory_bytes=_bytes(decoded.get("weightsMb", 0)),
        adapter_slots=int(decoded.get("adapterSlots", 0)),
        loads_per_s=float(decoded.get("loadsPerS", 0)),
        models={
            _nonempty_string(each["name"]): EngineModel(
                weight_bytes=_bytes(each["weightsMb"]),
                load_s=float(each.get("loadS", 1)),
                adapters=tuple(
                    f"a{number}" for number in range(1, int(each.get("adapters", 0)) + 1)
                ),
                adapter_bytes=_bytes(each.get("adapterMb", 0)),
            )
            for each in decoded.get("models") or ()
        },
    )


def _limits(decoded: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(decoded.get("maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=int(decoded.get("maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=decoded.get("headerTimeoutMs", defaults.header_timeout_s * MS_PER_S)
        / MS_PER_S,
        idle_timeout_s=decoded.get("idleTimeoutMs", defaults.idle_timeout_s * MS_PER_S) / MS_PER_S,
    )


def _nonempty_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"version {value!r} is not an integer")
    return value


def _bytes(megabytes: float) -> int:
    return round(megabytes * BYTES_PER_MB)
