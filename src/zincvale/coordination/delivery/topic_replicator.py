"""Replicates ephemeral topics between cores: forwards publications, and fetches missed ones."""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.delivery.long_poll_server import LongPollServer
from zincvale.coordination.delivery.messages import (
    FetchTopic,
    PublishTopic,
    TopicPublished,
    TopicUpdate,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Reply, Send


class TopicReplicator:
    """Replicates the topics of one core to and from the other cores."""

    def __init__(self, context: CoreContext, poll_server: LongPollServer) -> None:
        self._context = context
        self._poll_server = poll_server

    def publish(self, token: str, publication: PublishTopic, now: float) -> list[Effect]:
        """Apply a publication of this process and forward it, unless its epoch is outdated."""
        delta = self._context.topics.publish(publication)
        epoch, version = self._context.topics.position(publication.topic)
        reply = Reply(token, TopicPublished(delta is not None, epoch, version))
        if delta is None:
            return [reply]
        self._record_update(publication.topic, now)
        return [reply, *self._context.to_other_cores(TopicUpdate(delta))]

    def handle_update(self, sender: MemberId, update: TopicUpdate, now: float) -> list[Effect]:
        """Apply another core's delta; if its base version is missing, fetch the newer versions."""
        topics = self._context.topics
        topic = update.delta.topic
        before = topics.position(topic)
        if not topics.apply(update.delta):
            return [Send(sender, FetchTopic(topic, before[0], before[1]))]
        if topics.position(topic) != before:
            self._record_update(topic, now)
        return []

    def handle_fetch(self, sender: MemberId, fetch: FetchTopic) -> list[Effect]:
        """Send the delta from the requester's position, if there is one."""
        delta = self._context.topics.since(fetch.topic, fetch.epoch, fetch.version)
        return [Send(sender, TopicUpdate(delta))] if delta is not None else []

    def handle_heartbeat(self, sender: MemberId, heartbeat: Heartbeat) -> list[Effect]:
        """Fetch the topics of which another core's heartbeat reports a newer version."""
        effects: list[Effect] = []
        for topic, position in heartbeat.topics.items():
            own = self._context.topics.position(topic)
            if (position.epoch, position.version) > own:
                effects.append(Send(sender, FetchTopic(topic, own[0], own[1])))
        return effects

    def _record_update(self, topic: str, now: float) -> None:
        self._context.notifications.topics.add(topic)
        self._poll_server.on_ephemeral_update(now)
