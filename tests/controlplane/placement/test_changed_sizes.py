"""A model that is declared again with another size: copies that are loaded have the old one.

Guards against a load beyond memory after a configuration made a loaded model smaller.
"""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import GB, Driver, loads_in, make_intent, make_row
from tests.controlplane.placement.test_listing_after_orders import QUIET_S, take_over
from zincvale.controlplane.documents.changes import DeclaredPool, DocumentChange, encode_change
from zincvale.controlplane.documents.derived_intent import IntentDeriver, StoreConfig
from zincvale.controlplane.documents.reducer import changed_rows
from zincvale.controlplane.documents.rows import DocumentDecoder
from zincvale.controlplane.placement.events import IntentChanged
from zincvale.daemons.forwarding_placement import placement_config
from zincvale.model.forwarding import Engine, EngineModel, ForwardPool

POOL = "models"
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


class RestartedCoreTest(testtools.TestCase):
    def test_a_core_that_starts_after_the_change_counts_the_larger_size(self) -> None:
        """A known fault: only the newest size is part of the replicated document."""
        rows: dict[str, bytes] = {}
        for number, changed_gb in ((1, SIZES_GB["changed"]), (2, 10)):
            pool = make_pool(SIZES_GB | {"changed": changed_gb})
            change = DocumentChange(
                number - 1, number, is_complete=True, pools=(DeclaredPool(pool, {}),)
            )
            rows |= {
                row: content
                for row, content in changed_rows(rows, encode_change(change)).items()
                if content is not None
            }
        intent = IntentDeriver(StoreConfig()).update(DocumentDecoder().update(2, rows))
        row = make_row(
            "server-1",
            memory_bytes=MEMORY_BYTES,
            pool=POOL,
            models=frozenset(("busy", "changed")),
        )
        driver = Driver(intent, {"server-1": row}, placement_config(QUIET_S))
        take_over(driver, epoch=1)
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(33 * GB, server.reserved_bytes)


def make_pool(sizes_gb: dict[str, int]) -> ForwardPool:
    """Return a pool whose engine lists models of these sizes."""
    models = {name: EngineModel(size_gb * GB) for name, size_gb in sizes_gb.items()}
    engine = Engine(memory_bytes=MEMORY_BYTES, loads_per_s=4.0, models=models)
    return ForwardPool(POOL, engine=engine)
