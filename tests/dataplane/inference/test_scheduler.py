"""Admission, queueing, waits for model loads, and rejections with their retry times."""

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


def make_scheduler(*rows, **changes) -> Scheduler:
    return Scheduler(routing_state(*rows, **changes), Random(1))


def report(end=ExchangeEnd.ANSWERED, started=0.0, ended=1.0, missing=()) -> ExchangeReport:
    return ExchangeReport(end, started, ended, work_tokens=8, units=8, missing=missing)


class PlacementTest(testtools.TestCase):
    def test_the_queue_is_served_by_stake_and_then_by_arrival(self):
        scheduler = make_scheduler(server_row("s1"), max_concurrent_per_server=1)
        (first,) = scheduler.place(request("q1"), route(), 1, 0.0)
        queued = [
            scheduler.place(request("q2"), route(stake=Stake.LOW), 2, 0.1),
            scheduler.place(request("q3"), route(), 3, 0.2),
            scheduler.place(request("q4"), route(), 4, 0.3),
            scheduler.place(request("q5"), route(stake=Stake.HIGH), 5, 0.4),
        ]
        self.assertEqual(
            ["s1"] + [Blocked.BUSY] * 4,
            [first.server.server] + [verdicts[0].blocked for verdicts in queued],
        )
        served = []
        now = 1.0
        for _ in range(4):
            _, (placed,) = scheduler.finish_exchange(request(), first.server, report(ended=now))
            served.append(placed.token)
            now += 1.0
        self.assertEqual([5, 3, 4, 2], served)

    def test_a_new_request_does_not_overtake_an_equivalent_queued_one(self):
        scheduler = make_scheduler(server_row("s1"), max_concurrent_per_server=1)
        (first,) = scheduler.place(request("q1"), route(), 1, 0.0)
        scheduler.place(request("q2"), route(), 2, 0.0)
        first.server.outstanding = 0
        (verdict,) = scheduler.place(request("q3"), route(), 3, 0.1)
        self.assertIsInstance(verdict, Queued)

    def test_a_drained_server_and_an_evacuated_zone_get_nothing_once_the_intent_is_applied(self):
        rows = (server_row("s1"), server_row("s2", zone="b"), server_row("s3", zone="b"))
        scheduler = make_scheduler(*rows)
        scheduler.routing_state.apply_intent(intent(2, drained=["s2"], evacuated=["a"]))
        chosen = {
            scheduler.place(request(f"q{n}"), route(), n, 0.0)[0].server.server for n in range(16)
        }
        self.assertEqual({"s3"}, chosen)

    def test_a_request_waits_three_seconds_for_a_pool_without_servers(self):
        scheduler = make_scheduler(server_row("s1"), drained=["s1"])
        (queued,) = scheduler.place(request(), route(), 1, 0.0)
        self.assertIs(Blocked.NO_SERVER, queued.blocked)
        self.assertEqual([], scheduler.process_queues(2.9))
        (refused,) = scheduler.process_queues(3.0)
        self.assertIs(RefusalReason.NO_SERVER, refused.reason)

    def test_a_refusal_as_not_resident_overrides_the_directory(self):
        scheduler = make_scheduler(server_row("s1"), server_row("s2"))
        state = scheduler.routing_state.servers["s1"]
        scheduler.finish_exchange(
            request(), state, report(ExchangeEnd.NOT_RESIDENT, missing=("m",))
        )
        chosen = {
            scheduler.place(request(f"q{n}"), route(), n, 1.0)[0].server.server for n in range(9)
        }
        self.assertEqual({"s2"}, chosen)


class OverloadTest(testtools.TestCase):
    def busy_scheduler(self, **changes) -> tuple[Scheduler, Placed]:
        """Return a scheduler whose only server needs 2 s per request and is occupied."""
        scheduler = make_scheduler(server_row("s1"), max_concurrent_per_server=1, **changes)
        scheduler.routing_state.servers["s1"].on_latency(2.0)
        (placed,) = scheduler.place(request("q0"), route(), 0, 0.0)
        return scheduler, placed

    def test_a_wait_longer_than_the_deadline_is_refused_at_once_with_a_retry_time(self):
        scheduler, _ = self.busy_scheduler()
        scheduler.place(request("q1"), route(), 1, 0.0)
        scheduler.place(request("q2"), route(), 2, 0.0)
        (refused,) = scheduler.place(request("q3", deadline_at=5.0), route(), 3, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        self.assertEqual(6.0, refused.retry_after_s)

    def test_queued_requests_are_refused_once_they_cannot_meet_their_deadline(self):
        scheduler, placed = self.busy_scheduler()
        for token in range(1, 5):
            scheduler.place(request(f"q{token}"), route(), token, 0.0)
        placed.server.on_latency(50.0)
        refused = scheduler.process_queues(0.5)
        self.assertEqual([3, 4], [verdict.token for verdict in refused])
        self.assertIs(RefusalReason.OVERLOADED, refused[0].reason)

    def test_a_full_queue_refuses_an_equal_stake_and_accepts_a_higher_one(self):
        scheduler, _ = self.busy_scheduler(max_queue=2)
        low = route(stake=Stake.LOW)
        scheduler.place(request("q1"), low, 1, 0.0)
        scheduler.place(request("q2"), low, 2, 0.0)
        (refused,) = scheduler.place(request("q3"), low, 3, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        displaced, queued = scheduler.place(request("q4"), route(stake=Stake.HIGH), 4, 0.0)
        self.assertEqual((2, 4), (displaced.token, queued.token))
        self.assertIsInstance(displaced, Rejected)

    def test_lower_stakes_leave_slots_free_after_a_recent_high_stake_request(self):
        scheduler = make_scheduler(server_row("s1"), max_concurrent_per_server=10)
        scheduler.routing_state.servers["s1"].concurrency.limit = 10.0
        high = route(stake=Stake.HIGH)
        self.assertIsNone(scheduler.admit(request("h"), high, 0, 0.0))
        verdicts = [
            scheduler.place(request(f"q{n}"), route(stake=Stake.LOW), n, 0.0)[0] for n in range(10)
        ]
        placed = sum(isinstance(verdict, Placed) for verdict in verdicts)
        self.assertEqual(7, placed)
        self.assertIsInstance(scheduler.place(request("h"), high, 99, 0.0)[0], Placed)

    def test_requests_above_the_limit_of_a_route_are_refused_until_one_finishes(self):
        scheduler = make_scheduler(server_row("s1"))
        limited = route(max_concurrent=1)
        self.assertIsNone(scheduler.admit(request("q1"), limited, 1, 0.0))
        refused = scheduler.admit(request("q2"), limited, 2, 0.0)
        self.assertIs(RefusalReason.OVERLOADED, refused.reason)
        scheduler.finish_request(request("q1"))
        self.assertIsNone(scheduler.admit(request("q3"), limited, 3, 0.0))

    def test_the_retry_budget_limits_retries_except_on_high_stake_routes(self):
        scheduler = make_scheduler(server_row("s1"))
        granted = [scheduler.take_retry(route()) for _ in range(12)]
        self.assertEqual([True] * 10 + [False] * 2, granted)
        self.assertTrue(scheduler.take_retry(route(stake=Stake.HIGH)))


class WaitForLoadTest(testtools.TestCase):
    def test_requests_for_a_model_that_is_not_resident_wait_for_one_load(self):
        scheduler = make_scheduler(server_row("s1"))
        for token in range(3):
            caller_request = request(f"q{token}", RARE)
            scheduler.admit(caller_request, route(), token, 0.0)
            (queued,) = scheduler.place(caller_request, route(), token, 0.0)
            self.assertIs(Blocked.NOT_RESIDENT, queued.blocked)
            self.assertTrue(scheduler.demand.urgent)
        rows = scheduler.demand.report("n1", 0.0).rows
        self.assertEqual([("rare", 3, 3)], [(r.model, r.requests, r.waiting) for r in rows])
        scheduler.routing_state.apply_directory(
            directory(server_row("s1", models=("m", "rare")), version=2), 1.0
        )
        self.assertEqual([0, 1, 2], [verdict.token for verdict in scheduler.process_queues(1.0)])
        report_after = scheduler.demand.report("n1", 1.0)
        self.assertEqual([], report_after.rows)
        self.assertEqual(
            [("s1", "rare", 3)], [(u.server, u.model, u.running) for u in report_after.use]
        )

    def test_a_request_is_refused_at_once_when_the_load_would_end_after_its_deadline(self):
        scheduler = make_scheduler(server_row("s1"))
        (refused,) = scheduler.place(request("q1", RARE, deadline_at=2.9), route(), 1, 0.0)
        self.assertIs(RefusalReason.NOT_RESIDENT, refused.reason)
        self.assertEqual(3.0, refused.retry_after_s)

    def test_the_wait_for_a_load_is_bounded_and_extended_while_a_server_loads(self):
        scheduler = make_scheduler(server_row("s1"))
        scheduler.place(request("q1", RARE, deadline_at=60.0), route(), 1, 0.0)
        self.assertEqual([], scheduler.process_queues(5.9))
        scheduler.routing_state.apply_directory(
            directory(server_row("s1", loading=frozenset({"rare"})), version=2), 5.9
        )
        self.assertEqual([], scheduler.process_queues(6.0))
        scheduler.routing_state.apply_directory(directory(server_row("s1"), version=3), 6.5)
        self.assertEqual([], scheduler.process_queues(6.9))
        (refused,) = scheduler.process_queues(7.0)
        self.assertIs(RefusalReason.NOT_RESIDENT, refused.reason)
        self.assertEqual(0, scheduler.waiting_count(LM))

    def test_the_number_of_requests_that_wait_for_one_model_is_bounded(self):
        scheduler = make_scheduler(server_row("s1"))
        verdicts = [scheduler.place(request(f"q{n}", RARE), route(), n, 0.0)[0] for n in range(65)]
        self.assertIsInstance(verdicts[63], Queued)
        self.assertIsInstance(verdicts[64], Rejected)

    def test_a_request_waits_for_the_load_of_an_adapter(self):
        scheduler = make_scheduler(server_row("s1", adapters=("fine",)))
        (placed,) = scheduler.place(
            request("q1", inference_request(adapter="fine")), route(), 1, 0.0
        )
        self.assertIsInstance(placed, Placed)
        (queued,) = scheduler.place(
            request("q2", inference_request(adapter="other"), 60.0), route(), 2, 0.0
        )
        self.assertIs(Blocked.NOT_RESIDENT, queued.blocked)

    def test_a_server_at_which_a_model_drains_gets_no_new_requests_for_it(self):
        scheduler = make_scheduler(server_row("s1", closing=frozenset({"m"})), server_row("s2"))
        chosen = {
            scheduler.place(request(f"q{n}"), route(), n, 1.0)[0].server.server for n in range(9)
        }
        self.assertEqual({"s2"}, chosen)

    def test_a_cancelled_request_leaves_the_queue_and_the_demand(self):
        scheduler = make_scheduler(server_row("s1"))
        scheduler.place(request("q1", RARE, 60.0), route(), 1, 0.0)
        scheduler.cancel(LM, 1)
        self.assertEqual(
            (0, []), (scheduler.waiting_count(LM), scheduler.demand.report("n1", 0.0).rows)
        )
