"""What may be retried, refused or aborted, whatever servers do."""

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


def begun(**route):
    machine = RequestMachine(make_route(**route))
    assert machine.begin() == [SelectServer(frozenset(), False)]
    return machine


def sent(**route):
    machine = begun(**route)
    assert machine.handle(ServerFound("s1")) == [SendRequest("s1", "")]
    return machine


def kinds(effects):
    return [each.kind for each in effects if isinstance(each, FinishRequest)]


def statuses(effects):
    return [each.status for each in effects if isinstance(each, LocalReply)]


class OrdinaryTest(testtools.TestCase):
    def test_a_response_is_relayed_and_ends_complete(self):
        machine = sent()
        self.assertEqual([RelayHead()], machine.handle(HeadReceived(200, OK, False)))
        self.assertEqual([RelayContent(b"x")], machine.handle(ContentReceived(b"x")))
        self.assertEqual(
            [ReleaseServer(), EndResponse(), FinishRequest(RequestOutcome.ANSWERED)],
            machine.handle(ResponseCompleted()),
        )
        self.assertEqual([], machine.handle(DeadlineExpired()))

    def test_a_failure_of_the_servers_own_is_relayed(self):
        self.assertEqual([RelayHead()], sent().handle(HeadReceived(500, OK, False)))

    def test_nothing_follows_a_caller_that_disconnected(self):
        machine = sent()
        effects = machine.handle(CallerDisconnected())
        self.assertEqual([CancelExchange(), ReleaseServer()], effects[:2])
        self.assertEqual([RequestOutcome.ABANDONED], kinds(effects))
        self.assertEqual([], machine.handle(HeadReceived(200, OK, False)))


class AtMostOnceTest(testtools.TestCase):
    def test_what_may_have_run_is_unknown_at_once(self):
        effects = sent(attempts=3).handle(ResponseBroken("reset"))
        self.assertEqual(([502], [RequestOutcome.UNKNOWN]), (statuses(effects), kinds(effects)))

    def test_a_retryable_status_without_proof_is_not_relayed(self):
        for status in (408, 421, 429, 503):
            effects = sent(attempts=3).handle(HeadReceived(status, OK, False))
            self.assertEqual(([502], [RequestOutcome.UNKNOWN]), (statuses(effects), kinds(effects)))
            self.assertIn(CancelExchange(), effects)

    def test_proof_that_it_never_ran_allows_another_server(self):
        machine = sent(attempts=2)
        effects = machine.handle(HeadReceived(503, NEVER_RAN, False))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])
        self.assertIn(ReleaseServer(refused=True), effects)

    def test_the_last_attempt_that_was_refused_is_a_refusal_with_a_retry_time(self):
        effects = sent(attempts=1).handle(HeadReceived(503, NEVER_RAN, False))
        self.assertEqual(([503], [RequestOutcome.REFUSED]), (statuses(effects), kinds(effects)))
        reply = next(each for each in effects if isinstance(each, LocalReply))
        self.assertIsNotNone(reply.retry_after_s)

    def test_a_misdirected_send_is_no_attempt_but_they_are_bounded(self):
        machine = sent(attempts=1)
        for _ in range(MAX_UNCOUNTED_SENDS):
            effects = machine.handle(HeadReceived(421, MISDIRECTED, False))
            self.assertIn(ReleaseServer(absent=True), effects)
            self.assertIsInstance(effects[-1], SelectServer)
            machine.handle(ServerFound("s2"))
        effects = machine.handle(HeadReceived(421, MISDIRECTED, False))
        self.assertEqual([RequestOutcome.REFUSED], kinds(effects))

    def test_what_follows_a_misdirected_send_spends_the_budget(self):
        """It is no attempt, but an arrival: the budget counts arrivals beyond the first."""
        effects = sent(attempts=1).handle(HeadReceived(421, MISDIRECTED, False))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])

    def test_a_connection_that_never_came_up_is_no_attempt(self):
        machine = sent(attempts=1)
        effects = machine.handle(NotSent("refused"))
        self.assertEqual(
            [ReleaseServer(unreachable=True), SelectServer(frozenset({"s1"}), False)], effects
        )

    def test_a_deadline_while_it_runs_is_unknown(self):
        effects = sent().handle(DeadlineExpired())
        self.assertEqual(([504], [RequestOutcome.UNKNOWN]), (statuses(effects), kinds(effects)))

    def test_a_deadline_before_it_was_sent_is_a_refusal(self):
        effects = begun().handle(DeadlineExpired())
        self.assertEqual(CancelSelection(), effects[0])
        self.assertEqual(([503], [RequestOutcome.REFUSED]), (statuses(effects), kinds(effects)))

    def test_a_refusal_carries_the_retry_time(self):
        effects = begun().handle(NoServerFound(NoServerReason.NOT_RESIDENT, 1.2))
        self.assertEqual(LocalReply(503, "not-resident", 1.2), effects[0])


class RepeatableTest(testtools.TestCase):
    def test_a_broken_run_goes_to_another_server(self):
        machine = sent(repeatable=True, attempts=2)
        effects = machine.handle(ResponseBroken("reset"))
        self.assertEqual(SelectServer(frozenset({"s1"}), True), effects[-1])

    def test_attempts_are_the_most_servers_it_is_sent_to(self):
        machine = sent(repeatable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        machine.handle(ServerFound("s2"))
        effects = machine.handle(ResponseBroken("reset"))
        self.assertEqual(([502], [RequestOutcome.UNKNOWN]), (statuses(effects), kinds(effects)))

    def test_after_a_run_that_failed_no_refusal_is_given(self):
        machine = sent(repeatable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        effects = machine.handle(NoServerFound(NoServerReason.BUSY, 0.1))
        self.assertEqual([502], statuses(effects))


class StreamTest(testtools.TestCase):
    def streaming(self, **route):
        machine = sent(streaming=True, **route)
        machine.handle(HeadReceived(200, OK, True))
        machine.handle(ContentReceived(b"id: 3\n\n", "3"))
        return machine

    def test_a_broken_stream_is_aborted(self):
        effects = self.streaming(attempts=2).handle(ResponseBroken("reset"))
        self.assertIn(AbortResponse(), effects)
        self.assertNotIn(EndResponse(), effects)
        self.assertEqual([RequestOutcome.INTERRUPTED], kinds(effects))

    def test_a_resumable_stream_is_resumed_after_its_last_event(self):
        machine = self.streaming(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        self.assertEqual([SendRequest("s2", "3")], machine.handle(ServerFound("s2")))
        self.assertEqual([], machine.handle(HeadReceived(200, OK, True)))
        self.assertEqual(
            [RelayContent(b"id: 4\n\n")], machine.handle(ContentReceived(b"id: 4\n\n", "4"))
        )

    def test_a_stream_that_cannot_be_resumed_is_aborted(self):
        machine = self.streaming(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        for effects in (
            machine.handle(NoServerFound(NoServerReason.BUSY, 0.1)),
            self.resumed_with(HeadReceived(404, OK, False)),
            self.resumed_with(HeadReceived(503, NEVER_RAN, False)),
        ):
            self.assertIn(AbortResponse(), effects)
            self.assertEqual([], statuses(effects))

    def resumed_with(self, head):
        machine = self.streaming(resumable=True, attempts=2)
        machine.handle(ResponseBroken("reset"))
        machine.handle(ServerFound("s2"))
        return machine.handle(head)

    def test_a_caller_resumes_where_it_was(self):
        machine = RequestMachine(make_route(streaming=True, resumable=True), "7")
        machine.begin()
        self.assertEqual([SendRequest("s1", "7")], machine.handle(ServerFound("s1")))
