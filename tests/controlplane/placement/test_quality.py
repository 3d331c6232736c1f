"""The controller compared with the LRU baseline in short emulated runs, and the emulator itself.

The long comparison runs are part of the bench.
"""

from __future__ import annotations

import attrs
import testtools

from zincvale.simulator.placement.emulator import Emulator
from zincvale.simulator.placement.fleet import (
    Arrival,
    EmulatedServer,
    EmulatedServerSpec,
    EmulatedStoreSpec,
    Fleet,
    ItemSpec,
    JournalRow,
    OrderResult,
)
from zincvale.simulator.placement.journal_checks import check_journal
from zincvale.simulator.placement_quality import FLEETS, LOADS, compare

GB = 1_000_000_000
SECONDS = 1200.0


class QualityTests(testtools.TestCase):
    def test_fewer_requests_miss_than_with_lru_without_more_pulled_bytes(self):
        for fleet, shape in FLEETS.items():
            load = attrs.evolve(LOADS["everything"], failure_interval_s=300.0)
            lru = compare(shape, load, "lru", SECONDS, seed=5)
            ours = compare(shape, load, "zincvale", SECONDS, seed=5)
            self.assertEqual((), ours.problems, fleet)
            self.assertEqual((), lru.problems, fleet)
            self.assertTrue(ours.outcome.missed <= 0.65 * lru.outcome.missed, (fleet, ours, lru))
            self.assertTrue(ours.outcome.pulled_bytes <= lru.outcome.pulled_bytes, fleet)

    def test_equal_seeds_give_equal_outcomes(self):
        runs = [compare(FLEETS["nilebridge"], LOADS["crowds"], "zincvale", 300.0, 3) for _ in "ab"]
        self.assertEqual(runs[0], runs[1])


def make_fleet() -> Fleet:
    items = {
        "m": ItemSpec("m", 10 * GB, "store", "pool"),
        "n": ItemSpec("n", 10 * GB, "store", "pool"),
        "m:1": ItemSpec("m:1", GB, "store", "pool", "m"),
    }
    spec = EmulatedServerSpec("s", "pool", "zone", 20 * GB, 4 * GB, 2 * GB, 1)
    stores = {"store": EmulatedStoreSpec("store", 5 * GB, 2)}
    return Fleet(items, stores, {"s": EmulatedServer(spec)})


class EmulatorTests(testtools.TestCase):
    def test_server_refuses_items_without_memory_or_base_model(self):
        fleet = make_fleet()
        self.assertEqual(OrderResult.BASE_MODEL, fleet.order_load("s", "m:1"))
        self.assertEqual(OrderResult.ACCEPTED, fleet.order_load("s", "m"))
        self.assertEqual(OrderResult.MEMORY, fleet.order_load("s", "n"))
        self.assertEqual(1, len(check_journal(fleet)))

    def test_a_request_waits_for_the_load_and_counts_as_missed(self):
        class LoadAtOnce:
            def step(self, fleet, now):
                fleet.order_load("s", "m")

        outcome = Emulator(make_fleet(), [Arrival(0.0, "m", "", 1.0)], []).run(LoadAtOnce(), 20.0)
        self.assertEqual((1, 1, 0), (outcome.requests, outcome.missed, outcome.expired))
        self.assertTrue(abs(outcome.wait_p99_s - 5.0) < 0.3)
        self.assertEqual(10 * GB, round(outcome.pulled_bytes))

    def test_journal_check_reports_each_exceeded_limit(self):
        fleet = make_fleet()
        fleet.journal += [
            JournalRow(0.0, "order-load", "s", "m", 10 * GB, "store"),
            JournalRow(0.0, "order-load", "s", "n", 10 * GB, "store"),
        ]
        fleet.journal += [JournalRow(1.0, "load-start", "s", str(n), GB, "store") for n in range(3)]
        fleet.journal.append(JournalRow(2.0, "unload-in-use", "s", "m"))
        problems = "\n".join(check_journal(fleet))
        for part in ("ordered to hold", "3 loads at once", "3 pulls at once", "unloaded in use"):
            self.assertIn(part, problems)
