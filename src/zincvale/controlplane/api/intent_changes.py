"""Changes of the intent on their way: from the operator's request to the answer it gets."""

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
"""After this without a word of the core the operator is told `not-confirmed`."""

_BODY_FIELDS = ("baseVersion", "mode", "resources")
_ORDER_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IF_MATCH = re.compile(r'"?([0-9]{1,18})"?')
_SEND_AGAIN = "send the same order again, here or to another core"


@attrs.frozen
class PendingChange:
    """A change handed to the core and not answered yet; a replica change has no order id."""

    token: str
    order_id: str
    deadline: float


def read_proposal(request: ApiRequest, current_version: int) -> ProposeChange:
    """Return the proposal in `POST /v1/intent`; raises a `ZincvaleError`.

    `current_version` only goes into the order id of a change that names neither a base version nor
    a key: the same body sent again after other changes is a new order, never the old one's answer.
    """
    if len(request.body) > MAX_CHANGE_BYTES:
        raise BodyTooLargeError(
            f"the body has {len(request.body)} bytes, more than {MAX_CHANGE_BYTES}",
            "apply the resources in several changes",
        )
    data = parse_json(request.body, "the body")
    if not isinstance(data, dict):
        raise InvalidInputError(
            "the body is not an object", 'send {"baseVersion", "mode", "resources"}'
        )
    _refuse_unknown_fields(data)
    base_version = _read_base_version(data.get("baseVersion"), request.header("If-Match"))
    change = _canonical_change(data)
    order_id = request.header(IDEMPOTENCY_KEY_HEADER)
    if not order_id:
        base_for_digest = current_version if base_version is None else base_version
        order_id = _digest(base_for_digest, change)
    elif not _ORDER_ID.fullmatch(order_id):
        raise InvalidInputError(
            f"{IDEMPOTENCY_KEY_HEADER} {order_id[:128]!r} is not usable",
            "use 1 to 128 letters, digits and any of . _ : -",
        )
    return ProposeChange(INTENT_KEY, order_id, base_version, change)


def answer_change(pending: PendingChange, result: ChangeResult) -> ApiResponse:
    """Return the operator's answer to a decided change."""
    if result.status == IN_FORCE:
        body = {"version": result.version, **_order(pending), "state": IN_FORCE}
        return json_response(pending.token, 200, body)
    if result.status == CONFLICT:
        conflict = VersionConflictError(result.problem, result.remedy, result.current_version)
        return error_response(pending.token, conflict, **_order(pending))
    if result.status == INVALID:
        invalid = InvalidInputError(result.problem, result.remedy)
        return error_response(
            pending.token,
            invalid,
            **_order(pending),
            current_version=result.current_version,
        )
    return not_confirmed(pending, result.problem or "the change is not confirmed")


def not_confirmed(pending: PendingChange, problem: str) -> ApiResponse:
    """Return the answer that promises nothing about the change."""
    error = NotConfirmedError(problem, _SEND_AGAIN)
    return error_response(pending.token, error, **_order(pending))


def _order(pending: PendingChange) -> dict[str, str]:
    return {"order_id": pending.order_id} if pending.order_id else {}


def _refuse_unknown_fields(data: Mapping[str, Any]) -> None:
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
            f"baseVersion is {declared}, If-Match is {from_header}", "send one of the two"
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
    """The same JSON values are the same bytes, whatever their order and spacing."""
    change = {name: data[name] for name in ("mode", "resources") if name in data}
    try:
        return orjson.dumps(change, option=orjson.OPT_SORT_KEYS)
    except TypeError as error:
        raise MalformedBodyError(
            f"the body cannot be read: {error}", "write plain fields"
        ) from error


def _digest(base_version: int, change: bytes) -> str:
    return hashlib.sha256(f"{base_version}:".encode() + change).hexdigest()
