"""What an answer of a back end proves, and how callers' requests are read."""

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

ANSWER = b'{"request_id":"q1","text":"x","tokens":3}'
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

    def test_a_whole_answer_to_this_request(self):
        self.assertEqual(ResponseReceived(ANSWER, 3), self.read(200, ANSWER))

    def test_an_answer_to_another_request_proves_nothing(self):
        other = ANSWER.replace(b"q1", b"q2")
        self.assertIsInstance(self.read(200, other), ServerFailed)
        self.assertTrue(self.read(200, other).sent)

    def test_half_an_answer_proves_nothing(self):
        for length in range(len(ANSWER)):
            self.assertIsInstance(self.read(200, ANSWER[:length]), ServerFailed)

    def test_only_an_explicit_refusal_proves_that_nothing_ran(self):
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

    def test_what_no_server_would_take_is_final(self):
        self.assertTrue(self.read(422, b'{"error":"too-large","ran":false}').final)

    def test_a_server_that_lacks_the_adapter_is_told_from_one_that_lacks_the_model(self):
        body = b'{"error":"not-resident","ran":false}'
        asked = request(asked=inference_request(adapter="fine"))
        self.assertEqual(("fine",), LanguageModelAdapter().read_reply(asked, 404, body).missing)
        self.assertEqual(("m",), self.read(404, body).missing)

    def test_a_lookup_is_a_get_with_its_key_escaped(self):
        built = LookupAdapter().build(request(asked=InferenceRequest(key="a b&c")), "s:1", ())
        self.assertEqual("/v1/lookup?key=a+b%26c&request_id=q1", built.target)
        self.assertIsNone(built.body)

    def test_a_continued_stream_carries_its_exact_prefix(self):
        built = LanguageModelAdapter().build(request(), "s:1", ("a", " b"))
        self.assertEqual(["a", " b"], orjson.loads(built.body)["prefix"])


class StreamReaderTest(testtools.TestCase):
    BODY = responses.whole_stream(["a", "b"])

    def test_any_split_of_the_bytes_gives_the_same_chunks(self):
        for cut in range(len(self.BODY) + 1):
            reader = StreamReader()
            read = reader.feed(self.BODY[:cut]) + reader.feed(self.BODY[cut:])
            chunks = [p for r in read if isinstance(r, ChunksReceived) for p in r.chunks]
            self.assertEqual((["a", "b"], StreamEnded(2)), (chunks, read[-1]))

    def test_consecutive_chunks_come_as_one_input_and_a_gap_does_not(self):
        body = self.BODY.replace(b"event: end", b'id: 4\ndata: {"text":"d"}\n\nevent: end')
        read = StreamReader().feed(body)
        self.assertEqual([ChunksReceived(1, ["a", "b"]), ChunksReceived(4, ["d"])], read[:2])

    def test_what_cannot_be_read_fails_the_stream(self):
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

    def test_a_recorded_stream_gives_its_chunks_back(self):
        chunks = ["a", "é\n\n", '"']
        self.assertEqual(chunks, responses.decode_stream(responses.whole_stream(chunks)))


class CallerRequestTest(testtools.TestCase):
    def invalid(self, *arguments):
        return self.assertRaises(InvalidInputError, *arguments)

    def test_a_generation(self):
        body = orjson.dumps({"model": "m", "prompt": "p", "max_tokens": 3, "stream": True})
        read = read_inference_request(body, route(), PoolKind.LANGUAGE_MODEL)
        self.assertEqual(InferenceRequest(model="m", prompt="p", max_tokens=3, stream=True), read)

    def test_the_route_gives_the_defaults(self):
        spec = route(models=["only"], stream=True)
        read = read_inference_request(b'{"prompt":"p"}', spec, PoolKind.LANGUAGE_MODEL)
        self.assertEqual(("only", True, 256), (read.model, read.stream, read.max_tokens))

    def test_errors_name_the_field_and_the_remedy(self):
        bodies = {
            b'{"prompt":"p"}': "'model' is missing",
            b'{"model":"m"}': "'prompt' is missing",
            b'{"model":"m","prompt":1}': "'prompt' is not a string",
            b'{"model":"m","prompt":"p","max_tokens":0}': "'max_tokens' is 0",
            b'{"model":"m","prompt":"p","max_tokens":true}': "'max_tokens'",
            b'{"model":"m","prompt":"p","stream":1}': "'stream'",
            b'{"model":"m","prompt":"p","adapter":1}': "'adapter'",
        }
        for body, words in bodies.items():
            error = self.invalid(read_inference_request, body, route(), PoolKind.LANGUAGE_MODEL)
            self.assertIn(words, error.problem)
        self.invalid(read_inference_request, b"{}", route(), PoolKind.LOOKUP)
        for body in (b"", b"[]", b"{"):
            self.assertRaises(
                MalformedBodyError, read_inference_request, body, route(), PoolKind.LOOKUP
            )

    def test_a_model_that_the_route_does_not_serve(self):
        spec = route(models=["a", "b"])
        error = self.invalid(
            read_inference_request, b'{"model":"m","prompt":"p"}', spec, PoolKind.LANGUAGE_MODEL
        )
        self.assertEqual("request one of a, b", error.remedy)

    def test_headers(self):
        self.assertEqual(1.5, read_deadline_s({"X-Deadline-Ms": "1500"}, route()))
        self.assertEqual(30.0, read_deadline_s({"X-Deadline-Ms": "99999999"}, route()))
        self.assertEqual(30.0, read_deadline_s({}, route()))
        self.assertEqual(7, read_resume_after({"Last-Event-ID": "7"}))
        self.invalid(read_deadline_s, {"X-Deadline-Ms": "-1"}, route())
        self.invalid(read_resume_after, {"Last-Event-ID": "x"})
        for bad in ("a\nb", "é", "x" * 129):
            self.invalid(read_request_id, {"X-Request-Id": bad})

    def test_a_refusal_says_when_to_come_back(self):
        made = responses.refused("q1", Refusal(RefusalReason.OVERLOADED, "busy", retry_after_s=2.1))
        self.assertEqual((503, "3"), (made.status, made.headers["Retry-After"]))
        final = responses.refused("q1", Refusal(RefusalReason.INVALID, "bad"))
        self.assertEqual((422, None), (final.status, final.headers.get("Retry-After")))
