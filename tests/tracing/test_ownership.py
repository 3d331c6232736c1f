"""Tests of the assignment of traces to collectors."""

import random
from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.ownership import CollectorTable


def members(count: int) -> frozenset[MemberId]:
    return frozenset(MemberId(f"node-{number}") for number in range(count))


def identifiers(count: int) -> list[TraceId]:
    draw = random.Random(1)
    return [TraceId(f"{draw.getrandbits(128):032x}") for _ in range(count)]


class Ownership(TestCase):
    def test_a_trace_has_no_owner_and_no_successor_without_members(self):
        table = CollectorTable()
        self.assertIsNone(table.owner(identifiers(1)[0]))
        self.assertIsNone(table.successor(identifiers(1)[0], MemberId("node-0")))

    def test_owners_do_not_depend_on_former_member_sets(self):
        fresh, changed = CollectorTable(), CollectorTable()
        fresh.apply(members(8))
        traces = identifiers(2_000)
        for count in (3, 9, 5, 12, 8):
            changed.apply(members(count))
            for trace in traces:
                changed.owner(trace)
        for trace in traces:
            first = fresh.owner(trace)
            self.assertThat(changed.owner(trace), Equals(first))
            self.assertThat(changed.successor(trace, first), Equals(fresh.successor(trace, first)))

    def test_traces_are_spread_evenly_and_a_departure_moves_only_those_of_the_departed(self):
        table = CollectorTable()
        table.apply(members(8))
        traces = identifiers(20_000)
        before = {trace: table.owner(trace) for trace in traces}
        shares = Counter(before.values())
        self.assertThat(min(shares.values()), GreaterThan(2_200))
        self.assertThat(max(shares.values()), LessThan(2_800))
        successors = {trace: table.successor(trace, before[trace]) for trace in traces}
        table.apply(members(8) - {MemberId("node-3")})
        for trace in traces:
            expected = before[trace]
            if expected == "node-3":
                expected = successors[trace]
            self.assertThat(table.owner(trace), Equals(expected))

    def test_the_only_member_has_no_successor(self):
        table = CollectorTable()
        table.apply(members(1))
        self.assertIsNone(table.successor(identifiers(1)[0], MemberId("node-0")))
