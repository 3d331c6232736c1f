"""Publishes ephemeral topics through the local core, one at a time, under a leader lease."""

from __future__ import annotations

import attrs

from zincvale.coordination.delivery.messages import PublishTopic, TopicPublished
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.runtime.driver import MachineDriver


@attrs.define
class TopicPublisher:
    """Checks the leader lease before it sends a publication to the local core."""

    driver: MachineDriver
    guard: LeadershipGuard

    async def publish(self, message: PublishTopic) -> bool:
        """Publish a message; return whether the core accepted it."""
        if not self.guard.may_act(message.epoch):
            return False
        reply = await self.driver.call_local(message)
        return isinstance(reply, TopicPublished) and reply.accepted
