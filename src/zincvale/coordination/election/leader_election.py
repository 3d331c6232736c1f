"""Singleton roles at a core: standing for them, leading them, granting their leases.

A role is free when no grantor that is heard has a live grant of it. Candidates wait for their turn,
staggered by a rendezvous hash, so that one of them is usually alone; when two are not, the durable
epoch decides. A new epoch ends the lease of an older one, so a core that was cut off or restarted,
and knows nothing of a live lease, must not take one: see `_is_free`.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.changes import LeadershipState
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.election.leader_lease import (
    LeaderLeaseGrantor,
    LeaderLeaseHolder,
    LeasePhase,
)
from zincvale.coordination.election.messages import (
    LeadershipGranted,
    LeadershipRefused,
    LeadershipReleased,
    RequestLeadership,
)
from zincvale.coordination.membership.peer_table import rendezvous_order
from zincvale.coordination.registers.change_messages import IN_FORCE, ChangeResult
from zincvale.coordination.replication.replica_sets import ROLE_KEY_PREFIX
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send

FREE_ROLE_DELAY_S = 0.2
"""A role must be seen free for this long; with less, a core stands for a role whose new leader has
taken the epoch and only not requested the lease yet."""


@attrs.frozen
class _FreeSince:
    """Since when a role was seen free, at this epoch."""

    epoch: int
    since: float


class LeaderElection:
    """Every singleton role of the configuration.

    Parameters
    ----------
    owner_of : the core believed to own a key, at a time.
    may_take : whether a role may be taken whose newest epoch this is, at a time.
    """

    def __init__(
        self,
        context: CoreContext,
        owner_of: Callable[[str, float], MemberId | None],
        may_take: Callable[[int, float], bool],
    ) -> None:
        self._owner_of = owner_of
        self._may_take = may_take
        timings = context.config.timings
        self._context = context
        grants_from = context.started_at
        if context.replica.known_keys():
            grants_from += timings.role_lease_s
        self._grantor = LeaderLeaseGrantor(timings, grants_from)
        self._holders = {role: LeaderLeaseHolder(role, timings) for role in context.config.roles}
        self._free_since: dict[str, _FreeSince] = {}
        self._leading: set[str] = set()

    def state(self, role: str, now: float) -> LeadershipState:
        """Return whether this process leads `role`, under which epoch and until when."""
        holder = self._holders.get(role)
        return holder.state(self._context.sets.grantors(), now) if holder else LeadershipState()

    def last_granted(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return holder and epoch of each role as last granted here; (None, 0) if it never was."""
        known: dict[str, tuple[MemberId | None, int]] = dict.fromkeys(self._holders, (None, 0))
        known.update(self._grantor.last_granted(now))
        return known

    def granted_here(self, now: float) -> list[str]:
        """Return the roles for which a grant of this core is live."""
        granted = self._grantor.last_granted(now)
        return [role for role, (holder, _) in granted.items() if holder is not None]

    def drop_all(self, now: float) -> list[Effect]:
        """Give up every lease, after the clock jumped."""
        for holder in self._holders.values():
            holder.give_up(now + self._context.config.timings.role_renew_s)
        return self._log_changes(now)

    def release_all(self, now: float) -> list[Effect]:
        """Give up every lease and notify the grantors: others need not wait for its end."""
        effects: list[Effect] = []
        for role, holder in self._holders.items():
            if holder.phase is not LeasePhase.IDLE:
                released = LeadershipReleased(role, holder.epoch)
                members = self._context.sets.grantors().members()
                effects.extend(Send(member, released) for member in members)
            holder.give_up(float("inf"))
        return effects + self._log_changes(now)

    def handle(
        self,
        sender: MemberId,
        message: RequestLeadership | LeadershipGranted | LeadershipRefused | LeadershipReleased,
        now: float,
    ) -> list[Effect]:
        """Apply a message about leader leases."""
        holder = self._holders.get(message.role)
        sets = self._context.sets
        match message:
            case RequestLeadership():
                newest = self._context.chosen_version(f"{ROLE_KEY_PREFIX}{message.role}")
                config_version = self._context.sets.version
                return [self._grantor.handle(sender, message, newest, config_version, now)]
            case LeadershipReleased(role, epoch):
                self._grantor.release(sender, role, epoch)
            case LeadershipGranted(_, _, _, config_version) if config_version > sets.version:
                return []
            case LeadershipGranted() if holder is not None:
                holder.on_granted(sender, message, self._context.sets.grantors(), now)
            case LeadershipRefused() if holder is not None:
                holder.on_refused(message, now)
        return self._log_changes(now)

    def on_epoch_proposed(self, role: str, result: ChangeResult, now: float) -> list[Effect]:
        """Apply the result of proposing a new epoch."""
        holder = self._holders[role]
        if result.status != IN_FORCE:
            holder.give_up(now + self._context.config.timings.role_renew_s)
            return []
        return holder.on_epoch_chosen(result.version, self._context.sets.grantors(), now)

    def tick(self, now: float) -> tuple[list[Effect], list[str]]:
        """Renew leases; return effects, and the roles for which a new epoch must be proposed."""
        if self._no_grant_is_live(now):
            self._grantor.allow_grants(now)
        effects: list[Effect] = []
        candidacies: list[str] = []
        for role, holder in self._holders.items():
            effects.extend(holder.tick(self._context.sets.grantors(), now))
            if holder.phase is LeasePhase.IDLE and self._is_our_turn(role, holder, now):
                holder.start_taking(now)
                candidacies.append(role)
        effects.extend(self._log_changes(now))
        return effects, candidacies

    def _no_grant_is_live(self, now: float) -> bool:
        """Whether every other grantor said, since this process started, that no grant is live.

        A holder needs grants of a majority, its own among them; only a grant that this process
        forgot would not be shown, and that is no majority.
        """
        context = self._context
        live = context.cores.live(now)
        grantors = context.sets.grantors().members()
        for member in grantors:
            if member == context.own_id:
                continue
            status = live.get(member)
            if status is None or status.leased_roles:
                return False
            if status.heard.get(context.own_id) != context.config.incarnation:
                return False
        return bool(grantors)

    def _is_our_turn(self, role: str, holder: LeaderLeaseHolder, now: float) -> bool:
        if not self._context.is_voting() or now < holder.retry_at:
            return False
        if not self._may_take(self._context.chosen_version(f"{ROLE_KEY_PREFIX}{role}"), now):
            return False
        epoch = self._context.chosen_version(f"{ROLE_KEY_PREFIX}{role}")
        if not self._is_free(role, now):
            self._free_since.pop(role, None)
            return False
        free = self._free_since.get(role)
        if free is None or free.epoch != epoch:
            # The process that took the newest epoch is given time to request the lease.
            free = _FreeSince(epoch, now)
            self._free_since[role] = free
        stagger_s = self._context.config.timings.candidate_stagger_s
        return now - free.since >= FREE_ROLE_DELAY_S + stagger_s * self._rank(role, now)

    def _is_free(self, role: str, now: float) -> bool:
        """Whether no core that is heard has a live grant of `role`, and an epoch could be taken.

        A core that restarted, or was cut off, granted nothing lately: the heartbeats of the others
        keep it from ending, by a newer epoch, a lease that it does not know.
        """
        if self._grantor.may_be_leased_elsewhere(role, self._context.own_id, now):
            return False
        live = self._context.cores.live(now)
        if not self._context.sets.grantors().is_member_quorum({self._context.own_id, *live}):
            # A proposal made while cut off would be chosen on the return.
            return False
        if any(role in status.leased_roles for status in live.values()):
            return False
        return self._owner_of(f"{ROLE_KEY_PREFIX}{role}", now) is not None

    def _rank(self, role: str, now: float) -> int:
        candidates = [self._context.own_id]
        for member, status in self._context.cores.live(now).items():
            if status.voting:
                candidates.append(member)
        return rendezvous_order(role, candidates).index(self._context.own_id)

    def _log_changes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        leading = {role for role in self._holders if self.state(role, now).is_leader}
        for role in leading - self._leading:
            epoch = self._holders[role].epoch
            effects.append(Log(log_events.ROLE_TAKEN, {"role": role, "epoch": epoch}))
        for role in self._leading - leading:
            effects.append(Log(log_events.ROLE_LOST, {"role": role}))
        self._context.notes.roles |= leading ^ self._leading
        self._leading = leading
        return effects
