"""Outcome × fault point of the request machine, and mutations that must be caught."""

from __future__ import annotations

import testtools

from tests.dataplane.inference.builders import inference_request, request, route
from tests.dataplane.inference.request_exploration import BUSY, explore
from zincvale.dataplane.inference.dependencies import ClaimGranted
from zincvale.dataplane.inference.events import (
    ClaimDecided,
    DeadlinePassed,
    Dispatch,
    Finish,
    FreeServer,
    RecordOutcome,
    RelayChunks,
    ReleaseClaim,
    ResponseReceived,
    SendResponse,
    ServerChosen,
    ServerFailed,
    Started,
)
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_state import Phase
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.outcomes import Outcome

DEPTH = 14
KINDS = {
    "plain": (route(), inference_request(), None),
    "plain at most once": (route(at_most_once=True), inference_request(), None),
    "stream": (route(), inference_request(stream=True), None),
    "stream at most once": (route(at_most_once=True), inference_request(stream=True), None),
    "resumed stream": (route(), inference_request(stream=True), 1),
    "resumed stream at most once": (route(at_most_once=True), inference_request(stream=True), 1),
}


def maker(kind, machine_class=RequestMachine):
    spec, asked, after = KINDS[kind]
    return lambda: machine_class(request(asked=asked, after=after), spec)


class PromisesTest(testtools.TestCase):
    def check(self, kind, least_states):
        states, broken = explore(maker(kind), DEPTH, refusals=(None, BUSY))
        self.assertEqual([], broken[:3])
        self.assertGreater(states, least_states)

    def test_plain(self):
        self.check("plain", 140)

    def test_plain_at_most_once(self):
        self.check("plain at most once", 370)

    def test_stream(self):
        self.check("stream", 1150)

    def test_stream_at_most_once(self):
        self.check("stream at most once", 970)

    def test_resumed_stream(self):
        self.check("resumed stream", 940)

    def test_resumed_stream_at_most_once(self):
        self.check("resumed stream at most once", 45)


class RepeatsAfterSent(RequestMachine):
    def _handle_server_failed(self, event: ServerFailed):
        return super()._handle_server_failed(ServerFailed(event.reason, sent=False))


class RefusesAtDeadline(RequestMachine):
    def _expire_exchange(self, sent):
        return super()._expire_exchange(sent=False)


class SkipsTheClaim(RequestMachine):
    def _handle_started(self, refusal):
        return self._choose_server()


class KeepsThePlace(RequestMachine):
    def _handle_response(self, event: ResponseReceived):
        effects = super()._handle_response(event)
        return [effect for effect in effects if not isinstance(effect, FreeServer)]


class TakesChunksInAnyOrder(RequestMachine):
    def _handle_chunks(self, event):
        self.chunks += event.chunks
        return [*self._ensure_stream_open(), RelayChunks(event.first_index, event.chunks)]


class EndsShort(RequestMachine):
    def _handle_stream_ended(self, count):
        self.chunks = [*self.chunks, *[""] * (count - len(self.chunks))]
        return super()._handle_stream_ended(count)


class ForgetsTheExchange(RequestMachine):
    def _abandon_exchange(self, sent):
        return [FreeServer(ExchangeEnd.ABANDONED), *self._finish(Outcome.UNKNOWN)]


class ReleasesWhatRan(RequestMachine):
    def _release_claim(self):
        return [ReleaseClaim()] if self.is_claimed else []

    def _record_unknown_outcome(self, problem):
        return self._release_claim()


class MutationsTest(testtools.TestCase):
    """Each way of breaking a promise is found, so the exploration does look at it."""

    def caught(self, kind, machine_class, words):
        _, broken = explore(maker(kind, machine_class), DEPTH, refusals=(None, BUSY))
        found = [line for line in broken if words in line]
        self.assertNotEqual([], found, f"{machine_class.__name__}: {broken[:2]}")

    def test_repeats_after_the_first_byte(self):
        self.caught("plain at most once", RepeatsAfterSent, "dispatched again")

    def test_refuses_what_may_have_run(self):
        self.caught("plain", RefusesAtDeadline, "refused what may have run")

    def test_skips_the_claim(self):
        self.caught("plain at most once", SkipsTheClaim, "without a claim")

    def test_keeps_a_place(self):
        self.caught("plain", KeepsThePlace, "not given back")

    def test_relays_skipped_chunks(self):
        self.caught("stream", TakesChunksInAnyOrder, "was due")

    def test_ends_a_stream_short(self):
        self.caught("stream", EndsShort, "ended after")

    def test_leaves_an_exchange_running(self):
        self.caught("plain", ForgetsTheExchange, "left running")

    def test_releases_a_claim_that_ran(self):
        self.caught("plain at most once", ReleasesWhatRan, "released a claim")


class LateAnswerTest(testtools.TestCase):
    def test_the_late_answer_of_an_at_most_once_request_is_recorded_for_resends(self):
        machine = maker("plain at most once")()
        machine.handle(Started())
        machine.handle(ClaimDecided(ClaimGranted()))
        self.assertEqual([Dispatch("s1", (), 1)], machine.handle(ServerChosen("s1")))
        (answer,) = machine.handle(DeadlinePassed(sent=True))
        self.assertEqual(504, answer.status)
        self.assertIs(Phase.LATE, machine.phase)
        effects = machine.handle(ResponseReceived(b"{}", 1))
        self.assertEqual([FreeServer, RecordOutcome, Finish], [type(effect) for effect in effects])
        self.assertIs(Outcome.ANSWERED, effects[1].outcome)
        self.assertNotIn(SendResponse, [type(effect) for effect in effects])
