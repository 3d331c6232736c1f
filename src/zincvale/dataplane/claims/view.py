"""Which registered nodes hold the claim of a request: rendezvous hashing, spread over zones.

A view is one version of the durable list of registered nodes. Liveness plays no part: all nodes
with the same view agree on the voters of a request whatever they see of each other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import numpy
import xxhash

from zincvale.model.identifiers import MemberId, ZoneName

MAX_VOTERS = 5
_SHIFT_1 = numpy.uint64(30)
_SHIFT_2 = numpy.uint64(27)
_SHIFT_3 = numpy.uint64(31)
_FACTOR_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_FACTOR_2 = numpy.uint64(0x94D049BB133111EB)


class ClaimView:
    """One version of the registered nodes, and the voter groups it gives.

    Parameters
    ----------
    version : of the registry, from 1.
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
        sizes = Counter(self.nodes.values())
        self.zone_cap = _smallest_sufficient_cap(sizes, self.voter_count)

    def voters(self, request_id: str) -> tuple[MemberId, ...]:
        """Return the voters of a request, the highest score first.

        No zone has more than `zone_cap` of them, the smallest cap that fills the group.
        """
        chosen: list[MemberId] = []
        per_zone: Counter[ZoneName] = Counter()
        for index in self._by_score(request_id):
            node = self._names[index]
            zone = self.nodes[node]
            if per_zone[zone] == self.zone_cap:
                continue
            per_zone[zone] += 1
            chosen.append(node)
            if len(chosen) == self.voter_count:
                break
        return tuple(chosen)

    def most_in_one_group(self, nodes: Iterable[MemberId], beside: MemberId | None = None) -> int:
        """Return how many of `nodes` one group can hold at most.

        With `beside`, only groups that contain this node count, and the node itself does not.
        """
        per_zone = Counter(self.nodes[node] for node in nodes if node in self.nodes)
        own_zone = self.nodes.get(beside) if beside is not None else None
        return sum(
            min(self.zone_cap - (zone == own_zone), count) for zone, count in per_zone.items()
        )

    def _by_score(self, request_id: str) -> numpy.ndarray:
        mixed = self._seeds ^ numpy.uint64(xxhash.xxh64_intdigest(request_id.encode()))
        mixed = (mixed ^ (mixed >> _SHIFT_1)) * _FACTOR_1
        mixed = (mixed ^ (mixed >> _SHIFT_2)) * _FACTOR_2
        mixed = mixed ^ (mixed >> _SHIFT_3)
        return numpy.argsort(mixed, kind="stable")


def _largest_odd(count: int) -> int:
    """Return the largest odd number up to `count`: an even group tolerates no more losses."""
    if count <= 0:
        return 0
    return count - (count % 2 == 0)


def _smallest_sufficient_cap(sizes: Counter[ZoneName], voter_count: int) -> int:
    cap = 0
    while sum(min(cap, size) for size in sizes.values()) < voter_count:
        cap += 1
    return cap
