"""Every message between daemons keeps its wire name and its encoded bytes."""

from __future__ import annotations

from typing import Any

import testtools
from testtools.matchers import Equals

from tests.golden.every_module import import_every_module, is_own
from tests.golden.golden_file import golden
from tests.golden.message_samples import SampleBuilder
from zincvale.model.messages import message_classes
from zincvale.transport.codec import (
    Batch,
    decode_batch,
    decode_message,
    encode_batch,
    encode_message,
)
from zincvale.transport.compression import compress, decompress

GOLDEN = "message_bytes.json"
BATCH_GOLDEN = "batch_bytes.json"
BODY = b"a body of a batch " * 5
COMPRESSED = bytes.fromhex(
    "1f8b08000000000004034b5448ca4fa954c84f534854484a2c49ce00d1541101002634b4365a000000"
)


def own_messages() -> dict[str, type]:
    """Return the package's message classes by wire name."""
    import_every_module()
    return {name: kind for name, kind in sorted(message_classes().items()) if is_own(kind)}


def samples(kind: type) -> list[Any]:
    """Return a minimal sample, and one with every field filled."""
    return [SampleBuilder(full).build(kind) for full in (False, True)]


def current_bytes() -> dict[str, list[str]]:
    """Return the encoded samples of the present classes, as hexadecimal text."""
    return {
        name: [encode_message(sample).hex() for sample in samples(kind)]
        for name, kind in own_messages().items()
    }


class MessageBytesTest(testtools.TestCase):
    def test_wire_names_and_encoded_bytes_match_the_golden_file(self) -> None:
        current = current_bytes()
        expected = golden(GOLDEN, current)
        self.assertThat(sorted(current), Equals(sorted(expected)))
        for name, bodies in expected.items():
            self.assertThat(current[name], Equals(bodies), name)

    def test_golden_bodies_decode_and_encode_to_the_same_bytes(self) -> None:
        known = own_messages()
        for name, bodies in golden(GOLDEN, current_bytes()).items():
            decoded = [decode_message(name, bytes.fromhex(body)) for body in bodies]
            self.assertThat(decoded, Equals(samples(known[name])), name)
            self.assertThat([encode_message(each).hex() for each in decoded], Equals(bodies), name)


class BatchBytesTest(testtools.TestCase):
    def test_encoded_batches_match_the_golden_file(self) -> None:
        messages = [each for kind in own_messages().values() for each in samples(kind)]
        batch = Batch("cluster-é", "core-1", "0011aabb", messages)
        empty = Batch("", "", "", [])
        bodies = {"every": encode_batch(batch).hex(), "empty": encode_batch(empty).hex()}
        expected = golden(BATCH_GOLDEN, bodies)
        self.assertThat(bodies, Equals(expected))
        self.assertThat(decode_batch(bytes.fromhex(expected["every"])), Equals(batch))
        self.assertThat(decode_batch(bytes.fromhex(expected["empty"])), Equals(empty))


class CompressionTest(testtools.TestCase):
    """Compressed bytes depend on the build of zlib; only what peers rely on is checked."""

    def test_a_golden_compressed_body_expands(self) -> None:
        self.assertThat(decompress(COMPRESSED), Equals(BODY))

    def test_equal_bodies_compress_to_equal_gzip_without_a_time(self) -> None:
        once, again = compress(BODY), compress(BODY)
        self.assertThat(once, Equals(again))
        self.assertThat(once[:8], Equals(COMPRESSED[:8]))
        self.assertThat(decompress(once), Equals(BODY))
