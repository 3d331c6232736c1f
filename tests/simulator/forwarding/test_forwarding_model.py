"""Back ends that fail in every way: the promises hold, and a broken promise is noticed."""

from __future__ import annotations

import contextlib
from collections import Counter
from unittest import mock

import testtools

from zincvale.dataplane.forwarding.fleet_budgets import RetryBudget, SlowStartLimiter
from zincvale.dataplane.forwarding.forwarded_request import ForwardedRequest
from zincvale.dataplane.forwarding.request_events import (
    ContentReceived,
    FinishRequest,
    ReleaseServer,
)
from zincvale.dataplane.forwarding.request_machine import Phase, RequestMachine
from zincvale.dataplane.forwarding.routing_state import RoutingState
from zincvale.simulator.forwarding.model import run_forwarding

SEEDS = range(1, 201)
MUTATION_SEEDS = range(1, 101)
REPLAYED = (2, 11)


def _repeats_everything():
    return mock.patch.object(RequestMachine, "may_repeat", property(lambda self: True))


def _promises_after_a_run():
    def broken(self, reason):
        return [*self._refuse(reason, 0.1)]

    return mock.patch.object(RequestMachine, "_handle_broken", broken)


def _closes_broken_answers_whole():
    return mock.patch.object(ForwardedRequest, "on_broken", lambda self, reason: self.on_complete())


def _resumes_from_the_start():
    real = RequestMachine._send

    def send(self, server):
        self._last_event_id = ""
        return real(self, server)

    return mock.patch.object(RequestMachine, "_send", send)


def _passes_unfinished_events_on():
    def on_content(self, data):
        self._feed(ContentReceived(data))

    return mock.patch.object(ForwardedRequest, "on_content", on_content)


def _never_spends_the_budget():
    return mock.patch.object(RetryBudget, "take", lambda self, nodes, now: True)


def _cold_servers_by_each_node_alone():
    real = SlowStartLimiter.may_send

    def may_send(self, allowed, rank, node_count, now):
        return real(self, allowed, 0, 1, now)

    return mock.patch.object(SlowStartLimiter, "may_send", may_send)


def _sends_to_draining_servers():
    def in_service(self, pools):
        return [state for name in pools for state in self.servers_by_pool.get(name, ())]

    return mock.patch.object(RoutingState, "in_service", in_service)


def _forgets_the_time():
    return mock.patch.object(RequestMachine, "_handle_deadline_expired", lambda self: [])


def _lets_runs_go_on_for_nobody():
    def end(self, kind, reason):
        self.phase = Phase.DONE
        return [ReleaseServer(), FinishRequest(kind, reason)]

    return mock.patch.object(RequestMachine, "_finish_without_response", end)


@contextlib.contextmanager
def _tries_without_end():
    """The budget of second sends alone would hide it."""
    endless = mock.patch.object(RequestMachine, "_has_attempts_left", lambda self: True)
    with endless, _never_spends_the_budget():
        yield


MUTATIONS = {
    "repeats-everything": (_repeats_everything, "at-most-once"),
    "promises-after-a-run": (_promises_after_a_run, "refusals-are-promises"),
    "closes-broken-answers-whole": (_closes_broken_answers_whole, "answers-are-whole"),
    "resumes-from-the-start": (_resumes_from_the_start, "streams-are-unbroken"),
    "passes-unfinished-events-on": (_passes_unfinished_events_on, "streams-are-unbroken"),
    "never-spends-the-budget": (_never_spends_the_budget, "retries-within"),
    "cold-servers-by-each-node-alone": (_cold_servers_by_each_node_alone, "cold-within"),
    "sends-to-draining-servers": (_sends_to_draining_servers, "known-drains-hold"),
    "forgets-the-time": (_forgets_the_time, "ends-in-time"),
    "lets-runs-go-on-for-nobody": (
        _lets_runs_go_on_for_nobody,
        "nothing-goes-on-for-nobody",
    ),
    "tries-without-end": (_tries_without_end, "attempts-are-bounded"),
}


class ForwardingModelTest(testtools.TestCase):
    def test_every_promise_holds_on_every_seed(self):
        outcomes = [run_forwarding(seed) for seed in SEEDS]
        self.assertEqual([], [(each.seed, each.problems) for each in outcomes if each.problems])
        endings = sum((each.endings for each in outcomes), Counter())
        self.assertGreater(endings["200 whole"], 0.7 * endings.total())
        for ending in ("503 whole", "502 whole", "504 whole", "200 cut", "500 whole"):
            self.assertGreater(endings[ending], 0, ending)

    def test_a_seed_replays_exactly(self):
        for seed in REPLAYED:
            self.assertEqual(run_forwarding(seed), run_forwarding(seed))

    def test_each_mutation_is_noticed_by_the_check_it_is_for(self):
        for name, (mutate, check) in MUTATIONS.items():
            with mutate():
                self.assertTrue(is_noticed(check), name)


def is_noticed(check: str) -> bool:
    """Whether some seed breaks this check."""
    return any(
        problem.startswith(f"{check}:")
        for seed in MUTATION_SEEDS
        for problem in run_forwarding(seed).problems
    )
