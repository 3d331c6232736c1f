"""Tests of a collector: waiting, verdicts, late spans, budgets and changes of members."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from tests.tracing.builders import (
    HERE,
    OTHER,
    collector_table,
    make_chunk,
    owned_by,
    sequences,
    trace_id,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing import log_events
from zincvale.tracing.collector.collector import (
    LATE_WAIT_S,
    OPEN_ROOT_TIMEOUT_S,
    RECHECK_S,
    Collector,
)
from zincvale.tracing.collector.effects import AcknowledgeChunks, ForwardChunk, RetainTrace
from zincvale.tracing.collector.inputs import (
    BatchReceived,
    DecisionDue,
    MembersChanged,
    VerdictsReceived,
)
from zincvale.tracing.collector.policies import BASELINE_POLICY, ERROR_POLICY, SLOW_POLICY, Evidence
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.messages import VerdictsMoved

WAIT_S = TracingConfig().decision_wait_s


def effects_of(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


class CollectorTest(TestCase):
    members = (HERE,)

    def setUp(self):
        super().setUp()
        self.collectors = collector_table(*self.members)
        self.collector = self.make_collector()

    def make_collector(self, **config):
        settings = TracingConfig(baseline_traces_per_s=0.0, **config)
        return Collector(HERE, settings, self.collectors)

    def receive(self, now, *chunks, backup=False):
        return self.collector.handle(BatchReceived(list(chunks), backup), now)

    def decide_due(self, now):
        return self.collector.handle(DecisionDue(), now)

    def change_members(self, *members, departed=(), now=10.0):
        self.collectors.apply(frozenset(members))
        return self.collector.handle(MembersChanged(frozenset(departed)), now)

    def baseline_dropped(self, count=1):
        """Return the numbers of traces that the baseline policy does not retain."""
        chain = self.collector.chain
        numbers = (n for n in range(1000) if chain[-1].evaluate(Evidence(trace_id(n))) is None)
        return [next(numbers) for _ in range(count)]


class Verdicts(CollectorTest):
    def test_the_chain_decides_each_trace_after_its_wait(self):
        [baseline_dropped] = self.baseline_dropped()
        baseline = next(
            n for n in range(1000) if self.collector.chain[-1].evaluate(Evidence(trace_id(n)))
        )
        self.receive(0.0, make_chunk(baseline_dropped, 1), make_chunk(baseline, 2))
        self.receive(0.0, make_chunk(5001, 3, error=True), make_chunk(5002, 4, root_ms=700.0))
        self.assertThat(self.decide_due(WAIT_S - 0.1), Equals([]))
        effects = self.decide_due(WAIT_S)
        policies = {
            effect.chunks[0].sequence: effect.verdict.policy
            for effect in effects_of(RetainTrace, effects)
        }
        self.assertThat(policies, Equals({2: BASELINE_POLICY, 3: ERROR_POLICY, 4: SLOW_POLICY}))
        self.assertThat(
            effects_of(AcknowledgeChunks, effects), Equals([AcknowledgeChunks(HERE, [1])])
        )
        self.assertThat((len(self.collector), self.collector.size_bytes), Equals((0, 0)))

    def test_an_error_in_any_chunk_retains_all_of_them_once(self):
        root = make_chunk(1, 1)
        failed = make_chunk(1, 7, error=True, root_ms=-1.0, origin=OTHER)
        self.receive(0.0, root)
        self.receive(5.0, failed, root, failed)
        [effect] = self.decide_due(WAIT_S)
        self.assertThat([chunk.sequence for chunk in effect.chunks], Equals([1, 7]))
        self.assertThat(self.collector.stats.duplicates, Equals(2))


class LateSpans(CollectorTest):
    def receive_and_decide(self, **fields):
        [number] = self.baseline_dropped()
        self.receive(0.0, make_chunk(number, 1, **fields))
        self.decide_due(WAIT_S)
        return number

    def test_late_spans_of_a_retained_trace_are_added_to_it(self):
        number = self.receive_and_decide(error=True)
        [effect] = self.receive(40.0, make_chunk(number, 2, root_ms=-1.0))
        self.assertThat(effect.chunks[0].sequence, Equals(2))

    def test_late_spans_of_a_dropped_trace_are_dropped_and_acknowledged(self):
        number = self.receive_and_decide()
        late = make_chunk(number, 2, root_ms=-1.0)
        self.assertThat(self.receive(40.0, late), Equals([AcknowledgeChunks(HERE, [2])]))

    def test_a_late_error_revises_the_verdict(self):
        number = self.receive_and_decide()
        self.receive(40.0, make_chunk(number, 2, error=True, root_ms=-1.0))
        [effect] = self.decide_due(40.0 + LATE_WAIT_S)
        self.assertThat((effect.verdict.policy, effect.is_error), Equals((ERROR_POLICY, True)))


class OpenRoots(CollectorTest):
    def open_chunk(self, sequence):
        [number] = self.baseline_dropped()
        return make_chunk(number, sequence, root_open=True, root_ms=-1.0)

    def test_open_root_markers_extend_the_wait_until_the_root_ends(self):
        for step in range(8):
            self.receive(step * 5.0, self.open_chunk(step))
            self.assertThat(effects_of(RetainTrace, self.decide_due(step * 5.0)), HasLength(0))
        [number] = self.baseline_dropped()
        self.receive(41.0, make_chunk(number, 50, error=True, root_ms=41_000.0))
        [effect] = self.decide_due(41.0 + RECHECK_S)
        self.assertThat((len(effect.chunks), effect.verdict.policy), Equals((9, ERROR_POLICY)))

    def test_the_extended_wait_is_bounded_and_the_open_root_then_counts_as_slow(self):
        self.collector = self.make_collector(longest_wait_s=60.0)
        retained = []
        for step in range(16):
            retained += effects_of(RetainTrace, self.receive(step * 5.0, self.open_chunk(step)))
            retained += effects_of(RetainTrace, self.decide_due(step * 5.0))
        self.assertThat(retained[0].verdict.policy, Equals(SLOW_POLICY))
        self.assertThat(retained[0].chunks, HasLength(13))
        self.assertThat(
            [effect.chunks[0].sequence for effect in retained[1:]], Equals([13, 14, 15])
        )

    def test_a_root_whose_ingress_node_departed_is_retained(self):
        self.collector = self.make_collector(slow_root_ms=1e9)
        [number] = self.baseline_dropped()
        lost = make_chunk(number, 1, root_open=True, root_ms=-1.0, origin=OTHER)
        self.receive(0.0, lost)
        [effect] = self.decide_due(max(WAIT_S, OPEN_ROOT_TIMEOUT_S) + RECHECK_S)
        self.assertThat(effect.verdict.policy, Equals("entry-lost"))


class Budgets(CollectorTest):
    def test_a_full_collector_decides_its_oldest_traces_early_and_retains_their_errors(self):
        self.collector = self.make_collector(num_traces=3)
        numbers = self.baseline_dropped(4)
        self.receive(0.0, make_chunk(5000, 9, error=True))
        effects = self.receive(1.0, *[make_chunk(n, n) for n in numbers])
        self.assertThat(
            [effect.chunks[0].sequence for effect in effects_of(RetainTrace, effects)], Equals([9])
        )
        self.assertThat(
            effects_of(AcknowledgeChunks, effects), Equals([AcknowledgeChunks(HERE, [numbers[0]])])
        )
        self.assertThat([log.number for log in effects_of(Log, effects)], Equals([8002]))
        self.assertThat(log_events.COLLECTOR_FULL, Equals(8002))
        self.assertThat(len(self.collector), Equals(3))

    def test_bytes_are_bounded_and_credit_falls_with_the_free_budget(self):
        size = make_chunk(1).size_bytes
        self.collector = self.make_collector(collector_bytes=100 * size)
        credits = [self.collector.credit_bytes()]
        for number in self.baseline_dropped(150):
            self.receive(0.0, make_chunk(number, number))
            credits.append(self.collector.credit_bytes())
        self.assertThat(credits, Equals(sorted(credits, reverse=True)))
        self.assertThat(credits[-1], Equals(0))
        self.assertThat(self.collector.size_bytes, LessThan(100 * size + 1))


class Membership(CollectorTest):
    members = (HERE, OTHER)

    def test_a_misdirected_chunk_is_forwarded_only_a_limited_number_of_times(self):
        [theirs] = owned_by(OTHER, self.collectors)
        [passed] = self.receive(0.0, make_chunk(theirs))
        self.assertThat((type(passed), passed.chunk.hops), Equals((ForwardChunk, 1)))
        self.assertThat(self.receive(0.0, make_chunk(theirs, hops=2)), Equals([]))
        self.assertThat(len(self.collector), Equals(1))

    def test_undecided_traces_move_to_a_joining_member_with_the_time_they_waited(self):
        self.change_members(HERE)
        numbers = range(40)
        self.receive(0.0, *[make_chunk(n, n) for n in numbers])
        effects = self.change_members(HERE, OTHER, now=12.0)
        theirs = [n for n in numbers if self.collectors.owner(trace_id(n)) == OTHER]
        moved = effects_of(ForwardChunk, effects)
        self.assertThat([effect.chunk.sequence for effect in moved], Equals(theirs))
        self.assertThat({effect.chunk.waited_s for effect in moved}, Equals({12.0}))
        self.assertThat(len(self.collector), Equals(40 - len(theirs)))
        receiver = Collector(OTHER, TracingConfig(), self.collectors)
        receiver.handle(BatchReceived([moved[0].chunk]), 12.0)
        receiver.handle(DecisionDue(), 12.0 + WAIT_S - 12.5)
        self.assertThat(len(receiver), Equals(1))
        receiver.handle(DecisionDue(), 12.0 + WAIT_S - 12.0)
        self.assertThat(len(receiver), Equals(0))

    def test_late_spans_reach_the_primary_after_the_owner_changed(self):
        self.change_members(HERE)
        self.receive(0.0, *[make_chunk(n, n, error=True) for n in range(20)])
        self.decide_due(WAIT_S)
        effects = self.change_members(HERE, OTHER, now=40.0)
        [message] = [effect.message for effect in effects_of(Send, effects)]
        self.assertThat(type(message), Equals(VerdictsMoved))
        receiver = Collector(OTHER, TracingConfig(), self.collectors)
        receiver.handle(VerdictsReceived(HERE, message.trace_ids), 40.0)
        moved = next(n for n in range(20) if trace_id(n) == message.trace_ids[0])
        [sent] = receiver.handle(BatchReceived([make_chunk(moved, 99)]), 41.0)
        self.assertThat((sent.to, sequences(sent.message)), Equals((HERE, [99])))
        receiver.handle(MembersChanged(frozenset({HERE})), 42.0)
        self.assertIsNone(receiver.primary_of(trace_id(moved)))

    def test_backed_up_errors_are_decided_after_their_collector_departed(self):
        [theirs] = owned_by(OTHER, self.collectors)
        backup = make_chunk(theirs, 3, error=True, origin=OTHER)
        self.receive(0.0, backup, backup=True)
        self.assertThat(self.decide_due(WAIT_S), Equals([]))
        self.change_members(HERE, departed=[OTHER], now=WAIT_S)
        [effect] = self.decide_due(2 * WAIT_S)
        self.assertThat(effect.verdict.policy, Equals(ERROR_POLICY))

    def test_a_replica_of_a_trace_replaces_its_backup(self):
        [theirs] = owned_by(OTHER, self.collectors)
        self.receive(0.0, make_chunk(theirs, 3, error=True, origin=OTHER), backup=True)
        self.collector.mark_retained_here(trace_id(theirs))
        self.change_members(HERE, departed=[MemberId("node-2")], now=WAIT_S)
        self.assertThat(len(self.collector), Equals(0))
