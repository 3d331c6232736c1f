"""Leader leases: the holder's and the grantor's side (docs/design-coordination.md).

For the holder, the lifetime of a grant starts when it sent the request. The holder stops acting a
safety margin before its grants from a majority may have expired. The fencing epoch is the version
of the durable key `role/NAME`, so it increases with every term and is never used again.

Races that are handled here:

- Two candidates propose epochs at nearly the same time. A grantor grants nothing while a grant to
  another holder is live, and nothing below the newest epoch that it knows. Any two majorities share
  a grantor, so at most one candidate gets a majority.
- A restarted grantor has lost its grants. It grants nothing for one lease lifetime, or until every
  other grantor has reported that it has no live grant.
- A grant arrives after a newer term has begun. Grants of other epochs are ignored.
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

CANDIDATE_REQUEST_RATE_FACTOR = 4
"""Factor by which a candidate repeats its requests more often than a leader renews. At the leader's
rate, one lost request would leave the role without a leader for a renewal interval."""


def reduce_role(_rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Reducer of the keys `role/NAME`: the change is the holder's name, the version its epoch."""
    return Success([RowChange("holder", change)])


@attrs.frozen
class LeaderLeaseGrant:
    """The last grant of one role by a grantor; `expires_at` is a time on the grantor's clock."""

    holder: MemberId
    epoch: int
    expires_at: float


class LeaderLeaseGrantor:
    """Grants leader leases; a restarted grantor grants nothing for one lease lifetime."""

    def __init__(self, timings: Timings, grants_allowed_from: float) -> None:
        self._timings = timings
        self._grants_allowed_from = grants_allowed_from
        self._grants: dict[str, LeaderLeaseGrant] = {}

    def allow_grants(self, now: float) -> None:
        """Allow grants from `now` on: no grant by an earlier run can be in use any more."""
        self._grants_allowed_from = min(self._grants_allowed_from, now)

    def handle(
        self,
        sender: MemberId,
        request: RequestLeadership,
        newest_epoch: int,
        config_version: int,
        now: float,
    ) -> Effect:
        """Return a grant or a refusal; `newest_epoch` is the newest chosen epoch known here."""
        grant = self._grants.get(request.role)
        newest_known_epoch = max(newest_epoch, grant.epoch if grant else 0)
        is_held_by_other = grant is not None and grant.holder != sender and now < grant.expires_at
        if (
            now < self._grants_allowed_from
            or is_held_by_other
            or request.epoch < newest_known_epoch
        ):
            return Send(sender, LeadershipRefused(request.role, request.epoch, newest_known_epoch))
        expires_at = now + self._timings.role_lease_s * CLOCK_RATE_ALLOWANCE
        self._grants[request.role] = LeaderLeaseGrant(sender, request.epoch, expires_at)
        return Send(
            sender,
            LeadershipGranted(request.role, request.epoch, request.requested_at, config_version),
        )

    def release(self, sender: MemberId, role: str, epoch: int) -> None:
        """End the grant to `sender`, which gave up its lease, unless it has a later epoch."""
        grant = self._grants.get(role)
        if grant is not None and grant.holder == sender and grant.epoch <= epoch:
            self._grants[role] = LeaderLeaseGrant(sender, grant.epoch, float("-inf"))

    def may_be_leased_elsewhere(self, role: str, own_id: MemberId, now: float) -> bool:
        """Whether another process has a live grant of `role` by this grantor, or may have one."""
        if now < self._grants_allowed_from:
            return True
        grant = self._grants.get(role)
        return grant is not None and grant.holder != own_id and now < grant.expires_at

    def last_granted(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return the holder (None after the lease has expired) and epoch of each role granted."""
        return {
            role: (grant.holder if now < grant.expires_at else None, grant.epoch)
            for role, grant in self._grants.items()
        }


class LeasePhase(enum.Enum):
    """The phase of this process's candidacy or term for a role; IDLE when it has neither.

    Legal transitions: IDLE -> TAKING (a new epoch is proposed) -> REQUESTING (the epoch is chosen)
    -> LEADING (a majority granted). Each of these returns to IDLE when the proposal fails, a
    refusal reports a newer epoch (not in TAKING, where the new epoch is still unknown), no majority
    grants within a lease lifetime, the lease expires, or the process gives it up.
    """

    IDLE = "idle"
    TAKING = "taking"
    """A new epoch is proposed, but not yet stored by a majority of replicas."""
    REQUESTING = "requesting"
    """The epoch is chosen; grants from a majority are outstanding."""
    LEADING = "leading"
    """A majority granted the lease; the process may act until `acts_until`."""


class LeaderLeaseHolder:
    """This process's lease of one role.

    Attributes
    ----------
    retry_at : the earliest time at which the process may become a candidate again.
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

    def start_candidacy(self, now: float) -> None:
        """Start to wait for the new epoch, which the caller proposes."""
        self.phase = LeasePhase.TAKING
        self._started_at = now

    def give_up(self, retry_at: float) -> None:
        """Discard all grants, and do not become a candidate again before `retry_at`."""
        self.phase = LeasePhase.IDLE
        self._requested_at = {}
        self.retry_at = retry_at

    def on_epoch_chosen(self, epoch: int, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """Request grants for `epoch`, which was chosen and is therefore durable."""
        if self.phase is not LeasePhase.TAKING:
            return []
        self.epoch = epoch
        self.phase = LeasePhase.REQUESTING
        self._requested_at = {}
        self._started_at = now
        return self._request_grants(quorum, now)

    def on_granted(
        self, sender: MemberId, granted: LeadershipGranted, quorum: ReplicaConfig, now: float
    ) -> None:
        """Record a grant, whose lifetime started when it was requested; ignore other epochs."""
        if granted.epoch != self.epoch or self.phase in (LeasePhase.IDLE, LeasePhase.TAKING):
            return
        self._requested_at[sender] = max(self._requested_at.get(sender, 0.0), granted.requested_at)
        if self.phase is LeasePhase.REQUESTING and now < self.acts_until(quorum):
            self.phase = LeasePhase.LEADING

    def on_refused(self, refused: LeadershipRefused, now: float) -> None:
        """End this term if the refusal reports a newer epoch."""
        if refused.newest_epoch > self.epoch and self.phase is not LeasePhase.TAKING:
            self.give_up(now + self._timings.role_renew_s)

    def tick(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """Repeat the requests for grants when due; give up an expired lease or candidacy."""
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
        return self._request_grants(quorum, now)

    def acts_until(self, quorum: ReplicaConfig) -> float:
        """Return until when this process may act on its grants, by the newest majority of them.

        It is `role_margin_s` before the end of the lease, or minus infinity without a majority.
        """
        for requested_at in sorted(self._requested_at.values(), reverse=True):
            granted = {
                member
                for member, member_requested_at in self._requested_at.items()
                if member_requested_at >= requested_at
            }
            if quorum.is_member_quorum(granted):
                return requested_at + self._timings.role_lease_s - self._timings.role_margin_s
        return float("-inf")

    def state(self, quorum: ReplicaConfig, now: float) -> LeadershipState:
        """Return whether this process may act as the leader now, its epoch, and until when."""
        acts_until = self.acts_until(quorum)
        is_leader = self.phase is LeasePhase.LEADING and now < acts_until
        return LeadershipState(is_leader, self.epoch if is_leader else 0, acts_until)

    def _request_grants(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        renew_s = self._timings.role_renew_s
        if self.phase is not LeasePhase.LEADING:
            renew_s /= CANDIDATE_REQUEST_RATE_FACTOR
        self._renew_at = now + renew_s
        request = RequestLeadership(self.role, self.epoch, now)
        return [Send(member, request) for member in quorum.members()]
