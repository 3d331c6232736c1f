"""Takes servers' own statuses into the tables and completes moves by what they show.

A status is compared only with what was known before it was asked for: what changed since then
(an order that left meanwhile) is newer than the status and stays.
"""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.apply_intent import refresh_service, set_adapter_slots
from zincvale.controlplane.placement.events import DirectoryChanged, StatusReport
from zincvale.controlplane.placement.items import ItemKey, adapter_key, model_key
from zincvale.controlplane.placement.move_completion import (
    adopt_load,
    end_move,
    fail_moves_of,
    linger_loads_of,
)
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import (
    confirm_load,
    contradict,
    mark_running,
    note_answer,
)
from zincvale.controlplane.placement.servers import NEVER, Holding, HoldingState, ServerState
from zincvale.controlplane.placement.state import World
from zincvale.model.identifiers import ServerId
from zincvale.model.resources import PoolKind
from zincvale.model.view import ServerHealth, ServerRow


def take_directory(world: World, event: DirectoryChanged, now: float) -> None:
    """Apply observed rows and departures."""
    for report in event.reports:
        if report.row.kind is PoolKind.LANGUAGE_MODEL:
            _take_report(world, report, now)
    for server_id in event.gone:
        _take_gone(world, server_id, now)


def _take_report(world: World, report: StatusReport, now: float) -> None:
    row = report.row
    server = world.servers.get(row.server)
    if server is None:
        server = _new_server(world, row)
    if row.health is ServerHealth.DOWN:
        _take_down(world, server, now)
        return
    if report.asked_at < server.asked_at:
        return
    server.asked_at = report.asked_at
    if row.incarnation != server.incarnation:
        _take_incarnation(world, server, row, now)
    _take_row(world, server, row)
    _take_holdings(world, server, report, now)
    if report.is_own_word:
        note_answer(world, server, report.asked_at, now)


def _new_server(world: World, row: ServerRow) -> ServerState:
    server = ServerState(row.server, row.address, row.pool, row.zone)
    world.servers[row.server] = server
    world.server_by_address[row.address] = row.server
    world.servers_by_pool.setdefault(row.pool, {})[row.server] = None
    world.servers_by_zone.setdefault(row.zone, {})[row.server] = None
    world.watched[row.server] = None
    world.capacity_appeared = True
    refresh_service(world, server)
    set_adapter_slots(world, server)
    return server


def _take_down(world: World, server: ServerState, now: float) -> None:
    if server.health is ServerHealth.DOWN:
        return
    server.health = ServerHealth.DOWN
    server.down_since = now
    server.first_answer_at = NEVER
    world.recount_server(server)


def _take_incarnation(world: World, server: ServerState, row: ServerRow, now: float) -> None:
    """Forget what an earlier incarnation held: its memory died with it.

    Orders in flight keep their reservations: the new incarnation may have taken them, or may
    still. Its status, compared next, and later ones tell.
    """
    if server.incarnation:
        _cancel_pending(world, server, now)
        for key, holding in list(server.holdings.items()):
            if _move_in_flight(world, holding) is None:
                world.remove_holding(server, key)
        server.first_answer_at = NEVER
        server.listing = None
        server.cold_until = now + world.config.cold_ramp_s
        world.log(log_events.SERVER_RETURNED_COLD, server=server.server, zone=server.zone)
    elif row.health is ServerHealth.COLD:
        server.cold_until = now + world.config.cold_ramp_s
    server.incarnation = row.incarnation


def _cancel_pending(world: World, server: ServerState, now: float) -> None:
    for move_id in list(world.moves_by_server.get(server.server, ())):
        move = world.moves.get(move_id)
        if move is not None and move.kind is not MoveKind.DRAIN and not move.in_flight:
            end_move(world, move, MoveState.CANCELLED, "the server restarted", now)


def _take_row(world: World, server: ServerState, row: ServerRow) -> None:
    server.running = row.running
    if row.closing and not _marked_closing(server):
        # Left over from an earlier leader.
        world.changed_closing[server.server] = None
    server.max_running = row.max_running
    if row.address != server.address:
        _forget_address(world, server)
        server.address = row.address
        world.server_by_address[row.address] = row.server
    if (row.pool, row.zone) != (server.pool, server.zone):
        _move_server(world, server, row)
    if row.memory_bytes != server.memory_bytes:
        server.memory_bytes = row.memory_bytes
        world.index_free(server)
    if row.health is not server.health:
        server.health = row.health
        world.capacity_appeared = True
        world.recount_server(server)


def _marked_closing(server: ServerState) -> bool:
    return any(holding.closing for holding in server.holdings.values())


def _move_server(world: World, server: ServerState, row: ServerRow) -> None:
    world.unindex_free(server)
    world.servers_by_pool[server.pool].pop(server.server, None)
    world.servers_by_zone[server.zone].pop(server.server, None)
    server.pool = row.pool
    server.zone = row.zone
    world.servers_by_pool.setdefault(row.pool, {})[row.server] = None
    world.servers_by_zone.setdefault(row.zone, {})[row.server] = None
    world.index_free(server)
    refresh_service(world, server)


def _take_holdings(world: World, server: ServerState, report: StatusReport, now: float) -> None:
    row = report.row
    listing = (row.models, row.adapters, row.loading, report.unloading)
    if listing != server.listing or world.moves_by_server.get(server.server):
        server.listing = listing
        _compare_holdings(world, server, report, now)
    unexplained = max(row.used_bytes - server.listed_bytes, 0)
    if unexplained != server.unexplained_bytes:
        server.unexplained_bytes = unexplained
        world.index_free(server)


def _compare_holdings(world: World, server: ServerState, report: StatusReport, now: float) -> None:
    shown = _shown_states(world, report)
    for key, state in shown.items():
        holding = server.holdings.get(key)
        if holding is None:
            _found(world, server, key, state, now)
        else:
            _confirm(world, server, key, holding, state, report.asked_at, now)
    if len(server.holdings) > len(shown):
        for key in [key for key in server.holdings if key not in shown]:
            _missing(world, server, key, report.asked_at, now)
    held = [server.holdings[key] for key in shown if key in server.holdings]
    server.listed_bytes = sum(holding.item_bytes for holding in held)


def _shown_states(world: World, report: StatusReport) -> dict[ItemKey, HoldingState]:
    row = report.row
    shown: dict[ItemKey, HoldingState] = {}
    for model in sorted(row.models):
        shown[model_key(model)] = HoldingState.LOADED
    for adapter in sorted(row.adapters):
        shown[adapter_key(adapter)] = HoldingState.LOADED
    for names, state in (
        (row.loading, HoldingState.LOADING),
        (report.unloading, HoldingState.UNLOADING),
    ):
        for name in sorted(names):
            key = _key_of(world, name)
            if key is not None:
                shown[key] = state
    return shown


def _key_of(world: World, name: str) -> ItemKey | None:
    for key in (model_key(name), adapter_key(name)):
        if key in world.items:
            return key
    return None


def _found(
    world: World, server: ServerState, key: ItemKey, state: HoldingState, now: float
) -> None:
    """Count a copy that the tables did not have."""
    item = world.items.get(key)
    if item is None:
        world.note_undeclared(key, server.server, now)
        world.add_holding(server, key, Holding(state, 0, 0, now))
        return
    holding = Holding(state, item.weight_bytes, item.kv_bytes, now)
    world.add_holding(server, key, holding)
    if state is HoldingState.LOADING:
        adopt_load(world, server, item, holding, now)


def _confirm(
    world: World,
    server: ServerState,
    key: ItemKey,
    holding: Holding,
    state: HoldingState,
    asked_at: float,
    now: float,
) -> None:
    """Handle a copy that the tables have and the status shows."""
    move = _move_in_flight(world, holding)
    if move is None:
        _take_state(world, server, key, holding, state, now)
        return
    if asked_at < move.start_at:
        return
    if move.kind is MoveKind.LOAD:
        confirm_load(world, move, holding, state, now)
        return
    if state is HoldingState.UNLOADING:
        mark_running(world, move, now)
    else:
        contradict(world, move, holding, asked_at, now)


def _take_state(
    world: World,
    server: ServerState,
    key: ItemKey,
    holding: Holding,
    state: HoldingState,
    now: float,
) -> None:
    """Follow a state that no order of this process explains."""
    if state is holding.state:
        return
    world.set_state(server, key, holding, state)
    holding.since = now
    world.queue_review(key)
    item = world.items.get(key)
    if state is HoldingState.LOADING and item is not None:
        adopt_load(world, server, item, holding, now)


def _missing(world: World, server: ServerState, key: ItemKey, asked_at: float, now: float) -> None:
    """Handle a copy that the tables have and the status does not show."""
    holding = server.holdings[key]
    move = _move_in_flight(world, holding)
    if move is None:
        if world.config.confirms_orders and NEVER < asked_at < holding.since:
            # The end of the load was learned another way, after the status was taken.
            return
        pending = world.moves.get(holding.move) if holding.move is not None else None
        if pending is not None:
            end_move(world, pending, MoveState.CANCELLED, "the server no longer holds it", now)
        world.remove_holding(server, key)
        return
    if asked_at < move.start_at:
        return
    if move.kind is MoveKind.UNLOAD:
        end_move(world, move, MoveState.DONE, "observed", now)
        return
    contradict(world, move, holding, asked_at, now)


def _move_in_flight(world: World, holding: Holding) -> Move | None:
    if holding.move is None:
        return None
    move = world.moves.get(holding.move)
    if move is None or not move.in_flight:
        return None
    return move


def _take_gone(world: World, server_id: ServerId, now: float) -> None:
    server = world.servers.get(server_id)
    if server is None:
        return
    linger_loads_of(world, server, now)
    fail_moves_of(world, server, "the server left the directory", now)
    for key in list(server.holdings):
        world.remove_holding(server, key)
    world.unindex_free(server)
    _forget_address(world, server)
    world.servers_by_pool[server.pool].pop(server_id, None)
    world.servers_by_zone[server.zone].pop(server_id, None)
    world.moves_by_server.pop(server_id, None)
    world.watched.pop(server_id, None)
    world.draining.pop(server_id, None)
    del world.servers[server_id]
    world.log(log_events.SERVER_GONE, server=server_id, zone=server.zone)


def _forget_address(world: World, server: ServerState) -> None:
    if world.server_by_address.get(server.address) == server.server:
        del world.server_by_address[server.address]
