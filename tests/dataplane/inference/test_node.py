"""Requests through a node from arrival to outcome, some with their approved transcripts."""

from __future__ import annotations

import asyncio
import gc
import textwrap
import weakref

import testtools

from tests.dataplane.inference.builders import DOWN, server_row
from tests.dataplane.inference.node_harness import Harness
from zincvale.dataplane.inference.dependencies import (
    ClaimRefusal,
    ClaimRefused,
    JournalAppend,
    JournalState,
    RecordedOutcome,
)
from zincvale.dataplane.inference.requests import request_digest
from zincvale.model.outcomes import Outcome
from zincvale.model.resources import PoolKind

RESPONSE_BODY = b'{"request_id":"q1","text":"x","tokens":3}'
CHAT_BODY = b'{"model":"m","prompt":"p","max_tokens":3}'


def chunk_event(number, text):
    return f'id: {number}\ndata: {{"text":"{text}"}}\n\n'


END_EVENT = 'event: end\ndata: {"count":2}\n\n'


class FailingMachine:
    def __init__(self, machine):
        self.request = machine.request
        self.phase = machine.phase
        self.is_stream_open = False

    def handle(self, event):
        raise ZeroDivisionError


class NodeTestCase(testtools.TestCase):
    def run_scenario(self, scenario, expected=None):
        """Run a coroutine function over a harness of two servers and compare its transcript."""

        async def main():
            harness = Harness(server_row("s1"), server_row("s2", zone="b"))
            await scenario(harness)
            return harness

        harness = asyncio.run(main())
        if expected is not None:
            self.assertEqual(textwrap.dedent(expected).strip(), "\n".join(harness.transcript))
        states = harness.node.context.routing_state.servers.values()
        self.assertEqual({0}, {state.outstanding for state in states}, "slots not freed")
        self.assertEqual(0, harness.node.active_requests)
        self.assertTrue(all(span.ended for span in harness.spans.spans))
        return harness


class CompleteResponseTest(NodeTestCase):
    def test_a_response_body_is_passed_on_unchanged(self):
        async def scenario(harness):
            harness.post("/v1/sum", X_Request_Id="q1")
            harness.exchanges[0].respond(200, RESPONSE_BODY)

        self.run_scenario(
            scenario,
            """
            s1:1 < /v1/generate {"request_id":"q1","model":"m","adapter":null,"prompt":"p","max_tokens":3,"stream":false,"prefix":[]}
            caller > 200 answered {"request_id":"q1","text":"x","tokens":3}
            """,  # noqa: E501
        )

    def test_a_response_to_another_request_is_not_delivered_and_its_connection_is_closed(self):
        async def scenario(harness):
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.take_transcript()
            harness.exchanges[0].respond(200, RESPONSE_BODY.replace(b"q1", b"q2"))
            await harness.run_pending_tasks()

        self.run_scenario(
            scenario,
            """
            s1:1 connection never used again
            record q1: unknown 504 '{"outcome":"unknown","request_id":"q1","problem":"the response belongs to another request","remedy":"send it again with the same X-Request-Id to learn its outcome"}'
            caller > 504 unknown {"outcome":"unknown","request_id":"q1","problem":"the response belongs to another request","remedy":"send it again with the same X-Request-Id to learn its outcome"}
            """,  # noqa: E501
        )

    def test_an_at_most_once_request_is_claimed_and_recorded_before_its_response(self):
        async def scenario(harness):
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.exchanges[0].respond(200, RESPONSE_BODY)
            await harness.run_pending_tasks()
            del harness.transcript[1]

        self.run_scenario(
            scenario,
            """
            claim q1: ClaimGranted
            record q1: answered 200 '{"request_id":"q1","text":"x","tokens":3}'
            caller > 200 answered {"request_id":"q1","text":"x","tokens":3}
            """,
        )

    def test_a_refused_or_unconnected_attempt_is_retried_at_another_server(self):
        async def scenario(harness):
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.exchanges[0].respond(503, b'{"error":"overloaded","ran":false}')
            harness.exchanges[1].fail("no connection")
            self.assertEqual(["s1:1", "s2:1"], [e.request.address for e in harness.exchanges])
            self.assertEqual(2, len(harness.exchanges))
            harness.now = 1.0
            harness.node.tick(1.0)
            harness.exchanges[2].respond(200, RESPONSE_BODY)
            await harness.run_pending_tasks()
            self.assertIn("caller > 200 answered", harness.transcript[-1])

        self.run_scenario(scenario)

    def test_after_the_first_byte_an_at_most_once_request_is_never_sent_again(self):
        async def scenario(harness):
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.exchanges[0].connect()
            harness.exchanges[0].fail()
            await harness.run_pending_tasks()
            self.assertEqual(1, len(harness.exchanges))
            self.assertIn("caller > 504 unknown", harness.transcript[-1])
            self.assertIn("record q1: unknown", harness.transcript[-2])

        self.run_scenario(scenario)

    def test_a_claim_too_old_to_permit_a_send_is_renewed_first(self):
        async def scenario(harness):
            harness.claims.dispatchable = [False, True]
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.exchanges[0].respond(200, RESPONSE_BODY)
            await harness.run_pending_tasks()
            self.assertEqual(["claim q1: ClaimGranted", "renew q1: True"], harness.transcript[:2])

        self.run_scenario(scenario)

    def test_nothing_is_sent_when_the_claim_cannot_be_renewed(self):
        async def scenario(harness):
            harness.claims.dispatchable = [False]
            harness.claims.renewed = False
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            self.assertEqual([], harness.exchanges)
            self.assertEqual("release q1", harness.transcript[2])
            self.assertIn("504 unknown", harness.transcript[3])

        self.run_scenario(scenario)

    def test_a_resend_gets_the_recorded_outcome(self):
        async def scenario(harness):
            headers = {"Zincvale-Outcome": "answered"}
            harness.claims.decision = RecordedOutcome(Outcome.ANSWERED, 200, headers, RESPONSE_BODY)
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            self.assertEqual([], harness.exchanges)
            self.assertIn("200 answered", harness.transcript[-1])

        self.run_scenario(scenario)

    def test_without_claim_voters_only_a_request_with_a_generated_identifier_is_refused(self):
        async def scenario(harness):
            harness.claims.decision = ClaimRefused(ClaimRefusal.UNAVAILABLE, 2.0)
            harness.post("/v1/quote", X_Request_Id="q1")
            harness.post("/v1/quote")
            await harness.run_pending_tasks()
            harness.claims.decision = ValueError("unexpected exception in the claims")
            harness.post("/v1/quote", X_Request_Id="q2")
            await harness.run_pending_tasks()
            responses = [
                record_line[:35]
                for record_line in harness.transcript
                if record_line.startswith("caller")
            ]
            expected = [
                "caller > 504 unknown retry after 2 ",
                "caller > 503 refused retry after 2 ",
                "caller > 504 unknown retry after 1 ",
            ]
            self.assertEqual(expected, responses)
            self.assertEqual([], harness.exchanges)

        self.run_scenario(scenario)

    def test_a_node_without_fresh_configuration_sends_nothing(self):
        async def scenario(harness):
            harness.ready = False
            harness.post("/v1/sum")
            self.assertIn("503 refused retry after 1", harness.take_transcript()[0])
            harness.post("/v1/quote", X_Request_Id="q2")
            await harness.run_pending_tasks()
            self.assertEqual([], harness.exchanges)
            self.assertEqual(["claim q2: ClaimGranted", "release q2"], harness.transcript[0:2])
            self.assertIn("503 refused retry after 1", harness.transcript[2])

        self.run_scenario(scenario)

    def test_a_resend_is_not_refused_after_its_first_attempt_may_have_run(self):
        async def scenario(harness):
            caller = harness.post("/v1/sum", X_Request_Id="q1")
            harness.exchanges[0].connect()
            caller.runner.on_caller_disconnected()
            await harness.run_pending_tasks()
            self.assertEqual("claim q1: ClaimGranted", harness.transcript[-2])
            self.assertIn("record q1: unknown 504", harness.transcript[-1])
            harness.ready = False
            headers = {"Zincvale-Outcome": "unknown"}
            harness.claims.decision = RecordedOutcome(Outcome.UNKNOWN, 504, headers, b"{}")
            harness.post("/v1/sum", X_Request_Id="q1")
            await harness.run_pending_tasks()
            self.assertEqual("caller > 504 unknown {}", harness.transcript[-1])

        self.run_scenario(scenario)

    def test_a_node_that_was_frozen_sends_nothing_by_outdated_tables(self):
        async def scenario(harness):
            harness.post("/v1/quote", X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.ready = False
            harness.exchanges[0].connect()
            harness.now = 20.0
            harness.node.tick(20.0)
            self.assertEqual((1, False), (len(harness.exchanges), harness.exchanges[0].sent))
            harness.ready = True
            harness.node.apply_intent(harness.intent(2, drained=["s1"]))
            await harness.run_pending_tasks()
            self.assertEqual("s2:1", harness.exchanges[1].request.address)
            harness.exchanges[1].respond(200, RESPONSE_BODY)
            await harness.run_pending_tasks()
            self.assertIn("200 answered", harness.transcript[-1])

        self.run_scenario(scenario)

    def test_nothing_is_sent_to_a_server_drained_while_the_connection_was_established(self):
        async def scenario(harness):
            harness.post("/v1/sum", X_Request_Id="q1")
            harness.node.apply_intent(harness.intent(2, drained=["s1"]))
            harness.exchanges[0].connect()
            self.assertFalse(harness.exchanges[0].sent)
            self.assertEqual("s2:1", harness.exchanges[1].request.address)
            harness.exchanges[1].respond(200, RESPONSE_BODY)

        self.run_scenario(scenario)

    def test_a_server_that_cannot_be_reached_is_retried_after_a_pause(self):
        async def scenario(harness):
            harness.apply_directory(2, server_row("s1"))
            harness.post("/v1/sum", X_Request_Id="q1")
            for attempt in range(1, 4):
                harness.exchanges[-1].fail("no connection")
                harness.node.tick(harness.now)
                self.assertEqual(attempt, len(harness.exchanges))
                harness.now += 1.0
                harness.node.tick(harness.now)
                self.assertEqual(attempt + 1, len(harness.exchanges))
            harness.exchanges[-1].respond(200, RESPONSE_BODY)
            self.assertIn("200 answered", harness.transcript[-1])

        self.run_scenario(scenario)

    def test_a_lookup_is_sent_with_its_key_escaped_in_the_query(self):
        async def scenario(harness):
            lookup = server_row("l1", pool="lookup", models=(), kind=PoolKind.LOOKUP)
            harness.apply_directory(2, lookup)
            harness.post("/v1/scan", b'{"key":"bin 7"}', X_Request_Id="q1")
            await harness.run_pending_tasks()
            harness.exchanges[0].respond(200, b'{"request_id":"q1","key":"bin 7","value":"x"}')
            await harness.run_pending_tasks()
            self.assertEqual("l1:1 < /v1/lookup?key=bin+7&request_id=q1", harness.transcript[1])

        self.run_scenario(scenario)

    def test_a_finished_request_leaves_no_reference_cycle(self):
        async def scenario(harness):
            gc.collect()
            gc.disable()
            self.addCleanup(gc.enable)
            caller = harness.post("/v1/sum", X_Request_Id="q1")
            runner = weakref.ref(caller.runner)
            harness.exchanges[0].respond(200, RESPONSE_BODY)
            del caller.runner
            self.assertIsNone(runner())

        self.run_scenario(scenario)

    def test_an_exception_in_the_machine_ends_as_unknown_and_frees_the_slot(self):
        async def scenario(harness):
            caller = harness.post("/v1/sum", X_Request_Id="q1")
            caller.runner.machine = FailingMachine(caller.runner.machine)
            harness.exchanges[0].respond(200, RESPONSE_BODY)
            self.assertIn("504 unknown", harness.transcript[-1])

        self.run_scenario(scenario)


class StreamTest(NodeTestCase):
    def test_a_broken_stream_continues_at_another_server_from_its_exact_prefix(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            first = harness.exchanges[0]
            first.start_stream()
            first.receive_events(chunk_event(1, "a"))
            await harness.run_pending_tasks()
            first.fail()
            second = harness.exchanges[1]
            second.start_stream()
            second.receive_events(chunk_event(2, "b") + END_EVENT)
            second.listener.on_done(b"")
            await harness.run_pending_tasks()

        self.run_scenario(
            scenario,
            """
            s1:1 < /v1/generate {"request_id":"q1","model":"m","adapter":null,"prompt":"p","max_tokens":3,"stream":true,"prefix":[]}
            caller > 200 text/event-stream
            journal q1 epoch 1: 1 ['a']
            caller > id: 1 | data: {"text":"a"}
            s2:1 < /v1/generate {"request_id":"q1","model":"m","adapter":null,"prompt":"p","max_tokens":3,"stream":true,"prefix":["a"]}
            journal q1 epoch 1: 2 ['b']
            caller > id: 2 | data: {"text":"b"}
            caller > event: end | data: {"count": 2}
            caller > whole
            journal q1 epoch 1: ends at 2
            """,  # noqa: E501
        )

    def test_a_stream_that_skips_an_event_is_closed_and_later_events_are_not_relayed(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            first = harness.exchanges[0]
            first.start_stream()
            first.receive_events(chunk_event(1, "a") + chunk_event(3, "c"))
            harness.exchanges[1].start_stream()
            harness.exchanges[1].receive_events(chunk_event(2, "b") + END_EVENT)
            await harness.run_pending_tasks()
            self.assertIn("s1:1 closed by the node", harness.transcript)
            self.assertNotIn(
                '"c"', "".join(n for n in harness.transcript if n.startswith("caller > id"))
            )

        self.run_scenario(scenario)

    def test_a_stream_that_closes_without_its_end_event_continues_at_another_server(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            harness.exchanges[0].start_stream()
            harness.exchanges[0].receive_events(chunk_event(1, "a"))
            harness.exchanges[0].listener.on_done(b"")
            harness.exchanges[1].start_stream()
            harness.exchanges[1].receive_events(chunk_event(2, "b") + END_EVENT)
            await harness.run_pending_tasks()
            self.assertEqual("caller > whole", harness.transcript[-2])

        self.run_scenario(scenario)

    def test_a_stream_times_out_at_a_silent_server_but_not_while_the_caller_is_slow(self):
        async def scenario(harness):
            caller = harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            first = harness.exchanges[0]
            first.start_stream()
            caller.write_gate = asyncio.get_running_loop().create_future()
            first.receive_events("".join(chunk_event(n, "a") for n in range(1, 100)))
            self.assertTrue(first.paused)
            harness.now = 100.0
            harness.node.tick(100.0)
            self.assertEqual(1, len(harness.exchanges))
            caller.write_gate.set_result(None)
            await harness.run_pending_tasks()
            self.assertFalse(first.paused)
            harness.node.tick(102.9)
            self.assertEqual(1, len(harness.exchanges))
            harness.node.tick(103.1)
            self.assertEqual(2, len(harness.exchanges))
            harness.exchanges[1].start_stream()
            harness.exchanges[1].receive_events(END_EVENT.replace("2", "99"))
            await harness.run_pending_tasks()

        self.run_scenario(scenario)

    def test_a_stream_leaves_a_server_reported_down_only_when_it_is_also_silent(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            harness.exchanges[0].start_stream()
            harness.now = 0.5
            harness.apply_directory(2, server_row("s1", health=DOWN), server_row("s2"))
            self.assertEqual(1, len(harness.exchanges))
            harness.now = 1.5
            harness.apply_directory(3, server_row("s1", health=DOWN), server_row("s2"))
            harness.exchanges[1].start_stream()
            harness.exchanges[1].receive_events(END_EVENT.replace("2", "0"))
            await harness.run_pending_tasks()

        self.run_scenario(scenario)

    def test_a_fenced_stream_delivers_nothing_more_and_is_cut(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            harness.exchanges[0].start_stream()
            harness.journal.append_result = JournalAppend.FENCED
            harness.exchanges[0].receive_events(chunk_event(1, "a"))
            await harness.run_pending_tasks()
            del harness.transcript[0]

        self.run_scenario(
            scenario,
            """
            caller > 200 text/event-stream
            journal q1 epoch 1: 1 ['a']
            s1:1 closed by the node
            caller > event: error | data: {"outcome":"interrupted","resumable":true,"reason":"resumed at another node"}
            caller > cut
            """,  # noqa: E501
        )

    def test_a_resumed_stream_sends_the_journalled_chunks_and_continues(self):
        async def scenario(harness):
            digest = request_digest("chat", CHAT_BODY)
            harness.journal.state = JournalState(digest, ("a", "b"), epoch=4)
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1", Last_Event_ID="1")
            await harness.run_pending_tasks()
            harness.exchanges[0].start_stream()
            harness.exchanges[0].receive_events(chunk_event(3, "c") + END_EVENT.replace("2", "3"))
            await harness.run_pending_tasks()

        self.run_scenario(
            scenario,
            """
            journal q1: resumed after 1
            caller > 200 text/event-stream
            s1:1 < /v1/generate {"request_id":"q1","model":"m","adapter":null,"prompt":"p","max_tokens":3,"stream":true,"prefix":["a","b"]}
            caller > id: 2 | data: {"text":"b"}
            journal q1 epoch 4: 3 ['c']
            caller > id: 3 | data: {"text":"c"}
            caller > event: end | data: {"count": 3}
            caller > whole
            journal q1 epoch 4: ends at 3
            """,  # noqa: E501
        )

    def test_resuming_an_unknown_stream_ends_with_an_error_event(self):
        async def scenario(harness):
            harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1", Last_Event_ID="5")
            await harness.run_pending_tasks()

        self.run_scenario(
            scenario,
            """
            journal q1: resumed after 5
            caller > 200 text/event-stream
            caller > event: error | data: {"outcome":"interrupted","resumable":false,"reason":"the stream is no longer known"}
            caller > cut
            """,  # noqa: E501
        )

    def test_an_at_most_once_stream_is_recorded_after_its_caller_disconnected(self):
        async def scenario(harness):
            caller = harness.post("/v1/ticket", CHAT_BODY, X_Request_Id="q1")
            await harness.run_pending_tasks()
            first = harness.exchanges[0]
            first.start_stream()
            first.receive_events(chunk_event(1, "a"))
            await harness.run_pending_tasks()
            caller.is_disconnected = True
            caller.runner.on_caller_disconnected()
            first.receive_events(chunk_event(2, "b") + END_EVENT)
            await harness.run_pending_tasks()
            self.assertIn("record q1: answered 200", harness.transcript[-1])
            self.assertEqual(1, len(harness.exchanges))

        self.run_scenario(scenario)

    def test_a_stream_is_closed_at_the_server_when_its_caller_disconnects(self):
        async def scenario(harness):
            caller = harness.post("/v1/chat", CHAT_BODY, X_Request_Id="q1")
            harness.exchanges[0].start_stream()
            harness.exchanges[0].receive_events(chunk_event(1, "a"))
            await harness.run_pending_tasks()
            caller.runner.on_caller_disconnected()
            self.assertEqual("s1:1 closed by the node", harness.transcript[-1])

        self.run_scenario(scenario)


class TraceAndReadinessTest(NodeTestCase):
    def test_the_trace_explains_the_choice_of_the_server(self):
        async def scenario(harness):
            harness.node.apply_intent(harness.intent(2, evacuated=["b"]))
            harness.post("/v1/sum", X_Request_Id="q1")
            harness.exchanges[0].respond(200, RESPONSE_BODY)

        harness = self.run_scenario(scenario)
        root, dispatch = harness.spans.spans
        self.assertIn(
            (
                "policy",
                {"policy": "zone", "kind": "filter", "reason": "zone b is evacuated", "kept": 1},
            ),
            root.receive_events,
        )
        self.assertEqual(
            {
                "request_id": "q1",
                "route": "sum",
                "model": "m",
                "server": "s1",
                "outcome": "answered",
            },
            root.attributes,
        )
        self.assertEqual(
            {"server": "s1", "zone": "a", "attempt": 1, "end": "answered", "units": 3},
            dispatch.attributes,
        )

    def test_a_node_in_an_evacuated_zone_or_draining_is_not_ready_but_serves(self):
        async def scenario(harness):
            self.assertEqual("", harness.node.ingress.unready_reason())
            harness.node.apply_intent(harness.intent(2, evacuated=["a"]))
            self.assertEqual("zone a is evacuated", harness.node.ingress.unready_reason())
            harness.node.start_draining()
            self.assertEqual("draining", harness.node.ingress.unready_reason())
            harness.post("/v1/sum", X_Request_Id="q1")
            harness.exchanges[0].respond(200, RESPONSE_BODY)
            self.assertEqual("s2:1", harness.exchanges[0].request.address)

        self.run_scenario(scenario)
