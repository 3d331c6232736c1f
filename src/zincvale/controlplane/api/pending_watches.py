"""Long polls of `GET /v1/watch` that wait for a newer intent.

The response is the complete intent, `{"version", "resources"}`; a watch that reaches its deadline
first gets only the version.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from zincvale.controlplane.api.messages import ApiResponse, json_response
from zincvale.controlplane.api.reads import IntentBodyCache
from zincvale.coordination.changes import KeyView
from zincvale.model.errors import InvalidInputError, UnavailableError

DEFAULT_WATCH_S = 30.0
"""Timeout of a watch when the client sets none."""
MAX_WATCH_S = 300.0
"""Longest timeout that a client may set."""
MAX_PENDING_WATCHES = 1_000
"""Limit on the pending watches at one core; each holds a connection."""
MAX_VERSION_DIGITS = 18
"""Most digits of a version: every number of that length fits a signed 64-bit integer."""


@attrs.frozen
class WatchRequest:
    """A watch for an intent newer than version `after`, pending until `deadline` at most."""

    token: str
    after: int
    deadline: float


def read_watch(token: str, query: Mapping[str, str], now: float) -> WatchRequest:
    """Return the checked parameters of a watch received at `now`; raises `InvalidInputError`."""
    after = query.get("after", "0")
    if not after.isascii() or not after.isdigit() or len(after) > MAX_VERSION_DIGITS:
        raise InvalidInputError(
            f"after is {after[:40]!r}, not a version", "write the version that you have"
        )
    timeout_s = _read_timeout(query.get("timeout_s", str(DEFAULT_WATCH_S)))
    return WatchRequest(token, int(after), now + timeout_s)


def _read_timeout(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = float("nan")
    if not 0 <= timeout_s <= MAX_WATCH_S:
        raise InvalidInputError(
            f"timeout_s is {text[:40]!r}, not a valid time-out",
            f"write 0 to {MAX_WATCH_S:g} seconds",
        )
    return timeout_s


class PendingWatches:
    """Pending watches; each is completed by a newer intent or by its deadline."""

    def __init__(self, intent_bodies: IntentBodyCache) -> None:
        self._watches: dict[str, WatchRequest] = {}
        self._intent_bodies = intent_bodies

    def start(self, watch: WatchRequest, rows: KeyView) -> list[ApiResponse]:
        """Return the response if `rows` are newer than the watched version, else add the watch.

        Raises `UnavailableError` when too many watches are pending.
        """
        if rows.version > watch.after:
            return [self._intent_response(watch, rows)]
        if len(self._watches) >= MAX_PENDING_WATCHES:
            raise UnavailableError(
                f"this core already has {MAX_PENDING_WATCHES} pending watches",
                "watch at another core",
            )
        self._watches[watch.token] = watch
        return []

    def complete(self, rows: KeyView, now: float) -> list[ApiResponse]:
        """Return the responses to watches older than `rows` and to those past their deadline."""
        responses = []
        for watch in list(self._watches.values()):
            if rows.version > watch.after:
                responses.append(self._intent_response(watch, rows))
            elif now >= watch.deadline:
                responses.append(json_response(watch.token, 200, {"version": rows.version}))
        for response in responses:
            del self._watches[response.token]
        return responses

    def abandon(self, token: str) -> None:
        """Forget a watch whose client disconnected."""
        self._watches.pop(token, None)

    def _intent_response(self, watch: WatchRequest, rows: KeyView) -> ApiResponse:
        return json_response(watch.token, 200, self._intent_bodies.body_of(rows))
