"""Tests of retained traces: budgets, searches, revised weights, and replicas."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from tests.tracing.builders import (
    HERE,
    OTHER,
    WALL_S,
    collector_table,
    make_chunk,
    owned_by,
    trace_id,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing.collector.effects import AcknowledgeChunks, RetainTrace
from zincvale.tracing.collector.policies import (
    BASELINE_POLICY,
    ERROR_POLICY,
    NO_POLICY,
    SLOW_POLICY,
    Verdict,
)
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.retention.retained_store import RetainedTraceStore, TraceQuery
from zincvale.tracing.retention.trace_replicator import (
    REPLICA_ACK_TIMEOUT_S,
    DrainStarted,
    ReplicaAcknowledged,
    ReplicaMembersChanged,
    ReplicaReceived,
    RetentionDue,
    TraceReplicator,
)

THIRD = MemberId("node-3")
ERROR = Verdict(ERROR_POLICY, 1.0)
SLOW = Verdict(SLOW_POLICY, 1.0)
BASELINE = Verdict(BASELINE_POLICY, 0.01)


def make_replicator(member, collectors, budget_bytes=10**7, retention_s=3600.0):
    store = RetainedTraceStore(budget_bytes, retention_s)
    return TraceReplicator(member, TracingConfig(), collectors, store, WALL_S)


def retain(number, verdict, sequence=1, **fields):
    chunk = make_chunk(number, sequence, error=verdict is ERROR, **fields)
    return RetainTrace([chunk], verdict, verdict is ERROR)


class Store(TestCase):
    def setUp(self):
        super().setUp()
        self.replicator = make_replicator(HERE, collector_table(HERE))
        self.store = self.replicator.store

    def test_searches_filter_and_limit_traces_with_the_newest_first(self):
        for number, verdict in enumerate((ERROR, SLOW, BASELINE, SLOW)):
            self.replicator.handle(retain(number, verdict), 0.0)
        found = self.store.find(TraceQuery(route="quotes", policy=SLOW_POLICY))
        self.assertThat([trace.trace_id for trace in found], Equals([trace_id(3), trace_id(1)]))
        self.assertThat(self.store.find(TraceQuery(route="other")), Equals([]))
        self.assertThat(self.store.find(TraceQuery(since=WALL_S + 2, limit=1)), HasLength(1))
        [trace] = self.store.by_request("r-0002")
        self.assertThat((trace.trace_id, trace.route), Equals((trace_id(2), "quotes")))

    def test_errors_are_evicted_last_above_the_byte_budget(self):
        size = 0
        for number, verdict in enumerate((ERROR, SLOW, BASELINE)):
            self.replicator.handle(retain(number, verdict), 0.0)
            size = max(size, self.store.get(trace_id(number)).size_bytes)
        self.store.budget_bytes = 3 * size
        for number in range(3, 6):
            self.replicator.handle(retain(number, ERROR), 0.0)
        self.assertThat([t.trace_id for t in self.store.errors()], HasLength(3))
        evicted = {"other": 1, SLOW_POLICY: 1, ERROR_POLICY: 1}
        self.assertThat(dict(self.store.evicted), Equals(evicted))
        self.assertThat(self.store.complete_since["other"], Equals(WALL_S + 2))
        self.assertThat(self.store.size_bytes, LessThan(3 * size + 1))
        [log] = self.replicator.handle(RetentionDue(WALL_S), 1.0)
        self.assertThat((type(log), log.fields["evicted"]), Equals((Log, evicted)))
        self.assertThat(self.store.by_request("r-0000"), Equals([]))

    def test_traces_expire_after_the_retention_time(self):
        self.replicator.handle(retain(1, ERROR), 0.0)
        self.replicator.handle(RetentionDue(WALL_S + 3599.0), 0.0)
        self.assertThat(len(self.store), Equals(1))
        self.replicator.handle(RetentionDue(WALL_S + 3600.0), 0.0)
        self.assertThat((len(self.store), self.store.size_bytes), Equals((0, 0)))

    def test_stronger_evidence_revises_policy_and_weight(self):
        revisions = []
        self.replicator.handle(retain(1, BASELINE, probability=0.5), 0.0)
        for sequence, verdict in enumerate((Verdict(NO_POLICY, 1.0), SLOW, BASELINE, ERROR), 2):
            self.replicator.handle(retain(1, verdict, sequence, probability=0.5), 0.0)
            trace = self.store.get(trace_id(1))
            revisions.append((trace.policy, trace.weight))
        expected = [(BASELINE_POLICY, 200.0), (SLOW_POLICY, 2.0), (SLOW_POLICY, 2.0)]
        self.assertThat(revisions, Equals([*expected, (ERROR_POLICY, 1.0)]))
        self.assertThat(len(list(self.store.errors())), Equals(1))


class Replicas(TestCase):
    def setUp(self):
        super().setUp()
        self.collectors = collector_table(HERE, OTHER, THIRD)
        self.replicator = make_replicator(HERE, self.collectors)
        [self.number] = owned_by(HERE, self.collectors)
        self.trace_id = trace_id(self.number)
        self.successor = self.collectors.successor(self.trace_id, HERE)

    def remove_members(self, replicator, *departed):
        self.collectors.apply(self.collectors.members - set(departed))
        return replicator.handle(ReplicaMembersChanged(frozenset(departed)), 5.0)

    def test_an_error_is_acknowledged_once_its_replica_is_confirmed(self):
        [replica] = self.replicator.handle(retain(self.number, ERROR), 0.0)
        self.assertThat(replica.to, Equals(self.successor))
        [again] = self.replicator.handle(RetentionDue(WALL_S), REPLICA_ACK_TIMEOUT_S)
        self.assertThat(
            self.replicator.handle(
                ReplicaAcknowledged(self.successor, replica.message.replica_id), 3.0
            ),
            Equals([]),
        )
        effects = self.replicator.handle(
            ReplicaAcknowledged(self.successor, again.message.replica_id), 3.0
        )
        self.assertThat(effects, Equals([AcknowledgeChunks(HERE, [1])]))
        self.assertThat(
            self.replicator.store.get(self.trace_id).replica_member, Equals(self.successor)
        )

    def test_slow_traces_are_acknowledged_without_a_replica(self):
        effects = self.replicator.handle(retain(self.number, SLOW), 0.0)
        self.assertThat(effects, Equals([AcknowledgeChunks(HERE, [1])]))

    def test_the_successor_takes_over_and_replicates_again(self):
        [replica] = self.replicator.handle(retain(self.number, ERROR), 0.0)
        replicator = make_replicator(self.successor, self.collectors)
        replicator.handle(ReplicaReceived(HERE, replica.message), 0.0)
        trace = replicator.store.get(self.trace_id)
        self.assertThat((trace.primary, trace.weight), Equals((HERE, 1.0)))
        self.remove_members(replicator, HERE)
        [next_replica] = replicator.handle(RetentionDue(WALL_S), 6.0)
        self.assertThat(trace.primary, Equals(self.successor))
        self.assertThat(next_replica.to, Equals(({OTHER, THIRD} - {self.successor}).pop()))

    def test_a_lost_replica_is_replaced(self):
        [replica] = self.replicator.handle(retain(self.number, ERROR), 0.0)
        self.replicator.handle(ReplicaAcknowledged(self.successor, replica.message.replica_id), 0.1)
        self.remove_members(self.replicator, self.successor)
        [again] = self.replicator.handle(RetentionDue(WALL_S), 6.0)
        self.assertThat(again.to, Equals(({OTHER, THIRD} - {self.successor}).pop()))
        self.assertFalse(self.replicator.is_idle)

    def test_a_draining_member_transfers_traces_without_a_replica(self):
        self.replicator.handle(retain(self.number, SLOW), 0.0)
        self.replicator.handle(DrainStarted(), 1.0)
        [replica] = self.replicator.handle(RetentionDue(WALL_S), 1.0)
        self.assertThat((type(replica), replica.message.policy), Equals((Send, SLOW_POLICY)))

    def test_the_only_member_acknowledges_errors_without_a_replica(self):
        replicator = make_replicator(HERE, collector_table(HERE))
        self.assertThat(
            replicator.handle(retain(1, ERROR), 0.0), Equals([AcknowledgeChunks(HERE, [1])])
        )
