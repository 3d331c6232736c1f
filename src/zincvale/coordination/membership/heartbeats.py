"""Heartbeats that the cores send each other several times a second.

A heartbeat that differs from the previous one only in its topics is sent as `UnchangedHeartbeat`,
which is a tenth of its size. A receiver that lacks the full heartbeat that it refers to requests
it. A lost message or a restart therefore costs one exchange, and the receiver always acts on
exactly the state that the sender reported.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat, TopicPosition, UnchangedHeartbeat
from zincvale.coordination.leases.catch_up import own_key_status
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.model.identifiers import RAW_ADDRESS_PREFIX, MemberId, member_at
from zincvale.model.machine import Effect, Send

MIN_INTERVAL_S = 0.05
"""Minimum interval between two heartbeats, however many are requested, in seconds. With a shorter
one, cores that start together and request each other's heartbeats would send without pause."""


class HeartbeatSender:
    """Sends this core's heartbeat to the other cores.

    Parameters
    ----------
    context : the core's shared state.
    owners : the owner of each key at this core.
    leased_roles : returns the roles for which a lease granted by this core is live, at a time.
    """

    def __init__(
        self,
        context: CoreContext,
        owners: dict[str, RegisterOwner],
        leased_roles: Callable[[float], list[str]],
    ) -> None:
        self._context = context
        self._owners = owners
        self._leased_roles = leased_roles
        self._due_at = context.started_at
        self._sent_at = float("-inf")
        self._last_heartbeat: Heartbeat | None = None
        self._sent_full_to: set[MemberId] = set()
        """The cores that the newest heartbeat was sent to in full."""

    def schedule_immediately(self) -> None:
        """Make the heartbeat due at the next tick, regardless of the minimum interval."""
        self._due_at = self._context.started_at

    def schedule_soon(self, now: float) -> None:
        """Make the heartbeat due at the next tick, but `MIN_INTERVAL_S` after the last one."""
        self._due_at = min(self._due_at, max(now, self._sent_at + MIN_INTERVAL_S))

    def schedule_full_to(self, member: MemberId, now: float) -> None:
        """Make the heartbeat due soon, and in full to `member`, which does not have it."""
        self._sent_full_to.discard(member)
        self.schedule_soon(now)

    def tick(self, now: float) -> list[Effect]:
        """Send the heartbeat to the other cores if it is due."""
        if now < self._due_at:
            return []
        self._sent_at = now
        self._due_at = now + self._context.config.timings.heartbeat_interval_s
        full = self._assign_number(self._heartbeat(now))
        unchanged = UnchangedHeartbeat(full.info.incarnation, full.number, full.topics)
        effects: list[Effect] = []
        for member in self._targets(now):
            effects.append(Send(member, unchanged if member in self._sent_full_to else full))
            if not member.startswith(RAW_ADDRESS_PREFIX):
                self._sent_full_to.add(member)
        return effects

    def _assign_number(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return the heartbeat with its number; a changed one must be sent in full to every core.

        The number increases when a heartbeat differs from the previous one in more than its topics.
        """
        last = self._last_heartbeat
        number = last.number if last is not None else 0
        numbered = attrs.evolve(heartbeat, number=number)
        if last is None or attrs.evolve(last, topics=heartbeat.topics) != numbered:
            numbered = attrs.evolve(heartbeat, number=number + 1)
            self._sent_full_to.clear()
        self._last_heartbeat = numbered
        return numbered

    def _heartbeat(self, now: float) -> Heartbeat:
        context = self._context
        live = context.cores.live(now)
        return Heartbeat(
            info=context.info(),
            disk=context.disk,
            cluster_incarnation=context.replica_sets.cluster_incarnation,
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
            leased_roles=self._leased_roles(now),
        )

    def _targets(self, now: float) -> list[MemberId]:
        """Return the other cores; also the unknown seeds while a declared replica is not heard.

        A replica that is not heard may have been replaced, and its successor may know only seeds
        that are out of date. Therefore both sides look for each other, for as long as that lasts.
        """
        known = self._context.cores.known_cores()
        return known if self._hears_every_replica(now) else [*known, *self._unknown_seeds(known)]

    def _hears_every_replica(self, now: float) -> bool:
        replicas = self._context.replica_sets.grantors().members()
        return bool(replicas) and all(
            self._context.cores.is_live(member, now) for member in replicas
        )

    def _unknown_seeds(self, known: list[MemberId]) -> list[MemberId]:
        """Return the seeds that are the address of neither a known core nor this one."""
        context = self._context
        addresses = {context.cores.address_of(member) for member in known}
        addresses.add(context.config.peer_address)
        return [member_at(seed) for seed in context.config.seeds if seed not in addresses]
