"""Decoding of the member table: which rows are decoded, and how often."""

from __future__ import annotations

from unittest import mock

import testtools

from zincvale.coordination.membership import member_codec
from zincvale.coordination.membership.member_codec import MemberTableDecoder, encode_member
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.control_tables import Role


def row(member: str, ready: bool = True) -> bytes:
    """Return a node's row as bytes."""
    info = MemberInfo(member, Role.NODE.value, "z1", f"{member}:1", f"{member}:2", "i1")
    return encode_member(info, ready)


class MemberTableDecoderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.decoder = MemberTableDecoder()
        self.decoded: list[str] = []
        decode = member_codec.decode_member

        def record_and_decode(member: str, value: bytes):
            self.decoded.append(member)
            return decode(member, value)

        patch = mock.patch.object(member_codec, "decode_member", record_and_decode)
        patch.start()
        self.addCleanup(patch.stop)

    def test_an_unchanged_table_is_decoded_once(self) -> None:
        rows = {"a": row("a"), "b": row("b")}
        first = self.decoder.update(3, rows)
        self.assertIs(first, self.decoder.update(3, rows))
        self.assertEqual(["a", "b"], self.decoded)

    def test_only_rows_that_changed_are_decoded_again(self) -> None:
        self.decoder.update(3, {"a": row("a"), "b": row("b"), "c": row("c")})
        self.decoded.clear()
        members = self.decoder.update(4, {"a": row("a"), "b": row("b", ready=False), "d": row("d")})
        self.assertEqual(["b", "d"], self.decoded)
        self.assertEqual(
            {"a": True, "b": False, "d": True}, {m: r.ready for m, r in members.rows.items()}
        )
        self.assertEqual(4, members.version)

    def test_other_rows_with_the_same_version_are_decoded(self) -> None:
        self.decoder.update(3, {"a": row("a")})
        self.assertEqual(["b"], list(self.decoder.update(3, {"b": row("b")}).rows))
