"""Statuses that the cores tell each other several times a second.

A status that differs from the last one in nothing but the topics is sent as `UnchangedHeartbeat`, a
tenth of its size. Whoever lacks the status that it stands for asks for it; so a lost message or a
restart costs one exchange, and the receiver always acts on exactly what the sender's status is.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat, TopicPosition, UnchangedHeartbeat
from zincvale.coordination.leases.catch_up import own_key_status
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

LEAST_INTERVAL_S = 0.05
"""Between two statuses, however much is asked for them."""
RAW_ADDRESS_PREFIX = "@"
"""A member id that is an address: for first contact."""


class HeartbeatExchange:
    """Sends this core's status."""

    def __init__(
        self,
        context: CoreContext,
        owners: dict[str, RegisterOwner],
        leased_roles: Callable[[float], list[str]],
    ) -> None:
        self._context = context
        self._owners = owners
        self._held_roles = leased_roles
        self._due_at = context.started_at
        self._sent_at = float("-inf")
        self._last: Heartbeat | None = None
        self._told: set[MemberId] = set()
        """The cores that the last whole status was sent to."""

    def send_now(self) -> None:
        """Send the status with the next tick: something changed that others wait for."""
        self._due_at = self._context.started_at

    def send_soon(self, now: float) -> None:
        """Send the status soon: with the next tick, or a moment after the last one."""
        self._due_at = min(self._due_at, max(now, self._sent_at + LEAST_INTERVAL_S))

    def send_whole_to(self, member: MemberId, now: float) -> None:
        """Send the whole status to `member` soon: it does not know it, or no longer."""
        self._told.discard(member)
        self.send_soon(now)

    def tick(self, now: float) -> list[Effect]:
        """Send the status when it is due."""
        if now < self._due_at:
            return []
        self._sent_at = now
        self._due_at = now + self._context.config.timings.status_interval_s
        status = self._numbered(self._status(now))
        unchanged = UnchangedHeartbeat(status.info.incarnation, status.number, status.topics)
        effects: list[Effect] = []
        for member in self._targets():
            effects.append(Send(member, unchanged if member in self._told else status))
            if not member.startswith(RAW_ADDRESS_PREFIX):
                self._told.add(member)
        return effects

    def _numbered(self, status: Heartbeat) -> Heartbeat:
        """Return the status with its number; one that changed is owed whole to every core."""
        last = self._last
        number = last.number if last is not None else 0
        numbered = attrs.evolve(status, number=number)
        if last is None or attrs.evolve(last, topics=status.topics) != numbered:
            numbered = attrs.evolve(status, number=number + 1)
            self._told.clear()
        self._last = numbered
        return numbered

    def _status(self, now: float) -> Heartbeat:
        context = self._context
        live = context.cores.live(now)
        return Heartbeat(
            info=context.info(),
            disk=context.disk,
            cluster_incarnation=context.sets.cluster_incarnation,
            bootstrapping=context.config.bootstrap,
            voting=context.is_voting() and not context.leaving,
            can_learn=context.is_learner() and not context.leaving,
            keys=[own_key_status(context, self._owners, key) for key in self._owners],
            heard={str(member): status.info.incarnation for member, status in live.items()},
            topics={
                topic: TopicPosition(*context.topics.position(topic))
                for topic in context.topics.names()
            },
            leaving=context.leaving,
            leased_roles=self._held_roles(now),
        )

    def _targets(self) -> list[MemberId]:
        """Return the cores to tell; a core that knows none asks its seeds."""
        context = self._context
        targets = context.cores.known_cores()
        if context.sets.cores or context.cores.live(context.started_at):
            return targets
        seeds = [MemberId(f"{RAW_ADDRESS_PREFIX}{seed}") for seed in context.config.seeds]
        return [*targets, *seeds]
