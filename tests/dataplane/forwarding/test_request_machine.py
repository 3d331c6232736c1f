"""What the request machine retries, refuses or aborts, whatever servers respond."""

from __future__ import annotations

import testtools

from tests.dataplane.forwarding.builders import make_route
from zincvale.dataplane.forwarding.dialect import ResponseFacts
from zincvale.dataplane.forwarding.policies import NoServerReason
from zincvale.dataplane.forwarding.request_events import (
    AbortResponse,
    CallerDisconnected,
    CancelExchange,
    CancelSelection,
    ContentReceived,
    DeadlineExpired,
    EndResponse,
    FinishRequest,
    HeadReceived,
    LocalReply,
    NoServerFound,
    NotSent,
    RelayContent,
    RelayHead,
    ReleaseServer,
    RequestOutcome,
    ResponseBroken,
    ResponseCompleted,
    SelectServer,
    SendRequest,
    ServerFound,
)
from zincvale.dataplane.forwarding.request_machine import MAX_UNCOUNTED_SENDS, RequestMachine

OK = ResponseFacts("q1")
NEVER_RAN = ResponseFacts("q1", never_ran=True)
MISDIRECTED = ResponseFacts("q1", never_ran=True, misdirected=True)


def selecting_machine(**route):
    machine = RequestMachine(make_route(**route))
    assert machine.begin() == [SelectServer(frozenset(), False)]
    return machine


def sent_machine(**route):
    machine = selecting_machine(**route)
    assert machine.handle(ServerFound("s1")) == [SendRequest("s1", "")]
    return machine


def outcomes(effects):
    return [each.outcome for each in effects if isinstance(each, FinishRequest)]


def statuses(effects):
    return [each.status for each in effects if isinstance(each, LocalReply)]


class RelayTest(testtools.TestCase):
    def test_a_response_is_relayed_until_it_is_complete(self):
        machine = sent_machine()
        self.assertEqual([RelayHead()], machine.handle(HeadReceived(200, OK, False)))
        self.assertEqual([RelayContent(b"x")], machine.handle(ContentReceived(b"x")))
        self.assertEqual(
            [ReleaseServer(), EndResponse(), FinishRequest(RequestOutcome.ANSWERED)],
            machine.handle(ResponseCompleted()),
        )
        self.assertEqual([], machine.handle(DeadlineExpired()))

    def test_a_500_response_that_cannot_be_retried_is_relayed(self):
        self.assertEqual([RelayHead()], sent_machine().handle(HeadReceived(500, OK, False)))

    def test_a_disconnected_caller_ends_the_exchange_and_later_inputs_have_no_effect(self):
        machine = sent_machine()
        effects = machine.handle(CallerDisconnected())
        self.assertEqual([CancelExchange(), ReleaseServer()], effects[:2])
        self.assertEqual([RequestOutcome.ABANDONED], outcomes(effects))
        self.assertEqual([], machine.handle(HeadReceived(200, OK, False)))


class AtMostOnceTest(testtools.TestCase):
    def test_a_non_repeatable_request_that_may_have_run_ends_as_unknown(self):
        effects = sent_machine(attempts=3).handle(ResponseBroken("reset"))
        self.assertEqual(([502], [RequestOutcome.UNKNOWN]), (statuses(effects), outcomes(effects)))

    def test_a_retryable_status_without_proof_is_not_relayed(self):
        for status in (408, 421, 429, 503):
            effects = sent_machine(attempts=3).handle(HeadReceived(status, OK, False))
            self.assertEqual(
                ([502], [RequestOutcome.UNKNOWN]), (statuses(effects), outcomes(effects))
            )
            self.assertIn(CancelExchange(), effects)

    def test_proof_that_a_request_never_ran_allows_a_retry_at_another_server(self):
        machine = sent_machine(attempts=2)
        effects = machine.handle(HeadReceived(503, NEVER_RAN, False))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])
        self.assertIn(ReleaseServer(refused=True), effects)

    def test_a_refused_last_attempt_ends_as_a_refusal_with_retry_after(self):
        effects = sent_machine(attempts=1).handle(HeadReceived(503, NEVER_RAN, False))
        self.assertEqual(([503], [RequestOutcome.REFUSED]), (statuses(effects), outcomes(effects)))
        reply = next(each for each in effects if isinstance(each, LocalReply))
        self.assertIsNotNone(reply.retry_after_s)

    def test_misdirected_sends_are_not_attempts_but_their_number_is_bounded(self):
        machine = sent_machine(attempts=1)
        for _ in range(MAX_UNCOUNTED_SENDS):
            effects = machine.handle(HeadReceived(421, MISDIRECTED, False))
            self.assertIn(ReleaseServer(not_resident=True), effects)
            self.assertIsInstance(effects[-1], SelectServer)
            machine.handle(ServerFound("s2"))
        effects = machine.handle(HeadReceived(421, MISDIRECTED, False))
        self.assertEqual([RequestOutcome.REFUSED], outcomes(effects))

    def test_the_send_after_a_misdirected_one_spends_the_retry_budget(self):
        """A misdirected send is no attempt, but it reached a server: each later send is a retry."""
        effects = sent_machine(attempts=1).handle(HeadReceived(421, MISDIRECTED, False))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])

    def test_a_failed_connection_is_not_an_attempt(self):
        machine = sent_machine(attempts=1)
        effects = machine.handle(NotSent("refused"))
        self.assertEqual(
            [ReleaseServer(unreachable=True), SelectServer(frozenset({"s1"}), False)], effects
        )

    def test_a_deadline_that_passes_after_the_send_ends_as_unknown(self):
        effects = sent_machine().handle(DeadlineExpired())
        self.assertEqual(([504], [RequestOutcome.UNKNOWN]), (statuses(effects), outcomes(effects)))

    def test_a_deadline_that_passes_before_the_send_ends_as_a_refusal(self):
        effects = selecting_machine().handle(DeadlineExpired())
        self.assertEqual(CancelSelection(), effects[0])
        self.assertEqual(([503], [RequestOutcome.REFUSED]), (statuses(effects), outcomes(effects)))

    def test_a_refusal_states_retry_after(self):
        effects = selecting_machine().handle(NoServerFound(NoServerReason.NOT_RESIDENT, 1.2))
        self.assertEqual(LocalReply(503, "not-resident", 1.2), effects[0])


class RepeatableTest(testtools.TestCase):
    def test_a_broken_exchange_is_retried_at_another_server(self):
        machine = sent_machine(repeatable=True, attempts=2)
        effects = machine.handle(ResponseBroken("reset"))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])

    def test_a_request_is_not_sent_more_often_than_its_route_has_attempts(self):
        machine = sent_machine(repeatable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        machine.handle(ServerFound("s2"))
        effects = machine.handle(ResponseBroken("reset"))
        self.assertEqual(([502], [RequestOutcome.UNKNOWN]), (statuses(effects), outcomes(effects)))

    def test_a_request_that_may_have_run_is_not_refused(self):
        machine = sent_machine(repeatable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        effects = machine.handle(NoServerFound(NoServerReason.BUSY, 0.1))
        self.assertEqual([502], statuses(effects))


class StreamTest(testtools.TestCase):
    def streaming_machine(self, **route):
        machine = sent_machine(streaming=True, **route)
        machine.handle(HeadReceived(200, OK, True))
        machine.handle(ContentReceived(b"id: 3\n\n", "3"))
        return machine

    def test_a_broken_stream_is_aborted(self):
        effects = self.streaming_machine(attempts=2).handle(ResponseBroken("reset"))
        self.assertIn(AbortResponse(), effects)
        self.assertNotIn(EndResponse(), effects)
        self.assertEqual([RequestOutcome.INTERRUPTED], outcomes(effects))

    def test_a_resumable_stream_is_resumed_after_its_last_event(self):
        machine = self.streaming_machine(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        self.assertEqual([SendRequest("s2", "3")], machine.handle(ServerFound("s2")))
        self.assertEqual([], machine.handle(HeadReceived(200, OK, True)))
        self.assertEqual(
            [RelayContent(b"id: 4\n\n")], machine.handle(ContentReceived(b"id: 4\n\n", "4"))
        )

    def test_a_stream_that_cannot_be_resumed_is_aborted(self):
        machine = self.streaming_machine(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        for effects in (
            machine.handle(NoServerFound(NoServerReason.BUSY, 0.1)),
            self.effects_of_resuming_with(HeadReceived(404, OK, False)),
            self.effects_of_resuming_with(HeadReceived(503, NEVER_RAN, False)),
        ):
            self.assertIn(AbortResponse(), effects)
            self.assertEqual([], statuses(effects))

    def effects_of_resuming_with(self, head):
        machine = self.streaming_machine(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        machine.handle(ServerFound("s2"))
        return machine.handle(head)

    def test_a_caller_may_resume_a_stream_after_the_last_event_it_received(self):
        machine = RequestMachine(make_route(streaming=True, resumable=True), "7")
        machine.begin()
        self.assertEqual([SendRequest("s1", "7")], machine.handle(ServerFound("s1")))
