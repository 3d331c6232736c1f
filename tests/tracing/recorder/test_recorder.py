"""Tests of the recorder: spans, the head decision, promotion, long traces and limits."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from tests.tracing.builders import HERE, OTHER, Recording
from zincvale.dataplane.inference.dependencies import Spans
from zincvale.tracing.messages import PromoteTraces
from zincvale.tracing.recorder.context import TraceContext, low_bits, parse_context
from zincvale.tracing.recorder.open_trace import MAX_ENDED_SPANS, MAX_EVENTS_PER_SPAN
from zincvale.tracing.recorder.recorder import OPEN_MARKER_INTERVAL_S, SpanRecorder
from zincvale.tracing.recorder.spans import MAX_BODY_BYTES, decode_spans

NEVER_SAMPLED = 0.0


def as_data_plane_spans(recorder: SpanRecorder) -> Spans:
    """Make the type checker verify that the recorder implements the protocol of the data plane."""
    return recorder


class OrdinaryTraces(TestCase):
    def test_a_trace_is_sent_as_one_chunk_when_its_last_span_ends(self):
        run = Recording()
        root = run.recorder.start("request", attributes={"route": "quotes"})
        root.set("request_id", "r-1")
        child = run.recorder.start("dispatch", root.context)
        run.now += 0.01
        child.event("policy", policy="zones", kept=3)
        run.now += 0.02
        child.end()
        self.assertThat(run.chunks, HasLength(0))
        root.end()
        [chunk] = run.chunks
        self.assertThat(
            (chunk.trace_id, chunk.request_id, chunk.span_count, chunk.error, chunk.probability),
            Equals((root.context.trace_id, "r-1", 2, False, 1.0)),
        )
        self.assertThat(round(chunk.root_ms, 6), Equals(30.0))
        dispatch, request = decode_spans(chunk.body)
        self.assertThat(dispatch.parent_id, Equals(request.span_id))
        self.assertThat((request.parent_id, request.member), Equals(("", HERE)))
        [event] = dispatch.events
        self.assertThat(
            (event.name, round(event.offset_s, 6), event.attributes),
            Equals(("policy", 0.01, {"policy": "zones", "kept": 3})),
        )

    def test_sampling_is_drawn_from_the_low_bits_and_inherited(self):
        run = Recording(rate=0.5)
        for _ in range(200):
            root = run.recorder.start("request")
            context = root.context
            self.assertThat(context.sampled, Equals(low_bits(context.trace_id) / 2**64 < 0.5))
            child = run.recorder.start("dispatch", context)
            self.assertThat(child.context.sampled, Equals(context.sampled))
            child.end()
            root.end()
        self.assertThat(len(run.chunks), Equals(run.recorder.stats.sampled))
        self.assertTrue(all(chunk.probability == 0.5 for chunk in run.chunks))

    def test_a_span_that_is_ended_twice_is_sent_once(self):
        run = Recording()
        root = run.recorder.start("request")
        root.end()
        root.end()
        self.assertThat(run.chunks, HasLength(1))

    def test_every_trace_is_sampled_without_head_sampling(self):
        run = Recording(rate=None, head_sampling=False, target_traces_per_s=1.0)
        run.recorder.set_target_share(8)
        for _ in range(2_000):
            run.recorder.start("order").end()
            run.now += 0.01
        probabilities = [chunk.probability for chunk in run.chunks]
        self.assertThat(probabilities, Equals([1.0] * 2_000))

    def test_the_sampling_target_of_a_node_does_not_exceed_its_own_limit(self):
        for members, target in ((1, 0.25), (60, 0.25), (100_000, 0.25)):
            run = Recording(rate=None, node_traces_per_s=0.25)
            run.recorder.set_target_share(members)
            self.assertThat(run.recorder.limiter.target_per_s, Equals(target))

    def test_without_its_own_limit_the_sampling_target_of_a_node_is_its_share(self):
        for members, target in ((1, 500.0), (100, 5.0), (100_000, 1.0)):
            run = Recording(rate=None)
            run.recorder.set_target_share(members)
            self.assertThat(run.recorder.limiter.target_per_s, Equals(target))


class Promotion(TestCase):
    def test_an_unsampled_trace_without_an_error_is_dropped(self):
        run = Recording(rate=NEVER_SAMPLED)
        root = run.recorder.start("request")
        run.recorder.start("dispatch", root.context).end()
        root.end()
        self.assertThat(run.chunks, HasLength(0))
        self.assertThat((len(run.recorder._open), run.recorder.buffered_spans()), Equals((0, 0)))

    def test_an_unsampled_trace_with_an_error_is_sent_complete(self):
        run = Recording(rate=NEVER_SAMPLED)
        root = run.recorder.start("request")
        run.recorder.start("hold", root.context).end()
        dispatch = run.recorder.start("dispatch", root.context)
        dispatch.error("connection reset")
        dispatch.end()
        root.end()
        [chunk] = run.chunks
        self.assertThat((chunk.sampled, chunk.error, chunk.span_count), Equals((False, True, 3)))

    def test_other_members_are_notified_and_send_what_they_buffered(self):
        ingress, other = Recording(rate=NEVER_SAMPLED), Recording(rate=NEVER_SAMPLED)
        root = ingress.recorder.start("request")
        header = root.header_for(OTHER)
        context = other.recorder.context_from(header)
        other.recorder.start("claim", context).end()
        self.assertThat(other.chunks, HasLength(0))
        root.error("deadline")
        [(to, message)] = ingress.sent
        self.assertThat((to, message), Equals((OTHER, PromoteTraces([context.trace_id]))))
        other.recorder.promote(message.trace_ids)
        [chunk] = other.chunks
        self.assertThat((chunk.trace_id, chunk.root_ms), Equals((context.trace_id, -1.0)))

    def test_an_error_elsewhere_promotes_the_trace_at_its_ingress_node(self):
        ingress, other = Recording(rate=NEVER_SAMPLED), Recording(rate=NEVER_SAMPLED)
        root = ingress.recorder.start("request")
        context = other.recorder.context_from(root.context.header())
        span = other.recorder.start("claim", context)
        span.error("no majority")
        span.end()
        self.assertThat(other.chunks, HasLength(1))
        [(_, message)] = other.sent
        ingress.recorder.promote(message.trace_ids)
        root.end()
        self.assertThat(ingress.chunks, HasLength(1))

    def test_buffered_spans_expire_after_the_decision_wait(self):
        other = Recording(rate=NEVER_SAMPLED)
        context = TraceContext("0" * 32, "1" * 16, False)
        other.recorder.start("claim", context).end()
        other.now += 31.0
        other.recorder.tick(other.now)
        other.recorder.promote([context.trace_id])
        self.assertThat((other.chunks, other.recorder.buffered_spans()), Equals(([], 0)))


class LongTraces(TestCase):
    def test_a_long_trace_is_sent_in_parts_with_open_root_markers(self):
        run = Recording()
        root = run.recorder.start("request")
        run.recorder.start("dispatch", root.context).end()
        for _ in range(2):
            run.now += OPEN_MARKER_INTERVAL_S
            run.recorder.tick(run.now)
        run.now += 1.0
        run.recorder.tick(run.now)
        root.end()
        markers = [(chunk.root_open, chunk.span_count) for chunk in run.chunks]
        self.assertThat(markers, Equals([(True, 1), (True, 0), (False, 1)]))

    def test_ended_spans_of_one_trace_are_bounded(self):
        unsampled, sampled = Recording(rate=NEVER_SAMPLED), Recording()
        for run in (unsampled, sampled):
            root = run.recorder.start("request")
            for _ in range(2 * MAX_ENDED_SPANS + 5):
                run.recorder.start("dispatch", root.context).end()
            self.assertThat(len(root.trace.ended), Equals(5))
            root.end()
        self.assertThat(unsampled.recorder.stats.held_dropped, Equals(2 * MAX_ENDED_SPANS))
        counts = [chunk.span_count for chunk in sampled.chunks]
        self.assertThat(counts, Equals([MAX_ENDED_SPANS, MAX_ENDED_SPANS, 6]))

    def test_buffered_spans_of_all_traces_are_bounded(self):
        other = Recording(rate=NEVER_SAMPLED, open_bytes=10 * 1024)
        for number in range(50):
            context = TraceContext(f"{number:032x}", "1" * 16, False)
            other.recorder.start("claim", context).end()
        other.recorder.tick(other.now)
        self.assertThat(other.recorder.buffered_spans(), Equals(10))
        self.assertThat(other.recorder.stats.held_dropped, Equals(40))


class UnusualSpans(TestCase):
    def test_attributes_that_json_cannot_hold_do_not_fail_the_request(self):
        run = Recording()
        root = run.recorder.start("request", attributes={"key": "\ud800", "count": 2**80})
        root.end()
        [span] = decode_spans(run.chunks[0].body)
        self.assertThat(span.attributes["count"], Equals(str(2**80)))

    def test_the_size_of_bodies_and_the_number_of_events_are_bounded(self):
        run = Recording()
        root = run.recorder.start("request", attributes={"key": "x" * 1_000_000})
        for number in range(MAX_EVENTS_PER_SPAN + 5):
            root.event("piece", number=number)
        root.end()
        body = run.chunks[0].body
        self.assertThat(len(body), LessThan(MAX_BODY_BYTES))
        self.assertThat(decode_spans(body)[0].attributes["events_dropped"], Equals(5))


class Headers(TestCase):
    def test_a_context_is_read_from_its_header_unchanged(self):
        context = TraceContext("ab" * 16, "cd" * 8, True, 0.0123, HERE)
        self.assertThat(parse_context(context.header()), Equals(context))

    def test_malformed_headers_are_rejected(self):
        zeros = f"00-{'0' * 32}-{'0' * 16}-01"
        for header in ("", "00-1-2-01", zeros.replace("0-", "g-"), zeros + ";p=much"):
            self.assertIsNone(parse_context(header))
        self.assertThat(parse_context(zeros).probability, Equals(0.0))
