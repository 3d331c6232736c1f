"""Leadership: when orders may be sent, what a new leader waits for, and unknown outcomes."""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import (
    Driver,
    loads_in,
    make_intent,
    make_row,
    orders_in,
)
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    LeaderGained,
    LeaderLost,
    OrderAccepted,
    OrderRefusal,
    OrderRefused,
    OrderUnknown,
    PublishMoves,
)
from zincvale.controlplane.placement.moves import MoveKind, MoveReason, MoveState
from zincvale.model.machine import ClockJumped
from zincvale.model.resources import StoreSpec


def make_driver(models=None, servers=2) -> Driver:
    rows = {f"server-{number}": make_row(f"server-{number}") for number in range(1, servers + 1)}
    return Driver(make_intent(models or {"alpha": 8}), rows)


class LeadershipTests(testtools.TestCase):
    def test_process_that_is_not_the_leader_has_no_effects_except_logs(self):
        driver = make_driver()
        driver.demand(("alpha", None, 1, 1))
        for _ in range(6):
            driver.report()
            driver.tick(1.0)
        self.assertEqual([], [type(effect) for effect in driver.seen if "Log" not in repr(effect)])

    def test_first_order_waits_for_the_order_lifetime_and_a_confirmation(self):
        driver = make_driver()
        driver.demand(("alpha", None, 1, 1))
        gained_at = driver.now
        driver.feed(LeaderGained(1, driver.now + 2.0))
        first_order_at = None
        while first_order_at is None and driver.now < gained_at + 30:
            driver.report()
            driver.demand(("alpha", None, 0, 1))
            if orders_in(driver.tick(0.2)):
                first_order_at = driver.now
        confirmed_at = (
            gained_at + driver.config.order_lifetime_s + driver.config.confirmation_interval_s
        )
        self.assertTrue(first_order_at >= confirmed_at)
        self.assertTrue(first_order_at < confirmed_at + 1.0)

    def test_statuses_requested_before_leadership_do_not_confirm_servers(self):
        driver = make_driver()
        driver.demand(("alpha", None, 1, 1))
        before = driver.now
        driver.feed(LeaderGained(1, driver.now + 2.0))
        effects = []
        for _ in range(20):
            effects += driver.report(requested_at=before - 0.1)
            effects += driver.tick(1.0)
        self.assertEqual([], orders_in(effects))

    def test_load_found_in_progress_is_in_the_calendar_with_its_reservations(self):
        driver = make_driver()
        driver.report("server-1", loading=frozenset({"alpha"}))
        driver.lead()
        moves = [
            m for m in driver.controller.state.calendar.moves.values() if m.kind is MoveKind.LOAD
        ]
        self.assertEqual([MoveReason.FOUND_IN_PROGRESS], [move.reason for move in moves])
        self.assertEqual(1, driver.controller.state.stores["weights"].in_flight)
        self.assertEqual([], loads_in(driver.seen))
        driver.report("server-1", loading=frozenset(), models=frozenset({"alpha"}))
        self.assertEqual(0, driver.controller.state.stores["weights"].in_flight)

    def test_an_expired_lease_stops_orders(self):
        driver = make_driver()
        driver.lead()
        driver.now += 10.0
        driver.demand(("alpha", None, 1, 1))
        driver.seen.clear()
        driver.tick(1.0, renew=False)
        self.assertEqual([], orders_in(driver.seen))
        self.assertFalse(driver.controller.state.leadership.is_leader)

    def test_leader_sends_no_order_after_a_clock_jump_or_a_lost_lease(self):
        for event in (ClockJumped(20.0), LeaderLost()):
            driver = make_driver({"alpha": 8, "beta": 8})
            driver.lead()
            driver.now += 20.0
            driver.feed(event)
            driver.seen.clear()
            driver.demand(("beta", None, 5, 5))
            driver.report()
            driver.tick(3.0)
            self.assertEqual([], orders_in(driver.seen))

    def test_an_older_epoch_is_ignored(self):
        driver = make_driver()
        driver.lead(epoch=5)
        driver.feed(LeaderLost())
        driver.feed(LeaderGained(4, driver.now + 100.0))
        self.assertFalse(driver.controller.state.leadership.is_leader)

    def test_orders_carry_epoch_lease_end_and_store_address(self):
        driver = make_driver(servers=1)
        order = orders_in(driver.lead(epoch=7))[0]
        self.assertEqual(
            (7, "10.0.9.1:9100", 8_000_000_000),
            (order.order.epoch, order.order.store_address, order.order.item_bytes),
        )
        self.assertTrue(order.not_after <= driver.now + 2.0)

    def test_withheld_order_releases_its_reservation(self):
        driver = make_driver(servers=1)
        order = orders_in(driver.lead())[0]
        driver.feed(OrderRefused(order.order.order_id, OrderRefusal.WITHHELD))
        self.assertEqual(0, driver.controller.state.stores["weights"].in_flight)
        self.assertEqual(0, driver.controller.state.servers["server-1"].reserved_bytes)

    def test_only_the_first_publication_of_a_leader_is_complete(self):
        driver = make_driver()
        published = [effect for effect in driver.lead() if isinstance(effect, PublishMoves)]
        self.assertEqual(
            [True] + [False] * (len(published) - 1), [p.is_complete for p in published]
        )


class UnknownOutcomeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.driver = make_driver(servers=1)
        self.order = orders_in(self.driver.lead())[0]
        self.driver.feed(OrderUnknown(self.order.order.order_id))
        self.placement = self.driver.controller.state

    def reserved_bytes(self) -> int:
        return self.placement.servers["server-1"].reserved_bytes

    def test_reservation_stays_without_a_status(self):
        self.driver.tick(60.0)
        self.assertEqual(
            (8_000_000_000, 1), (self.reserved_bytes(), self.placement.stores["weights"].in_flight)
        )

    def test_one_status_does_not_release_the_reservation(self):
        self.driver.tick(10.0)
        self.driver.report()
        self.driver.tick(0.5)
        self.assertEqual(8_000_000_000, self.reserved_bytes())

    def test_second_status_after_the_confirmation_interval_releases_the_reservation(self):
        self.driver.tick(10.0)
        self.driver.report()
        self.driver.tick(self.driver.config.confirmation_interval_s)
        self.driver.report()
        self.assertEqual(0, self.reserved_bytes())
        self.assertEqual(0, self.placement.stores["weights"].in_flight)

    def test_status_that_shows_the_load_keeps_the_reservation(self):
        self.driver.tick(1.0)
        self.driver.report(loading=frozenset({"alpha"}))
        self.driver.tick(10.0)
        self.driver.report(loading=frozenset({"alpha"}))
        states = [move.state for move in self.placement.calendar.moves.values()]
        self.assertEqual([MoveState.RUNNING], states)
        self.assertEqual(8_000_000_000, self.reserved_bytes())

    def test_new_incarnation_does_not_release_the_reservation_earlier(self):
        self.driver.tick(self.driver.config.order_lifetime_s)
        self.driver.report(incarnation="i2")
        self.assertEqual(8_000_000_000, self.reserved_bytes())
        self.driver.tick(self.driver.config.confirmation_interval_s)
        self.driver.report()
        self.assertEqual(0, self.reserved_bytes())

    def test_new_incarnation_releases_the_reservation_of_an_accepted_order(self):
        self.driver.feed(OrderAccepted(self.order.order.order_id))
        self.driver.report(incarnation="i2")
        self.assertEqual(0, self.reserved_bytes())

    def test_order_in_transit_may_be_accepted_by_a_new_incarnation(self):
        self.driver.tick(0.1)
        self.driver.report(incarnation="i2")
        self.assertEqual(8_000_000_000, self.reserved_bytes())
        self.driver.report(loading=frozenset({"alpha"}))
        states = [move.state for move in self.placement.calendar.moves.values()]
        self.assertEqual([MoveState.RUNNING], states)

    def test_reservation_stays_across_a_change_of_leader(self):
        self.driver.feed(LeaderLost())
        self.driver.feed(LeaderGained(2, self.driver.now + 2.0))
        self.assertEqual(8_000_000_000, self.reserved_bytes())

    def test_late_response_is_applied(self):
        self.driver.feed(OrderAccepted(self.order.order.order_id))
        states = [move.state for move in self.placement.calendar.moves.values()]
        self.assertEqual([MoveState.RUNNING], states)

    def test_store_slot_of_a_removed_server_is_kept_for_the_longest_pull(self):
        self.driver.feed(DirectoryChanged((), ("server-1",)))
        store = self.placement.stores["weights"]
        self.assertEqual(1, store.occupied_slots(self.driver.now))
        longest_s = 8 / (10 / 4) + self.driver.config.order_lifetime_s
        self.assertEqual(0, store.occupied_slots(self.driver.now + longest_s + 0.1))


class StoreTests(testtools.TestCase):
    def test_loads_from_a_store_are_limited_by_slots_and_backlog(self):
        intent = make_intent(
            {f"m{number}": 5 for number in range(12)},
            stores={"weights": StoreSpec("10.0.9.1:9100", 1_000_000_000, 2)},
        )
        rows = {f"server-{n}": make_row(f"server-{n}") for n in range(1, 5)}
        driver = Driver(intent, rows, attrs.evolve(Driver(intent, rows).config, store_burst_s=1.0))
        driver.demand(*((name, None, 1, 0) for name in intent.models))
        driver.now += 60.0
        first = loads_in(driver.lead())
        # The backlog is 5 GB at a rate of 1 GB per second with a burst of 1 s: the next load is
        # ordered 4 s later.
        self.assertEqual(1, len(first))
        driver.tick(2.0)
        self.assertEqual(1, len(loads_in(driver.seen)))
        driver.tick(3.0)
        self.assertEqual(2, len(loads_in(driver.seen)))
        driver.tick(30.0)
        self.assertEqual(2, len(loads_in(driver.seen)))
