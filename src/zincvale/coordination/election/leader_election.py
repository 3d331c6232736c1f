"""Singleton roles at a core: becoming a candidate, holding the role, granting its lease.

A role is free when no live grantor reports an unexpired grant of it. Candidates are staggered in
the order of a rendezvous hash, so usually only one proposes an epoch; if two do, the durable epoch
decides. A new epoch ends the lease of an older one. A core that was cut off or restarted may not
know of a live lease, and must not propose an epoch then: see `_is_free`.
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
"""How long a core must see a role as free before it becomes a candidate, in seconds. With a shorter
delay, it would compete with a new leader whose epoch is chosen but whose lease is not yet
granted."""


@attrs.frozen
class _FreePeriod:
    """The time since which this core has seen a role as free, at one epoch of the role."""

    epoch: int
    since: float


class LeaderElection:
    """Runs the leader election for every singleton role of the configuration.

    Parameters
    ----------
    owner_of : returns the core that is believed to own a key, at a time.
    may_propose_after : returns whether an epoch newer than the given one may be proposed, at a
        time.
    """

    def __init__(
        self,
        context: CoreContext,
        owner_of: Callable[[str, float], MemberId | None],
        may_propose_after: Callable[[int, float], bool],
    ) -> None:
        self._owner_of = owner_of
        self._may_propose_after = may_propose_after
        timings = context.config.timings
        self._context = context
        grants_allowed_from = context.started_at
        if context.replica.known_keys():
            grants_allowed_from += timings.role_lease_s
        self._grantor = LeaderLeaseGrantor(timings, grants_allowed_from)
        self._holders = {role: LeaderLeaseHolder(role, timings) for role in context.config.roles}
        self._free_periods: dict[str, _FreePeriod] = {}
        self._led_roles: set[str] = set()

    def state(self, role: str, now: float) -> LeadershipState:
        """Return whether this process leads `role`, under which epoch and until when."""
        holder = self._holders.get(role)
        return (
            holder.state(self._context.replica_sets.grantors(), now)
            if holder
            else LeadershipState()
        )

    def last_granted(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return the holder and epoch of this core's last grant of each role; else (None, 0)."""
        last_grants: dict[str, tuple[MemberId | None, int]] = dict.fromkeys(
            self._holders, (None, 0)
        )
        last_grants.update(self._grantor.last_granted(now))
        return last_grants

    def granted_roles(self, now: float) -> list[str]:
        """Return the roles for which a grant by this core is live."""
        last_grants = self._grantor.last_granted(now)
        return [role for role, (holder, _) in last_grants.items() if holder is not None]

    def give_up_all_leases(self, now: float) -> list[Effect]:
        """Give up every lease without notifying the grantors; used after a jump of the clock."""
        for holder in self._holders.values():
            holder.give_up(now + self._context.config.timings.role_renew_s)
        return self._record_leadership_changes(now)

    def release_all_leases(self, now: float) -> list[Effect]:
        """Give up every lease and notify the grantors, so that others need not wait for its end."""
        effects: list[Effect] = []
        for role, holder in self._holders.items():
            if holder.phase is not LeasePhase.IDLE:
                released = LeadershipReleased(role, holder.epoch)
                members = self._context.replica_sets.grantors().members()
                effects.extend(Send(member, released) for member in members)
            holder.give_up(float("inf"))
        return effects + self._record_leadership_changes(now)

    def handle(
        self,
        sender: MemberId,
        message: RequestLeadership | LeadershipGranted | LeadershipRefused | LeadershipReleased,
        now: float,
    ) -> list[Effect]:
        """Apply a message about leader leases."""
        holder = self._holders.get(message.role)
        sets = self._context.replica_sets
        match message:
            case RequestLeadership():
                newest_epoch = self._context.chosen_version(f"{ROLE_KEY_PREFIX}{message.role}")
                config_version = self._context.replica_sets.version
                return [self._grantor.handle(sender, message, newest_epoch, config_version, now)]
            case LeadershipReleased(role, epoch):
                self._grantor.release(sender, role, epoch)
            case LeadershipGranted(_, _, _, config_version) if config_version > sets.version:
                return []
            case LeadershipGranted() if holder is not None:
                holder.on_granted(sender, message, self._context.replica_sets.grantors(), now)
            case LeadershipRefused() if holder is not None:
                holder.on_refused(message, now)
        return self._record_leadership_changes(now)

    def on_epoch_proposed(self, role: str, result: ChangeResult, now: float) -> list[Effect]:
        """Apply the result of proposing a new epoch."""
        holder = self._holders[role]
        if result.status != IN_FORCE:
            holder.give_up(now + self._context.config.timings.role_renew_s)
            return []
        return holder.on_epoch_chosen(result.version, self._context.replica_sets.grantors(), now)

    def tick(self, now: float) -> tuple[list[Effect], list[str]]:
        """Renew leases; return the effects, and the roles for which to propose a new epoch."""
        if self._no_grant_is_live(now):
            self._grantor.allow_grants(now)
        effects: list[Effect] = []
        roles_to_propose: list[str] = []
        for role, holder in self._holders.items():
            effects.extend(holder.tick(self._context.replica_sets.grantors(), now))
            if holder.phase is LeasePhase.IDLE and self._should_become_candidate(role, holder, now):
                holder.start_candidacy(now)
                roles_to_propose.append(role)
        effects.extend(self._record_leadership_changes(now))
        return effects, roles_to_propose

    def _no_grant_is_live(self, now: float) -> bool:
        """Whether every other grantor has reported no live grant since this process started.

        A holder needs grants from a majority, including its own. The only grant that the reports
        cannot show is one that this process forgot, and that alone is no majority.
        """
        context = self._context
        live = context.cores.live(now)
        grantors = context.replica_sets.grantors().members()
        for member in grantors:
            if member == context.own_id:
                continue
            status = live.get(member)
            if status is None or status.leased_roles:
                return False
            if status.heard.get(context.own_id) != context.config.incarnation:
                return False
        return bool(grantors)

    def _should_become_candidate(self, role: str, holder: LeaderLeaseHolder, now: float) -> bool:
        if not self._context.is_voting() or now < holder.retry_at:
            return False
        if not self._may_propose_after(
            self._context.chosen_version(f"{ROLE_KEY_PREFIX}{role}"), now
        ):
            return False
        epoch = self._context.chosen_version(f"{ROLE_KEY_PREFIX}{role}")
        if not self._is_free(role, now):
            self._free_periods.pop(role, None)
            return False
        free_period = self._free_periods.get(role)
        if free_period is None or free_period.epoch != epoch:
            # The process that proposed the newest epoch gets time to request the lease.
            free_period = _FreePeriod(epoch, now)
            self._free_periods[role] = free_period
        stagger_s = self._context.config.timings.candidate_stagger_s
        return now - free_period.since >= FREE_ROLE_DELAY_S + stagger_s * self._candidate_rank(
            role, now
        )

    def _is_free(self, role: str, now: float) -> bool:
        """Whether no live core reports a grant of `role`, and a new epoch could be chosen now.

        A core that restarted or was cut off has granted nothing recently. The heartbeats of the
        others prevent it from ending, by a newer epoch, a lease that it does not know.
        """
        if self._grantor.may_be_leased_elsewhere(role, self._context.own_id, now):
            return False
        live = self._context.cores.live(now)
        if not self._context.replica_sets.grantors().is_member_quorum(
            {self._context.own_id, *live}
        ):
            # A proposal made while cut off would be chosen as soon as the connection returns.
            return False
        if any(role in status.leased_roles for status in live.values()):
            return False
        return self._owner_of(f"{ROLE_KEY_PREFIX}{role}", now) is not None

    def _candidate_rank(self, role: str, now: float) -> int:
        candidates = [self._context.own_id]
        for member, status in self._context.cores.live(now).items():
            if status.voting:
                candidates.append(member)
        return rendezvous_order(role, candidates).index(self._context.own_id)

    def _record_leadership_changes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        led_roles = {role for role in self._holders if self.state(role, now).is_leader}
        for role in led_roles - self._led_roles:
            epoch = self._holders[role].epoch
            effects.append(Log(log_events.ROLE_TAKEN, {"role": role, "epoch": epoch}))
        for role in self._led_roles - led_roles:
            effects.append(Log(log_events.ROLE_LOST, {"role": role}))
        self._context.notifications.roles |= led_roles ^ self._led_roles
        self._led_roles = led_roles
        return effects
