"""Assignment of servers to probers by rendezvous hashing: few move when the members change."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import xxhash

from zincvale.model.identifiers import MemberId, ServerId


def probers_of(server: ServerId, probers: Collection[MemberId], count: int = 1) -> list[MemberId]:
    """Return the `count` members that probe `server`, in order of preference."""
    ranked = sorted(probers, key=lambda member: (_weight(server, member), member), reverse=True)
    return ranked[:count]


def assigned_to(
    member: MemberId, servers: Iterable[ServerId], probers: Collection[MemberId], count: int = 1
) -> list[ServerId]:
    """Return the servers that `member` probes, in the order given."""
    return [server for server in servers if member in probers_of(server, probers, count)]


def _weight(server: ServerId, member: MemberId) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}\0{server}".encode())
