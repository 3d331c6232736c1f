"""Long polls of `GET /v1/watch` that wait for a newer intent.

News is the whole intent, `{"version", "resources"}`; a poll whose time is over gets the version
alone.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from zincvale.controlplane.api.messages import ApiResponse, json_response
from zincvale.controlplane.api.reads import IntentResponse
from zincvale.coordination.changes import KeyView
from zincvale.model.errors import InvalidInputError, UnavailableError

DEFAULT_WATCH_S = 30.0
MAX_WATCH_S = 300.0
MAX_HELD_POLLS = 1_000


@attrs.frozen
class WatchRequest:
    """A poll for an intent newer than `after`, held until `deadline` at most."""

    token: str
    after: int
    deadline: float


def read_watch(token: str, query: Mapping[str, str], now: float) -> WatchRequest:
    """Return the checked parameters of a poll; raises `InvalidInputError`."""
    after = query.get("after", "0")
    if not after.isascii() or not after.isdigit() or len(after) > 18:
        raise InvalidInputError(
            f"after is {after[:40]!r}, not a version", "write the version you hold"
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
            f"timeout_s is {text[:40]!r}", f"write 0 to {MAX_WATCH_S:g} seconds"
        )
    return timeout_s


class PendingWatches:
    """Polls in wait; completed by a newer intent or by their deadline."""

    def __init__(self, intent_body: IntentResponse) -> None:
        self._polls: dict[str, WatchRequest] = {}
        self._intent_body = intent_body

    def start(self, poll: WatchRequest, rows: KeyView) -> list[ApiResponse]:
        """Answer a poll at once when there is something newer, else hold it."""
        if rows.version > poll.after:
            return [self._news(poll, rows)]
        if len(self._polls) >= MAX_HELD_POLLS:
            raise UnavailableError(
                f"this core holds {MAX_HELD_POLLS} watches already", "watch at another core"
            )
        self._polls[poll.token] = poll
        return []

    def release(self, rows: KeyView, now: float) -> list[ApiResponse]:
        """Answer every poll that `rows` is news for, or whose time is over."""
        answers = []
        for poll in list(self._polls.values()):
            if rows.version > poll.after:
                answers.append(self._news(poll, rows))
            elif now >= poll.deadline:
                answers.append(json_response(poll.token, 200, {"version": rows.version}))
        for answer in answers:
            del self._polls[answer.token]
        return answers

    def abandon(self, token: str) -> None:
        """Forget a poll whose client went away."""
        self._polls.pop(token, None)

    def _news(self, poll: WatchRequest, rows: KeyView) -> ApiResponse:
        return json_response(poll.token, 200, self._intent_body.of(rows))
