"""Changes of the intent: the proposal in an operator's request, and the response to its result.

This module decides nothing: a result `not-confirmed` comes from
`coordination.registers.proposal_router`, or from `dispatch` when the core returns no result.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from zincvale.controlplane.api.messages import (
    IDEMPOTENCY_KEY_HEADER,
    ApiRequest,
    ApiResponse,
    error_response,
    json_response,
)
from zincvale.controlplane.intent.change_body import MAX_CHANGE_BYTES, parse_json
from zincvale.coordination.registers.change_messages import (
    CONFLICT,
    IN_FORCE,
    INVALID,
    ChangeResult,
    ProposeChange,
)
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.errors import (
    BodyTooLargeError,
    InvalidInputError,
    MalformedBodyError,
    NotConfirmedError,
    VersionConflictError,
)

CHANGE_TIMEOUT_S = 10.0
"""Time that the core has to respond before the operator gets `not-confirmed`.

Longer than the core's own limit on a change, so that a result of the core arrives first.
"""

_BODY_FIELDS = ("baseVersion", "mode", "resources")
_IDEMPOTENCY_KEY = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IF_MATCH = re.compile(r'"?([0-9]{1,18})"?')
_RETRY_REMEDY = "send the same order again, to this core or another"


@attrs.frozen
class PendingChange:
    """A change that was passed to the core and has no result yet.

    Attributes
    ----------
    idempotency_key : the same for a change and its retries; empty for a change of the replicas.
    deadline : time at which the operator gets `not-confirmed`.
    """

    token: str
    idempotency_key: str
    deadline: float


def read_proposal(request: ApiRequest, current_version: int) -> ProposeChange:
    """Return the proposal in `POST /v1/intent`; raises a `ZincvaleError`.

    `current_version` is used only in the idempotency key of a change that has neither a base
    version nor a key: the same body sent again after other changes is a new change, and never gets
    the result of the earlier one.
    """
    if len(request.body) > MAX_CHANGE_BYTES:
        raise BodyTooLargeError(
            f"the body has {len(request.body)} bytes, more than {MAX_CHANGE_BYTES}",
            "apply the resources in several changes",
            size_bytes=len(request.body),
            limit_bytes=MAX_CHANGE_BYTES,
        )
    data = parse_json(request.body, "the body")
    if not isinstance(data, dict):
        raise InvalidInputError(
            "the body is not an object", 'send {"baseVersion", "mode", "resources"}'
        )
    _refuse_unknown_fields(data)
    base_version = _read_base_version(data.get("baseVersion"), request.header("If-Match"))
    change = _canonical_change(data)
    idempotency_key = request.header(IDEMPOTENCY_KEY_HEADER)
    if not idempotency_key:
        base_for_digest = current_version if base_version is None else base_version
        idempotency_key = _digest(base_for_digest, change)
    elif not _IDEMPOTENCY_KEY.fullmatch(idempotency_key):
        raise InvalidInputError(
            f"{IDEMPOTENCY_KEY_HEADER} {idempotency_key[:128]!r} is invalid",
            "use 1 to 128 letters, digits and any of . _ : -",
        )
    return ProposeChange(INTENT_KEY, idempotency_key, base_version, change)


def change_response(pending: PendingChange, result: ChangeResult) -> ApiResponse:
    """Return the HTTP response to a change, from the core's result."""
    if result.status == IN_FORCE:
        body = {"version": result.version, **_key_fields(pending), "state": IN_FORCE}
        return json_response(pending.token, 200, body)
    if result.status == CONFLICT:
        conflict = VersionConflictError(result.problem, result.remedy, result.current_version)
        return error_response(pending.token, conflict, **_key_fields(pending))
    if result.status == INVALID:
        invalid = InvalidInputError(result.problem, result.remedy)
        return error_response(
            pending.token,
            invalid,
            **_key_fields(pending),
            current_version=result.current_version,
        )
    return not_confirmed_response(pending, result.problem or "the change is not confirmed")


def not_confirmed_response(pending: PendingChange, problem: str) -> ApiResponse:
    """Return the response to a change that may or may not be in force."""
    error = NotConfirmedError(problem, _RETRY_REMEDY)
    return error_response(pending.token, error, **_key_fields(pending))


def _key_fields(pending: PendingChange) -> dict[str, str]:
    return {"order_id": pending.idempotency_key} if pending.idempotency_key else {}


def _refuse_unknown_fields(data: Mapping[str, Any]) -> None:
    """Raise `InvalidInputError` for a field that the request body does not have.

    `intent.change_body` has its own check: a change that reaches the reducer has no base version.
    """
    for name in data:
        if name not in _BODY_FIELDS:
            raise InvalidInputError(
                f"the body has the unknown field {name!r}",
                f"known fields are {', '.join(_BODY_FIELDS)}",
            )


def _read_base_version(declared: object, if_match: str) -> int | None:
    from_header = _read_if_match(if_match)
    if declared is None:
        return from_header
    if not isinstance(declared, int) or isinstance(declared, bool) or declared < 0:
        raise InvalidInputError(
            f"baseVersion is {declared!r}, not a version",
            "write the version that the change was built on, or null",
        )
    if from_header is not None and from_header != declared:
        raise InvalidInputError(
            f"baseVersion is {declared}, but If-Match is {from_header}", "send one of the two"
        )
    return declared


def _read_if_match(text: str) -> int | None:
    if not text or text == "*":
        return None
    match = _IF_MATCH.fullmatch(text)
    if match is None:
        raise InvalidInputError(f"If-Match {text[:40]!r} is not a version", 'write If-Match: "12"')
    return int(match.group(1))


def _canonical_change(data: Mapping[str, Any]) -> bytes:
    """Return the change as bytes that do not depend on key order or spacing of the body."""
    change = {name: data[name] for name in ("mode", "resources") if name in data}
    try:
        return orjson.dumps(change, option=orjson.OPT_SORT_KEYS)
    except TypeError as error:
        raise MalformedBodyError(
            f"the body cannot be read: {error}", "write plain fields"
        ) from error


def _digest(base_version: int, change: bytes) -> str:
    return hashlib.sha256(f"{base_version}:".encode() + change).hexdigest()
