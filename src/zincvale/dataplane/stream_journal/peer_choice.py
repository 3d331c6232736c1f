"""Which peer stores the streams of an ingress node, and which nodes a failover calls.

All streams of one ingress node go to the same peer, so that one call carries the chunks of many
streams. The peer is the first one of another zone in the rendezvous order of the ingress node, so
that the ingress nodes are spread over the peers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from zincvale.model.identifiers import MemberId, ZoneName


def owner_name(member: MemberId, incarnation: str) -> str:
    """Return the name of one process of a node, as used in `StreamFence.owner`."""
    return f"{member}/{incarnation}"


def rendezvous_order(key: str, members: Iterable[MemberId]) -> list[MemberId]:
    """Return the members ordered by their rendezvous hash for `key`."""
    return sorted(members, key=lambda member: xxhash.xxh64_intdigest(f"{key}\0{member}".encode()))


def journal_peers(
    ingress_node: MemberId, zone: ZoneName, zone_by_member: Mapping[MemberId, ZoneName]
) -> list[MemberId]:
    """Return the peers for an ingress node's streams in order of preference, its own zone last."""
    order = rendezvous_order(
        ingress_node, (member for member in zone_by_member if member != ingress_node)
    )
    return sorted(order, key=lambda member: zone_by_member[member] == zone)


def failover_candidates(request_id: str, members: Iterable[MemberId], limit: int) -> list[MemberId]:
    """Return up to `limit` members that a failover of the stream calls."""
    return rendezvous_order(request_id, members)[:limit]
