"""The queue of requests that wait for a server or for the load of a model or adapter."""

from __future__ import annotations

import testtools

from tests.dataplane.forwarding.builders import make_pool, make_prompt, make_route
from zincvale.dataplane.forwarding.pending_requests import (
    LoadWaitEstimator,
    PendingRequestQueue,
    ServerRequirements,
)
from zincvale.dataplane.forwarding.policies import NoServerReason, ServerChoice


class PendingRequestQueueTest(testtools.TestCase):
    def requirements(self, model="m", priority=0, deadline_at=4.0):
        prompt = make_prompt(model)
        route = make_route(priority=priority)
        return ServerRequirements(route, "p", prompt, frozenset(), deadline_at)

    def empty_queue(self):
        return PendingRequestQueue(lambda name: make_pool(name))

    def add(self, pending, requirements, reason=NoServerReason.NOT_RESIDENT):
        log = []
        request = pending.add(
            requirements,
            reason,
            lambda chosen: log.append("found"),
            lambda *why: log.append(why),
            0.0,
        )
        return request, log

    def test_a_request_that_cannot_be_served_in_time_is_not_queued(self):
        self.assertIsNone(self.add(self.empty_queue(), self.requirements(deadline_at=1.0))[0])
        self.assertIsNone(self.add(self.empty_queue(), self.requirements(model="unknown"))[0])

    def test_requests_are_dispatched_by_priority(self):
        pending, order = self.empty_queue(), []
        for priority in (2, 0, 1):
            pending.add(
                self.requirements(priority=priority),
                NoServerReason.NOT_RESIDENT,
                lambda chosen, priority=priority: order.append(priority),
                lambda *why: None,
                0.0,
            )
        pending.dispatch(lambda requirements: ServerChoice(None, 0), 0.1)
        self.assertEqual([0, 1, 2], order)
        self.assertEqual(0, len(pending))

    def test_a_wait_expires_well_before_the_deadline_with_a_retry_time(self):
        pending = self.empty_queue()
        request, log = self.add(pending, self.requirements())
        self.assertTrue(request.expires_at < 2.4)
        pending.dispatch(lambda requirements: NoServerReason.NOT_RESIDENT, request.expires_at)
        self.assertEqual(NoServerReason.NOT_RESIDENT, log[0][0])
        self.assertTrue(log[0][1] > 0.1)

    def test_a_request_may_wait_for_an_adapter_when_the_load_of_a_model_takes_too_long(self):
        near_deadline = self.requirements(deadline_at=1.0)
        self.assertIsNone(self.add(self.empty_queue(), near_deadline)[0])
        request, _ = self.add(self.empty_queue(), near_deadline, NoServerReason.NO_ADAPTER)
        self.assertEqual(0.6, request.expires_at)
        self.assertLess(
            self.empty_queue().retry_after_s(NoServerReason.NO_ADAPTER, near_deadline), 0.5
        )

    def test_a_short_observed_wait_lets_requests_with_a_near_deadline_wait(self):
        pending = self.empty_queue()
        near_deadline = self.requirements(deadline_at=1.0)
        self.assertIsNone(self.add(pending, near_deadline)[0])
        self.add(pending, self.requirements())
        pending.dispatch(lambda requirements: ServerChoice(None, 0), 0.3)
        self.assertIsNotNone(self.add(pending, near_deadline)[0])
        self.assertAlmostEqual(
            0.3, pending.retry_after_s(NoServerReason.NOT_RESIDENT, near_deadline)
        )

    def test_only_the_first_pending_request_measures_a_load(self):
        pending = self.empty_queue()
        self.add(pending, self.requirements())
        pending.add(
            self.requirements(),
            NoServerReason.NOT_RESIDENT,
            lambda chosen: None,
            lambda *_: None,
            0.29,
        )
        pending.dispatch(lambda requirements: ServerChoice(None, 0), 0.3)
        self.assertAlmostEqual(
            0.3, pending.retry_after_s(NoServerReason.NOT_RESIDENT, self.requirements())
        )

    def test_shorter_waits_are_learned_faster_than_longer_ones(self):
        waits = LoadWaitEstimator()
        for waited_s in (6.0, 1.0, 6.0, 1.0, 6.0):
            waits.record("p", NoServerReason.NOT_RESIDENT, waited_s)
        self.assertLess(waits.estimate_s("p", NoServerReason.NOT_RESIDENT, 9.0), 4.0)
        self.assertEqual(0.5, waits.estimate_s("p", NoServerReason.NOT_RESIDENT, 0.5))
        self.assertEqual(9.0, waits.estimate_s("q", NoServerReason.NOT_RESIDENT, 9.0))

    def test_remove_all_empties_the_queue(self):
        pending = self.empty_queue()
        self.add(pending, self.requirements())
        self.assertEqual(1, len(pending.remove_all()))
        self.assertIsNone(pending.next_expiry())
