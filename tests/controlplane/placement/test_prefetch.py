"""Weights are brought onto servers' own disks while servers are idle."""

from __future__ import annotations

import math

import attrs
import testtools

from tests.controlplane.placement.driver import (
    GB,
    STORE_ADDRESS,
    Driver,
    loads_in,
    make_intent,
    make_row,
    orders_in,
    unloads_in,
)
from tests.controlplane.placement.test_disk_copies import CONFIG as KEEPING
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    LeaderGained,
    OrderAccepted,
    OrderAction,
)
from zincvale.controlplane.placement.prefetch import (
    PREFETCH_WINDOW_FRACTION,
    RESERVED_IDLE_FRACTION,
)
from zincvale.model.resources import ModelSpec, StoreSpec

CONFIG = attrs.evolve(KEEPING, one_status_confirms=True, confirms_orders=True)
POOL = "chat"
SERVERS = 4
SETTLE_S = 4.0
"""After the orders of a leader before can have arrived."""
STORE_S = 5.0
DISK_S = 0.8
SIZE = 12 * GB


def stores(per_window: int = 0) -> dict[str, StoreSpec]:
    """Return one store, named as the pool, as in forwarding deployments."""
    return {
        POOL: StoreSpec(STORE_ADDRESS, 10_000 * GB, 100, per_window, 5.0 if per_window else 0.0)
    }


@attrs.define
class Engines:
    """A driver whose servers load in `STORE_S` the first time, in `disk_s` from then on."""

    driver: Driver
    disk_s: float = DISK_S
    on_disk: set[tuple[str, str]] = attrs.field(factory=set)
    under_way: list[tuple[float, object]] = attrs.field(factory=list)

    def lead(self, seconds: float = 3.0) -> list:
        """Gain leadership, let every server be confirmed, and let time pass."""
        self.driver.feed(LeaderGained(1, self.driver.now + 2.0))
        self.driver.tick(SETTLE_S)
        self.driver.report()
        return self.run(seconds)

    def run(self, seconds: float, requested: tuple = ()) -> list:
        """Let time pass; return every effect."""
        driver, before = self.driver, len(self.driver.seen)
        for _ in range(round(seconds / 0.1)):
            if requested:
                driver.demand(*requested)
            for effect in orders_in(driver.tick(0.1)):
                self.take(effect)
            self.finish()
        return driver.seen[before:]

    def take(self, effect) -> None:
        order, server = effect.order, effect.server
        if order.action is OrderAction.UNLOAD:
            took_s = 0.05
        else:
            took_s = self.disk_s if (server, order.name) in self.on_disk else STORE_S
        self.under_way.append((self.driver.now + took_s, effect))
        self.driver.feed(OrderAccepted(order.order_id))

    def finish(self) -> None:
        due = [each for each in self.under_way if each[0] <= self.driver.now]
        self.under_way = [each for each in self.under_way if each[0] > self.driver.now]
        for _, effect in due:
            order, row = effect.order, self.driver.rows[effect.server]
            models = row.models - {order.name}
            if order.action is OrderAction.LOAD:
                models = models | {order.name}
                self.on_disk.add((effect.server, order.name))
            self.driver.rows[effect.server] = attrs.evolve(row, models=models)
            new = self.driver.feed(OrderAccepted(order.order_id, done=True))
            for following in orders_in(new):
                self.take(following)


def engines(
    config: PlacementConfig = CONFIG,
    load_s: float = STORE_S,
    disk_s: float = DISK_S,
    absent: int = 6,
    per_window: int = 0,
) -> Engines:
    """Return four servers: `busy` on all of them, two models of their own each, full."""
    held = {f"server-{n}": frozenset({"busy", f"a{n}", f"b{n}"}) for n in range(1, SERVERS + 1)}
    names = {name for models in held.values() for name in models}
    names |= {f"absent-{n}" for n in range(absent)}
    spec = ModelSpec(SIZE, POOL, POOL, kv_bytes_per_token=0, load_s=load_s)
    rows = {server: make_row(server, models=models) for server, models in held.items()}
    intent = make_intent(dict.fromkeys(sorted(names), spec), stores=stores(per_window))
    driver = Driver(intent, rows, config)
    return Engines(driver, disk_s, {(s, name) for s, models in held.items() for name in models})


def fetched(effects: list) -> list[str]:
    """Return the models that were loaded though no request came for them, in order."""
    return [name for _, name in loads_in(effects) if name.startswith("absent")]


class TrialTest(testtools.TestCase):
    def test_a_replica_that_is_not_needed_shows_how_fast_disks_are(self) -> None:
        made = engines()
        effects = made.lead()
        self.assertEqual("busy", unloads_in(effects)[0][1])
        self.assertEqual("busy", loads_in(effects)[0][1])
        times = made.driver.controller.state.load_times
        self.assertAlmostEqual(DISK_S, SIZE / times.disk_rate_by_store[POOL], delta=0.2)

    def test_without_a_spare_replica_nothing_is_tried(self) -> None:
        made = engines()
        for server, row in made.driver.rows.items():
            made.driver.rows[server] = attrs.evolve(row, models=row.models - {"busy"})
        self.assertEqual([], orders_in(made.lead(8.0)))

    def test_short_loads_are_not_worth_a_trial(self) -> None:
        self.assertEqual([], orders_in(engines(load_s=0.8).lead(8.0)))

    def test_without_the_option_nothing_is_tried_or_fetched(self) -> None:
        made = engines(attrs.evolve(CONFIG, servers_keep_weights=False))
        self.assertEqual([], orders_in(made.lead(12.0)))

    def test_a_replica_that_is_in_use_is_not_tried(self) -> None:
        made = engines()
        use = tuple((server, "busy", 1) for server in made.driver.rows)
        made.driver.demand(use=use)
        made.driver.feed(LeaderGained(1, made.driver.now + 2.0))
        made.driver.report()
        for _ in range(20):
            made.driver.demand(use=use)
            self.assertEqual([], orders_in(made.driver.tick(0.1)))


class FetchTest(testtools.TestCase):
    def test_every_idle_server_fetches_what_no_disk_has_while_nobody_asks(self) -> None:
        made = engines(absent=6)
        names = fetched(made.lead(20.0))
        self.assertEqual([f"absent-{n}" for n in range(6)], sorted(names))
        self.assertEqual([], fetched(made.run(10.0)))

    def test_one_place_of_each_server_is_used_again_and_again(self) -> None:
        made = engines(absent=12)
        made.lead(40.0)
        for server, row in made.driver.rows.items():
            kept = {name for name in row.models if not name.startswith("absent")}
            self.assertEqual(2, len(kept), server)
            self.assertIn("busy", kept)

    def test_slow_disks_end_it_after_the_trial(self) -> None:
        self.assertEqual([], fetched(engines(disk_s=4.0).lead(30.0)))

    def test_what_was_requested_stays(self) -> None:
        made = engines(absent=12)
        own = [f"{letter}{n}" for letter in "ab" for n in range(1, SERVERS + 1)]
        made.driver.demand(*((name, None, 1, 0) for name in own))
        made.lead(30.0)
        held = {name for row in made.driver.rows.values() for name in row.models}
        self.assertTrue(set(own) <= held)

    def test_while_requests_come_most_servers_are_left_to_them(self) -> None:
        made = engines(absent=12)
        requested = (("a1", None, 1, 0),)
        for _ in range(40):
            made.run(
                0.5, requested
            ) if made.driver.controller.state.leadership.is_leader else made.lead(0.5)
            loading = [e for _, e in made.under_way if e.order.name.startswith("absent")]
            if made.driver.now > 110.0:
                self.assertLessEqual(len(loading), SERVERS * (1.0 - RESERVED_IDLE_FRACTION))

    def test_part_of_the_stores_window_is_left_for_requests(self) -> None:
        made = engines(absent=40, per_window=5)
        self.assertLessEqual(
            len(fetched(made.lead(30.0))), 30 / 5 * math.ceil(5 * PREFETCH_WINDOW_FRACTION) + 3
        )

    def test_a_model_that_is_on_a_disk_comes_from_there_when_it_is_requested(self) -> None:
        made = engines(absent=12)
        names = fetched(made.lead(30.0))
        held = {name for row in made.driver.rows.values() for name in row.models}
        gone = next(name for name in names if name not in held)
        effects = made.run(3.0, ((gone, None, 1, 1),))
        orders = [each.order for each in orders_in(effects) if each.order.name == gone]
        self.assertTrue(orders[0].from_disk)

    def test_a_server_that_left_takes_its_disk_along(self) -> None:
        made = engines(absent=1)
        made.lead(20.0)
        (server,) = [server for server, name in loads_in(made.driver.seen) if name == "absent-0"]
        del made.driver.rows[server]
        made.driver.feed(DirectoryChanged((), (server,)))
        self.assertEqual(["absent-0"], fetched(made.run(20.0)))
