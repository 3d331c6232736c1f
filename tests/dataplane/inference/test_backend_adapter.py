"""Encoding of requests to back ends, their responses, and the parsing of callers' requests.

After a complete response, a request counts as one that did not run only if the response says so.
"""

from __future__ import annotations

import orjson
import testtools

from tests.dataplane.inference.builders import inference_request, request, route
from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.backend_adapter import (
    LanguageModelAdapter,
    LookupAdapter,
    StreamReader,
)
from zincvale.dataplane.inference.events import (
    ChunksReceived,
    Refusal,
    ResponseReceived,
    ServerFailed,
    StreamEnded,
)
from zincvale.dataplane.inference.requests import (
    InferenceRequest,
    read_deadline_s,
    read_inference_request,
    read_request_id,
    read_resume_after,
)
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.errors import InvalidInputError, MalformedBodyError
from zincvale.model.outcomes import RefusalReason
from zincvale.model.resources import PoolKind

RESPONSE_BODY = b'{"request_id":"q1","text":"x","tokens":3}'
REFUSALS = {
    (503, "overloaded"): ExchangeEnd.OVERLOADED,
    (503, "cold"): ExchangeEnd.COLD,
    (429, "rate"): ExchangeEnd.RATE_LIMITED,
    (404, "not-resident"): ExchangeEnd.NOT_RESIDENT,
    (422, "too-large"): ExchangeEnd.REFUSED,
}


class ReplyTest(testtools.TestCase):
    def read(self, status, body):
        return LanguageModelAdapter().read_reply(request(), status, body)

    def test_a_complete_response_with_the_request_identifier_is_accepted(self):
        self.assertEqual(ResponseReceived(RESPONSE_BODY, 3), self.read(200, RESPONSE_BODY))

    def test_a_response_to_another_request_counts_as_may_have_run(self):
        other = RESPONSE_BODY.replace(b"q1", b"q2")
        self.assertIsInstance(self.read(200, other), ServerFailed)
        self.assertTrue(self.read(200, other).sent)

    def test_a_truncated_response_counts_as_may_have_run(self):
        for length in range(len(RESPONSE_BODY)):
            self.assertIsInstance(self.read(200, RESPONSE_BODY[:length]), ServerFailed)

    def test_only_an_explicit_refusal_proves_that_the_request_did_not_run(self):
        for (status, error), end in REFUSALS.items():
            body = orjson.dumps({"error": error, "ran": False})
            self.assertIs(end, self.read(status, body).end)
        unproven = [
            (503, b'{"error":"overloaded"}'),
            (503, b'{"error":"overloaded","ran":true}'),
            (500, b'{"error":"overloaded","ran":false}'),
            (502, b'{"ran":false}'),
            (200, b'{"ran":false}'),
            (503, b'{"ran":false,"request_id":"q2"}'),
            (503, b"busy"),
        ]
        for status, body in unproven:
            self.assertIsInstance(self.read(status, body), ServerFailed, body)

    def test_a_refusal_that_every_server_would_repeat_is_final(self):
        self.assertTrue(self.read(422, b'{"error":"too-large","ran":false}').final)

    def test_a_missing_adapter_is_distinguished_from_a_missing_model(self):
        body = b'{"error":"not-resident","ran":false}'
        caller_request = request(inference=inference_request(adapter="fine"))
        self.assertEqual(
            ("fine",), LanguageModelAdapter().read_reply(caller_request, 404, body).missing
        )
        self.assertEqual(("m",), self.read(404, body).missing)

    def test_a_lookup_is_a_get_with_its_key_escaped(self):
        built = LookupAdapter().build(request(inference=InferenceRequest(key="a b&c")), "s:1", ())
        self.assertEqual("/v1/lookup?key=a+b%26c&request_id=q1", built.target)
        self.assertIsNone(built.body)

    def test_a_continued_stream_carries_its_exact_prefix(self):
        built = LanguageModelAdapter().build(request(), "s:1", ("a", " b"))
        self.assertEqual(["a", " b"], orjson.loads(built.body)["prefix"])


class StreamReaderTest(testtools.TestCase):
    BODY = responses.encode_stream(["a", "b"])

    def test_any_split_of_the_bytes_gives_the_same_chunks(self):
        for cut in range(len(self.BODY) + 1):
            reader = StreamReader()
            read = reader.feed(self.BODY[:cut]) + reader.feed(self.BODY[cut:])
            chunks = [p for r in read if isinstance(r, ChunksReceived) for p in r.chunks]
            self.assertEqual((["a", "b"], StreamEnded(2)), (chunks, read[-1]))

    def test_only_consecutive_chunks_are_merged_into_one_input(self):
        body = self.BODY.replace(b"event: end", b'id: 4\ndata: {"text":"d"}\n\nevent: end')
        read = StreamReader().feed(body)
        self.assertEqual([ChunksReceived(1, ["a", "b"]), ChunksReceived(4, ["d"])], read[:2])

    def test_an_unreadable_event_fails_the_stream(self):
        bad = [
            b"id: 1\ndata: {\n\n",
            b'data: {"text":"a"}\n\n',
            b'id: 1\ndata: {"text":1}\n\n',
            b'event: end\ndata: {"count":"x"}\n\n',
            b"event: odd\ndata: {}\n\n",
        ]
        for body in bad:
            self.assertIsInstance(StreamReader().feed(body)[0], ServerFailed, body)

    def test_events_after_the_end_fail_the_stream(self):
        read = StreamReader().feed(self.BODY + self.BODY)
        self.assertIsInstance(read[2], ServerFailed)

    def test_a_recorded_stream_decodes_to_its_chunks(self):
        chunks = ["a", "é\n\n", '"']
        self.assertEqual(chunks, responses.decode_stream(responses.encode_stream(chunks)))


class CallerRequestTest(testtools.TestCase):
    def assert_invalid(self, *arguments):
        return self.assertRaises(InvalidInputError, *arguments)

    def test_the_fields_of_a_generation_request_are_read(self):
        body = orjson.dumps({"model": "m", "prompt": "p", "max_tokens": 3, "stream": True})
        read = read_inference_request(body, route(), PoolKind.LANGUAGE_MODEL)
        self.assertEqual(InferenceRequest(model="m", prompt="p", max_tokens=3, stream=True), read)

    def test_the_route_determines_the_defaults(self):
        route_spec = route(models=["only"], stream=True)
        read = read_inference_request(b'{"prompt":"p"}', route_spec, PoolKind.LANGUAGE_MODEL)
        self.assertEqual(("only", True, 256), (read.model, read.stream, read.max_tokens))

    def test_errors_name_the_invalid_field(self):
        bodies = {
            b'{"prompt":"p"}': "'model' is missing",
            b'{"model":"m"}': "'prompt' is missing",
            b'{"model":"m","prompt":1}': "'prompt' is not a string",
            b'{"model":"m","prompt":"p","max_tokens":0}': "'max_tokens' is 0",
            b'{"model":"m","prompt":"p","max_tokens":true}': "'max_tokens'",
            b'{"model":"m","prompt":"p","stream":1}': "'stream'",
            b'{"model":"m","prompt":"p","adapter":1}': "'adapter'",
        }
        for body, expected_text in bodies.items():
            error = self.assert_invalid(
                read_inference_request, body, route(), PoolKind.LANGUAGE_MODEL
            )
            self.assertIn(expected_text, error.problem)
        self.assert_invalid(read_inference_request, b"{}", route(), PoolKind.LOOKUP)
        for body in (b"", b"[]", b"{"):
            self.assertRaises(
                MalformedBodyError, read_inference_request, body, route(), PoolKind.LOOKUP
            )

    def test_a_model_that_the_route_does_not_serve_is_refused(self):
        route_spec = route(models=["a", "b"])
        error = self.assert_invalid(
            read_inference_request,
            b'{"model":"m","prompt":"p"}',
            route_spec,
            PoolKind.LANGUAGE_MODEL,
        )
        self.assertEqual("request one of a, b", error.remedy)

    def test_invalid_headers_are_refused_and_the_route_bounds_the_deadline(self):
        self.assertEqual(1.5, read_deadline_s({"X-Deadline-Ms": "1500"}, route()))
        self.assertEqual(30.0, read_deadline_s({"X-Deadline-Ms": "99999999"}, route()))
        self.assertEqual(30.0, read_deadline_s({}, route()))
        self.assertEqual(7, read_resume_after({"Last-Event-ID": "7"}))
        self.assert_invalid(read_deadline_s, {"X-Deadline-Ms": "-1"}, route())
        self.assert_invalid(read_resume_after, {"Last-Event-ID": "x"})
        for bad in ("a\nb", "é", "x" * 129):
            self.assert_invalid(read_request_id, {"X-Request-Id": bad})

    def test_a_refusal_carries_retry_after_unless_it_is_final(self):
        response = responses.refused(
            "q1", Refusal(RefusalReason.OVERLOADED, "busy", retry_after_s=2.1)
        )
        self.assertEqual((503, "3"), (response.status, response.headers["Retry-After"]))
        final = responses.refused("q1", Refusal(RefusalReason.INVALID, "bad"))
        self.assertEqual((422, None), (final.status, final.headers.get("Retry-After")))
