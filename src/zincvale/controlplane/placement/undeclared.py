"""Replicas of models and adapters that no resource declares."""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import ServerId


@attrs.define(eq=False)
class UndeclaredReplicas:
    """Replicas to unload once their grace has ended.

    `apply_status` and `apply_intent` add, a declaration or the replica's end removes, and
    `plan_unloads` takes those that are due.

    Attributes
    ----------
    found_at : by item and server, when the replica was found undeclared.
    due : (end of grace, server, item), earliest first; entries of removed replicas are skipped.
    """

    found_at: dict[ItemKey, dict[ServerId, float]] = attrs.field(factory=dict)
    due: deque[tuple[float, ServerId, ItemKey]] = attrs.field(factory=deque)

    def add(self, key: ItemKey, server_id: ServerId, grace_s: float, now: float) -> None:
        """Start the grace of a replica that no resource declares."""
        self.found_at.setdefault(key, {})[server_id] = now
        self.due.append((now + grace_s, server_id, key))

    def remove(self, key: ItemKey, server_id: ServerId) -> None:
        """Take off a replica that ended."""
        found_at = self.found_at.get(key)
        if found_at is None:
            return
        found_at.pop(server_id, None)
        if not found_at:
            del self.found_at[key]

    def pop_declared(self, key: ItemKey) -> dict[ServerId, float]:
        """Take off every replica of an item that is declared now; return them by server."""
        return self.found_at.pop(key, {})
