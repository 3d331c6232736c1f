"""Forwarding keeps its properties with failing back ends; each check detects a mutation."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections import Counter
from unittest import mock

import testtools

from zincvale.dataplane.forwarding.event_splitter import EventSplitter
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
from zincvale.simulator.forwarding.servers import ModelClient
from zincvale.transport.server_client import PresenceCheck

SEEDS = range(1, 201)
MUTATION_SEEDS = range(1, 101)
REPLAYED_SEEDS = (2, 11)


def _repeat_everything():
    return mock.patch.object(RequestMachine, "may_repeat", property(lambda self: True))


def _refuse_after_a_run():
    def broken(self, reason, _is_event_open):
        return [*self._refuse(reason, 0.1)]

    return mock.patch.object(RequestMachine, "_handle_broken", broken)


def _complete_broken_responses():
    return mock.patch.object(
        ForwardedRequest, "on_broken", lambda self, reason: self.on_complete(is_delimited=True)
    )


def _believe_every_end_of_a_connection():
    return mock.patch.object(EventSplitter, "is_event_open", False)


def _believe_the_end_of_a_server():
    def check_presence(self, _address, _incarnation, _settle_s, on_result):
        check = PresenceCheck(on_result)
        asyncio.get_running_loop().call_soon(functools.partial(check.finish, is_present=True))
        return check

    return mock.patch.object(ModelClient, "check_presence", check_presence)


def _resume_from_the_start():
    original = RequestMachine._send

    def send(self, server):
        self._last_event_id = ""
        return original(self, server)

    return mock.patch.object(RequestMachine, "_send", send)


def _forward_incomplete_events():
    def on_content(self, data):
        self._feed(ContentReceived(data))

    return mock.patch.object(ForwardedRequest, "on_content", on_content)


def _ignore_retry_budget():
    return mock.patch.object(RetryBudget, "take", lambda self, nodes, now: True)


def _limit_slow_start_per_node():
    original = SlowStartLimiter.may_send

    def may_send(self, allowed, rank, node_count, now):
        return original(self, allowed, 0, 1, now)

    return mock.patch.object(SlowStartLimiter, "may_send", may_send)


def _send_to_draining_servers():
    def in_service(self, pools):
        return [state for name in pools for state in self.servers_by_pool.get(name, ())]

    return mock.patch.object(RoutingState, "in_service", in_service)


def _ignore_deadline():
    return mock.patch.object(RequestMachine, "_handle_deadline_expired", lambda self: [])


def _keep_abandoned_runs():
    def end(self, kind, reason):
        self.phase = Phase.DONE
        return [ReleaseServer(), FinishRequest(kind, reason)]

    return mock.patch.object(RequestMachine, "_finish_without_response", end)


@contextlib.contextmanager
def _retry_without_limit():
    """Also disable the retry budget, which would limit the attempts by itself."""
    unlimited_attempts = mock.patch.object(RequestMachine, "_has_attempts_left", lambda self: True)
    with unlimited_attempts, _ignore_retry_budget():
        yield


MUTATIONS = {
    "repeats-everything": (_repeat_everything, "at-most-once"),
    "promises-after-a-run": (_refuse_after_a_run, "refusals-are-promises"),
    "closes-broken-answers-whole": (_complete_broken_responses, "answers-are-whole"),
    "believes-every-end-of-a-connection": (
        _believe_every_end_of_a_connection,
        "streams-are-unbroken",
    ),
    "believes-the-end-of-a-server": (_believe_the_end_of_a_server, "streams-are-unbroken"),
    "resumes-from-the-start": (_resume_from_the_start, "streams-are-unbroken"),
    "passes-unfinished-events-on": (_forward_incomplete_events, "streams-are-unbroken"),
    "never-spends-the-budget": (_ignore_retry_budget, "retries-within"),
    "cold-servers-by-each-node-alone": (_limit_slow_start_per_node, "cold-within"),
    "sends-to-draining-servers": (_send_to_draining_servers, "known-drains-hold"),
    "forgets-the-time": (_ignore_deadline, "ends-in-time"),
    "lets-runs-go-on-for-nobody": (
        _keep_abandoned_runs,
        "nothing-goes-on-for-nobody",
    ),
    "tries-without-end": (_retry_without_limit, "attempts-are-bounded"),
}


class ForwardingModelTest(testtools.TestCase):
    def test_every_check_passes_on_every_seed(self):
        outcomes = [run_forwarding(seed) for seed in SEEDS]
        self.assertEqual([], [(each.seed, each.problems) for each in outcomes if each.problems])
        endings = sum((each.endings for each in outcomes), Counter())
        self.assertGreater(endings["200 whole"], 0.7 * endings.total())
        for ending in ("503 whole", "502 whole", "504 whole", "200 cut", "500 whole"):
            self.assertGreater(endings[ending], 0, ending)

    def test_same_seed_gives_the_same_outcome(self):
        for seed in REPLAYED_SEEDS:
            self.assertEqual(run_forwarding(seed), run_forwarding(seed))

    def test_each_mutation_is_detected_by_its_check(self):
        for name, (mutate, check) in MUTATIONS.items():
            with mutate():
                self.assertTrue(is_detected(check), name)


def is_detected(check: str) -> bool:
    """Whether this check finds a violation on some seed."""
    return any(
        problem.startswith(f"{check}:")
        for seed in MUTATION_SEEDS
        for problem in run_forwarding(seed).problems
    )
