"""Admission, queueing, holding for loads, and refusals that say when to come back."""

from __future__ import annotations

from random import Random

import testtools

from tests.dataplane.inference.builders import (
    directory,
    inference_request,
    intent,
    request,
    route,
    routing_state,
    server_row,
)
from zincvale.dataplane.inference.scheduler import Scheduler
from zincvale.dataplane.inference.verdicts import Placed, Queued, Rejected
from zincvale.dataplane.policies.base import Blocked
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd, ExchangeReport
from zincvale.model.identifiers import ModelName, PoolName
from zincvale.model.outcomes import RefusalReason
from zincvale.model.resources import Stake

LM = PoolName("lm")
RARE = inference_request(model=ModelName("rare"))


def scheduler(*rows, **changes) -> Scheduler:
    return Scheduler(routing_state(*rows, **changes), Random(1))


def report(end=ExchangeEnd.ANSWERED, started=0.0, ended=1.0, missing=()) -> ExchangeReport:
    return ExchangeReport(end, started, ended, work_tokens=8, units=8, missing=missing)


class PlacingTest(testtools.TestCase):
    def test_the_queue_is_served_by_stake_and_then_by_arrival(self):
        made = scheduler(server_row("s1"), max_concurrent_per_server=1)
        (first,) = made.place(request("q1"), route(), 1, 0.0)
        waiting = [
            made.place(request("q2"), route(stake=Stake.LOW), 2, 0.1),
            made.place(request("q3"), route(), 3, 0.2),
            made.place(request("q4"), route(), 4, 0.3),
            made.place(request("q5"), route(stake=Stake.HIGH), 5, 0.4),
        ]
        self.assertEqual(
            ["s1"] + [Blocked.BUSY] * 4,
            [first.server.server] + [verdicts[0].blocked for verdicts in waiting],
        )
        served = []
        now = 1.0
        for _ in range(4):
            _, (placed,) = made.finish(request(), first.server, report(ended=now))
            served.append(placed.token)
            now += 1.0
        self.assertEqual([5, 3, 4, 2], served)

    def test_a_newcomer_does_not_overtake_those_of_its_kind(self):
        made = scheduler(server_row("s1"), max_concurrent_per_server=1)
        (first,) = made.place(request("q1"), route(), 1, 0.0)
        made.place(request("q2"), route(), 2, 0.0)
        first.server.outstanding = 0
        (verdict,) = made.place(request("q3"), route(), 3, 0.1)
        self.assertIsInstance(verdict, Queued)

    def test_a_drained_server_and_an_evacuated_zone_get_nothing_from_the_moment_of_the_change(self):
        rows = (server_row("s1"), server_row("s2", zone="b"), server_row("s3", zone="b"))
        made = scheduler(*rows)
        made.routing_state.apply_intent(intent(2, drained=["s2"], evacuated=["a"]))
        chosen = {made.place(request(f"q{n}"), route(), n, 0.0)[0].server.server for n in range(16)}
        self.assertEqual({"s3"}, chosen)

    def test_a_request_waits_a_moment_for_a_pool_without_servers(self):
        made = scheduler(server_row("s1"), drained=["s1"])
        (queued,) = made.place(request(), route(), 1, 0.0)
        self.assertIs(Blocked.NO_SERVER, queued.blocked)
        self.assertEqual([], made.pump(2.9))
        (refused,) = made.pump(3.0)
        self.assertIs(RefusalReason.NO_SERVER, refused.reason)

    def test_a_server_that_said_not_resident_is_believed_over_the_directory(self):
        made = scheduler(server_row("s1"), server_row("s2"))
        state = made.routing_state.servers["s1"]
        made.finish(request(), state, report(ExchangeEnd.NOT_RESIDENT, missing=("m",)))
        chosen = {made.place(request(f"q{n}"), route(), n, 1.0)[0].server.server for n in range(9)}
        self.assertEqual({"s2"}, chosen)


class OverloadTest(testtools.TestCase):
    def busy(self, **changes) -> tuple[Scheduler, Placed]:
        """One server that takes 2 s a request, and is taken."""
        made = scheduler(server_row("s1"), max_concurrent_per_server=1, **changes)
        made.routing_state.servers["s1"].on_latency(2.0)
        (placed,) = made.place(request("q0"), route(), 0, 0.0)
        return made, placed

    def test_a_wait_longer_than_the_deadline_is_refused_at_once_with_the_time_to_return(self):
        made, _ = self.busy()
        made.place(request("q1"), route(), 1, 0.0)
        made.place(request("q2"), route(), 2, 0.0)
        (refused,) = made.place(request("q3", deadline_at=5.0), route(), 3, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        self.assertEqual(6.0, refused.retry_after_s)

    def test_those_already_queued_are_refused_as_soon_as_they_cannot_make_it(self):
        made, placed = self.busy()
        for token in range(1, 5):
            made.place(request(f"q{token}"), route(), token, 0.0)
        placed.server.on_latency(50.0)
        refused = made.pump(0.5)
        self.assertEqual([3, 4], [verdict.token for verdict in refused])
        self.assertIs(RefusalReason.OVERLOADED, refused[0].reason)

    def test_a_full_queue_refuses_its_own_stake_and_gives_way_to_a_higher_one(self):
        made, _ = self.busy(max_queue=2)
        low = route(stake=Stake.LOW)
        made.place(request("q1"), low, 1, 0.0)
        made.place(request("q2"), low, 2, 0.0)
        (refused,) = made.place(request("q3"), low, 3, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        displaced, queued = made.place(request("q4"), route(stake=Stake.HIGH), 4, 0.0)
        self.assertEqual((2, 4), (displaced.token, queued.token))
        self.assertIsInstance(displaced, Rejected)

    def test_lower_stakes_leave_room_while_high_stakes_are_about(self):
        made = scheduler(server_row("s1"), max_concurrent_per_server=10)
        made.routing_state.servers["s1"].concurrency.limit = 10.0
        high = route(stake=Stake.HIGH)
        self.assertIsNone(made.admit(request("h"), high, 0, 0.0))
        verdicts = [
            made.place(request(f"q{n}"), route(stake=Stake.LOW), n, 0.0)[0] for n in range(10)
        ]
        placed = sum(isinstance(verdict, Placed) for verdict in verdicts)
        self.assertEqual(7, placed)
        self.assertIsInstance(made.place(request("h"), high, 99, 0.0)[0], Placed)

    def test_a_route_is_refused_above_its_limit_until_one_leaves(self):
        made = scheduler(server_row("s1"))
        limited = route(max_concurrent=1)
        self.assertIsNone(made.admit(request("q1"), limited, 1, 0.0))
        refused = made.admit(request("q2"), limited, 2, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        made.leave(request("q1"))
        self.assertIsNone(made.admit(request("q3"), limited, 3, 0.0))

    def test_the_retry_budget_ends_retries_but_not_those_of_high_stakes(self):
        made = scheduler(server_row("s1"))
        granted = [made.take_retry(route()) for _ in range(12)]
        self.assertEqual([True] * 10 + [False] * 2, granted)
        self.assertTrue(made.take_retry(route(stake=Stake.HIGH)))


class HoldForLoadTest(testtools.TestCase):
    def test_a_crowd_for_a_rare_model_is_held_and_served_by_one_load(self):
        made = scheduler(server_row("s1"))
        for token in range(3):
            asked = request(f"q{token}", RARE)
            made.admit(asked, route(), token, 0.0)
            (queued,) = made.place(asked, route(), token, 0.0)
            self.assertIs(Blocked.NOT_RESIDENT, queued.blocked)
            self.assertTrue(made.demand.urgent)
        rows = made.demand.report("n1", 0.0).rows
        self.assertEqual([("rare", 3, 3)], [(r.model, r.requests, r.waiting) for r in rows])
        made.routing_state.apply_directory(
            directory(server_row("s1", models=("m", "rare")), version=2), 1.0
        )
        self.assertEqual([0, 1, 2], [verdict.token for verdict in made.pump(1.0)])
        report_after = made.demand.report("n1", 1.0)
        self.assertEqual([], report_after.rows)
        self.assertEqual(
            [("s1", "rare", 3)], [(u.server, u.model, u.running) for u in report_after.use]
        )

    def test_a_load_that_cannot_end_before_the_deadline_is_refused_at_once(self):
        made = scheduler(server_row("s1"))
        (refused,) = made.place(request("q1", RARE, deadline_at=2.9), route(), 1, 0.0)
        self.assertIs(RefusalReason.NOT_RESIDENT, refused.reason)
        self.assertEqual(3.0, refused.retry_after_s)

    def test_the_hold_is_bounded_and_longer_while_a_server_loads(self):
        made = scheduler(server_row("s1"))
        made.place(request("q1", RARE, deadline_at=60.0), route(), 1, 0.0)
        self.assertEqual([], made.pump(5.9))
        made.routing_state.apply_directory(
            directory(server_row("s1", loading=frozenset({"rare"})), version=2), 5.9
        )
        self.assertEqual([], made.pump(6.0))
        made.routing_state.apply_directory(directory(server_row("s1"), version=3), 6.5)
        self.assertEqual([], made.pump(6.9))
        (refused,) = made.pump(7.0)
        self.assertIs(RefusalReason.NOT_RESIDENT, refused.reason)
        self.assertEqual(0, made.waiting_count(LM))

    def test_the_number_held_for_one_model_is_bounded(self):
        made = scheduler(server_row("s1"))
        verdicts = [made.place(request(f"q{n}", RARE), route(), n, 0.0)[0] for n in range(65)]
        self.assertIsInstance(verdicts[63], Queued)
        self.assertIsInstance(verdicts[64], Rejected)

    def test_an_adapter_is_held_for_as_a_model_is(self):
        made = scheduler(server_row("s1", adapters=("fine",)))
        (placed,) = made.place(request("q1", inference_request(adapter="fine")), route(), 1, 0.0)
        self.assertIsInstance(placed, Placed)
        (queued,) = made.place(
            request("q2", inference_request(adapter="other"), 60.0), route(), 2, 0.0
        )
        self.assertIs(Blocked.NOT_RESIDENT, queued.blocked)

    def test_a_model_about_to_be_unloaded_gets_nothing_new(self):
        made = scheduler(server_row("s1", closing=frozenset({"m"})), server_row("s2"))
        chosen = {made.place(request(f"q{n}"), route(), n, 1.0)[0].server.server for n in range(9)}
        self.assertEqual({"s2"}, chosen)

    def test_a_cancelled_request_waits_for_nothing(self):
        made = scheduler(server_row("s1"))
        made.place(request("q1", RARE, 60.0), route(), 1, 0.0)
        made.cancel(LM, 1)
        self.assertEqual((0, []), (made.waiting_count(LM), made.demand.report("n1", 0.0).rows))
