"""Which peer stores the streams whose requests a node receives, and whom a failover calls.

All streams of one ingress node go to the same peer, so that one call carries the chunks of many
streams. The peer is the first of another zone in the ingress node's own rendezvous order, which
spreads the ingress nodes over the peers.
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
    ingress_node: MemberId, zone: ZoneName, zone_by_member: Mapping[MemberId, ZoneName]
) -> list[MemberId]:
    """Return the peers for an ingress node's streams: other zones first, its own zone last."""
    order = rendezvous_order(
        ingress_node, (member for member in zone_by_member if member != ingress_node)
    )
    return sorted(order, key=lambda member: zone_by_member[member] == zone)


def failover_candidates(request_id: str, members: Iterable[MemberId], limit: int) -> list[MemberId]:
    """Return the members that a failover of a stream calls, all of them in a small cluster."""
    return rendezvous_order(request_id, members)[:limit]
