"""Requests, effects and response bodies of the control API."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import attrs
import orjson

from zincvale.coordination.registers.change_messages import ProposeChange, ReplaceReplica
from zincvale.model.errors import VersionConflictError, ZincvaleError
from zincvale.model.machine import Log

JSON_HEADERS = {"Content-Type": "application/json"}
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RETRY_AFTER_S = 1
"""Value of `Retry-After`: seconds until a client should retry a request that got a 503."""


@attrs.frozen
class MethodNotAllowedError(ZincvaleError):
    """The path exists but does not support this method."""

    allowed: tuple[str, ...] = ()

    kind = "method-not-allowed"
    http_status = 405


@attrs.frozen
class ApiRequest:
    """One HTTP request of an operator.

    Attributes
    ----------
    path : path without the query, percent-encoded as received.
    query : decoded query parameters; the last value of a repeated one.
    headers : header values by name; names are matched in any case.
    token : identifies the request in effects and later inputs.
    is_delayed : whether the request may have waited unread while this process did not run, so that
        its operator may have gone on to another core.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    token: str
    is_delayed: bool = False

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string when it is absent."""
        for known, value in self.headers.items():
            if known.lower() == name.lower():
                return value
        return ""


@attrs.frozen
class ApiResponse:
    """Effect: send the response to the request `token`."""

    token: str
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class CallCore:
    """Effect: pass `message` to the local core; `on_core_response(token, ...)` follows."""

    token: str
    message: ProposeChange | ReplaceReplica


ApiEffect = ApiResponse | CallCore | Log


def json_response(token: str, status: int, body: object) -> ApiResponse:
    """Return a response with a JSON body; `bytes` are sent as they are."""
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    return ApiResponse(token, status, dict(JSON_HEADERS), content)


def error_response(token: str, error: ZincvaleError, **extra: object) -> ApiResponse:
    """Return the response for a typed error; `extra` fields are added to its body."""
    body: dict[str, object] = {**error.to_json(), **extra}
    if isinstance(error, VersionConflictError):
        body["current_version"] = error.current_version
    headers = dict(JSON_HEADERS)
    if error.http_status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return ApiResponse(token, error.http_status, headers, orjson.dumps(body))
