"""Decoding of the draining replicas from rows of the topic `moves`."""

import attrs
from testtools import TestCase

from tests.controlplane.placement.test_move_rows import MOVE
from zincvale.controlplane.placement.draining_row_codec import DrainingReplicasDecoder
from zincvale.controlplane.placement.move_row_codec import draining_by_server, encode_move
from zincvale.controlplane.placement.moves import MoveKind, MoveState
from zincvale.model.errors import MalformedBodyError


class DrainingReplicasDecoderTest(TestCase):
    """The decoder finds the same draining replicas as code that decodes complete moves."""

    def test_draining_replicas_equal_those_of_decoded_moves_in_every_kind_and_state(self):
        moves = [
            attrs.evolve(MOVE, move_id=f"m{kind.value}-{state.value}", kind=kind, state=state)
            for kind in MoveKind
            for state in MoveState
        ]
        for move in moves:
            rows = {move.move_id: encode_move(move)}
            self.assertEqual(draining_by_server([move]), DrainingReplicasDecoder().update(rows))

    def test_changed_rows_are_parsed_again_and_removed_rows_dropped(self):
        decoder = DrainingReplicasDecoder()
        unload = attrs.evolve(MOVE, kind=MoveKind.UNLOAD, state=MoveState.DRAINING)
        rows = {"a": encode_move(unload), "b": encode_move(attrs.evolve(unload, name="other"))}
        names = decoder.update(rows)[unload.server]
        self.assertEqual({unload.name, "other"}, names)
        rows["a"] = encode_move(attrs.evolve(unload, state=MoveState.DONE))
        self.assertEqual({unload.server: {"other"}}, decoder.update(rows))
        self.assertEqual({}, decoder.update({}))

    def test_unreadable_row_raises_an_error_with_a_remedy(self):
        for content in (b"", b"{}", b"[1]"):
            error = self.assertRaises(
                MalformedBodyError, DrainingReplicasDecoder().update, {"a": content}
            )
            self.assertEqual("run the same release on every machine", error.remedy)
