"""The leaderless directory: which core reads the list and whose publication remains."""

from __future__ import annotations

import attrs
import testtools

from zincvale.controlplane.directory.messages import ListRead
from zincvale.controlplane.directory.server_discovery import (
    EMPTY_READS_UNTIL_ACCEPTED,
    READ_INTERVAL_S,
    READER_TIMEOUT_S,
    AnnounceRead,
    FetchList,
    ListedServer,
    PublishServers,
    ServerDiscovery,
    ServersObserved,
    reader_rank,
)
from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics

LAG_S = 0.8
WALL_CLOCK_S = 1_000_000.0


def listed(server="s1", **fields):
    return ListedServer(server, f"10.0.0.1:{server[1:]}", "p", "z1", **fields)


def effects_of_type(effects, effect_type):
    return [each for each in effects if isinstance(each, effect_type)]


class Core:
    """A core's `ServerDiscovery` with its ephemeral topics."""

    def __init__(self, name, now=0.0):
        self.machine = ServerDiscovery(name, LAG_S, now)
        self.topics = EphemeralTopics()

    def read(self, servers, now, wall_s=WALL_CLOCK_S):
        effects = self.machine.on_list_read(servers, now - 0.01, now, wall_s)
        deltas = []
        for effect in effects_of_type(effects, PublishServers):
            delta = self.topics.publish(effect.message)
            if delta is None:
                self.machine.on_publication_refused(self.topics.position("listed-servers")[0])
            else:
                deltas.append(delta)
        return effects, deltas

    def receive(self, deltas, now):
        seen = []
        for delta in deltas:
            if self.topics.apply(delta):
                seen += self.machine.on_published(self.topics.view("listed-servers"), now)
        return seen

    def published(self):
        return set(self.topics.view("listed-servers").rows)


class ReadingTest(testtools.TestCase):
    def test_cores_take_over_reading_in_the_order_of_their_ranks(self):
        machine = ServerDiscovery("a", LAG_S, 0.0)
        machine.on_read_announced(ListRead(5), 0.0)
        self.assertEqual([], machine.tick(0, READER_TIMEOUT_S - 0.1))
        self.assertEqual([], machine.tick(1, READER_TIMEOUT_S + 0.1))
        self.assertEqual([FetchList()], machine.tick(0, READER_TIMEOUT_S + 0.1))
        self.assertEqual([], machine.tick(0, READER_TIMEOUT_S + 0.2))
        self.assertEqual([0, 1, 2], [reader_rank(m, "b", ["a", "b", "c"]) for m in "bac"])

    def test_a_started_core_that_knows_of_no_read_waits_only_for_its_rank(self):
        self.assertEqual([FetchList()], ServerDiscovery("a", LAG_S, 0.0).tick(0, 0.01))
        second = ServerDiscovery("b", LAG_S, 0.0)
        self.assertEqual([], second.tick(1, 0.01))
        self.assertEqual([FetchList()], second.tick(1, 0.5))

    def test_a_reader_continues_and_other_cores_do_not_read(self):
        one, other = Core("a"), Core("b")
        effects, deltas = one.read([listed()], 2.0)
        other.receive(deltas, 2.0)
        for step in range(1, 10):
            now = 2.0 + step * (READ_INTERVAL_S + 0.01)
            self.assertEqual([FetchList()], one.machine.tick(5, now))
            effects, deltas = one.read([listed()], now)
            self.assertEqual([], deltas)
            other.machine.on_read_announced(effects_of_type(effects, AnnounceRead)[0].message, now)
            self.assertEqual([], other.machine.tick(0, now + 0.5))

    def test_a_newer_publication_supersedes_a_returning_reader(self):
        one, other = Core("a"), Core("b")
        _, deltas = one.read([listed()], 2.0)
        other.receive(deltas, 2.0)
        _, deltas = other.read([listed(), listed("s2")], 5.0)
        self.assertEqual({"s1", "s2"}, other.published())
        one.receive(deltas, 6.0)
        self.assertEqual({"s1", "s2"}, one.published())
        self.assertFalse(one.machine.is_reader)

    def test_publications_after_a_restart_of_all_cores_supersede_stored_rows(self):
        node = EphemeralTopics()
        _, deltas = Core("a").read([listed()], 2.0, WALL_CLOCK_S)
        node.apply(deltas[0])
        _, deltas = Core("a/2").read([listed(), listed("s2")], 2.0, WALL_CLOCK_S + 1.0)
        self.assertTrue(node.apply(deltas[0]))
        self.assertEqual({"s1", "s2"}, set(node.view("listed-servers").rows))

    def test_a_clock_set_back_is_detected_by_the_epochs_that_nodes_send(self):
        node = EphemeralTopics()
        _, deltas = Core("a").read([listed()], 2.0, WALL_CLOCK_S)
        node.apply(deltas[0])
        restarted = Core("a/2")
        restarted.read([listed("s2")], 2.0, WALL_CLOCK_S - 30.0)
        restarted.machine.on_stored_epoch(node.position("listed-servers")[0])
        _, deltas = restarted.read([listed("s2")], 3.0, WALL_CLOCK_S - 29.0)
        node.apply(deltas[0])
        self.assertEqual({"s2"}, set(node.view("listed-servers").rows))

    def test_epochs_of_publications_do_not_fence_roles(self):
        core = Core("a")
        core.read([listed()], 2.0)
        self.assertEqual(0, core.topics.newest_epoch())


class RowsTest(testtools.TestCase):
    def test_an_empty_list_is_accepted_only_after_several_empty_reads(self):
        core = Core("a")
        core.read([listed()], 1.0)
        for read_count in range(1, EMPTY_READS_UNTIL_ACCEPTED + 1):
            core.read([], 1.0 + read_count)
            self.assertEqual(read_count == EMPTY_READS_UNTIL_ACCEPTED, not core.published())

    def test_the_start_and_end_of_a_slow_start_are_published_once_each(self):
        core = Core("a")
        _, first = core.read([listed(cold_remaining_s=3.0)], 1.0)
        _, second = core.read([listed(cold_remaining_s=2.2)], 1.8)
        _, third = core.read([listed()], 4.5)
        self.assertEqual([1, 0, 1], [len(first), len(second), len(third)])
        _, again = core.read([listed(cold_remaining_s=3.0)], 5.3)
        self.assertEqual(1, len(again))

    def test_removed_and_draining_servers_are_reported(self):
        core = Core("a")
        core.read([listed(), listed("s2")], 1.0)
        effects, deltas = core.read([attrs.evolve(listed("s2"), draining=True)], 1.8)
        seen = effects_of_type(effects, ServersObserved)[0]
        self.assertEqual(("s1",), seen.removed)
        self.assertTrue(seen.rows[0].draining)
        self.assertEqual(["s1"], deltas[0].deletes)
        self.assertTrue(seen.requested_at <= 1.8 - LAG_S)

    def test_a_throttled_read_changes_no_rows_and_delays_the_next(self):
        core = Core("a")
        core.read([listed()], 1.0)
        core.machine.on_list_failed("status 429", 1.8, is_throttled=True)
        self.assertEqual({"s1"}, core.published())
        self.assertEqual([], core.machine.tick(0, 2.5))
        self.assertEqual([FetchList()], core.machine.tick(0, 2.9))

    def test_an_older_publication_is_dropped(self):
        core = Core("a")
        core.read([listed()], 1.0)
        self.assertEqual([], core.machine.on_published(TopicView(1, 9, {}), 2.0))
