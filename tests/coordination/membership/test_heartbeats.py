"""Heartbeats of the cores: sent in full after a change, else as a short `UnchangedHeartbeat`."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from tests.coordination.simulated_cluster import CORES, TICK_S, Cluster
from zincvale.coordination.core.messages import (
    Heartbeat,
    RequestHeartbeat,
    TopicPosition,
    UnchangedHeartbeat,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import MessageReceived, Send
from zincvale.transport.codec import encode_message


@attrs.define
class SentMessage:
    """A message that one process sent to another."""

    sender: str
    to: str
    message: Any


class RecordingCluster(Cluster):
    """Records every sent message, and drops those for which `is_dropped` returns true."""

    def __init__(self, **options: Any) -> None:
        self.sent_messages: list[SentMessage] = []
        self.is_dropped = lambda sent: False
        super().__init__(**options)

    def _send(self, process: Any, to: str, event: Any) -> None:
        if isinstance(event, MessageReceived):
            sent = SentMessage(process.member, to, event.message)
            self.sent_messages.append(sent)
            if self.is_dropped(sent):
                return
        super()._send(process, to, event)

    def messages_of(self, kind: Any) -> list[SentMessage]:
        return [sent for sent in self.sent_messages if isinstance(sent.message, kind)]

    def every_core_hears_the_others(self) -> bool:
        return all(len(self.core(name).live_cores(self.now)) == 2 for name in CORES)


class HeartbeatTest(testtools.TestCase):
    def settled_cluster(self) -> RecordingCluster:
        cluster = RecordingCluster(nodes=1)
        cluster.run_until_ready()
        cluster.run(10.0)
        cluster.sent_messages.clear()
        return cluster

    def test_only_unchanged_heartbeats_are_sent_while_nothing_changes(self) -> None:
        cluster = self.settled_cluster()
        cluster.run(5.0)
        self.assertEqual([], cluster.messages_of(Heartbeat))
        # One heartbeat per interval on each of six links; ticks round the interval up.
        expected = 6 * 5.0 / (cluster.timings.heartbeat_interval_s + 2 * TICK_S)
        self.assertGreater(len(cluster.messages_of(UnchangedHeartbeat)), expected)
        self.assertTrue(cluster.every_core_hears_the_others())

    def test_an_unchanged_heartbeat_is_less_than_a_fifth_of_a_full_one(self) -> None:
        cluster = RecordingCluster(nodes=1)
        cluster.run_until_ready()
        cluster.run(5.0)
        full = encode_message(cluster.messages_of(Heartbeat)[-1].message)
        unchanged = encode_message(cluster.messages_of(UnchangedHeartbeat)[-1].message)
        self.assertLess(5 * len(unchanged), len(full))

    def test_a_changed_heartbeat_is_sent_in_full_only_once(self) -> None:
        cluster = self.settled_cluster()
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.run(2.0)
        for name in CORES:
            numbers = {sent.message.number for sent in cluster.messages_of(Heartbeat)}
            sent_to_core = [sent for sent in cluster.messages_of(Heartbeat) if sent.to == name]
            self.assertGreater(len(sent_to_core), 0)
            self.assertLessEqual(len(sent_to_core), 2 * len(numbers))
        cluster.sent_messages.clear()
        cluster.run(2.0)
        self.assertEqual([], cluster.messages_of(Heartbeat))

    def test_a_lost_full_heartbeat_is_requested(self) -> None:
        cluster = self.settled_cluster()
        lost: list[SentMessage] = []

        def drop_first_full_heartbeats(sent: SentMessage) -> bool:
            is_first = isinstance(sent.message, Heartbeat) and len(lost) < 6
            if is_first:
                lost.append(sent)
            return is_first

        cluster.is_dropped = drop_first_full_heartbeats
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.run(3.0)
        self.assertEqual(6, len(lost))
        self.assertGreater(len(cluster.messages_of(RequestHeartbeat)), 0)
        self.assertTrue(cluster.every_core_hears_the_others())
        cluster.sent_messages.clear()
        cluster.run(2.0)
        self.assertEqual([], cluster.messages_of(RequestHeartbeat))

    def test_a_reference_to_an_unknown_heartbeat_does_not_make_its_sender_live(self) -> None:
        cluster = self.settled_cluster()
        machine = cluster.core("core-1")
        known = machine._context.cores.heartbeat_of(MemberId("core-2"))
        assert known is not None
        cluster.freeze("core-2")
        cluster.run(2.0)
        for incarnation, number in (("later-run", known.number), (known.info.incarnation, 999)):
            message = UnchangedHeartbeat(incarnation, number, {})
            event = MessageReceived(MemberId("core-2"), message)
            effects = machine.handle(event, cluster.now)
            self.assertIn(Send(MemberId("core-2"), RequestHeartbeat()), effects)
            self.assertNotIn("core-2", machine.live_cores(cluster.now))

    def test_a_restarted_core_receives_full_heartbeats_promptly(self) -> None:
        cluster = self.settled_cluster()
        cluster.kill("core-2")
        cluster.start_core("core-2")
        self.assertTrue(cluster.run_until(cluster.every_core_hears_the_others, 0.5))

    def test_an_unchanged_heartbeat_updates_only_the_topics(self) -> None:
        cluster = self.settled_cluster()
        cluster.run(1.0)
        core = cluster.core("core-1")
        received = core._context.cores.heartbeat_of(MemberId("core-2"))
        assert received is not None
        position = {"moves": TopicPosition(7, 70)}
        message = UnchangedHeartbeat(received.info.incarnation, received.number, position)
        core.handle(MessageReceived(MemberId("core-2"), message), cluster.now)
        known = core._context.cores.heartbeat_of(MemberId("core-2"))
        assert known is not None
        self.assertEqual(position, known.topics)
        self.assertEqual(received.keys, known.keys)
