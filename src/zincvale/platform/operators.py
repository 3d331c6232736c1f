"""Calls of the platform's operators: the configuration, and evacuated zones."""

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

CONFIGURATION = ["v1", "configuration"]
EVACUATE = ["v1", "evacuate"]
STATUS_BY_RESULT = {IN_FORCE: 200, CONFLICT: 412, INVALID: 400}
UNCONFIRMED, BAD_REQUEST = 503, 400
BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
OWN_FIELDS = ("version", "routes", "services", "limits")


class PlatformOperators:
    """Implements `OperatorDialect`."""

    def read(self, request: ApiRequest) -> Command:
        """Return the command in a request; raises a `ZincvaleError`."""
        segments = [unquote(part) for part in request.path.split("/")[1:]]
        if segments == CONFIGURATION and request.method == "GET":
            return ReadDocument()
        if segments == CONFIGURATION and request.method in ("PUT", "PATCH"):
            try:
                return ChangeDocument(_change(request))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise InvalidInputError(
                    f"the configuration cannot be read: {error!r}", "correct it"
                ) from error
        if segments[:-1] == EVACUATE and request.method in ("POST", "DELETE"):
            return ChangeDocument(EvacuationChange(segments[-1], request.method == "POST"))
        raise NotFoundError(f"no call {request.method} {request.path[:200]!r}", "see the pages")

    def document_response(self, token: str, document: SourceDocument) -> ApiResponse:
        """Return the configuration as it was written."""
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
        """Return the response to a change."""
        status = STATUS_BY_RESULT.get(result.status, UNCONFIRMED)
        body = {"status": result.status, "problem": result.problem, "remedy": result.remedy}
        return json_response(token, status, body)

    def error_response(self, token: str, error: ZincvaleError) -> ApiResponse:
        """Return the response that shows an error."""
        status = (
            BAD_REQUEST
            if isinstance(error, InvalidInputError | MalformedBodyError)
            else error.http_status
        )
        return json_response(token, status, error.to_json())


def _change(request: ApiRequest) -> DocumentChange:
    try:
        plain = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(f"the body is not JSON: {error}", "send it whole") from error
    is_complete = request.method == "PUT"
    items = plain if is_complete else plain.get("set") or {}
    removed = {} if is_complete else plain.get("remove") or {}
    limits = items.get("limits")
    return DocumentChange(
        base=int(request.header("If-Match").strip().strip('"')),
        number=_integer(plain["version"]),
        is_complete=is_complete,
        routes=tuple(DeclaredRoute(_route(each), each) for each in items.get("routes") or ()),
        pools=tuple(DeclaredPool(_pool(each), each) for each in items.get("services") or ()),
        removed_routes=tuple(removed.get("routes") or ()),
        removed_pools=tuple(removed.get("services") or ()),
        limits=None if limits is None else _limits(limits),
        limits_source=limits,
        other={name: plain[name] for name in plain if name not in OWN_FIELDS}
        if is_complete
        else None,
    )


def _route(plain: dict[str, Any]) -> ForwardRoute:
    split = plain.get("trafficSplit") or [{"service": plain["service"], "weight": 1}]
    kind = plain.get("kind", "unsafe")
    return ForwardRoute(
        name=_text(plain["name"]),
        host=_text(plain["host"]),
        path_prefix=_text(plain["pathPrefix"]),
        split=[WeightedPool(_text(each["service"]), float(each["weight"])) for each in split],
        streaming=kind == "streaming",
        repeatable=kind == "safe",
        resumable=bool(plain.get("resumable", False)),
        attempts=int(plain.get("attempts", 1)),
        timeout_s=plain.get("timeoutMs", 30_000) / MS_PER_S,
        objective_s=plain.get("targetLatencyMs", 1000) / MS_PER_S,
        gap_s=plain.get("gapAimMs", 0) / MS_PER_S,
        priority=int(plain.get("priority", 0)),
    )


def _pool(plain: dict[str, Any]) -> ForwardPool:
    engine = plain.get("engine")
    return ForwardPool(
        name=_text(plain["name"]),
        health_path=plain.get("healthPath", ""),
        connection_limit=int(plain.get("connectionLimit", 0)),
        cold_start_s=float(plain.get("coldStartS", 0)),
        cold_per_s=float(plain.get("coldPerS", 0)),
        engine=None if engine is None else _engine(engine),
    )


def _engine(plain: dict[str, Any]) -> Engine:
    return Engine(
        slots=int(plain.get("slots", 1)),
        cache_tokens=int(plain.get("cacheTokens", 0)),
        memory_bytes=_bytes(plain.get("weightsMb", 0)),
        adapter_slots=int(plain.get("adapterSlots", 0)),
        loads_per_s=float(plain.get("loadsPerS", 0)),
        models={
            _text(each["name"]): EngineModel(
                weight_bytes=_bytes(each["weightsMb"]),
                load_s=float(each.get("loadS", 1)),
                adapters=tuple(
                    f"a{number}" for number in range(1, int(each.get("adapters", 0)) + 1)
                ),
                adapter_bytes=_bytes(each.get("adapterMb", 0)),
            )
            for each in plain.get("models") or ()
        },
    )


def _limits(plain: dict[str, Any]) -> CallerLimits:
    known = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(plain.get("maxHeaderBytes", known.max_header_bytes)),
        max_body_bytes=int(plain.get("maxBodyBytes", known.max_body_bytes)),
        header_timeout_s=plain.get("headerTimeoutMs", known.header_timeout_s * MS_PER_S) / MS_PER_S,
        idle_timeout_s=plain.get("idleTimeoutMs", known.idle_timeout_s * MS_PER_S) / MS_PER_S,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"version {value!r} is not a whole number")
    return value


def _bytes(megabytes: float) -> int:
    return round(megabytes * BYTES_PER_MB)
