"""What the leader logs about items that are requested again and again and not served."""

from __future__ import annotations

import testtools

from tests.controlplane.placement.driver import Driver, make_intent, make_row, orders_in
from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.items import adapter_key, model_key
from zincvale.model.machine import Log

CONFIG = PlacementConfig(fill_free_memory=False, servers_guard_unloads=True)


def unserved_lines(driver: Driver) -> list[dict[str, object]]:
    return [
        effect.fields
        for effect in driver.seen
        if isinstance(effect, Log) and effect.number == log_events.UNSERVED
    ]


class UnservedItemsTest(testtools.TestCase):
    def make_driver(self, models: dict[str, int], **fields) -> Driver:
        adapters = fields.pop("adapters", None)
        rows = {"server-1": make_row("server-1", **fields)}
        driver = Driver(make_intent(models, adapters), rows, CONFIG)
        driver.lead()
        return driver

    def request(self, driver: Driver, name: str, seconds: int) -> None:
        for _ in range(seconds):
            driver.demand((name, None, 1, 1))
            driver.tick(1.0)
            driver.report()

    def test_an_item_that_fits_on_no_server_is_logged_with_the_reason(self):
        driver = self.make_driver({"large": 80})
        self.request(driver, "large", 25)
        lines = unserved_lines(driver)
        self.assertEqual(1, len(lines))
        self.assertEqual(
            ("large", "model", 22), tuple(lines[0][key] for key in ("name", "kind", "requests"))
        )
        self.assertIn("every server that may take it is full", lines[0]["decision"])

    def test_a_load_without_a_response_is_named_with_its_server(self):
        driver = self.make_driver({"chat": 10})
        for _ in range(60):
            driver.demand(("chat", None, 1, 1))
            driver.tick(1.0)
        self.assertIn("a load is unknown on server-1", unserved_lines(driver)[0]["decision"])

    def test_a_served_item_is_not_logged(self):
        driver = self.make_driver({"chat": 10})
        driver.demand(("chat", None, 1, 1))
        driver.complete(orders_in(driver.tick(1.0)))
        for _ in range(12):
            driver.demand(("chat", None, 1, 0))
            driver.tick(1.0)
        self.assertEqual([], unserved_lines(driver))
        self.assertEqual([], list(driver.controller.state.unserved))

    def test_an_item_that_was_requested_once_is_not_logged(self):
        driver = self.make_driver({"large": 80})
        driver.demand(("large", None, 1, 0))
        driver.tick(20.0)
        self.assertEqual([], unserved_lines(driver))

    def test_an_item_that_nobody_requests_any_more_is_forgotten(self):
        driver = self.make_driver({"large": 80})
        driver.demand(("large", None, 2, 0))
        driver.tick(1.0)
        self.assertIn(model_key("large"), driver.controller.state.unserved)
        driver.now += 3 * CONFIG.slow_half_life_s
        driver.tick(2.0)
        self.assertEqual([], list(driver.controller.state.unserved))
        self.assertEqual(0, driver.controller.state.items[model_key("large")].unserved.requests)

    def test_an_adapter_without_its_model_is_logged_as_such(self):
        driver = self.make_driver({"large": 80}, adapters={"large-a1": "large"})
        for _ in range(60):
            driver.demand(("large", "large-a1", 1, 0))
            driver.tick(1.0)
        lines = [line for line in unserved_lines(driver) if line["kind"] == "adapter"]
        self.assertEqual("its base model has no replica", lines[0]["decision"])
        self.assertIn(adapter_key("large-a1"), driver.controller.state.unserved)
