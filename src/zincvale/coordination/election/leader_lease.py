"""Leader leases: the holder's and the grantor's side (docs/design-coordination.md).

The holder counts each grant from the instant of its request, and stops acting a margin before a
majority of grantors may have forgotten it. The fencing epoch is the version of the durable key
`role/NAME`, so it increases with every term for ever.

Races that are guarded here:

- Two candidates take epochs at nearly the same time: a grantor grants neither while a grant to
  another holder is live nor below the newest epoch that it knows, and any two majorities share a
  grantor.
- A grantor that restarted has forgotten its grants: it grants nothing for one lease duration, or
  until every other grantor has said that no grant is live.
- A grant arrives late, after a newer term began: grants of other epochs are not counted.
"""

from __future__ import annotations

import enum

import attrs
from returns.result import Result, Success

from zincvale.coordination.changes import ChangeRefused, LeadershipState, RowChange, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.election.messages import (
    LeadershipGranted,
    LeadershipRefused,
    RequestLeadership,
)
from zincvale.coordination.leases.lease_grantor import CLOCK_RATE_ALLOWANCE
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

CANDIDATE_REQUEST_RATE = 4
"""A candidate repeats its requests this many times as often as a leader renews; at the leader's
rate one lost request would keep the role without a leader for a renewal interval."""


def reduce_role(_rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Reducer of the keys `role/NAME`: the change names the candidate; the version is the epoch."""
    return Success([RowChange("holder", change)])


@attrs.frozen
class LeaderLeaseGrant:
    """What a grantor granted last for one role; `expires_at` is on the grantor's clock."""

    holder: MemberId
    epoch: int
    expires_at: float


class LeaderLeaseGrantor:
    """Grants leader leases; a restarted grantor grants nothing for one lease duration."""

    def __init__(self, timings: Timings, grants_from: float) -> None:
        self._timings = timings
        self._grants_from = grants_from
        self._grants: dict[str, LeaderLeaseGrant] = {}

    def allow_grants(self, now: float) -> None:
        """Allow grants from now on: no grant of an earlier run can still be in use."""
        self._grants_from = min(self._grants_from, now)

    def handle(
        self,
        sender: MemberId,
        request: RequestLeadership,
        newest_epoch: int,
        config_version: int,
        now: float,
    ) -> Effect:
        """Return a grant or a refusal; `newest_epoch` is the newest chosen one known here."""
        grant = self._grants.get(request.role)
        known = max(newest_epoch, grant.epoch if grant else 0)
        taken = grant is not None and grant.holder != sender and now < grant.expires_at
        if now < self._grants_from or taken or request.epoch < known:
            return Send(sender, LeadershipRefused(request.role, request.epoch, known))
        expires_at = now + self._timings.role_lease_s * CLOCK_RATE_ALLOWANCE
        self._grants[request.role] = LeaderLeaseGrant(sender, request.epoch, expires_at)
        return Send(
            sender,
            LeadershipGranted(request.role, request.epoch, request.requested_at, config_version),
        )

    def release(self, sender: MemberId, role: str, epoch: int) -> None:
        """End the grant of `sender`, which gave its lease up; a later term of it stays."""
        grant = self._grants.get(role)
        if grant is not None and grant.holder == sender and grant.epoch <= epoch:
            self._grants[role] = LeaderLeaseGrant(sender, grant.epoch, float("-inf"))

    def may_be_leased_elsewhere(self, role: str, own: MemberId, now: float) -> bool:
        """Whether another process has a live grant of `role` here, or may have one."""
        if now < self._grants_from:
            return True
        grant = self._grants.get(role)
        return grant is not None and grant.holder != own and now < grant.expires_at

    def last_granted(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return holder (None once the lease is over) and epoch of each role granted here."""
        return {
            role: (grant.holder if now < grant.expires_at else None, grant.epoch)
            for role, grant in self._grants.items()
        }


class LeasePhase(enum.Enum):
    """How far this process is with a role.

    Legal transitions: IDLE -> TAKING (a new epoch is proposed) -> REQUESTING (the epoch is chosen)
    -> LEADING (a majority granted); from each of these back to IDLE: when the proposal fails, a
    newer epoch shows in a refusal (not in TAKING, where the own epoch is not known yet), no
    majority grants within a lease duration, the lease ends, or the process gives it up.
    """

    IDLE = "idle"
    TAKING = "taking"
    """The new epoch is proposed; it is on its way to a majority of disks."""
    REQUESTING = "requesting"
    """The epoch is durable; grants of a majority are missing."""
    LEADING = "leading"
    """A majority granted; the process may act until `acts_until`."""


class LeaderLeaseHolder:
    """This process's lease of one role.

    Attributes
    ----------
    retry_at : before this instant the process does not stand for the role again.
    """

    def __init__(self, role: str, timings: Timings) -> None:
        self.role = role
        self.phase = LeasePhase.IDLE
        self.epoch = 0
        self.retry_at = 0.0
        self._timings = timings
        self._requested_at: dict[MemberId, float] = {}
        self._started_at = 0.0
        self._renew_at = 0.0

    def start_taking(self, now: float) -> None:
        """Wait for a new epoch, which was proposed."""
        self.phase = LeasePhase.TAKING
        self._started_at = now

    def give_up(self, retry_at: float) -> None:
        """Count no grant any more, and do not stand for the role before `retry_at`."""
        self.phase = LeasePhase.IDLE
        self._requested_at = {}
        self.retry_at = retry_at

    def on_epoch_chosen(self, epoch: int, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """Request grants: the epoch is durable."""
        if self.phase is not LeasePhase.TAKING:
            return []
        self.epoch = epoch
        self.phase = LeasePhase.REQUESTING
        self._requested_at = {}
        self._started_at = now
        return self._request(quorum, now)

    def on_granted(
        self, sender: MemberId, granted: LeadershipGranted, quorum: ReplicaConfig, now: float
    ) -> None:
        """Count a grant from the instant of its request; grants of other epochs are not counted."""
        if granted.epoch != self.epoch or self.phase in (LeasePhase.IDLE, LeasePhase.TAKING):
            return
        self._requested_at[sender] = max(self._requested_at.get(sender, 0.0), granted.requested_at)
        if self.phase is LeasePhase.REQUESTING and now < self.acts_until(quorum):
            self.phase = LeasePhase.LEADING

    def on_refused(self, refused: LeadershipRefused, now: float) -> None:
        """End this term if the refusal shows a newer epoch."""
        if refused.newest_epoch > self.epoch and self.phase is not LeasePhase.TAKING:
            self.give_up(now + self._timings.role_renew_s)

    def tick(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """Renew the lease, or end it when its time or that of its candidacy is over."""
        if self.phase is LeasePhase.IDLE:
            return []
        if self.phase is LeasePhase.LEADING and now >= self.acts_until(quorum):
            self.give_up(now)
            return []
        is_candidate = self.phase in (LeasePhase.REQUESTING, LeasePhase.TAKING)
        if is_candidate and now - self._started_at > self._timings.role_lease_s:
            self.give_up(now + self._timings.role_renew_s)
            return []
        if self.phase is LeasePhase.TAKING or now < self._renew_at:
            return []
        return self._request(quorum, now)

    def acts_until(self, quorum: ReplicaConfig) -> float:
        """Return the instant after which a majority of grantors may have forgotten this holder."""
        for requested_at in sorted(self._requested_at.values(), reverse=True):
            granted = {each for each, at in self._requested_at.items() if at >= requested_at}
            if quorum.is_member_quorum(granted):
                return requested_at + self._timings.role_lease_s - self._timings.role_margin_s
        return float("-inf")

    def state(self, quorum: ReplicaConfig, now: float) -> LeadershipState:
        """Return whether this process may act now."""
        until = self.acts_until(quorum)
        is_leader = self.phase is LeasePhase.LEADING and now < until
        return LeadershipState(is_leader, self.epoch if is_leader else 0, until)

    def _request(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        renew_s = self._timings.role_renew_s
        if self.phase is not LeasePhase.LEADING:
            renew_s /= CANDIDATE_REQUEST_RATE
        self._renew_at = now + renew_s
        request = RequestLeadership(self.role, self.epoch, now)
        return [Send(member, request) for member in quorum.members()]
