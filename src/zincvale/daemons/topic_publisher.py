"""Publishes ephemeral topics at the local core, one at a time, under a leader lease."""

from __future__ import annotations

import attrs

from zincvale.coordination.delivery.messages import PublishTopic, TopicPublished
from zincvale.daemons.leadership_guard import LeadershipGuard
from zincvale.runtime.driver import MachineDriver


@attrs.define
class TopicPublisher:
    """Checks the leader lease, then calls the local core."""

    driver: MachineDriver
    guard: LeadershipGuard

    async def publish(self, message: PublishTopic) -> bool:
        """Return whether the core accepted the publication."""
        if not self.guard.may_act(message.epoch):
            return False
        reply = await self.driver.call_local(message)
        return isinstance(reply, TopicPublished) and reply.accepted
