"""Tests of the Avro codec: round trips, unknown messages and truncated batches."""

from __future__ import annotations

import attrs
import testtools
from testtools.matchers import Contains, Equals

from zincvale.model.errors import MalformedBodyError
from zincvale.model.messages import peer_message
from zincvale.transport.codec import Batch, decode_batch, decode_message, encode_batch


@attrs.frozen
class Inner:
    name: str
    weights: list[float]


@peer_message("test.sample")
@attrs.frozen
class Sample:
    number: int
    text: str
    body: bytes
    flag: bool
    rows: dict[str, bytes]
    inner: Inner
    several: list[Inner]
    absent: int | None
    present: Inner | None


SAMPLE = Sample(
    number=-5,
    text="é",
    body=b"\x00\xff",
    flag=True,
    rows={"a": b"1", "b": b""},
    inner=Inner("x", [0.5]),
    several=[Inner("y", []), Inner("z", [1.0, 2.0])],
    absent=None,
    present=Inner("w", []),
)


class CodecTest(testtools.TestCase):
    def test_a_batch_is_decoded_as_it_was_encoded(self) -> None:
        batch = Batch("cluster", "core-1", "ab", [SAMPLE, SAMPLE])
        self.assertThat(decode_batch(encode_batch(batch)), Equals(batch))

    def test_the_error_on_an_unknown_message_names_the_remedy(self) -> None:
        error = self.assertRaises(MalformedBodyError, decode_message, "test.no-such", b"")
        self.assertThat(str(error), Contains("same release"))

    def test_a_truncated_batch_is_rejected(self) -> None:
        body = encode_batch(Batch("cluster", "core-1", "ab", [SAMPLE]))
        for length in range(0, len(body), 7):
            self.assertRaises(MalformedBodyError, decode_batch, body[:length])
