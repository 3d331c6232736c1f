"""The placement controller: applies inputs to the tables, runs the systems, returns effects.

Every process that may become the leader runs a controller and feeds it intent, statuses and demand,
so that a new leader knows the demand. Only the leader plans moves and sends orders.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from zincvale.controlplane.placement.apply_demand import apply_demand_report, expire_nodes
from zincvale.controlplane.placement.apply_intent import apply_declarations, apply_intent_change
from zincvale.controlplane.placement.apply_status import apply_directory
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.desired_replicas import review_items
from zincvale.controlplane.placement.dispatch import order_loads, order_unloads
from zincvale.controlplane.placement.drains import track_drains
from zincvale.controlplane.placement.events import (
    DemandReported,
    DirectoryChanged,
    Effect,
    Input,
    IntentChanged,
    LeaderGained,
    LeaderLost,
    OrderAccepted,
    OrderRefused,
    OrderUnknown,
)
from zincvale.controlplane.placement.leadership import (
    apply_leadership,
    complete_takeover,
    expire_leadership,
    give_up_leadership,
    request_statuses,
)
from zincvale.controlplane.placement.order_confirmation import expire_overdue_orders
from zincvale.controlplane.placement.order_responses import (
    apply_accepted,
    apply_refused,
    apply_unknown,
)
from zincvale.controlplane.placement.plan_loads import plan_loads
from zincvale.controlplane.placement.plan_unloads import unload_undeclared
from zincvale.controlplane.placement.prefetch import prefetch
from zincvale.controlplane.placement.publication import publish_changes, trim_history
from zincvale.controlplane.placement.report_unserved import report_unserved
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.machine import ClockJumped, Tick

System = Callable[[PlacementState, float], None]

SYSTEMS: tuple[System, ...] = (
    expire_leadership,
    expire_nodes,
    expire_overdue_orders,
    apply_declarations,
    complete_takeover,
    review_items,
    unload_undeclared,
    plan_loads,
    prefetch,
    order_unloads,
    order_loads,
    track_drains,
    report_unserved,
    request_statuses,
    trim_history,
    publish_changes,
)
"""The systems in the order in which each tick runs them.

The order is: expiries, changed declarations, reviews, planning, orders, status requests, and
publication."""


class PlacementController:
    """Decides which server holds which model and adapter.

    Parameters
    ----------
    random_source : random source for sampling servers and breaking ties.
    config : options of placement.
    """

    def __init__(self, random_source: random.Random, config: PlacementConfig) -> None:
        self.state = PlacementState(config, random_source)
        self._next_run_at = float("-inf")

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Apply one input and return the effects to carry out, in order."""
        self._apply(event, now)
        effects = self.state.effects
        self.state.effects = []
        return effects

    def _apply(self, event: Input, now: float) -> None:
        match event:
            case Tick():
                self._run_systems(now)
            case DirectoryChanged():
                apply_directory(self.state, event, now)
            case DemandReported():
                apply_demand_report(self.state, event, now)
            case OrderAccepted() | OrderRefused() | OrderUnknown():
                self._apply_response(event, now)
            case IntentChanged(intent):
                apply_intent_change(self.state, intent, now)
            case LeaderGained():
                apply_leadership(self.state, event, now)
            case LeaderLost() | ClockJumped():
                give_up_leadership(self.state, now)

    def _apply_response(
        self, event: OrderAccepted | OrderRefused | OrderUnknown, now: float
    ) -> None:
        match event:
            case OrderAccepted(order_id, done):
                apply_accepted(self.state, order_id, now, done=done)
                if done:
                    # A load may be waiting for the memory that a finished unload freed.
                    order_loads(self.state, now)
            case OrderRefused(order_id, why):
                apply_refused(self.state, order_id, why, now)
            case OrderUnknown(order_id):
                apply_unknown(self.state, order_id)

    def _run_systems(self, now: float) -> None:
        if now < self._next_run_at:
            return
        self._next_run_at = now + self.state.config.plan_interval_s
        for system in SYSTEMS:
            system(self.state, now)
