"""Kept traces: budgets, searches, weights that are revised, and copies."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from tests.tracing.builders import HERE, OTHER, WALL_S, make_chunk, owned_by, table, trace_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing.collector.effects import Keep, Settle
from zincvale.tracing.collector.policies import (
    BASELINE_POLICY,
    ERROR_POLICY,
    NO_POLICY,
    SLOW_POLICY,
    Verdict,
)
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.retention.retained_store import KeptTraceStore, TraceQuery
from zincvale.tracing.retention.trace_replicator import (
    COPY_TIMEOUT_S,
    CopyAcked,
    CopyReceived,
    HoldersChanged,
    KeeperLeaves,
    RetentionDue,
    TraceKeeper,
)

THIRD = MemberId("node-3")
ERROR = Verdict(ERROR_POLICY, 1.0)
SLOW = Verdict(SLOW_POLICY, 1.0)
BASELINE = Verdict(BASELINE_POLICY, 0.01)


def make_keeper(member, collectors, budget_bytes=10**7, retention_s=3600.0):
    store = KeptTraceStore(budget_bytes, retention_s)
    return TraceKeeper(member, TracingConfig(), collectors, store, WALL_S)


def keep(number, verdict, sequence=1, **fields):
    chunk = make_chunk(number, sequence, error=verdict is ERROR, **fields)
    return Keep([chunk], verdict, verdict is ERROR)


class Store(TestCase):
    def setUp(self):
        super().setUp()
        self.keeper = make_keeper(HERE, table(HERE))
        self.store = self.keeper.store

    def test_searches(self):
        for number, verdict in enumerate((ERROR, SLOW, BASELINE, SLOW)):
            self.keeper.handle(keep(number, verdict), 0.0)
        found = self.store.find(TraceQuery(route="quotes", policy=SLOW_POLICY))
        self.assertThat([trace.trace_id for trace in found], Equals([trace_id(3), trace_id(1)]))
        self.assertThat(self.store.find(TraceQuery(route="other")), Equals([]))
        self.assertThat(self.store.find(TraceQuery(since=WALL_S + 2, limit=1)), HasLength(1))
        [trace] = self.store.by_request("r-0002")
        self.assertThat((trace.trace_id, trace.route), Equals((trace_id(2), "quotes")))

    def test_over_the_byte_budget_errors_go_last(self):
        size = 0
        for number, verdict in enumerate((ERROR, SLOW, BASELINE)):
            self.keeper.handle(keep(number, verdict), 0.0)
            size = max(size, self.store.get(trace_id(number)).size_bytes)
        self.store.budget_bytes = 3 * size
        for number in range(3, 6):
            self.keeper.handle(keep(number, ERROR), 0.0)
        self.assertThat([t.trace_id for t in self.store.errors()], HasLength(3))
        evicted = {"other": 1, SLOW_POLICY: 1, ERROR_POLICY: 1}
        self.assertThat(dict(self.store.evicted), Equals(evicted))
        self.assertThat(self.store.complete_since["other"], Equals(WALL_S + 2))
        self.assertThat(self.store.size_bytes, LessThan(3 * size + 1))
        [log] = self.keeper.handle(RetentionDue(WALL_S), 1.0)
        self.assertThat((type(log), log.fields["evicted"]), Equals((Log, evicted)))
        self.assertThat(self.store.by_request("r-0000"), Equals([]))

    def test_retention_ends(self):
        self.keeper.handle(keep(1, ERROR), 0.0)
        self.keeper.handle(RetentionDue(WALL_S + 3599.0), 0.0)
        self.assertThat(len(self.store), Equals(1))
        self.keeper.handle(RetentionDue(WALL_S + 3600.0), 0.0)
        self.assertThat((len(self.store), self.store.size_bytes), Equals((0, 0)))

    def test_stronger_evidence_revises_policy_and_weight(self):
        told = []
        self.keeper.handle(keep(1, BASELINE, probability=0.5), 0.0)
        for sequence, verdict in enumerate((Verdict(NO_POLICY, 1.0), SLOW, BASELINE, ERROR), 2):
            self.keeper.handle(keep(1, verdict, sequence, probability=0.5), 0.0)
            trace = self.store.get(trace_id(1))
            told.append((trace.policy, trace.weight))
        expected = [(BASELINE_POLICY, 200.0), (SLOW_POLICY, 2.0), (SLOW_POLICY, 2.0)]
        self.assertThat(told, Equals([*expected, (ERROR_POLICY, 1.0)]))
        self.assertThat(len(list(self.store.errors())), Equals(1))


class Copies(TestCase):
    def setUp(self):
        super().setUp()
        self.collectors = table(HERE, OTHER, THIRD)
        self.keeper = make_keeper(HERE, self.collectors)
        [self.number] = owned_by(HERE, self.collectors)
        self.trace_id = trace_id(self.number)
        self.stand_in = self.collectors.stand_in(self.trace_id, HERE)

    def lose(self, keeper, *gone):
        self.collectors.apply(self.collectors.members - set(gone))
        return keeper.handle(HoldersChanged(frozenset(gone)), 5.0)

    def test_an_error_is_settled_once_its_copy_is_confirmed(self):
        [copy] = self.keeper.handle(keep(self.number, ERROR), 0.0)
        self.assertThat(copy.to, Equals(self.stand_in))
        [again] = self.keeper.handle(RetentionDue(WALL_S), COPY_TIMEOUT_S)
        self.assertThat(
            self.keeper.handle(CopyAcked(self.stand_in, copy.message.copy_id), 3.0), Equals([])
        )
        effects = self.keeper.handle(CopyAcked(self.stand_in, again.message.copy_id), 3.0)
        self.assertThat(effects, Equals([Settle(HERE, [1])]))
        self.assertThat(self.keeper.store.get(self.trace_id).copied_to, Equals(self.stand_in))

    def test_slow_traces_are_settled_at_once(self):
        effects = self.keeper.handle(keep(self.number, SLOW), 0.0)
        self.assertThat(effects, Equals([Settle(HERE, [1])]))

    def test_the_stand_in_takes_over_and_copies_again(self):
        [copy] = self.keeper.handle(keep(self.number, ERROR), 0.0)
        keeper = make_keeper(self.stand_in, self.collectors)
        keeper.handle(CopyReceived(HERE, copy.message), 0.0)
        trace = keeper.store.get(self.trace_id)
        self.assertThat((trace.holder, trace.weight), Equals((HERE, 1.0)))
        self.lose(keeper, HERE)
        [next_copy] = keeper.handle(RetentionDue(WALL_S), 6.0)
        self.assertThat(trace.holder, Equals(self.stand_in))
        self.assertThat(next_copy.to, Equals(({OTHER, THIRD} - {self.stand_in}).pop()))

    def test_a_lost_copy_is_made_again(self):
        [copy] = self.keeper.handle(keep(self.number, ERROR), 0.0)
        self.keeper.handle(CopyAcked(self.stand_in, copy.message.copy_id), 0.1)
        self.lose(self.keeper, self.stand_in)
        [again] = self.keeper.handle(RetentionDue(WALL_S), 6.0)
        self.assertThat(again.to, Equals(({OTHER, THIRD} - {self.stand_in}).pop()))
        self.assertFalse(self.keeper.is_idle)

    def test_a_leaving_member_hands_over_what_only_it_holds(self):
        self.keeper.handle(keep(self.number, SLOW), 0.0)
        self.keeper.handle(KeeperLeaves(), 1.0)
        [copy] = self.keeper.handle(RetentionDue(WALL_S), 1.0)
        self.assertThat((type(copy), copy.message.policy), Equals((Send, SLOW_POLICY)))

    def test_a_lone_member_settles_without_a_copy(self):
        keeper = make_keeper(HERE, table(HERE))
        self.assertThat(keeper.handle(keep(1, ERROR), 0.0), Equals([Settle(HERE, [1])]))
