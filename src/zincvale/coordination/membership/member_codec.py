"""Encodes and decodes the rows of the member table, which are JSON lists by position."""

from __future__ import annotations

import orjson

from zincvale.coordination.changes import Rows
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import Address, MemberId, ZoneName


def encode_member(info: MemberInfo, ready: bool) -> bytes:
    """Return a member's row as bytes."""
    return orjson.dumps(
        [info.role, info.zone, info.api_address, info.peer_address, info.incarnation, ready]
    )


def decode_member(member: str, value: bytes) -> MemberRow:
    """Return the decoded row of `member`."""
    role, zone, api_address, peer_address, incarnation, ready = orjson.loads(value)
    return MemberRow(
        member=MemberId(member),
        role=Role(role),
        zone=ZoneName(zone),
        api_address=Address(api_address),
        peer_address=Address(peer_address),
        incarnation=incarnation,
        ready=ready,
    )


class MemberTableDecoder:
    """Caches the decoded member table, and decodes only rows that changed.

    A process reads the table on each input, but the table changes only when a member does.
    """

    def __init__(self) -> None:
        self._rows: Rows = {}
        self._members = Members()

    def update(self, version: int, rows: Rows) -> Members:
        """Return the decoded table; a table that changed must have replaced its `rows` object."""
        if rows is self._rows and version == self._members.version:
            return self._members
        known_members = self._members.rows
        decoded = {
            MemberId(member): known_members[MemberId(member)]
            if self._rows.get(member) == value
            else decode_member(member, value)
            for member, value in rows.items()
        }
        self._rows = rows
        self._members = Members(version, decoded)
        return self._members
