"""Changes of a key's value: what reducers return, and the views that readers get.

The value of a key is a table of rows `dict[str, bytes]` with one version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from returns.result import Result

Rows = dict[str, bytes]


@attrs.frozen
class RowChange:
    """Put `value` into row `row`, or delete the row when `value` is None."""

    row: str
    value: bytes | None


@attrs.frozen
class ChangeRefused:
    """Why a change cannot be applied; nothing was changed.

    `is_conflict` is true when another change won on the version that this one was built on.
    """

    problem: str
    remedy: str
    is_conflict: bool = False


Reducer = Callable[[Rows, bytes], Result[list[RowChange], ChangeRefused]]
"""Turns a change into row changes against the current rows. It must be deterministic: a new owner
evaluates resent changes again."""


@attrs.frozen
class KeyView:
    """The newest chosen value of a key that this process knows."""

    version: int = 0
    rows: Rows = attrs.field(factory=dict)


@attrs.frozen
class TopicView:
    """An ephemeral topic as last published, by the leader of `epoch`."""

    epoch: int = 0
    version: int = 0
    rows: Rows = attrs.field(factory=dict)


@attrs.frozen
class LeadershipState:
    """Whether this process holds a role, its fencing epoch and until when it may act."""

    is_leader: bool = False
    epoch: int = 0
    acts_until: float = float("-inf")


@attrs.define
class ChangeNotifications:
    """What changed since the reader last took its notifications."""

    keys: set[str] = attrs.field(factory=set)
    topics: set[str] = attrs.field(factory=set)
    roles: set[str] = attrs.field(factory=set)
    members: bool = False

    def take(self) -> ChangeNotifications:
        """Return the notifications and clear them."""
        taken = ChangeNotifications(self.keys, self.topics, self.roles, self.members)
        self.keys, self.topics, self.roles, self.members = set(), set(), set(), False
        return taken


def apply_changes(rows: Rows, changes: Iterable[RowChange]) -> Rows:
    """Return `rows` with the changes; the argument is not modified."""
    result = dict(rows)
    for change in changes:
        if change.value is None:
            result.pop(change.row, None)
        else:
            result[change.row] = change.value
    return result
