"""Rows of the topic `moves`, and moves as JSON for the API."""

from __future__ import annotations

import attrs
import testtools

from zincvale.controlplane.placement.events import PublishMoves
from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.move_row_codec import (
    decode_move,
    draining_by_server,
    encode_move,
    moves_to_json,
    topic_rows,
)
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.model.errors import MalformedBodyError

MOVE = Move(
    move_id="m3-17",
    kind=MoveKind.UNLOAD,
    state=MoveState.DRAINING,
    reason=MoveReason.MAKE_ROOM,
    detail="makes room for model new",
    server="server-1",
    address="10.0.0.1:9000",
    zone="zone-a",
    created_at=100.0,
    start_at=100.2,
    expected_end=100.4,
    item_kind=ItemKind.MODEL,
    name="rare",
    reservation=Reservation(memory_bytes=8),
    after=("m3-16",),
)


class MoveRowTests(testtools.TestCase):
    def test_rows_round_trip(self):
        for move in (
            MOVE,
            attrs.evolve(MOVE, state=MoveState.DONE, finished_at=101.0, outcome="observed"),
            attrs.evolve(MOVE, kind=MoveKind.DRAIN, item_kind=None, name="", after=()),
        ):
            self.assertEqual(move, decode_move(encode_move(move)))

    def test_times_in_rows_are_unix_seconds(self):
        read = decode_move(encode_move(MOVE, wall_offset_s=1_000_000.0))
        self.assertEqual((1_000_100.0, 1_000_100.2), (read.created_at, read.start_at))
        self.assertIsNone(read.finished_at)

    def test_a_publication_puts_and_deletes_rows(self):
        rows = topic_rows(PublishMoves((MOVE,), ("m3-1",)))
        self.assertEqual({"m3-1": None, "m3-17": encode_move(MOVE)}, rows)

    def test_unreadable_row_raises_an_error_with_a_remedy(self):
        for content in (b"", b"{}", b'{"kind": "jump"}', b"[1]"):
            error = self.assertRaises(MalformedBodyError, decode_move, content)
            self.assertEqual("run the same release on every machine", error.remedy)

    def test_replica_drains_from_the_announcement_until_its_unload_is_finished(self):
        moves = [
            attrs.evolve(MOVE, move_id=f"m{number}", name=state.value, state=state)
            for number, state in enumerate(MoveState)
        ]
        names = draining_by_server(moves)["server-1"]
        self.assertEqual({"closing", "ordered", "running", "unknown"}, names)
        self.assertEqual({}, draining_by_server([attrs.evolve(MOVE, kind=MoveKind.LOAD)]))

    def test_unfinished_moves_are_listed_first_with_their_reason(self):
        done = attrs.evolve(MOVE, move_id="m3-2", state=MoveState.DONE, start_at=1.0)
        shown = moves_to_json([done, MOVE])["moves"]
        self.assertEqual(["m3-17", "m3-2"], [row["id"] for row in shown])
        self.assertEqual(
            ("make-room", "makes room for model new"), (shown[0]["reason"], shown[0]["detail"])
        )
