"""System: turns shortages into calendar rows, most urgent first."""

from __future__ import annotations

import enum
import heapq

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.choose_server import AllServersBusyError, Choice
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow
from zincvale.controlplane.placement.load_candidates import find_candidate, is_worth_loading
from zincvale.controlplane.placement.load_moves import LoadTerms, new_load
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import (
    MoveKind,
    MoveReason,
    MoveState,
)
from zincvale.controlplane.placement.plan_unloads import UnloadTerms, plan_unload
from zincvale.controlplane.placement.replica_value import (
    MIN_NEED,
    expected_rate,
)
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.shortages import Shortage, compact, current_item
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.stores import PlannedPulls, StoreState
from zincvale.model.identifiers import MoveId, StoreName

REASONS = tuple(MoveReason)
"""The reason of an urgency."""
MAX_SKIPPED_SHORTAGES = 64
"""Shortages skipped in one run because their store or servers are busy; more cost time in each
run."""
UNPLACED_LOG_INTERVAL_S = 10.0
"""Time between two log lines for one item that finds no server."""


class Planning(enum.Enum):
    """What became of one attempt to plan a load."""

    PLANNED = "planned"
    BUSY = "busy"
    """Looked at again in the next run: the servers are busy for the moment."""
    NOWHERE = "nowhere"


def plan_loads(placement: PlacementState, now: float) -> None:
    """System: plan loads for the shortages of each store, as far as they can soon be ordered.

    A load that is planned early would reserve its server and drain its victims while a more urgent
    one arrives.
    """
    if not placement.leadership.is_leader or not placement.leadership.stores_open:
        return
    planned = _planned_by_store(placement)
    budget = placement.config.plan_budget
    for name, queue in placement.shortages.by_store.items():
        compact(queue, placement.items)
        store = placement.stores.get(name)
        if store is not None:
            pulls = planned.setdefault(name, PlannedPulls())
            budget = _plan_store(placement, _StorePlan(store, queue, pulls), budget, now)


@attrs.frozen
class _StorePlan:
    """A store, what is missing of its items, and the loads planned and not ordered."""

    store: StoreState
    queue: list[Shortage]
    planned: PlannedPulls


def _planned_by_store(placement: PlacementState) -> dict[StoreName, PlannedPulls]:
    planned: dict[StoreName, PlannedPulls] = {}
    for move in placement.calendar.moves.values():
        if move.kind is MoveKind.LOAD and move.state is MoveState.PLANNED:
            pulls = planned.setdefault(move.store, PlannedPulls())
            pulls.add(move.reservation.memory_bytes)
    return planned


def _plan_store(placement: PlacementState, plan: _StorePlan, budget: int, now: float) -> int:
    """Plan loads of one store; return what is left of the run's budget."""
    queue = plan.queue
    later: list[Shortage] = []
    while queue and budget > 0 and len(later) < MAX_SKIPPED_SHORTAGES:
        entry = heapq.heappop(queue)
        item = current_item(placement.items, entry)
        if item is None:
            continue
        if not _still_short(placement, item):
            item.shortage_stamp = 0
            continue
        reason = REASONS[entry.urgency]
        if not _store_has_capacity(placement, plan, item, reason, now):
            later.append(entry)
            continue
        budget -= 1
        result = _plan(placement, item, reason, now)
        if result is Planning.BUSY:
            later.append(entry)
            continue
        item.shortage_stamp = 0
        if result is Planning.PLANNED:
            plan.planned.add(item.weight_bytes)
    for entry in later:
        heapq.heappush(queue, entry)
    return budget


def _store_has_capacity(
    placement: PlacementState, plan: _StorePlan, item: ItemRow, reason: MoveReason, now: float
) -> bool:
    """Whether the store can deliver the item by the time its victims have drained."""
    config, store = placement.config, plan.store
    is_idle = store.occupied_slots(now) + plan.planned.count == 0
    if not is_idle and _gives_way(reason, config):
        # What no request needs yet must not delay what the next request needs.
        return False
    order_at = now + config.drain_notice_s
    return store.may_plan(item.weight_bytes, plan.planned, order_at, now, config)


def _gives_way(reason: MoveReason, config: PlacementConfig) -> bool:
    """Whether a load waits until its store has nothing else to do."""
    if reason is MoveReason.FREE_MEMORY:
        return True
    urgent = (MoveReason.WAITING_REQUESTS, MoveReason.MIN_REPLICAS, MoveReason.MORE_LOAD)
    return config.overload_counts_as_waiting and reason not in urgent


def _still_short(placement: PlacementState, item: ItemRow) -> bool:
    return item.ready + placement.pending_replicas(item) < item.desired


def _plan(placement: PlacementState, item: ItemRow, reason: MoveReason, now: float) -> Planning:
    try:
        choice = find_candidate(placement, item, reason, now)
    except AllServersBusyError:
        return Planning.BUSY
    if choice is None or not is_worth_loading(placement, item, reason, choice, now):
        placement.unplaced.add(item.key)
        _log_unplaced(placement, item, reason, choice, now)
        if reason is not MoveReason.WAITING_REQUESTS:
            item.placement_retry_at = now + placement.config.review_interval_s
        return Planning.NOWHERE
    add_load_moves(placement, item, reason, choice, now)
    if item.kind is ItemKind.MODEL:
        placement.queue_adapters(item)
    if _still_short(placement, item):
        placement.queue_review(item.key)
    return Planning.PLANNED


def _log_unplaced(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice | None, now: float
) -> None:
    """Log why a desired replica finds no server; at most once an interval for each item."""
    if now < item.unplaced_logged_at + UNPLACED_LOG_INTERVAL_S:
        return
    item.unplaced_logged_at = now
    limit = "every server that may take it is full of copies in use, pinned or moving"
    if choice is not None:
        limit = f"what would leave {choice.server.server} is worth more"
    placement.log(
        log_events.NOTHING_FITS,
        name=item.name,
        reason=reason.value,
        waiting=item.waiting,
        limit=limit,
    )


def add_load_moves(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice, now: float
) -> None:
    """Put a load and what leaves for it on the calendar."""
    server = choice.server
    detail = _detail(placement, item, reason, choice, now)
    unloads = _plan_evictions(placement, item, choice, now)
    start_at = _start_at(placement, item, server, unloads, now)
    base_load = _base_load(item, server)
    after = unloads if base_load is None else (*unloads, base_load)
    terms = LoadTerms(MoveState.PLANNED, reason, detail, start_at, after)
    move = new_load(placement, server, item, terms, now)
    for unload_id in unloads:
        placement.calendar.load_by_unload[unload_id] = move.move_id
    server.add_planned_load(item.kind, move.reservation)
    item.planned[server.server] = None
    placement.free_memory.mark_stale(server)
    placement.calendar.put(move)
    placement.log(
        log_events.LOAD_PLANNED,
        move=move.move_id,
        name=item.name,
        server=server.server,
        reason=reason.value,
        detail=detail,
    )


def _plan_evictions(
    placement: PlacementState, item: ItemRow, choice: Choice, now: float
) -> tuple[MoveId, ...]:
    """Drain what leaves; a model's unload comes after those of its adapters."""
    server = choice.server
    planned: dict[ItemKey, MoveId] = {}
    detail = f"makes room for {item.kind.value} {item.name}"
    for key in choice.eviction.keys:
        victim = placement.items[key]
        before = tuple(planned[adapter] for adapter in victim.adapters if adapter in planned)
        terms = UnloadTerms(MoveReason.MAKE_ROOM, detail, before)
        planned[key] = plan_unload(placement, server, key, terms, now)
    return tuple(planned.values())


def _start_at(
    placement: PlacementState,
    item: ItemRow,
    server: ServerState,
    after: tuple[MoveId, ...],
    now: float,
) -> float:
    start_at = placement.stores[item.store].free_at(now, placement.config)
    for move_id in after:
        start_at = max(start_at, placement.calendar.moves[move_id].expected_end)
    base_load = _base_load(item, server)
    if base_load is not None:
        start_at = max(start_at, placement.calendar.moves[base_load].expected_end)
    return start_at


def _base_load(item: ItemRow, server: ServerState) -> MoveId | None:
    """Return the running load of an adapter's base model on the server, if any."""
    if item.base is None:
        return None
    replica = server.replicas.get(item.base)
    if replica is None or replica.state is not ReplicaState.LOADING:
        return None
    return replica.move


def _detail(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice, now: float
) -> str:
    per_minute = expected_rate(placement, item, now) * 60.0
    facts = f"{item.ready} of {item.desired} copies serve, {per_minute:.2f} requests/min expected"
    if reason is MoveReason.WAITING_REQUESTS:
        facts += _reason_missed(item, now)
    if reason is MoveReason.MORE_LOAD:
        facts += f", {item.concurrency:.1f} requests at once"
    if choice.eviction.keys:
        names = ", ".join(key.partition("/")[2] for key in choice.eviction.keys)
        facts += f"; {names} leave (cost {choice.eviction.cost:.4f})"
    return facts


def _reason_missed(item: ItemRow, now: float) -> str:
    if item.waiting:
        return f", {item.waiting} requests wait since {now - item.waiting_since:.1f} s"
    missed = item.missed.present(now)
    if missed >= MIN_NEED:
        return f", about {missed:.0f} requests came lately and found no copy"
    return f", {item.min_replicas} copies are declared"


def cancel_planned(placement: PlacementState, now: float, outcome: str) -> None:
    """Give up everything that was not ordered."""
    for move in list(placement.calendar.moves.values()):
        pending = move.state in (MoveState.PLANNED, MoveState.DRAINING)
        if pending and move.move_id in placement.calendar.moves:
            end_move(placement, move, MoveState.CANCELLED, outcome, now)
