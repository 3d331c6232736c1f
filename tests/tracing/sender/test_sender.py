"""Tests of the sender: batches, credit, retention and lost collectors."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from tests.tracing.builders import HERE, OTHER, collector_table, make_chunk, owned_by, sequences
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log, Send
from zincvale.tracing import log_events
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.sender.links import MAX_BATCH_CHUNKS
from zincvale.tracing.sender.sender import (
    ACK_TIMEOUT_S,
    ACKNOWLEDGEMENT_MARGIN_S,
    MIN_FLUSH_INTERVAL_S,
    PROBE_INTERVAL_S,
    AcknowledgementReceived,
    BatchAckReceived,
    ChunksEnded,
    CollectorsChanged,
    FlushDue,
    SpanSender,
)

THIRD = MemberId("node-3")
AMPLE_CREDIT_BYTES = 1_000_000


class SenderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.collectors = collector_table(HERE, OTHER, THIRD)
        self.sender = self.make_sender()

    def make_sender(self, **config):
        return SpanSender(HERE, TracingConfig(**config), self.collectors)

    def enqueue(self, member, count=1, first_sequence=1, **fields):
        numbers = owned_by(member, self.collectors, count)
        for position, number in enumerate(numbers):
            chunk = make_chunk(number, first_sequence + position, **fields)
            self.sender.handle(ChunksEnded([chunk]), 0.0)

    def flush(self, now):
        return [
            effect for effect in self.sender.handle(FlushDue(), now) if isinstance(effect, Send)
        ]

    def change_collectors(self, *members, restarted=()):
        self.collectors.apply(frozenset(members))
        event = CollectorsChanged(frozenset(members), frozenset(restarted))
        return self.sender.handle(event, 10.0)


class Batches(SenderTest):
    def test_each_collector_gets_a_batch_of_its_own_chunks(self):
        self.enqueue(OTHER, 3, 1)
        self.enqueue(THIRD, 2, 11)
        sent = {effect.to: sequences(effect.message) for effect in self.flush(0.0)}
        self.assertThat(sent, Equals({OTHER: [1, 2, 3], THIRD: [11, 12]}))

    def test_one_batch_is_in_flight_at_a_time_and_errors_are_sent_first(self):
        self.enqueue(OTHER)
        [first] = self.flush(0.0)
        self.enqueue(OTHER, 2, 2)
        self.enqueue(OTHER, 1, 9, error=True)
        self.assertThat(self.flush(0.25), HasLength(0))
        self.sender.handle(BatchAckReceived(OTHER, first.message.batch, AMPLE_CREDIT_BYTES), 0.3)
        [second] = self.flush(0.5)
        self.assertThat(sequences(second.message), Equals([9, 2, 3]))

    def test_errors_and_half_a_batch_are_sent_before_the_flush_interval_ends(self):
        self.enqueue(OTHER)
        [first] = self.flush(0.0)
        self.sender.handle(BatchAckReceived(OTHER, first.message.batch, AMPLE_CREDIT_BYTES), 0.1)
        self.enqueue(OTHER, 3, 2)
        self.assertThat(self.flush(0.25), HasLength(0))
        self.enqueue(OTHER, 1, 9, error=True)
        [urgent] = self.flush(0.5)
        self.assertThat(sequences(urgent.message), Equals([9, 2, 3, 4]))
        self.sender.handle(BatchAckReceived(OTHER, urgent.message.batch, AMPLE_CREDIT_BYTES), 0.6)
        self.enqueue(OTHER, MAX_BATCH_CHUNKS // 2 - 1, 100)
        self.assertThat(self.flush(0.75), HasLength(0))
        self.enqueue(OTHER, 1, 1000)
        self.assertThat(self.flush(0.75), HasLength(1))

    def test_a_batch_without_an_ack_is_sent_again(self):
        self.enqueue(OTHER, 2)
        [first] = self.flush(0.0)
        [again] = self.flush(ACK_TIMEOUT_S)
        self.assertThat(sequences(again.message), Equals(sequences(first.message)))
        self.sender.handle(BatchAckReceived(OTHER, first.message.batch, AMPLE_CREDIT_BYTES), 2.0)
        self.assertFalse(self.sender.is_idle)
        self.sender.handle(BatchAckReceived(OTHER, again.message.batch, AMPLE_CREDIT_BYTES), 2.0)
        self.assertTrue(self.sender.is_idle)

    def test_chunks_are_queued_while_no_collector_is_known(self):
        self.change_collectors()
        self.sender.handle(ChunksEnded([make_chunk(1)]), 0.0)
        self.assertThat(self.flush(0.0), HasLength(0))
        self.change_collectors(OTHER)
        [sent] = self.flush(1.0)
        self.assertThat((sent.to, sequences(sent.message)), Equals((OTHER, [1])))

    def test_errors_that_this_member_collects_are_backed_up_at_another(self):
        self.enqueue(HERE, 2, 1)
        self.enqueue(HERE, 1, 5, error=True)
        own, backup = self.flush(0.0)
        self.assertThat((own.to, own.message.backup), Equals((HERE, False)))
        self.assertThat((backup.message.backup, sequences(backup.message)), Equals((True, [5])))
        self.assertFalse(backup.to == HERE)


class Credit(SenderTest):
    def exhaust_credit(self):
        self.enqueue(OTHER)
        [first] = self.flush(0.0)
        self.sender.handle(BatchAckReceived(OTHER, first.message.batch, 0), 0.1)

    def test_without_credit_only_errors_are_sent_once_per_probe_interval(self):
        self.exhaust_credit()
        self.enqueue(OTHER, 3, 2)
        self.enqueue(OTHER, 1, 9, error=True)
        self.assertThat(self.flush(0.25), HasLength(0))
        [probe] = self.flush(PROBE_INTERVAL_S)
        self.assertThat(sequences(probe.message), Equals([9]))
        self.sender.handle(BatchAckReceived(OTHER, probe.message.batch, AMPLE_CREDIT_BYTES), 1.1)
        self.assertThat(self.flush(1.25), HasLength(0))
        [batch] = self.flush(PROBE_INTERVAL_S + MIN_FLUSH_INTERVAL_S)
        self.assertThat(sequences(batch.message), Equals([2, 3, 4]))

    def test_credit_limits_the_size_of_a_batch(self):
        self.enqueue(OTHER)
        [first] = self.flush(0.0)
        size = make_chunk(1).size_bytes
        self.sender.handle(BatchAckReceived(OTHER, first.message.batch, 2 * size), 0.1)
        self.enqueue(OTHER, 10, 2)
        [batch] = self.flush(MIN_FLUSH_INTERVAL_S)
        self.assertThat(sequences(batch.message), HasLength(2))

    def test_a_full_buffer_drops_errors_last_and_counts_the_drops(self):
        size = make_chunk(1, error=True).size_bytes
        self.sender = self.make_sender(sender_bytes=10 * size)
        self.enqueue(OTHER, 8, 1, error=True)
        self.enqueue(OTHER, 8, 11)
        self.assertThat(dict(self.sender.stats.dropped), Equals({"other": 6}))
        self.enqueue(OTHER, 6, 21, error=True)
        self.assertThat(dict(self.sender.stats.dropped), Equals({"other": 8, "error": 4}))
        self.assertThat(self.sender.queued_bytes, LessThan(10 * size + 1))
        logs = [e for e in self.sender.handle(FlushDue(), 0.0) if isinstance(e, Log)]
        self.assertThat([log.number for log in logs], Equals([log_events.SPANS_DROPPED]))

    def test_the_pressure_factor_falls_as_the_queue_grows(self):
        self.assertThat(self.sender.pressure(), Equals(1.0))
        size = make_chunk(1).size_bytes
        self.sender = self.make_sender(sender_bytes=20 * size)
        self.enqueue(OTHER, 5)
        self.assertThat(round(self.sender.pressure(), 1), Equals(0.5))


class LostCollectors(SenderTest):
    def deliver_to(self, member, count, **fields):
        self.enqueue(member, count, **fields)
        for effect in self.flush(0.0):
            self.sender.handle(
                BatchAckReceived(effect.to, effect.message.batch, AMPLE_CREDIT_BYTES), 0.1
            )

    def sent_after_change(self):
        return sorted(n for effect in self.flush(10.0) for n in sequences(effect.message))

    def test_acked_undecided_chunks_are_sent_to_the_new_owners(self):
        self.deliver_to(OTHER, 6)
        self.sender.handle(AcknowledgementReceived([2, 3]), 5.0)
        [log] = self.change_collectors(HERE, THIRD)
        self.assertThat(log.number, Equals(log_events.COLLECTOR_LOST))
        self.assertThat(self.sent_after_change(), Equals([1, 4, 5, 6]))

    def test_a_restart_under_the_same_name_counts_as_lost(self):
        self.deliver_to(OTHER, 2)
        self.change_collectors(HERE, OTHER, THIRD, restarted=[OTHER])
        self.assertThat(self.sent_after_change(), Equals([1, 2]))

    def test_a_batch_in_flight_to_a_lost_collector_is_sent_to_the_new_owner(self):
        self.enqueue(OTHER, 2)
        self.flush(0.0)
        self.change_collectors(HERE, THIRD)
        self.assertThat(self.sent_after_change(), Equals([1, 2]))

    def test_acked_chunks_are_not_sent_again_when_a_collector_joins(self):
        self.deliver_to(OTHER, 2)
        newcomer = MemberId("node-9")
        self.change_collectors(HERE, OTHER, THIRD, newcomer)
        self.assertThat(self.sent_after_change(), Equals([]))

    def test_acked_chunks_without_a_verdict_are_sent_again(self):
        self.deliver_to(OTHER, 1)
        due = 0.1 + TracingConfig().decision_wait_s + ACKNOWLEDGEMENT_MARGIN_S
        self.assertThat(self.flush(due - 0.1), HasLength(0))
        self.flush(due + 0.1)
        [again] = self.flush(due + 0.4)
        self.assertThat(sequences(again.message), Equals([1]))

    def test_retained_chunks_are_dropped_before_queued_chunks(self):
        size = make_chunk(1).size_bytes
        self.sender = self.make_sender(sender_bytes=10 * size)
        self.deliver_to(OTHER, 8)
        self.enqueue(THIRD, 8, 21)
        self.assertThat(self.sender.stats.dropped.total(), Equals(0))
        buffered_bytes = self.sender.retained_bytes + self.sender.queued_bytes
        self.assertThat(buffered_bytes, LessThan(10 * size + 1))
