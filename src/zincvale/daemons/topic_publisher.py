"""Publishes soft topics at the local core, one publication at a time, under a leader lease."""

from __future__ import annotations

import attrs

from zincvale.coordination.delivery.messages import PublishTopic, TopicPublished
from zincvale.daemons.leadership_guard import RoleGuard
from zincvale.runtime.driver import MachineDriver


@attrs.define
class TopicPublisher:
    """Checks the lease, then hands the publication to the local core."""

    driver: MachineDriver
    guard: RoleGuard

    async def publish(self, message: PublishTopic) -> bool:
        """Return whether the core took the publication."""
        if not self.guard.may_act(message.epoch):
            return False
        reply = await self.driver.call_local(message)
        return isinstance(reply, TopicPublished) and reply.accepted
