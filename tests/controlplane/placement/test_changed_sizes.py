"""A model that is declared again with another size: copies that are loaded have the old one.

Guards against a load beyond memory after a configuration made a loaded model smaller.
"""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import GB, Driver, loads_in, make_intent, make_row
from tests.controlplane.placement.test_listing_after_orders import QUIET_S, take_over
from zincvale.controlplane.placement.events import IntentChanged
from zincvale.daemons.forwarding_placement import placement_config

MEMORY_BYTES = 40 * GB
SIZES_GB = {"busy": 13, "changed": 20, "wanted": 13}


class ChangedSizeTest(testtools.TestCase):
    def driver(self, changed_gb: int, held: tuple[str, ...] = ("busy", "changed")) -> Driver:
        """Return a leader that saw the size of `changed` become another one after its load."""
        row = make_row("server-1", memory_bytes=MEMORY_BYTES, models=frozenset(held))
        driver = Driver(make_intent(SIZES_GB), {"server-1": row}, placement_config(QUIET_S))
        take_over(driver, epoch=1)
        later = make_intent(SIZES_GB | {"changed": changed_gb})
        driver.feed(IntentChanged(attrs.evolve(later, version=2)))
        return driver

    def test_a_copy_counts_as_the_larger_of_its_sizes(self) -> None:
        driver = self.driver(changed_gb=10)
        seen = len(driver.seen)
        for _ in range(20):
            use = (("server-1", "busy", 1), ("server-1", "changed", 1))
            driver.demand(("wanted", None, 0, 1), use=use)
            driver.tick(0.1)
        self.assertEqual([], loads_in(driver.seen[seen:]))
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(33 * GB, server.reserved_bytes)

    def test_a_copy_that_may_be_smaller_bounds_an_unknown_size_by_its_smaller_one(self) -> None:
        driver = self.driver(changed_gb=10, held=("changed",))
        driver.report("server-1", models=frozenset(("changed", "unknown")))
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(MEMORY_BYTES - 10 * GB, server.unknown_bytes)
