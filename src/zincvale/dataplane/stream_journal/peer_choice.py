"""Which peer keeps the streams that a node enters, and whom a take-over asks.

All streams of one entry node go to the same peer, so that one call carries the pieces of many
streams. The peer is the first of another zone in the entry node's own rendezvous order, which
spreads the entry nodes over the peers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from zincvale.model.identifiers import MemberId, ZoneName


def owner_name(member: MemberId, incarnation: str) -> str:
    """Return the name of one process of a node, as fences carry it."""
    return f"{member}/{incarnation}"


def rendezvous_order(key: str, members: Iterable[MemberId]) -> list[MemberId]:
    """Return the members in the order of their scores for `key`."""
    return sorted(members, key=lambda member: xxhash.xxh64_intdigest(f"{key}\0{member}".encode()))


def journal_peers(
    entry_node: MemberId, zone: ZoneName, zone_by_member: Mapping[MemberId, ZoneName]
) -> list[MemberId]:
    """Return the peers for an entry node's streams: other zones first, its own zone last."""
    order = rendezvous_order(
        entry_node, (member for member in zone_by_member if member != entry_node)
    )
    return sorted(order, key=lambda member: zone_by_member[member] == zone)


def take_over_candidates(
    request_id: str, members: Iterable[MemberId], limit: int
) -> list[MemberId]:
    """Return the members that are asked for a stream, all of them in a small cluster."""
    return rendezvous_order(request_id, members)[:limit]
