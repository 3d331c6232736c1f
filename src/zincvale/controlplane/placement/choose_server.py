"""Chooses the server for a load."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.controlplane.placement.eviction import (
    NO_EVICTION,
    Eviction,
    RequiredSpace,
    find_eviction,
)
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.replica_value import expected_rate
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import ServerId, ZoneName

MAX_DISK_TIME_FRACTION = 0.7
"""Longest load time from disk, as a fraction of the time from the store, that limits the choice of
a server to those with the weights on disk."""
NO_SERVER = ServerId("")
"""Identifier that no server has, for addresses without a server."""
EVICTION_SAMPLE_SIZE = 12
"""Maximum number of servers for which evictions are computed for one load.

More servers make each run take longer; fewer miss cheap evictions."""
SHORTLIST_SIZE = 8
"""Maximum number of fitting servers that are compared by all criteria.

The comparison sums the request rates of all replicas of each server."""
LARGEST_FREE_SAMPLE_SIZE = 16
"""Number of servers with the most free memory that are always candidates in a large pool.

With fewer, more loads need evictions."""


class AllServersBusyError(Exception):
    """Every server that could take the load has reached its limit of planned and running loads."""


@attrs.frozen
class Choice:
    """The server for a load, and the eviction that the load needs there."""

    server: ServerState
    eviction: Eviction


def choose_server(
    placement: PlacementState, space: RequiredSpace, now: float, *, spread_first: bool
) -> Choice | None:
    """Return the best server for one more replica of an item, or None if no server can hold it.

    Servers that need no eviction come first. Among them, the order is by fewest replicas of the
    item in the zone, fewest planned and running loads, and lowest request rate. With
    `spread_first`, the zone counts more than avoiding an eviction. Raises `AllServersBusyError` if
    some servers could take the load, but none of them soon.
    """
    candidates = _servers_free_to_load(placement, space.item, now)
    return _best_choice(placement, space, candidates, now, spread_first=spread_first)


def choose_idle_server(
    placement: PlacementState, space: RequiredSpace, now: float
) -> Choice | None:
    """Return the best server among those on which no load is running or planned, or None."""
    candidates = [
        server
        for server in _servers_free_to_load(placement, space.item, now)
        if not _pending_loads(server)
    ]
    return _best_choice(placement, space, candidates, now, spread_first=False)


def choose_by_disk(placement: PlacementState, space: RequiredSpace, now: float) -> Choice | None:
    """Return the best server among those with the item's weights on their own disk.

    Returns None if none of them can take the load, or if a load from disk is not clearly faster
    than one from the store. Raises `AllServersBusyError` if such a server is busy with other loads
    and waiting for it is still faster than loading from the store elsewhere.
    """
    item = space.item
    with_copy = _servers_with_disk_copy(placement, item, now)
    from_store_s = placement.expected_load_s(item)
    if (
        not with_copy
        or placement.expected_load_s(item, with_copy[0]) > from_store_s * MAX_DISK_TIME_FRACTION
    ):
        return None
    free = [
        server
        for server in with_copy
        if _pending_loads(server) < server.load_slots(placement.config, now)
    ]
    choice = _best_choice(placement, space, free, now, spread_first=False)
    if choice is None and any(
        _moves_end_at(placement, server, now) - now + placement.expected_load_s(item, server)
        < from_store_s
        for server in with_copy
        if server not in free
    ):
        raise AllServersBusyError
    return choice


def _servers_with_disk_copy(
    placement: PlacementState, item: ItemRow, now: float
) -> list[ServerState]:
    servers = []
    for address in placement.disk_copies.addresses(item.key):
        server = placement.servers.get(placement.server_index.by_address.get(address, NO_SERVER))
        if (
            server is None
            or server.pool != item.pool
            or not _is_eligible(placement, item, server, now)
        ):
            continue
        servers.append(server)
    return servers


def _moves_end_at(placement: PlacementState, server: ServerState, now: float) -> float:
    """Return the expected end of the last unfinished move of the server."""
    moves = (
        placement.calendar.moves[move]
        for move in placement.calendar.by_server.get(server.server, ())
    )
    return max((move.expected_end for move in moves), default=now)


def _best_choice(
    placement: PlacementState,
    space: RequiredSpace,
    candidates: list[ServerState],
    now: float,
    *,
    spread_first: bool,
) -> Choice | None:
    item = space.item
    zones = _replicas_by_zone(placement, item)
    fitting = [server for server in candidates if space.fits(placement, server)]
    if fitting and not spread_first:
        return Choice(_most_preferred(placement, fitting, zones, now), NO_EVICTION)
    best: tuple[tuple[float, ...], Choice] | None = None
    for server in _sample(placement, candidates, EVICTION_SAMPLE_SIZE):
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


def _servers_free_to_load(
    placement: PlacementState, item: ItemRow, now: float
) -> list[ServerState]:
    """Return the servers that can take the load and start it soon.

    Servers at their load limit are left out, so that a load does not queue at one server while
    another is free. The limit does not apply to adapters: they need a server that holds their base
    model, and their loads are short.
    """
    eligible = [
        server
        for server in _candidates(placement, item)
        if _is_eligible(placement, item, server, now)
    ]
    if item.kind is ItemKind.ADAPTER:
        return eligible
    free = [
        server
        for server in eligible
        if _pending_loads(server) < server.load_slots(placement.config, now)
    ]
    if eligible and not free:
        raise AllServersBusyError
    return free


def _pending_loads(server: ServerState) -> int:
    return server.loads_in_flight + server.planned_models


def _most_preferred(
    placement: PlacementState, servers: list[ServerState], zones: dict[ZoneName, int], now: float
) -> ServerState:
    if len(servers) > SHORTLIST_SIZE:
        servers = sorted(servers, key=lambda server: _rough_preference(placement, server, zones))
    return min(
        servers[:SHORTLIST_SIZE], key=lambda server: _preference(placement, server, zones, now)
    )


def _rough_preference(
    placement: PlacementState, server: ServerState, zones: dict[ZoneName, int]
) -> tuple[float, ...]:
    return (
        float(zones.get(server.zone, 0)),
        float(_pending_loads(server)),
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
    """Return the request rate of the server's models, each divided by its number of replicas."""
    total = 0.0
    for key in server.replicas:
        item = placement.items.get(key)
        if item is not None and item.kind is ItemKind.MODEL:
            total += expected_rate(placement, item, now) / max(len(item.holders), 1)
    return total


def _candidates(placement: PlacementState, item: ItemRow) -> Iterable[ServerState]:
    if item.base is not None:
        return _servers_with_base(placement, item)
    pool = placement.server_index.by_pool.get(item.pool, {})
    if len(pool) <= placement.config.candidate_sample:
        return [placement.servers[server] for server in pool]
    return _sampled_pool(placement, item)


def _servers_with_base(placement: PlacementState, adapter: ItemRow) -> list[ServerState]:
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
    """Return the servers of a pool with the most free memory, and a random sample of the others."""
    by_free_memory = placement.free_memory.of_pool(item.pool, placement.servers, placement.config)
    count = len(by_free_memory)
    chosen: dict[ServerId, None] = {}
    for _, server_id in by_free_memory[-LARGEST_FREE_SAMPLE_SIZE:]:
        chosen[server_id] = None
    for _ in range(placement.config.candidate_sample):
        chosen[by_free_memory[placement.random.randrange(count)][1]] = None
    return [placement.servers[server] for server in chosen]


def _sample(placement: PlacementState, servers: list[ServerState], limit: int) -> list[ServerState]:
    if len(servers) <= limit:
        return servers
    return placement.random.sample(servers, limit)


def _is_eligible(placement: PlacementState, item: ItemRow, server: ServerState, now: float) -> bool:
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return False
    if server.server in item.planned or item.key in server.replicas:
        return False
    blocked_until = server.load_blocked_until.get(item.key)
    if blocked_until is not None:
        if now < blocked_until:
            return False
        del server.load_blocked_until[item.key]
    return server.memory_bytes > 0


def _replicas_by_zone(placement: PlacementState, item: ItemRow) -> dict[ZoneName, int]:
    zones: dict[ZoneName, int] = {}
    for server_id in (*item.holders, *item.planned):
        server = placement.servers[server_id]
        if server.is_serving:
            zones[server.zone] = zones.get(server.zone, 0) + 1
    return zones
