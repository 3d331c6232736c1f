"""Changes of the value of a key: the results of reducers and the views for readers.

The value of a key is a table of rows (`dict[str, bytes]`) with one version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from returns.result import Result

Rows = dict[str, bytes]


@attrs.frozen
class RowChange:
    """Sets row `row` to `value`, or deletes the row if `value` is None."""

    row: str
    value: bytes | None


@attrs.frozen
class ChangeRefused:
    """Reason why a change cannot be applied, and what the caller can do; the value is unchanged.

    `is_conflict` is true if another change was applied first to the version that this one is based
    on.
    """

    problem: str
    remedy: str
    is_conflict: bool = False


Reducer = Callable[[Rows, bytes], Result[list[RowChange], ChangeRefused]]
"""Computes the row changes that a change makes to the current rows. It must be deterministic,
because a new owner evaluates resent changes again."""


@attrs.frozen
class KeyView:
    """The newest value of a key that this process knows to be chosen."""

    version: int = 0
    rows: Rows = attrs.field(factory=dict)


@attrs.frozen
class TopicView:
    """An ephemeral topic as last published; `epoch` is the fencing epoch of its publisher."""

    epoch: int = 0
    version: int = 0
    rows: Rows = attrs.field(factory=dict)


@attrs.frozen
class LeadershipState:
    """Whether this process holds a role, its fencing epoch and the time until which it may act."""

    is_leader: bool = False
    epoch: int = 0
    acts_until: float = float("-inf")


@attrs.define
class ChangeNotifications:
    """Keys, topics and roles that changed since the last `take`, and whether members changed."""

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
    """Return a copy of `rows` with the changes applied."""
    result = dict(rows)
    for change in changes:
        if change.value is None:
            result.pop(change.row, None)
        else:
            result[change.row] = change.value
    return result
