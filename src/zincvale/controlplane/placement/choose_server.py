"""Choice of the server for one load."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.controlplane.placement.eviction import NO_EVICTION, Eviction, Space, find_eviction
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.replica_value import expected_rate
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import ServerId, ZoneName

DISK_CHOICE_FACTOR = 0.7
"""Part of the time from the store below which a server's own disk is worth being bound to it."""
NO_SERVER = ServerId("")
"""Found in no table."""
EVICTION_SAMPLE = 12
"""Servers for which an eviction is computed; more cost time in each run, fewer miss cheap
victims."""
SHORTLIST = 8
"""Servers compared in full among those that fit; more cost a sum over their replicas each."""
LARGEST_FREE_SAMPLE = 16
"""Servers with most free memory that are always candidates in a large pool; fewer cause
evictions."""


class AllServersBusyError(Exception):
    """Every server that may take the load has as many planned or running as it can start soon."""


@attrs.frozen
class Choice:
    """Where a load goes and what leaves for it."""

    server: ServerState
    eviction: Eviction


def choose_server(
    placement: PlacementState, space: Space, now: float, *, spread_first: bool
) -> Choice | None:
    """Return the best server for one more replica of an item, or None when none can hold it.

    Servers with room come first, and among them other zones than those of present replicas, servers
    that are not loading, and those whose models are asked for least. With `spread_first` another
    zone comes before room. Raises `AllServersBusyError` when servers could take it, but not soon.
    """
    candidates = _free_to_load(placement, space.item, now)
    return _best(placement, space, candidates, now, spread_first=spread_first)


def choose_by_disk(placement: PlacementState, space: Space, now: float) -> Choice | None:
    """Return the best of the servers that hold the item's weights on their own disk, if any can.

    None when a load from there is not clearly sooner than one from the store. Raises
    `AllServersBusyError` when such a server is loading, and waiting for its end is still sooner.
    """
    item = space.item
    known = _on_disk(placement, item, now)
    from_store_s = placement.expected_load_s(item)
    if not known or placement.expected_load_s(item, known[0]) > from_store_s * DISK_CHOICE_FACTOR:
        return None
    free = [
        server for server in known if _pending(server) < server.load_slots(placement.config, now)
    ]
    choice = _best(placement, space, free, now, spread_first=False)
    if choice is None and any(
        _moves_end_at(placement, server, now) - now + placement.expected_load_s(item, server)
        < from_store_s
        for server in known
        if server not in free
    ):
        raise AllServersBusyError
    return choice


def _on_disk(placement: PlacementState, item: ItemRow, now: float) -> list[ServerState]:
    servers = []
    for address in placement.disk_copies.addresses(item.key):
        server = placement.servers.get(placement.server_index.by_address.get(address, NO_SERVER))
        if (
            server is None
            or server.pool != item.pool
            or not _may_take(placement, item, server, now)
        ):
            continue
        servers.append(server)
    return servers


def _moves_end_at(placement: PlacementState, server: ServerState, now: float) -> float:
    """Return when the last planned or running move of the server is expected to end."""
    moves = (
        placement.calendar.moves[move]
        for move in placement.calendar.by_server.get(server.server, ())
    )
    return max((move.expected_end for move in moves), default=now)


def _best(
    placement: PlacementState,
    space: Space,
    candidates: list[ServerState],
    now: float,
    *,
    spread_first: bool,
) -> Choice | None:
    item = space.item
    zones = _zones_of_replicas(placement, item)
    fitting = [server for server in candidates if space.fits(placement, server)]
    if fitting and not spread_first:
        return Choice(_least(placement, fitting, zones, now), NO_EVICTION)
    best: tuple[tuple[float, ...], Choice] | None = None
    for server in _sample(placement, candidates, EVICTION_SAMPLE):
        eviction = find_eviction(placement, server, space, now)
        if eviction is None:
            continue
        score = (
            float(zones.get(server.zone, 0)) if spread_first else 0.0,
            eviction.cost,
            *_preference(placement, server, zones, now),
        )
        if best is None or score < best[0]:
            best = (score, Choice(server, eviction))
    return best[1] if best is not None else None


def _free_to_load(placement: PlacementState, item: ItemRow, now: float) -> list[ServerState]:
    """Return the servers that may take the load, and soon.

    A load is bound to a server late, so that it does not queue at one while another is free.
    Adapters go where their base is, and are short.
    """
    able = [
        server for server in _candidates(placement, item) if _may_take(placement, item, server, now)
    ]
    if item.kind is ItemKind.ADAPTER:
        return able
    free = [
        server for server in able if _pending(server) < server.load_slots(placement.config, now)
    ]
    if able and not free:
        raise AllServersBusyError
    return free


def _pending(server: ServerState) -> int:
    return server.loads_in_flight + server.planned_models


def _least(
    placement: PlacementState, servers: list[ServerState], zones: dict[ZoneName, int], now: float
) -> ServerState:
    if len(servers) > SHORTLIST:
        servers = sorted(servers, key=lambda server: _rough_preference(placement, server, zones))
    return min(servers[:SHORTLIST], key=lambda server: _preference(placement, server, zones, now))


def _rough_preference(
    placement: PlacementState, server: ServerState, zones: dict[ZoneName, int]
) -> tuple[float, ...]:
    return (
        float(zones.get(server.zone, 0)),
        float(_pending(server)),
        placement.random.random(),
    )


def _preference(
    placement: PlacementState, server: ServerState, zones: dict[ZoneName, int], now: float
) -> tuple[float, ...]:
    zone_replicas, busy, tie = _rough_preference(placement, server, zones)
    request_rate = _request_rate(placement, server, now)
    free_bytes = float(server.free_planned_bytes(placement.config, 0))
    return (zone_replicas, busy, request_rate, -free_bytes, tie)


def _request_rate(placement: PlacementState, server: ServerState, now: float) -> float:
    """Return the request rate of the server's models, shared among their replicas."""
    total = 0.0
    for key in server.replicas:
        item = placement.items.get(key)
        if item is not None and item.kind is ItemKind.MODEL:
            total += expected_rate(placement, item, now) / max(len(item.holders), 1)
    return total


def _candidates(placement: PlacementState, item: ItemRow) -> Iterable[ServerState]:
    if item.base is not None:
        return _candidates_beside(placement, item)
    pool = placement.server_index.by_pool.get(item.pool, {})
    if len(pool) <= placement.config.candidate_sample:
        return [placement.servers[server] for server in pool]
    return _sampled_pool(placement, item)


def _candidates_beside(placement: PlacementState, adapter: ItemRow) -> list[ServerState]:
    base = placement.items.get(adapter.base) if adapter.base is not None else None
    if base is None:
        return []
    servers = []
    for server_id in base.holders:
        server = placement.servers[server_id]
        replica = server.replicas[base.key]
        if replica.state is not ReplicaState.UNLOADING and not replica.draining:
            servers.append(server)
    return _sample(placement, servers, placement.config.candidate_sample)


def _sampled_pool(placement: PlacementState, item: ItemRow) -> list[ServerState]:
    """Return the servers with most free memory and some at random."""
    by_free = placement.free_memory.of_pool(item.pool, placement.servers, placement.config)
    count = len(by_free)
    chosen: dict[ServerId, None] = {}
    for _, server_id in by_free[-LARGEST_FREE_SAMPLE:]:
        chosen[server_id] = None
    for _ in range(placement.config.candidate_sample):
        chosen[by_free[placement.random.randrange(count)][1]] = None
    return [placement.servers[server] for server in chosen]


def _sample(placement: PlacementState, servers: list[ServerState], limit: int) -> list[ServerState]:
    if len(servers) <= limit:
        return servers
    return placement.random.sample(servers, limit)


def _may_take(placement: PlacementState, item: ItemRow, server: ServerState, now: float) -> bool:
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return False
    if server.server in item.planned or item.key in server.replicas:
        return False
    barred_until = server.barred_until.get(item.key)
    if barred_until is not None:
        if now < barred_until:
            return False
        del server.barred_until[item.key]
    return server.memory_bytes > 0


def _zones_of_replicas(placement: PlacementState, item: ItemRow) -> dict[ZoneName, int]:
    zones: dict[ZoneName, int] = {}
    for server_id in (*item.holders, *item.planned):
        server = placement.servers[server_id]
        if server.is_serving:
            zones[server.zone] = zones.get(server.zone, 0) + 1
    return zones
