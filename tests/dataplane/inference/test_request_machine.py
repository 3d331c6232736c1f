"""Guarantees of the request machine in every input order, and mutations that must be detected."""

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
REQUEST_KINDS = {
    "plain": (route(), inference_request(), None),
    "plain at most once": (route(at_most_once=True), inference_request(), None),
    "stream": (route(), inference_request(stream=True), None),
    "stream at most once": (route(at_most_once=True), inference_request(stream=True), None),
    "resumed stream": (route(), inference_request(stream=True), 1),
    "resumed stream at most once": (route(at_most_once=True), inference_request(stream=True), 1),
}


def machine_factory(kind, machine_class=RequestMachine):
    route_spec, inference, resume_after = REQUEST_KINDS[kind]
    return lambda: machine_class(
        request(inference=inference, resume_after=resume_after), route_spec
    )


class OutcomeGuaranteesTest(testtools.TestCase):
    def check_all_orders(self, kind, min_states):
        states, violations = explore(machine_factory(kind), DEPTH, refusals=(None, BUSY))
        self.assertEqual([], violations[:3])
        self.assertGreater(states, min_states)

    def test_a_plain_request_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("plain", 140)

    def test_a_plain_at_most_once_request_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("plain at most once", 370)

    def test_a_stream_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("stream", 1150)

    def test_an_at_most_once_stream_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("stream at most once", 970)

    def test_a_resumed_stream_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("resumed stream", 940)

    def test_a_resumed_at_most_once_stream_keeps_the_guarantees_in_every_input_order(self):
        self.check_all_orders("resumed stream at most once", 45)


class RetriesAfterFirstByte(RequestMachine):
    def _handle_server_failed(self, event: ServerFailed):
        return super()._handle_server_failed(ServerFailed(event.reason, sent=False))


class RefusesAtDeadline(RequestMachine):
    def _expire_exchange(self, sent):
        return super()._expire_exchange(sent=False)


class DispatchesWithoutClaim(RequestMachine):
    def _handle_started(self, refusal):
        return self._choose_server()


class NeverFreesSlot(RequestMachine):
    def _handle_response(self, event: ResponseReceived):
        effects = super()._handle_response(event)
        return [effect for effect in effects if not isinstance(effect, FreeServer)]


class AcceptsChunksOutOfOrder(RequestMachine):
    def _handle_chunks(self, event):
        self.chunks += event.chunks
        return [*self._ensure_stream_open(), RelayChunks(event.first_index, event.chunks)]


class AcceptsTruncatedStream(RequestMachine):
    def _handle_stream_ended(self, count):
        self.chunks = [*self.chunks, *[""] * (count - len(self.chunks))]
        return super()._handle_stream_ended(count)


class LeavesExchangeOpen(RequestMachine):
    def _abandon_exchange(self, sent):
        return [FreeServer(ExchangeEnd.ABANDONED), *self._finish(Outcome.UNKNOWN)]


class ReleasesClaimAfterRun(RequestMachine):
    def _release_claim(self):
        return [ReleaseClaim()] if self.is_claimed else []

    def _record_unknown_outcome(self, problem):
        return self._release_claim()


class MutationsTest(testtools.TestCase):
    """A machine that breaks a guarantee on purpose is detected, so the exploration checks it."""

    def assert_violation_found(self, kind, machine_class, expected_text):
        _, violations = explore(machine_factory(kind, machine_class), DEPTH, refusals=(None, BUSY))
        matching = [line for line in violations if expected_text in line]
        self.assertNotEqual([], matching, f"{machine_class.__name__}: {violations[:2]}")

    def test_a_second_dispatch_after_the_first_byte_is_detected(self):
        self.assert_violation_found("plain at most once", RetriesAfterFirstByte, "dispatched again")

    def test_a_refusal_of_a_request_that_may_have_run_is_detected(self):
        self.assert_violation_found(
            "plain", RefusesAtDeadline, "refused a request that may have run"
        )

    def test_a_dispatch_without_a_claim_is_detected(self):
        self.assert_violation_found("plain at most once", DispatchesWithoutClaim, "without a claim")

    def test_a_slot_that_is_never_freed_is_detected(self):
        self.assert_violation_found("plain", NeverFreesSlot, "not freed")

    def test_relaying_chunks_out_of_order_is_detected(self):
        self.assert_violation_found("stream", AcceptsChunksOutOfOrder, "was expected")

    def test_a_truncated_stream_that_ends_as_complete_is_detected(self):
        self.assert_violation_found("stream", AcceptsTruncatedStream, "ended after")

    def test_an_exchange_left_open_is_detected(self):
        self.assert_violation_found("plain", LeavesExchangeOpen, "left open")

    def test_releasing_the_claim_of_a_request_that_ran_is_detected(self):
        self.assert_violation_found("plain at most once", ReleasesClaimAfterRun, "released a claim")


class LateResponseTest(testtools.TestCase):
    def test_the_late_response_to_an_at_most_once_request_is_recorded_for_resends(self):
        machine = machine_factory("plain at most once")()
        machine.handle(Started())
        machine.handle(ClaimDecided(ClaimGranted()))
        self.assertEqual([Dispatch("s1", (), 1)], machine.handle(ServerChosen("s1")))
        (response,) = machine.handle(DeadlinePassed(sent=True))
        self.assertEqual(504, response.status)
        self.assertIs(Phase.LATE, machine.phase)
        effects = machine.handle(ResponseReceived(b"{}", 1))
        self.assertEqual([FreeServer, RecordOutcome, Finish], [type(effect) for effect in effects])
        self.assertIs(Outcome.ANSWERED, effects[1].outcome)
        self.assertNotIn(SendResponse, [type(effect) for effect in effects])
