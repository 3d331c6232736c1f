"""A fake view of a core's state, with rows that tests set."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from tests.controlplane.samples import small_rows
from zincvale.controlplane.core_view import ReplicaRow, RoleRow
from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.controlplane.placement.move_row_codec import encode_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.coordination.changes import KeyView
from zincvale.model.control_tables import (
    Directory,
    Intent,
    MemberRow,
    Members,
    Role,
    ServerHealth,
    ServerRow,
)
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    MemberId,
    ModelName,
    MoveId,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.resources import PoolKind


def server(name: str, zone: str = "zone-a", **fields: object) -> ServerRow:
    """Return an observed language-model server."""
    row = ServerRow(
        server=ServerId(name),
        address=Address("127.0.0.20:8000"),
        pool=PoolName("chat"),
        zone=ZoneName(zone),
        kind=PoolKind.LANGUAGE_MODEL,
        incarnation="i1",
        memory_bytes=1_500,
        max_running=8,
    )
    return attrs.evolve(row, **fields)  # type: ignore[arg-type]


def directory(*rows: ServerRow) -> Directory:
    """Return a directory of `rows`."""
    return Directory(1, 1, {row.server: row for row in rows})


def member(name: str, role: Role = Role.NODE) -> MemberRow:
    """Return a live member."""
    address = Address("127.0.0.30:9000")
    return MemberRow(MemberId(name), role, ZoneName("zone-a"), address, address, "m1", True)


def move_row(name: str) -> bytes:
    """Return the row of a planned load."""
    move = Move(
        MoveId(name),
        MoveKind.LOAD,
        MoveState.PLANNED,
        MoveReason.MIN_REPLICAS,
        "1 of 2 copies",
        ServerId("s2"),
        Address("127.0.0.20:8000"),
        ZoneName("zone-b"),
        1.0,
        2.0,
        9.0,
        name="base-1",
    )
    return encode_move(move)


@attrs.define
class FakeView:
    """Implements `CoreView` with values that a test sets."""

    rows: KeyView = attrs.field(factory=lambda: KeyView(7, small_rows()))
    applied: dict[MemberId, int] = attrs.field(factory=dict)
    observed: Directory = attrs.field(
        factory=lambda: directory(
            server("s1", models=frozenset({ModelName("base-1")}), running=3),
            server("s2", "zone-b", adapters=frozenset({AdapterName("tone-1")})),
            server("s3", "zone-b", health=ServerHealth.DOWN, running=2),
        )
    )
    calendar: dict[str, bytes] = attrs.field(factory=dict)
    is_current: bool = True
    _decoder: IntentDecoder = attrs.field(factory=IntentDecoder)

    def may_show_state(self) -> bool:
        return self.is_current

    def intent_rows(self) -> KeyView:
        return self.rows

    def intent(self) -> Intent:
        return self._decoder.update(self.rows.version, self.rows.rows)

    def members(self) -> Members:
        rows = {MemberId(name): member(name) for name in self.applied}
        rows[MemberId("core-1")] = member("core-1", Role.CORE)
        return Members(3, rows)

    def applied_versions(self) -> Mapping[MemberId, int]:
        return self.applied

    def directory(self) -> Directory:
        return self.observed

    def moves(self) -> Mapping[str, bytes]:
        return self.calendar

    def roles(self) -> Sequence[RoleRow]:
        return [RoleRow("directory", MemberId("core-1"), 4), RoleRow("placement")]

    def replicas(self) -> Sequence[ReplicaRow]:
        address = Address("127.0.0.1:7001")
        return [ReplicaRow(MemberId("core-1"), ZoneName("zone-a"), address, True, True, "d1", 7)]
