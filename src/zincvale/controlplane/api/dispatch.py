"""The control API as a pure state machine: one dispatch on method and path segments.

The HTTP server passes in requests and executes the effects; the core's response to a `CallCore`
arrives through `on_core_response`. Nothing here blocks, reads a clock or opens a connection.
"""

from __future__ import annotations

import functools
import urllib.parse
from collections.abc import Callable, Mapping

import attrs

from zincvale.controlplane.api.intent_changes import (
    CHANGE_TIMEOUT_S,
    PendingChange,
    change_response,
    not_confirmed_response,
    read_proposal,
)
from zincvale.controlplane.api.messages import (
    IDEMPOTENCY_KEY_HEADER,
    ApiEffect,
    ApiRequest,
    ApiResponse,
    CallCore,
    MethodNotAllowedError,
    error_response,
    json_response,
)
from zincvale.controlplane.api.pending_watches import PendingWatches, read_watch
from zincvale.controlplane.api.reads import (
    IntentBodyCache,
    members_body,
    move_body,
    moves_body,
    read_page,
    replicas_body,
    resource_body,
    resource_list,
    roles_body,
)
from zincvale.controlplane.api.replica_changes import read_replacement
from zincvale.controlplane.core_view import CoreView
from zincvale.controlplane.intent.row_codec import KIND_BY_TABLE
from zincvale.controlplane.status.cluster_snapshot import (
    ClusterSnapshot,
    lagging_nodes,
    take_snapshot,
)
from zincvale.controlplane.status.drain_progress import DrainProgress
from zincvale.coordination.registers.change_messages import (
    ChangeResult,
    ProposeChange,
    ReplaceReplica,
)
from zincvale.model.errors import InvalidInputError, NotFoundError, UnavailableError, ZincvaleError

MAX_PENDING_CHANGES = 1_000
"""Limit on the changes that wait for the core's response; further changes are refused at once.

It bounds the memory of a core that cannot reach the owner of the intent: without the limit every
retry of every operator would be kept for `CHANGE_TIMEOUT_S`.
"""

Handler = Callable[[ApiRequest, float], list[ApiEffect]]


class ControlApi:
    """Handles the operators' requests to one core.

    Parameters
    ----------
    view : state of the local core, read when each request is handled.
    """

    def __init__(self, view: CoreView) -> None:
        self._view = view
        self._pending: dict[str, PendingChange] = {}
        self._intent_bodies = IntentBodyCache()
        self._watches = PendingWatches(self._intent_bodies)
        self._drains = DrainProgress()

    def handle(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        """Handle one request; its `ApiResponse` is among the effects of this or a later input."""
        try:
            return self._dispatch(request, now)
        except ZincvaleError as error:
            return [_with_allow_header(error_response(request.token, error), error)]

    def on_core_response(self, token: str, message: object, _now: float) -> list[ApiEffect]:
        """Handle the core's response to `CallCore(token, ...)`."""
        pending = self._pending.pop(token, None)
        if pending is None:
            return []
        if isinstance(message, ChangeResult):
            return [change_response(pending, message)]
        # The core replies to a change only with a `ChangeResult` (`proposal_router`). Any other
        # message is a defect there; the operator is told that the change is not confirmed.
        return [not_confirmed_response(pending, f"the core returned {type(message).__name__}")]

    def on_core_failure(self, token: str, reason: str) -> list[ApiEffect]:
        """Handle the notice that `CallCore(token, ...)` gets no response."""
        pending = self._pending.pop(token, None)
        return [] if pending is None else [not_confirmed_response(pending, reason)]

    def abandon(self, token: str) -> None:
        """Forget a request whose client disconnected; its change is not cancelled."""
        self._pending.pop(token, None)
        self._watches.abandon(token)

    def on_intent_changed(self, now: float) -> list[ApiEffect]:
        """Complete the watches that wait for a version which the newest intent has reached."""
        self._update_drains(now)
        return list(self._watches.complete(self._view.intent_rows(), now))

    def tick(self, now: float) -> list[ApiEffect]:
        """Complete the watches and fail the changes whose deadline has passed."""
        self._update_drains(now)
        effects: list[ApiEffect] = list(self._watches.complete(self._view.intent_rows(), now))
        overdue = [pending for pending in self._pending.values() if now >= pending.deadline]
        for pending in overdue:
            del self._pending[pending.token]
            effects.append(not_confirmed_response(pending, "the core did not respond in time"))
        return effects

    def _update_drains(self, now: float) -> None:
        try:
            intent = self._view.intent()
        except ZincvaleError:
            # A row was written by a later release: reads report that, and the drains keep their
            # last known progress.
            return
        self._drains.update(
            intent, self._view.directory(), lambda: bool(lagging_nodes(self._view, intent)), now
        )

    def _snapshot(self, now: float) -> ClusterSnapshot:
        """Return a snapshot; raises `UnavailableError` for a row of a later release."""
        self._update_drains(now)
        try:
            return take_snapshot(self._view, self._drains, now)
        except InvalidInputError as error:
            raise UnavailableError(error.problem, error.remedy) from error

    def _dispatch(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        segments = _path_segments(request.path)
        handlers = self._handlers(segments)
        if not handlers:
            raise NotFoundError(
                f"unknown path {request.path[:200]!r}", "see docs/PROTOCOLS.md for the paths"
            )
        handler = handlers.get(request.method)
        if handler is None:
            raise MethodNotAllowedError(
                f"{request.method} is not supported at {request.path}",
                f"use {', '.join(sorted(handlers))}",
                allowed=tuple(sorted(handlers)),
            )
        return handler(request, now)

    def _handlers(self, segments: list[str]) -> dict[str, Handler]:
        """Return the handlers by method; none for an unknown path."""
        match segments:
            case ["v1", "intent"]:
                return {"GET": self._read_intent, "POST": self._change_intent}
            case ["v1", "watch"]:
                return {"GET": self._watch}
            case ["v1", "members"]:
                return {"GET": self._read_handler(members_body)}
            case ["v1", "moves"]:
                return {"GET": self._read_handler(moves_body)}
            case ["v1", "moves", name]:
                return {"GET": self._read_handler(functools.partial(move_body, name=name))}
            case ["v1", "roles"]:
                return {"GET": self._read_handler(roles_body)}
            case ["v1", "replicas"]:
                return {
                    "GET": self._read_handler(replicas_body),
                    "POST": self._replace_replica,
                }
            case ["v1", table] if table in KIND_BY_TABLE:
                return {"GET": functools.partial(self._list_resources, table)}
            case ["v1", table, name] if table in KIND_BY_TABLE:
                return {"GET": functools.partial(self._read_resource, table, name)}
        return {}

    def _read_handler(self, body_of: Callable[[CoreView], bytes]) -> Handler:
        def handler(request: ApiRequest, _now: float) -> list[ApiEffect]:
            _check_query(request.query, ())
            return [json_response(request.token, 200, body_of(self._view))]

        return handler

    def _check_current(self) -> None:
        """Raise `UnavailableError` if this core may not know of an acknowledged change."""
        if not self._view.may_show_state():
            raise UnavailableError(
                "this core cannot determine whether its state is the newest",
                "ask another core, or retry when this core reaches a majority of the cores",
            )

    def _read_intent(self, request: ApiRequest, _now: float) -> list[ApiEffect]:
        _check_query(request.query, ())
        self._check_current()
        body = self._intent_bodies.body_of(self._view.intent_rows())
        return [json_response(request.token, 200, body)]

    def _list_resources(self, table: str, request: ApiRequest, now: float) -> list[ApiEffect]:
        _check_query(request.query, ("after", "limit"))
        self._check_current()
        after, limit = read_page(request.query.get("after", ""), request.query.get("limit", ""))
        body = resource_list(self._view, self._snapshot(now), table, after, limit)
        return [json_response(request.token, 200, body)]

    def _read_resource(
        self, table: str, name: str, request: ApiRequest, now: float
    ) -> list[ApiEffect]:
        _check_query(request.query, ())
        self._check_current()
        body = resource_body(self._view, self._snapshot(now), table, name)
        return [json_response(request.token, 200, body)]

    def _watch(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        _check_query(request.query, ("after", "timeout_s"))
        self._check_current()
        watch = read_watch(request.token, request.query, now)
        return list(self._watches.start(watch, self._view.intent_rows()))

    def _change_intent(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        _check_query(request.query, ())
        proposal = read_proposal(request, self._view.intent_rows().version)
        is_bound = proposal.base_version is not None or request.header(IDEMPOTENCY_KEY_HEADER)
        if request.is_delayed and not is_bound:
            raise UnavailableError(
                "the change may have waited in this process while it did not run",
                "send it again, and name its base version",
            )
        return self._call_core(request.token, proposal, proposal.idempotency_key, now)

    def _replace_replica(self, request: ApiRequest, now: float) -> list[ApiEffect]:
        _check_query(request.query, ())
        return self._call_core(request.token, read_replacement(request), "", now)

    def _call_core(
        self, token: str, message: ProposeChange | ReplaceReplica, idempotency_key: str, now: float
    ) -> list[ApiEffect]:
        if len(self._pending) >= MAX_PENDING_CHANGES:
            raise UnavailableError(
                f"this core already has {MAX_PENDING_CHANGES} pending changes",
                "send the change to another core, or again in a second",
            )
        self._pending[token] = PendingChange(token, idempotency_key, now + CHANGE_TIMEOUT_S)
        return [CallCore(token, message)]


def _path_segments(path: str) -> list[str]:
    """Return the decoded segments of a path; an empty list if it does not start with `/`."""
    parts = path.split("/")
    if parts[0] != "":
        return []
    return [urllib.parse.unquote(part) for part in parts[1:]]


def _check_query(query: Mapping[str, str], known: tuple[str, ...]) -> None:
    for name in query:
        if name not in known:
            remedy = f"known parameters are {', '.join(known)}" if known else "remove it"
            raise InvalidInputError(f"unknown query parameter {name[:80]!r}", remedy)


def _with_allow_header(response: ApiResponse, error: ZincvaleError) -> ApiResponse:
    """Return `response`; a 405 gets the header `Allow` (RFC 9110, section 15.5.6)."""
    if not isinstance(error, MethodNotAllowedError):
        return response
    headers = {**response.headers, "Allow": ", ".join(error.allowed)}
    return attrs.evolve(response, headers=headers)
