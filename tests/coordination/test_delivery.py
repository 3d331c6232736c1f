"""Long polls: news of durable keys at once, soft news in bounded numbers."""

from testtools import TestCase

from zincvale.coordination.config import Timings
from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.long_poll_server import LongPollServer
from zincvale.coordination.delivery.messages import Poll, PublishTopic
from zincvale.coordination.delivery.versioned_table import Delta, VersionedTable
from zincvale.model.machine import Reply

TIMINGS = Timings(delta_batch_s=0.02, poll_answers_per_s=50.0)


class DeliveryTest(TestCase):
    """One host with ten pollers that know everything so far."""

    def setUp(self):
        super().setUp()
        self.topics = EphemeralTopics()
        self.values = {"intent": VersionedTable()}
        self.host = LongPollServer(TIMINGS, self.values, VersionedTable(), self.topics)
        self.host.members_source = "core-1"
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
        return tokens(self.host.poll(token, poll, now))

    def hold(self, count, now):
        for number in range(count):
            self.assertEqual([], self.poll(f"t{number}", now))

    def change_topic(self, now):
        self.publish()
        self.host.note_soft_news(now)

    def test_soft_news_goes_out_after_the_batching_interval(self):
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.assertEqual([], self.host.answer_if_due(1.01))
        self.assertEqual(10, len(self.host.answer_if_due(1.03)))

    def test_soft_news_rests_for_what_the_last_answers_cost(self):
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.host.answer_if_due(1.03)
        self.hold(10, 1.04)
        self.change_topic(1.05)
        self.assertEqual([], self.host.answer_if_due(1.2))
        self.assertEqual(10, len(self.host.answer_if_due(1.24)))

    def test_a_poll_that_comes_back_during_the_rest_waits_with_the_others(self):
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.host.answer_if_due(1.03)
        version = self.topics.position("moves")[1]
        self.publish()
        poll = Poll({"intent": 0}, "core-1", 0, {"moves": TopicPosition(1, version)})
        self.assertEqual([], self.host.poll("again", poll, 1.05))
        self.assertEqual(["again"], tokens(self.host.answer_if_due(1.24)))

    def test_durable_news_never_rests(self):
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.host.answer_if_due(1.03)
        self.hold(10, 1.04)
        self.values["intent"].apply(Delta(None, 1, {"number": b"1"}, []))
        self.host.note_news(1.05)
        self.assertEqual(10, len(self.host.answer_if_due(1.08)))

    def test_a_started_poller_is_answered_at_once_during_the_rest(self):
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.host.answer_if_due(1.03)
        self.assertEqual(["new"], self.poll("new", 1.04, is_new=True))

    def test_without_a_bound_nothing_rests(self):
        self.host = LongPollServer(Timings(), self.values, VersionedTable(), self.topics)
        self.host.members_source = "core-1"
        self.hold(10, 1.0)
        self.change_topic(1.0)
        self.assertEqual(10, len(self.host.answer_if_due(1.03)))
        self.hold(10, 1.04)
        self.change_topic(1.05)
        self.assertEqual(10, len(self.host.answer_if_due(1.08)))


def tokens(effects):
    """Return whom the effects answer."""
    return [effect.token for effect in effects if isinstance(effect, Reply)]
