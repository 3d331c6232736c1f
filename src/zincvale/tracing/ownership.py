"""Which member collects a trace: rendezvous hash over the members that can collect.

Trace identifiers fall into slots by their low bits, and each slot belongs to the member with the
highest score for it, so that a change of members moves only what it must. A slot is ranked when
the first of its traces is looked up, and remembered until the members change: a member makes a few
traces a second, and a numeric library would cost it more memory than everything else here.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from zincvale.model.identifiers import MemberId, TraceId

SLOT_HEX_DIGITS = 4
"""Slots are the last 16 bits of the identifier: 18 for each of 3,600 members."""
MASK_64 = 2**64 - 1
SPREAD = 0x9E3779B97F4A7C15
"""Odd constant that spreads neighbouring slots over 64 bits."""
FINAL_MULTIPLIER = 0xBF58476D1CE4E5B9
FINAL_SHIFT = 31


@attrs.frozen
class Ranked:
    """The two best members of a slot."""

    first: MemberId | None
    second: MemberId | None


@attrs.define(slots=True)
class CollectorTable:
    """The members that collect traces, and what each of them owns.

    Attributes
    ----------
    members : the collectors.
    live_members : every live member that makes spans, collectors among them.
    """

    members: frozenset[MemberId] = frozenset()
    live_members: frozenset[MemberId] = frozenset()
    _seeds: dict[MemberId, int] = attrs.field(factory=dict)
    _ranked: dict[int, Ranked] = attrs.field(factory=dict)

    def apply(
        self, members: frozenset[MemberId], live_members: frozenset[MemberId] | None = None
    ) -> None:
        """Apply the new set of collectors, and of all live members when that is larger."""
        self.live_members = members if live_members is None else live_members
        if members == self.members:
            return
        self.members = members
        self._seeds = {member: xxhash.xxh64_intdigest(member.encode()) for member in members}
        self._ranked = {}

    def owner(self, trace_id: TraceId) -> MemberId | None:
        """Return the collector of a trace, or None without members."""
        return self._rank(trace_id).first

    def successor(self, trace_id: TraceId, excluding: MemberId) -> MemberId | None:
        """Return the best member besides `excluding`, which takes over from it, or None."""
        ranked = self._rank(trace_id)
        return ranked.second if ranked.first == excluding else ranked.first

    def _rank(self, trace_id: TraceId) -> Ranked:
        slot = int(trace_id[-SLOT_HEX_DIGITS:], 16)
        ranked = self._ranked.get(slot)
        if ranked is None:
            ranked = self._ranked[slot] = _best_two(self._seeds.items(), slot)
        return ranked


def _best_two(seeds: Iterable[tuple[MemberId, int]], slot: int) -> Ranked:
    first: MemberId | None = None
    second: MemberId | None = None
    first_score = second_score = -1
    slot_hash = (slot + 1) * SPREAD & MASK_64
    for member, seed in seeds:
        mixed = (seed ^ slot_hash) * FINAL_MULTIPLIER & MASK_64
        score = (mixed ^ (mixed >> FINAL_SHIFT)) * SPREAD & MASK_64
        if score > first_score:
            first, first_score, second, second_score = member, score, first, first_score
        elif score > second_score:
            second, second_score = member, score
    return Ranked(first, second)
