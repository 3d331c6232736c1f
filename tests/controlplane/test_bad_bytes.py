"""Random input to the API, the reducer and the decoders gets only typed responses and errors."""

from __future__ import annotations

from typing import Any

import orjson
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result

from tests.controlplane.fake_view import FakeView
from tests.controlplane.samples import small_rows
from zincvale.controlplane.api.dispatch import ControlApi
from zincvale.controlplane.api.messages import ApiRequest, ApiResponse, CallCore
from zincvale.controlplane.directory.backend_status import read_platform_list, read_server_status
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.model.errors import MalformedBodyError

FIXED = settings(derandomize=True, max_examples=150, deadline=None, database=None)

WORDS = st.sampled_from(
    [
        "kind",
        "name",
        "spec",
        "mode",
        "merge",
        "replace",
        "resources",
        "baseVersion",
        "Zone",
        "Model",
        "Route",
        "pool",
        "models",
        "path",
        "servers",
        "server",
        "state",
        "ready",
        "base-1",
        "chat",
        "",
    ]
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    WORDS,
    st.text(max_size=3),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner, max_size=4),
    max_leaves=10,
)
EDITS = st.fixed_dictionaries(
    {"kind": WORDS, "name": WORDS}, optional={"spec": st.dictionaries(WORDS, VALUES, max_size=4)}
)
BODIES = st.one_of(
    st.binary(max_size=20),
    VALUES.map(orjson.dumps),
    st.fixed_dictionaries({"mode": WORDS, "resources": st.lists(EDITS, max_size=3)}).map(
        orjson.dumps
    ),
)
PATHS = st.one_of(
    st.text(max_size=12),
    st.builds(
        lambda parts: "/v1/" + "/".join(parts), st.lists(WORDS | st.text(max_size=4), max_size=3)
    ),
    st.sampled_from(["/v1/intent", "/v1/replicas", "/v1/watch", "/v1/zones", "/v1/moves/%ff"]),
)


def nested(depth: int) -> bytes:
    """Return a change with one field that is `depth` nested lists."""
    return (
        b'{"resources":[{"kind":"Zone","name":"a","spec":{"region":'
        + b"[" * depth
        + b"]" * depth
        + b"}}]}"
    )


class BadBytesTest(testtools.TestCase):
    def check_response(self, request: ApiRequest) -> None:
        api = ControlApi(FakeView())
        effects = api.handle(request, 1.0) or api.tick(1_000.0)
        self.assertEqual(1, len(effects))
        if isinstance(effects[0], CallCore):
            return
        response = effects[0]
        assert isinstance(response, ApiResponse)
        body: Any = orjson.loads(response.body)
        if response.status != 200:
            self.assertIn(response.status, (400, 404, 405, 413, 422, 503))
            self.assertTrue(body["problem"] and body["remedy"])

    @FIXED
    @given(st.sampled_from(["GET", "POST", "DELETE"]), PATHS, BODIES)
    def test_the_api_responds_to_any_request(self, method: str, path: str, body: bytes) -> None:
        self.check_response(ApiRequest(method, path, {}, {}, body, "t"))

    @FIXED
    @given(BODIES)
    def test_the_reducer_returns_a_result_for_any_change(self, body: bytes) -> None:
        rows = small_rows()
        self.assertIsInstance(IntentReducer()(rows, body), Result)
        self.assertEqual(small_rows(), rows)

    def test_deeply_nested_changes_get_a_typed_response(self) -> None:
        for depth in (10, 200, 250, 260, 1_000, 2_000, 100_000):
            self.check_response(ApiRequest("POST", "/v1/intent", {}, {}, nested(depth), "t"))
            self.assertIsInstance(IntentReducer()({}, nested(depth)), Result)
            objects = nested(depth).replace(b"[" * depth, b'{"a":' * depth + b"1")
            objects = objects.replace(b"]" * depth, b"}" * depth)
            self.check_response(ApiRequest("POST", "/v1/intent", {}, {}, objects, "t"))
            self.assertIsInstance(IntentReducer()({}, objects), Result)

    @FIXED
    @given(BODIES)
    def test_any_back_end_response_is_decoded_or_raises_a_typed_error(self, body: bytes) -> None:
        for read in (read_server_status, read_platform_list):
            try:
                read(body)
            except MalformedBodyError as error:
                self.assertNotEqual("", error.remedy)
