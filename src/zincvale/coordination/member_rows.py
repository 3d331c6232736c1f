"""Rows of the member table as bytes, and back."""

from __future__ import annotations

import orjson

from zincvale.coordination.changes import Rows
from zincvale.coordination.member_messages import MemberInfo
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.view import MemberRow, Members, Role


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


def decode_members(version: int, rows: Rows) -> Members:
    """Return the whole member table."""
    decoded = {MemberId(member): decode_member(member, value) for member, value in rows.items()}
    return Members(version, decoded)
