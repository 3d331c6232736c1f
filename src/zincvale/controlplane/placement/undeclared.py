"""Replicas of models and adapters that no resource declares."""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import ServerId


@attrs.define(eq=False)
class UndeclaredReplicas:
    """Replicas to unload after their grace period.

    `apply_status` and `apply_intent` add replicas. A declaration, or the removal of the replica,
    removes them. `plan_unloads` handles those that are due.

    Attributes
    ----------
    found_at : by item and server, when the replica was found undeclared.
    due : (end of the grace period, server, item), earliest first; entries of removed replicas are
        skipped.
    """

    found_at: dict[ItemKey, dict[ServerId, float]] = attrs.field(factory=dict)
    due: deque[tuple[float, ServerId, ItemKey]] = attrs.field(factory=deque)

    def add(self, key: ItemKey, server_id: ServerId, grace_s: float, now: float) -> None:
        """Start the grace period of a replica that no resource declares."""
        self.found_at.setdefault(key, {})[server_id] = now
        self.due.append((now + grace_s, server_id, key))

    def remove(self, key: ItemKey, server_id: ServerId) -> None:
        """Remove a replica that no longer exists."""
        found_at = self.found_at.get(key)
        if found_at is None:
            return
        found_at.pop(server_id, None)
        if not found_at:
            del self.found_at[key]

    def pop_declared(self, key: ItemKey) -> dict[ServerId, float]:
        """Remove and return the replicas, by server, of an item that is declared now."""
        return self.found_at.pop(key, {})
