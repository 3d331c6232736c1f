"""Property tests: limits hold under lost and late messages, changes of leader, freezes, crashes."""

from __future__ import annotations

import testtools

from tests.controlplane.placement.chaos import ChaosSimulation
from zincvale.controlplane.placement.servers import ReplicaState
from zincvale.controlplane.placement.state import PlacementState

SEEDS = range(1, 13)
RUN_S = 120.0


def inconsistent_sums(placement: PlacementState) -> list[str]:
    """Return a line for each running sum or index of the tables that a recount contradicts."""
    found = []
    for server in placement.servers.values():
        held = sum(replica.item_bytes for replica in server.replicas.values())
        loading = sum(h.state is ReplicaState.LOADING for h in server.replicas.values())
        moves = [
            placement.calendar.moves[move]
            for move in placement.calendar.by_server.get(server.server, ())
        ]
        pending = [m for m in moves if not m.in_flight and m.kind.value == "load"]
        planned = sum(move.reservation.memory_bytes for move in pending)
        leaving = sum(m.reservation.memory_bytes for m in moves if m.kind.value == "unload")
        facts = {
            "held": (server.reserved_bytes, held),
            "loads": (server.loads_in_flight, loading),
            "planned": (server.planned_bytes, planned),
            "leaving": (server.planned_free_bytes, leaving),
        }
        found += [
            f"{server.server} {name} {pair}" for name, pair in facts.items() if pair[0] != pair[1]
        ]
    for key, item in placement.items.items():
        holders = {s.server for s in placement.servers.values() if key in s.replicas}
        if holders != set(item.holders):
            found.append(f"{key} holders {item.holders} are {holders}")
        waiting = sum(node.waiting.get(key, 0) for node in placement.nodes.values())
        if item.waiting != waiting:
            found.append(f"{key} waiting {item.waiting}, nodes say {waiting}")
    for store in placement.stores.values():
        slots = sum(name == store.store for name in placement.store_slots.values())
        if store.in_flight != slots:
            found.append(f"{store.store} in flight {store.in_flight}, slots {slots}")
    return found


class PropertyTests(testtools.TestCase):
    def test_no_limit_is_exceeded_under_random_faults(self):
        for seed in SEEDS:
            simulation = ChaosSimulation(seed)
            simulation.run(RUN_S)
            self.assertEqual([], simulation.problems, f"seed {seed}")
            for process in simulation.processes:
                self.assertEqual([], inconsistent_sums(process.controller.state), f"seed {seed}")
            self.assertTrue(
                simulation.loads_done > 10, f"seed {seed}: {simulation.loads_done} loads"
            )

    def test_equal_seeds_give_equal_runs(self):
        runs = []
        for _ in range(2):
            simulation = ChaosSimulation(3)
            simulation.run(30.0)
            runs.append(
                (
                    simulation.orders_sent,
                    simulation.loads_done,
                    sorted(simulation.servers["server-0"].loaded),
                )
            )
        self.assertEqual(runs[0], runs[1])
