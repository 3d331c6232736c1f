"""Mutation tests: the simulation with random faults detects each deliberately broken rule."""

from __future__ import annotations

import contextlib
from unittest import mock

import testtools

from tests.controlplane.placement.chaos import ChaosSimulation
from tests.controlplane.placement.test_properties import inconsistent_sums
from zincvale.controlplane.placement import order_confirmation
from zincvale.controlplane.placement.controller import SYSTEMS
from zincvale.controlplane.placement.leadership import complete_takeover, expire_leadership
from zincvale.controlplane.placement.moves import MoveState

PLACEMENT = "zincvale.controlplane.placement"
SEEDS = range(1, 25)
RUN_S = 120.0


def release_on_first_status(placement, move, replica, requested_at, now):
    order_confirmation.end_move(placement, move, MoveState.FAILED, "mutation", now)


def confirm_on_first_status(placement, server, requested_at, now):
    if placement.leadership.is_leader:
        server.confirmed_epoch = placement.leadership.epoch


def free_beside_confirmed_replicas(server, config, more_kv_bytes):
    confirmed = [h.item_bytes for h in server.replicas.values() if h.move_id is None]
    return int(server.memory_bytes * (1.0 - config.kv_headroom_fraction)) - sum(confirmed)


def complete_takeover_at_once(placement, now):
    placement.leadership.is_takeover_complete = placement.leadership.is_leader


MUTATIONS: dict[str, dict[str, object]] = {
    "an order with an unknown outcome is released at the first status": {
        f"{PLACEMENT}.reported_replicas.handle_missing_effect": release_on_first_status,
    },
    "a new leader confirms servers by their first status and does not wait": {
        f"{PLACEMENT}.apply_status.confirm_no_stale_orders": confirm_on_first_status,
        f"{PLACEMENT}.controller.SYSTEMS": tuple(
            complete_takeover_at_once if system is complete_takeover else system
            for system in SYSTEMS
        ),
    },
    "orders are sent without a check of the lease": {
        f"{PLACEMENT}.state.Leadership.may_order": lambda self, now: self.is_leader,
        f"{PLACEMENT}.controller.SYSTEMS": tuple(
            system for system in SYSTEMS if system is not expire_leadership
        ),
    },
    "only replicas without a move count in memory": {
        f"{PLACEMENT}.servers.ServerState.free_now_bytes": free_beside_confirmed_replicas,
        f"{PLACEMENT}.servers.ServerState.free_planned_bytes": free_beside_confirmed_replicas,
    },
    "store slots are not counted": {
        f"{PLACEMENT}.stores.StoreState.occupied_slots": lambda self, now: 0,
    },
    "server load slots are not counted": {
        f"{PLACEMENT}.servers.ServerState.load_slots": lambda self, config, now: 99,
    },
    "a finished load keeps its store slot": {
        f"{PLACEMENT}.stores.StoreState.release_slot": lambda self: None,
    },
}
SEEDS_BY_MUTATION = {
    "a new leader confirms servers by their first status and does not wait": range(60, 130),
}


class MutationTests(testtools.TestCase):
    def test_simulation_passes_without_a_mutation(self):
        self.assertEqual("", self.first_problem(1))

    def test_every_mutation_is_detected(self):
        for name, replacements in MUTATIONS.items():
            seeds = SEEDS_BY_MUTATION.get(name, SEEDS)
            with contextlib.ExitStack() as stack:
                for target, replacement in replacements.items():
                    stack.enter_context(mock.patch(target, replacement))
                is_detected = any(self.first_problem(seed) for seed in seeds)
            self.assertTrue(is_detected, f"not detected: {name}")

    def first_problem(self, seed: int) -> str:
        simulation = ChaosSimulation(seed)
        simulation.run(RUN_S)
        if simulation.problems:
            return simulation.problems[0]
        off = [
            line
            for process in simulation.processes
            for line in inconsistent_sums(process.controller.state)
        ]
        return off[0] if off else ""
