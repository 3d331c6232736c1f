"""System: turns replica shortages into planned loads in the calendar, most urgent first."""

from __future__ import annotations

import heapq
from collections import deque

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.choose_server import AllServersBusyError, Choice
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.fairness import is_due
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, is_adapter_key
from zincvale.controlplane.placement.load_candidates import find_candidate, is_worth_loading
from zincvale.controlplane.placement.load_moves import LoadPlan, new_load
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import (
    MoveKind,
    MoveReason,
    MoveState,
)
from zincvale.controlplane.placement.plan_unloads import UnloadPlan, plan_unload
from zincvale.controlplane.placement.replica_value import (
    MIN_UNMET_DEMAND,
    expected_rate,
)
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.shortages import Shortage, current_item, drop_outdated_entries
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.stores import PlannedPulls, StoreState
from zincvale.controlplane.placement.unserved import PlanResult
from zincvale.model.identifiers import MoveId, StoreName

REASON_BY_URGENCY = tuple(MoveReason)
"""The move reasons in planning order; the index of a reason is its urgency, 0 the most urgent."""
MAX_PASSED_SHORTAGES = 64
"""Limit on the shortages of one store that a run attempts although the store or the servers are
busy.

A higher limit makes each run take longer."""
BUSY_RESULTS = frozenset({PlanResult.STORE_BUSY, PlanResult.SERVERS_BUSY})
"""Results that leave a shortage in its queue; they take none of the run's budget."""
UNPLACED_LOG_INTERVAL_S = 10.0
"""Minimum interval between two log lines about the same item for which no server was found."""


def plan_loads(placement: PlacementState, now: float) -> None:
    """System: plan loads for the shortages of each store, if they can be ordered soon.

    A load planned too early would reserve its server and drain replicas for it, although a more
    urgent load may arrive before it can be ordered. The stores take turns, so that the shortages of
    one do not use up the run's budget.
    """
    if not placement.leadership.is_leader or not placement.leadership.is_takeover_complete:
        return
    plans = _store_plans(placement)
    turns = deque(plans)
    budget = placement.config.plan_budget
    while turns and budget > 0:
        plan = turns.popleft()
        result = _attempt_next(placement, plan, now)
        if result is not None:
            budget -= result not in BUSY_RESULTS
            turns.append(plan)
    for plan in plans:
        for shortage in plan.passed:
            heapq.heappush(plan.queue, shortage)


@attrs.frozen
class _StorePlan:
    """A store, the shortages of its items, and its loads that are planned but not yet ordered.

    Attributes
    ----------
    passed : shortages that this run attempted in vain, because the store or the servers are busy;
        they stay queued.
    """

    store: StoreState
    queue: list[Shortage]
    planned: PlannedPulls
    passed: list[Shortage] = attrs.field(factory=list)


def _store_plans(placement: PlacementState) -> list[_StorePlan]:
    planned = _planned_by_store(placement)
    plans = []
    for name in placement.shortages.stores_in_turn():
        queue = placement.shortages.by_store[name]
        drop_outdated_entries(queue, placement.items)
        store = placement.stores.get(name)
        if store is not None:
            plans.append(_StorePlan(store, queue, planned.setdefault(name, PlannedPulls())))
    return plans


def _planned_by_store(placement: PlacementState) -> dict[StoreName, PlannedPulls]:
    planned: dict[StoreName, PlannedPulls] = {}
    for move in placement.calendar.moves.values():
        if move.kind is MoveKind.LOAD and move.state is MoveState.PLANNED:
            pulls = planned.setdefault(move.store, PlannedPulls())
            pulls.add(move.reservation.memory_bytes)
    return planned


def _attempt_next(placement: PlacementState, plan: _StorePlan, now: float) -> PlanResult | None:
    """Attempt the next shortage of a store; return None if this run attempts no more of them."""
    while plan.queue and len(plan.passed) < MAX_PASSED_SHORTAGES:
        shortage = heapq.heappop(plan.queue)
        item = current_item(placement.items, shortage)
        if item is None:
            continue
        if _has_shortage(placement, item):
            return _attempt(placement, plan, item, shortage, now)
        item.shortage_stamp = 0
    return None


def _attempt(
    placement: PlacementState, plan: _StorePlan, item: ItemRow, shortage: Shortage, now: float
) -> PlanResult:
    reason = REASON_BY_URGENCY[shortage.urgency]
    result = PlanResult.STORE_BUSY
    if _store_has_capacity(placement, plan, item, reason, now):
        result = _plan_load(placement, item, reason, now)
    item.unserved.record_attempt(result, now)
    if result in BUSY_RESULTS:
        plan.passed.append(shortage)
        return result
    item.shortage_stamp = 0
    if result is PlanResult.PLANNED:
        plan.planned.add(item.weight_bytes)
    return result


def _store_has_capacity(
    placement: PlacementState, plan: _StorePlan, item: ItemRow, reason: MoveReason, now: float
) -> bool:
    """Whether the store can start the load by the time the replicas evicted for it have drained."""
    config, store = placement.config, plan.store
    is_idle = store.occupied_slots(now) + plan.planned.count == 0
    if not is_idle and _needs_idle_store(reason, config):
        # A load that no request needs yet must not delay a load that the next request needs.
        return False
    order_at = now + config.drain_notice_s
    return store.may_plan(item.weight_bytes, plan.planned, order_at, now, config)


def _needs_idle_store(reason: MoveReason, config: PlacementConfig) -> bool:
    """Whether loads with this reason are planned only while their store has no other load."""
    if reason is MoveReason.FREE_MEMORY:
        return True
    urgent = (MoveReason.WAITING_REQUESTS, MoveReason.MIN_REPLICAS, MoveReason.MORE_LOAD)
    return config.overload_counts_as_waiting and reason not in urgent


def _has_shortage(placement: PlacementState, item: ItemRow) -> bool:
    return item.ready + placement.pending_replicas(item) < item.desired


def _plan_load(
    placement: PlacementState, item: ItemRow, reason: MoveReason, now: float
) -> PlanResult:
    try:
        choice = find_candidate(placement, item, reason, now)
    except AllServersBusyError:
        return PlanResult.SERVERS_BUSY
    if choice is None:
        _set_aside(placement, item, reason, PlanResult.NO_SERVER.value, now)
        return PlanResult.NO_SERVER
    if not is_worth_loading(placement, item, reason, choice, now):
        limit = f"what would leave {choice.server.server} is worth more"
        _set_aside(placement, item, reason, limit, now)
        return PlanResult.NOT_WORTH
    item.unserved.is_in_turn = is_due(placement, item, now)
    add_load_moves(placement, item, reason, choice, now)
    if item.kind is ItemKind.MODEL:
        placement.queue_adapters(item)
    if _has_shortage(placement, item):
        placement.queue_review(item.key)
    return PlanResult.PLANNED


def _set_aside(
    placement: PlacementState, item: ItemRow, reason: MoveReason, limit: str, now: float
) -> None:
    """Leave an item for which no server was found to a later review, and log why."""
    placement.unplaced.add(item.key)
    _log_unplaced(placement, item, reason, limit, now)
    if reason is not MoveReason.WAITING_REQUESTS:
        item.placement_retry_at = now + placement.config.review_interval_s


def _log_unplaced(
    placement: PlacementState, item: ItemRow, reason: MoveReason, limit: str, now: float
) -> None:
    """Log why no server was found for a desired replica; at most once per interval and item."""
    if now < item.unplaced_logged_at + UNPLACED_LOG_INTERVAL_S:
        return
    item.unplaced_logged_at = now
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
    """Add a load, and the unloads that make room for it, to the calendar."""
    server = choice.server
    detail = _load_detail(placement, item, reason, choice, now)
    unloads = _plan_evictions(placement, item, choice, now)
    start_at = _expected_start(placement, item, server, unloads, now)
    base_load = _base_load(item, server)
    after = unloads if base_load is None else (*unloads, base_load)
    load_plan = LoadPlan(MoveState.PLANNED, reason, detail, start_at, after)
    move = new_load(placement, server, item, load_plan, now)
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
    """Drain the replicas to evict; a model is unloaded after its adapters on the same server."""
    server = choice.server
    planned: dict[ItemKey, MoveId] = {}
    detail = f"makes room for {item.kind.value} {item.name}"
    for key in choice.eviction.keys:
        before = tuple(planned[adapter] for adapter in _adapters_on(placement, key, planned))
        unload_plan = UnloadPlan(MoveReason.MAKE_ROOM, detail, before)
        planned[key] = plan_unload(placement, server, key, unload_plan, now)
    return tuple(planned.values())


def _adapters_on(
    placement: PlacementState, key: ItemKey, planned: dict[ItemKey, MoveId]
) -> list[ItemKey]:
    """Return the adapters among `planned` that may be on the model `key`."""
    if is_adapter_key(key):
        return []
    model = placement.items.get(key)
    if model is not None:
        return [adapter for adapter in model.adapters if adapter in planned]
    return [other for other in planned if is_adapter_key(other) and other not in placement.items]


def _expected_start(
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
    """Return the load of an adapter's base model that is in flight on the server, if any."""
    if item.base is None:
        return None
    replica = server.replicas.get(item.base)
    if replica is None or replica.state is not ReplicaState.LOADING:
        return None
    return replica.move_id


def _load_detail(
    placement: PlacementState, item: ItemRow, reason: MoveReason, choice: Choice, now: float
) -> str:
    per_minute = expected_rate(placement, item, now) * 60.0
    facts = f"{item.ready} of {item.desired} copies serve, {per_minute:.2f} requests/min expected"
    if reason is MoveReason.WAITING_REQUESTS:
        facts += _unmet_demand_detail(item, now)
    if reason is MoveReason.MORE_LOAD:
        facts += f", {item.concurrency:.1f} requests at once"
    if choice.eviction.keys:
        names = ", ".join(key.partition("/")[2] for key in choice.eviction.keys)
        facts += f"; {names} leave (cost {choice.eviction.cost:.4f})"
    return facts


def _unmet_demand_detail(item: ItemRow, now: float) -> str:
    if item.waiting:
        return f", {item.waiting} requests wait since {now - item.waiting_since:.1f} s"
    unserved = item.unserved.recent.current(now)
    if unserved >= MIN_UNMET_DEMAND:
        return f", about {unserved:.0f} requests came lately and found no copy"
    return f", {item.min_replicas} copies are declared"


def cancel_unsent_moves(placement: PlacementState, now: float, outcome: str) -> None:
    """Cancel all loads and unloads that were not ordered yet."""
    for move in list(placement.calendar.moves.values()):
        is_unsent = move.state in (MoveState.PLANNED, MoveState.DRAINING)
        if is_unsent and move.move_id in placement.calendar.moves:
            end_move(placement, move, MoveState.CANCELLED, outcome, now)
