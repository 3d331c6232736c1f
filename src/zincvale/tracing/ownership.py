"""Assignment of traces to collectors: rendezvous hashing over the members that can collect.

The low bits of a trace identifier select a slot, and each slot belongs to the member with the
highest score for it, so that a change of members moves as few traces as possible. The members of a
slot are ranked when the first of its traces is looked up, and the ranking is cached until the
members change. A member starts only a few traces a second, so it is not worth ranking all slots in
advance with a numeric library, which would take more memory than the rest of tracing.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from zincvale.model.identifiers import MemberId, TraceId

SLOT_HEX_DIGITS = 4
"""Hexadecimal digits of the trace identifier that select its slot: 16 bits give 65,536 slots, 18
for each of 3,600 members."""
MASK_64 = 2**64 - 1
SLOT_MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd 64-bit multiplier (2**64 / golden ratio) that maps neighbouring slots to distant hashes."""
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
MIX_SHIFT = 31


@attrs.frozen
class RankedMembers:
    """The two members with the highest scores for a slot; None where there are too few members."""

    first: MemberId | None
    second: MemberId | None


@attrs.define(slots=True)
class CollectorTable:
    """The members that collect traces, and which of them owns each trace.

    Attributes
    ----------
    members : the collectors.
    live_members : every live member that records spans, including the collectors.
    """

    members: frozenset[MemberId] = frozenset()
    live_members: frozenset[MemberId] = frozenset()
    _seeds: dict[MemberId, int] = attrs.field(factory=dict)
    _ranked: dict[int, RankedMembers] = attrs.field(factory=dict)

    def apply(
        self, members: frozenset[MemberId], live_members: frozenset[MemberId] | None = None
    ) -> None:
        """Replace the collectors; `live_members` defaults to them when no other member is live."""
        self.live_members = members if live_members is None else live_members
        if members == self.members:
            return
        self.members = members
        self._seeds = {member: xxhash.xxh64_intdigest(member.encode()) for member in members}
        self._ranked = {}

    def owner(self, trace_id: TraceId) -> MemberId | None:
        """Return the collector of a trace, or None without members."""
        return self._rank_members(trace_id).first

    def successor(self, trace_id: TraceId, excluding: MemberId) -> MemberId | None:
        """Return the best member other than `excluding`, which takes over from it, or None."""
        ranked = self._rank_members(trace_id)
        return ranked.second if ranked.first == excluding else ranked.first

    def _rank_members(self, trace_id: TraceId) -> RankedMembers:
        slot = int(trace_id[-SLOT_HEX_DIGITS:], 16)
        ranked = self._ranked.get(slot)
        if ranked is None:
            ranked = self._ranked[slot] = _best_two(self._seeds.items(), slot)
        return ranked


def _best_two(seeds: Iterable[tuple[MemberId, int]], slot: int) -> RankedMembers:
    first: MemberId | None = None
    second: MemberId | None = None
    first_score = second_score = -1
    slot_hash = (slot + 1) * SLOT_MULTIPLIER & MASK_64
    for member, seed in seeds:
        mixed = (seed ^ slot_hash) * MIX_MULTIPLIER & MASK_64
        score = (mixed ^ (mixed >> MIX_SHIFT)) * SLOT_MULTIPLIER & MASK_64
        if score > first_score:
            first, first_score, second, second_score = member, score, first, first_score
        elif score > second_score:
            second, second_score = member, score
    return RankedMembers(first, second)
