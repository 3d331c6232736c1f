"""System: logs which items are requested again and again and not served, and why."""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.demand import MIN_RECENT_REQUESTS
from zincvale.controlplane.placement.fairness import MIN_REQUESTS, ROUNDS_UNTIL_SERVED, round_s
from zincvale.controlplane.placement.items import ItemRow
from zincvale.controlplane.placement.move_completion import move_item_key
from zincvale.controlplane.placement.moves import Move, MoveKind
from zincvale.controlplane.placement.order_obstacles import order_obstacle
from zincvale.controlplane.placement.state import PlacementState

REPORT_INTERVAL_S = 1.0
"""Interval between two checks of the items that are not served."""
MIN_UNSERVED_S = 5.0
"""How long an item must have been requested without being served before that is logged, in addition
to the time of `EXPECTED_LOADS`."""
EXPECTED_LOADS = 2.0
"""Number of load times in which an item is expected to be served."""
UNSERVED_LOG_INTERVAL_S = 10.0
"""Minimum interval between two log lines about the same item."""
MAX_LINES_PER_REPORT = 16
"""Limit on the log lines of one check; the items unserved for longest come first."""


def report_unserved(placement: PlacementState, now: float) -> None:
    """System: log the items that are not served, the longest unserved first."""
    if now < placement.unserved_reported_at + REPORT_INTERVAL_S:
        return
    placement.unserved_reported_at = now
    _forget_old_demand(placement, now)
    if not placement.leadership.is_leader:
        return
    lines = 0
    for key in placement.unserved:
        item = placement.items[key]
        if not _is_log_due(placement, item, now):
            continue
        if lines == MAX_LINES_PER_REPORT:
            return
        lines += 1
        item.unserved.logged_at = now
        _log_item(placement, item, now)


def _is_log_due(placement: PlacementState, item: ItemRow, now: float) -> bool:
    unserved = item.unserved
    if unserved.requests < MIN_REQUESTS or now < unserved.logged_at + UNSERVED_LOG_INTERVAL_S:
        return False
    expected_s = MIN_UNSERVED_S + EXPECTED_LOADS * placement.expected_load_s(item)
    return now - unserved.since >= expected_s


def _forget_old_demand(placement: PlacementState, now: float) -> None:
    """Forget items that nobody has requested for so long that the slow average forgets them too."""
    for key in placement.unserved:
        item = placement.items[key]
        if not item.waiting and item.demand.slow.current(now) < MIN_RECENT_REQUESTS:
            item.unserved.clear()
            placement.unserved.remove(key)


def _log_item(placement: PlacementState, item: ItemRow, now: float) -> None:
    placement.log(
        log_events.UNSERVED,
        name=item.name,
        kind=item.kind.value,
        requests=item.unserved.requests,
        bound_s=round(ROUNDS_UNTIL_SERVED * round_s(placement, item, now), 1),
        unserved_s=round(now - item.unserved.since, 1),
        waiting=item.waiting,
        decision=explain(placement, item, now),
    )


def explain(placement: PlacementState, item: ItemRow, now: float) -> str:
    """Return what was decided about an item that is not served, with the present obstacle."""
    if item.ready:
        return "a replica is ready, and no request came since"
    load = _unfinished_load(placement, item)
    if load is not None:
        return _explain_load(placement, item, load, now)
    unserved = item.unserved
    if item.desired == 0 and item.base is not None:
        return "its base model has no replica"
    if unserved.result is None or unserved.attempted_at < unserved.since:
        return "no load was attempted"
    return f"{unserved.result.value}, {now - unserved.attempted_at:.1f} s ago"


def _unfinished_load(placement: PlacementState, item: ItemRow) -> Move | None:
    for server in (*item.planned, *item.holders):
        for move_id in placement.calendar.by_server.get(server, ()):
            move = placement.calendar.moves[move_id]
            if move.kind is MoveKind.LOAD and move_item_key(move) == item.key:
                return move
    return None


def _explain_load(placement: PlacementState, item: ItemRow, load: Move, now: float) -> str:
    where = f"on {load.server} for {now - load.created_at:.1f} s"
    if load.in_flight:
        return f"a load is {load.state.value} {where}"
    server = placement.servers[load.server]
    obstacle = order_obstacle(placement, load, item, server, now)
    return f"a load is planned {where}: {obstacle.value if obstacle else 'behind other loads'}"
