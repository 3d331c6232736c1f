"""Heartbeats of the cores: in full when something changed, else a short message that it did not."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from tests.coordination.pump import CORES, TICK_S, Cluster
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
class Passed:
    """A message on its way between two processes."""

    sender: str
    to: str
    message: Any


class ListeningCluster(Cluster):
    """Notes every message; loses those that `loses` says."""

    def __init__(self, **options: Any) -> None:
        self.passed: list[Passed] = []
        self.loses = lambda each: False
        super().__init__(**options)

    def _send(self, process: Any, to: str, event: Any) -> None:
        if isinstance(event, MessageReceived):
            passed = Passed(process.member, to, event.message)
            self.passed.append(passed)
            if self.loses(passed):
                return
        super()._send(process, to, event)

    def of_kind(self, kind: Any) -> list[Passed]:
        return [each for each in self.passed if isinstance(each.message, kind)]

    def all_hear_each_other(self) -> bool:
        return all(len(self.core(name).live_cores(self.now)) == 2 for name in CORES)


class HeartbeatTest(testtools.TestCase):
    def settled(self) -> ListeningCluster:
        cluster = ListeningCluster(nodes=1)
        cluster.started()
        cluster.run(10.0)
        cluster.passed.clear()
        return cluster

    def test_while_nothing_changes_only_short_heartbeats_are_sent(self) -> None:
        cluster = self.settled()
        cluster.run(5.0)
        self.assertEqual([], cluster.of_kind(Heartbeat))
        # One on each of six links each interval, which the tick rounds up.
        expected = 6 * 5.0 / (cluster.timings.heartbeat_interval_s + 2 * TICK_S)
        self.assertGreater(len(cluster.of_kind(UnchangedHeartbeat)), expected)
        self.assertTrue(cluster.all_hear_each_other())

    def test_a_short_heartbeat_is_a_small_part_of_a_full_one(self) -> None:
        cluster = ListeningCluster(nodes=1)
        cluster.started()
        cluster.run(5.0)
        whole = encode_message(cluster.of_kind(Heartbeat)[-1].message)
        short = encode_message(cluster.of_kind(UnchangedHeartbeat)[-1].message)
        self.assertLess(5 * len(short), len(whole))

    def test_a_change_is_sent_in_full_once(self) -> None:
        cluster = self.settled()
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.run(2.0)
        for name in CORES:
            numbers = {each.message.number for each in cluster.of_kind(Heartbeat)}
            to_one = [each for each in cluster.of_kind(Heartbeat) if each.to == name]
            self.assertGreater(len(to_one), 0)
            self.assertLessEqual(len(to_one), 2 * len(numbers))
        cluster.passed.clear()
        cluster.run(2.0)
        self.assertEqual([], cluster.of_kind(Heartbeat))

    def test_a_lost_heartbeat_is_requested(self) -> None:
        cluster = self.settled()
        lost: list[Passed] = []

        def lose_the_first(each: Passed) -> bool:
            is_first = isinstance(each.message, Heartbeat) and len(lost) < 6
            if is_first:
                lost.append(each)
            return is_first

        cluster.loses = lose_the_first
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.run(3.0)
        self.assertEqual(6, len(lost))
        self.assertGreater(len(cluster.of_kind(RequestHeartbeat)), 0)
        self.assertTrue(cluster.all_hear_each_other())
        cluster.passed.clear()
        cluster.run(2.0)
        self.assertEqual([], cluster.of_kind(RequestHeartbeat))

    def test_what_stands_for_an_unknown_heartbeat_is_no_sign_of_life(self) -> None:
        cluster = self.settled()
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

    def test_a_restarted_core_is_sent_everything_at_once(self) -> None:
        cluster = self.settled()
        cluster.kill("core-2")
        cluster.start_core("core-2")
        self.assertTrue(cluster.run_until(cluster.all_hear_each_other, 0.5))

    def test_the_topics_are_always_the_newest(self) -> None:
        cluster = self.settled()
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
