"""Long polls: durable updates are sent promptly, ephemeral updates at a limited rate."""

from testtools import TestCase

from zincvale.coordination.config import Timings
from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.long_poll_server import LongPollServer
from zincvale.coordination.delivery.messages import Poll, PublishTopic
from zincvale.coordination.delivery.versioned_table import Delta, VersionedTable
from zincvale.model.machine import Reply

TIMINGS = Timings(delta_batch_s=0.02, ephemeral_responses_per_s=50.0)


class LongPollServerTest(TestCase):
    """One server with ten pollers that have applied every version so far."""

    def setUp(self):
        super().setUp()
        self.topics = EphemeralTopics()
        self.values = {"intent": VersionedTable()}
        self.server = LongPollServer(TIMINGS, self.values, VersionedTable(), self.topics)
        self.server.members_source = "core-1"
        self.publish()

    def publish(self):
        self.topics.publish(PublishTopic("moves", 1, {"row": b"x"}, []))

    def poll(self, token, now, is_new=False):
        epoch, version = (0, 0) if is_new else self.topics.position("moves")
        topics = {"moves": TopicPosition(epoch, version)}
        poll = Poll(
            keys={"intent": self.values["intent"].version},
            members_source="" if is_new else "core-1",
            members_version=0,
            topics=topics,
        )
        return reply_tokens(self.server.poll(token, poll, now))

    def hold_polls(self, count, now):
        for number in range(count):
            self.assertEqual([], self.poll(f"t{number}", now))

    def change_topic(self, now):
        self.publish()
        self.server.on_ephemeral_update(now)

    def test_ephemeral_updates_are_sent_after_the_batching_interval(self):
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.assertEqual([], self.server.respond_if_due(1.01))
        self.assertEqual(10, len(self.server.respond_if_due(1.03)))

    def test_ephemeral_updates_pause_in_proportion_to_the_last_responses(self):
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.server.respond_if_due(1.03)
        self.hold_polls(10, 1.04)
        self.change_topic(1.05)
        self.assertEqual([], self.server.respond_if_due(1.2))
        self.assertEqual(10, len(self.server.respond_if_due(1.24)))

    def test_a_poll_repeated_during_the_pause_waits_with_the_others(self):
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.server.respond_if_due(1.03)
        version = self.topics.position("moves")[1]
        self.publish()
        poll = Poll({"intent": 0}, "core-1", 0, {"moves": TopicPosition(1, version)})
        self.assertEqual([], self.server.poll("again", poll, 1.05))
        self.assertEqual(["again"], reply_tokens(self.server.respond_if_due(1.24)))

    def test_durable_updates_are_not_delayed_by_the_pause(self):
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.server.respond_if_due(1.03)
        self.hold_polls(10, 1.04)
        self.values["intent"].apply(Delta(None, 1, {"number": b"1"}, []))
        self.server.on_update(1.05)
        self.assertEqual(10, len(self.server.respond_if_due(1.08)))

    def test_a_new_poller_gets_an_immediate_response_during_the_pause(self):
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.server.respond_if_due(1.03)
        self.assertEqual(["new"], self.poll("new", 1.04, is_new=True))

    def test_ephemeral_updates_do_not_pause_without_a_configured_rate(self):
        self.server = LongPollServer(Timings(), self.values, VersionedTable(), self.topics)
        self.server.members_source = "core-1"
        self.hold_polls(10, 1.0)
        self.change_topic(1.0)
        self.assertEqual(10, len(self.server.respond_if_due(1.03)))
        self.hold_polls(10, 1.04)
        self.change_topic(1.05)
        self.assertEqual(10, len(self.server.respond_if_due(1.08)))


def reply_tokens(effects):
    """Return the tokens of the calls that the effects reply to."""
    return [effect.token for effect in effects if isinstance(effect, Reply)]
