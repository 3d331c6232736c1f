"""Rows of the member table as bytes, and back: JSON lists by position."""

from __future__ import annotations

import orjson

from zincvale.coordination.changes import Rows
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import Address, MemberId, ZoneName


def encode_member(info: MemberInfo, ready: bool) -> bytes:
    """Return a member as a row."""
    return orjson.dumps(
        [info.role, info.zone, info.api_address, info.peer_address, info.incarnation, ready]
    )


def decode_member(member: str, value: bytes) -> MemberRow:
    """Return the row of `member`."""
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
    """Keeps the decoded member table; decodes only rows that changed.

    The table is read with each input of a process, and changes only when a member does.
    """

    def __init__(self) -> None:
        self._rows: Rows = {}
        self._members = Members()

    def update(self, version: int, rows: Rows) -> Members:
        """Return the member table of `rows`; tables replace their rows when they change."""
        if rows is self._rows and version == self._members.version:
            return self._members
        known = self._members.rows
        decoded = {
            MemberId(member): known[MemberId(member)]
            if self._rows.get(member) == value
            else decode_member(member, value)
            for member, value in rows.items()
        }
        self._rows = rows
        self._members = Members(version, decoded)
        return self._members
