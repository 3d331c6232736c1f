"""Which registered nodes vote on a request: rendezvous hashing with a limit for each zone.

A view is one version of the durable list of registered nodes. It does not depend on which nodes are
live: all nodes with the same view agree on the voters of a request, whoever they can reach.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import numpy
import xxhash

from zincvale.model.identifiers import MemberId, ZoneName

MAX_VOTERS = 5
# Constants of the SplitMix64 finalizer, which mixes the hashes of a node and a request.
_SHIFT_1 = numpy.uint64(30)
_SHIFT_2 = numpy.uint64(27)
_SHIFT_3 = numpy.uint64(31)
_FACTOR_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_FACTOR_2 = numpy.uint64(0x94D049BB133111EB)


class ClaimView:
    """One version of the registered nodes, which determines the voters of each request.

    Parameters
    ----------
    version : version of the registry, from 1.
    nodes : zone of each registered node.
    """

    def __init__(self, version: int, nodes: Mapping[MemberId, ZoneName]) -> None:
        self.version = version
        self.nodes = dict(nodes)
        self.voter_count = _largest_odd(min(MAX_VOTERS, len(nodes)))
        self.majority = self.voter_count // 2 + 1
        self._names = sorted(self.nodes)
        self._seeds = numpy.array(
            [xxhash.xxh64_intdigest(name.encode()) for name in self._names], dtype=numpy.uint64
        )
        zone_sizes = Counter(self.nodes.values())
        self.zone_cap = _smallest_sufficient_cap(zone_sizes, self.voter_count)

    def voters(self, request_id: str) -> tuple[MemberId, ...]:
        """Return the voters of a request, the highest score first.

        No zone has more than `zone_cap` of them, the smallest limit that still allows a full group.
        """
        chosen: list[MemberId] = []
        per_zone: Counter[ZoneName] = Counter()
        for index in self._indexes_by_score(request_id):
            node = self._names[index]
            zone = self.nodes[node]
            if per_zone[zone] == self.zone_cap:
                continue
            per_zone[zone] += 1
            chosen.append(node)
            if len(chosen) == self.voter_count:
                break
        return tuple(chosen)

    def most_in_one_group(
        self, nodes: Iterable[MemberId], containing: MemberId | None = None
    ) -> int:
        """Return how many of `nodes` one group of voters can contain at most.

        With `containing`, only groups that contain this node count; the node itself is not counted.
        """
        per_zone = Counter(self.nodes[node] for node in nodes if node in self.nodes)
        own_zone = self.nodes.get(containing) if containing is not None else None
        return sum(
            min(self.zone_cap - (zone == own_zone), count) for zone, count in per_zone.items()
        )

    def _indexes_by_score(self, request_id: str) -> numpy.ndarray:
        scores = self._seeds ^ numpy.uint64(xxhash.xxh64_intdigest(request_id.encode()))
        scores = (scores ^ (scores >> _SHIFT_1)) * _FACTOR_1
        scores = (scores ^ (scores >> _SHIFT_2)) * _FACTOR_2
        scores = scores ^ (scores >> _SHIFT_3)
        return numpy.argsort(scores, kind="stable")


def _largest_odd(count: int) -> int:
    """Return the largest odd number up to `count`, or 0.

    A group of one more voter, an even number, would not tolerate the loss of more voters.
    """
    if count <= 0:
        return 0
    return count - (count % 2 == 0)


def _smallest_sufficient_cap(zone_sizes: Counter[ZoneName], voter_count: int) -> int:
    cap = 0
    while sum(min(cap, zone_size) for zone_size in zone_sizes.values()) < voter_count:
        cap += 1
    return cap
