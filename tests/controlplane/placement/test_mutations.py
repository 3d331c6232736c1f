"""The checks can fail: each broken rule is caught by the chaos of some seed."""

from __future__ import annotations

import contextlib
from unittest import mock

import testtools

from tests.controlplane.placement.chaos import Chaos
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


def free_of_confirmed(server, config, more_kv_bytes):
    confirmed = [h.item_bytes for h in server.replicas.values() if h.move_id is None]
    return int(server.memory_bytes * (1.0 - config.kv_headroom_fraction)) - sum(confirmed)


def complete_takeover_at_once(placement, now):
    placement.leadership.is_takeover_complete = placement.leadership.is_leader


MUTATIONS: dict[str, dict[str, object]] = {
    "an unknown order is forgotten at the first status": {
        f"{PLACEMENT}.apply_status.handle_missing_effect": release_on_first_status,
    },
    "a new leader trusts the first status and waits for nothing": {
        f"{PLACEMENT}.apply_status.confirm_no_stale_orders": confirm_on_first_status,
        f"{PLACEMENT}.controller.SYSTEMS": tuple(
            complete_takeover_at_once if system is complete_takeover else system
            for system in SYSTEMS
        ),
    },
    "orders leave without a look at the lease": {
        f"{PLACEMENT}.state.Leadership.may_order": lambda self, now: self.is_leader,
        f"{PLACEMENT}.controller.SYSTEMS": tuple(
            system for system in SYSTEMS if system is not expire_leadership
        ),
    },
    "memory counts only what is confirmed": {
        f"{PLACEMENT}.servers.ServerState.free_now_bytes": free_of_confirmed,
        f"{PLACEMENT}.servers.ServerState.free_planned_bytes": free_of_confirmed,
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
    "a new leader trusts the first status and waits for nothing": range(60, 130),
}


class MutationTests(testtools.TestCase):
    def test_the_seeds_pass_without_a_mutation(self):
        self.assertEqual("", self.first_problem(1))

    def test_every_mutation_is_caught(self):
        for name, replacements in MUTATIONS.items():
            seeds = SEEDS_BY_MUTATION.get(name, SEEDS)
            with contextlib.ExitStack() as stack:
                for target, replacement in replacements.items():
                    stack.enter_context(mock.patch(target, replacement))
                caught = any(self.first_problem(seed) for seed in seeds)
            self.assertTrue(caught, f"not caught: {name}")

    def first_problem(self, seed: int) -> str:
        chaos = Chaos(seed)
        chaos.run(RUN_S)
        if chaos.problems:
            return chaos.problems[0]
        off = [
            line
            for process in chaos.processes
            for line in inconsistent_sums(process.controller.state)
        ]
        return off[0] if off else ""
