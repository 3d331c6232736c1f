"""Chooses the replicas to evict from a server to make room: those with the least value per byte.

`victim_groups` tells which replicas may be evicted, and together with which others. Whether the
load is worth the eviction is decided afterwards by `load_candidates.is_worth_loading`. Costs here
are based on `replica_value.replica_value`. For loads that requests wait for, `is_worth_loading`
uses another measure, `replica_value.expected_waits`.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, is_adapter_key
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.victim_groups import (
    EvictableReplicas,
    VictimGroup,
    victim_groups,
)


@attrs.frozen
class Eviction:
    """The replicas to evict from a server, and the sum of their groups' costs."""

    keys: tuple[ItemKey, ...]
    cost: float


NO_EVICTION = Eviction((), 0.0)
"""The load fits without an eviction."""


@attrs.frozen
class RequiredSpace:
    """The room that a load needs on a server.

    Attributes
    ----------
    needed_bytes : the size of the item and of the adapters that should fit beside it.
    may_evict : which only replicas may be evicted.
    """

    item: ItemRow
    needed_bytes: int
    may_evict: EvictableReplicas = EvictableReplicas.IDLE

    def fits(self, placement: PlacementState, server: ServerState) -> bool:
        """Whether the server has the room without an eviction."""
        return self.missing_bytes(placement, server) <= 0 and not self.missing_adapter_slots(server)

    def missing_bytes(self, placement: PlacementState, server: ServerState) -> int:
        """Return the bytes to free on the server, 0 or less if there is enough room."""
        free = server.free_planned_bytes(placement.config, self.item.kv_bytes)
        return self.needed_bytes - free

    def missing_adapter_slots(self, server: ServerState) -> int:
        """Return how many adapters must be evicted from the server, 0 if there is a free slot."""
        return server.missing_adapter_slots() if self.item.kind is ItemKind.ADAPTER else 0


def find_eviction(
    placement: PlacementState, server: ServerState, space: RequiredSpace, now: float
) -> Eviction | None:
    """Return a cheap eviction that makes the required room on `server`, or None if none does."""
    deficit = _Deficit(space.missing_bytes(placement, server), space.missing_adapter_slots(server))
    if deficit.is_met(server, []):
        return NO_EVICTION
    groups = victim_groups(placement, server, space.item.base, space.may_evict, now)
    if deficit.missing_bytes <= 0:
        groups = [
            group for group in groups if len(group.keys) == 1 and is_adapter_key(group.keys[0])
        ]
    groups.sort(key=lambda group: group.cost / max(group.item_bytes, 1))
    chosen: list[VictimGroup] = []
    for group in groups:
        chosen.append(group)
        if deficit.is_met(server, chosen):
            return _without_redundant_groups(server, chosen, deficit)
    return None


@attrs.frozen
class _Deficit:
    """The memory and adapter slots that must be freed on a server."""

    missing_bytes: int
    missing_adapter_slots: int

    def is_met(self, server: ServerState, groups: list[VictimGroup]) -> bool:
        """Whether evicting the groups frees enough; an adapter in two groups counts once."""
        keys = {key for group in groups for key in group.keys}
        freed_slots = sum(1 for key in keys if is_adapter_key(key))
        return (
            server.freed_bytes(keys) >= self.missing_bytes
            and freed_slots >= self.missing_adapter_slots
        )


def _without_redundant_groups(
    server: ServerState, chosen: list[VictimGroup], deficit: _Deficit
) -> Eviction:
    """Drop the groups that are not needed to meet the deficit, the most expensive first."""
    needed = chosen
    for group in sorted(chosen, key=lambda group: -group.cost):
        others = [other for other in needed if other is not group]
        if deficit.is_met(server, others):
            needed = others
    # Adapters come first, so that they are unloaded before their model.
    needed = sorted(needed, key=lambda group: len(group.keys))
    keys = tuple(dict.fromkeys(key for group in needed for key in group.keys))
    return Eviction(keys, sum(group.cost for group in needed))
