"""Leader leases: the holder's and the grantor's side.

The holder counts each grant from when it asked and stops a margin before a majority of grantors may
have forgotten it. The fencing epoch is the version of the durable key `role/NAME`, so it increases
with every term for ever.
"""

from __future__ import annotations

import enum

import attrs
from returns.result import Result, Success

from zincvale.coordination.changes import ChangeRefused, LeadershipState, RowChange, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.election.messages import RequestRole, RoleGranted, RoleRefused
from zincvale.coordination.leases.lease_grantor import CLOCK_RATE_ALLOWANCE
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send


def reduce_role(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Reducer of the keys `role/NAME`: the change names the candidate; the version is the epoch."""
    return Success([RowChange("holder", change)])


@attrs.frozen
class RoleGrant:
    """A grantor's memory of one role."""

    holder: MemberId
    epoch: int
    expires_at: float


class LeaderLeaseGrantor:
    """Grants leader leases; a restarted grantor grants nothing for one lease duration."""

    def __init__(self, timings: Timings, grants_from: float) -> None:
        self._timings = timings
        self._grants_from = grants_from
        self._grants: dict[str, RoleGrant] = {}

    def grant_from(self, now: float) -> None:
        """Grant from now on: no grant of an earlier run can still be in use."""
        self._grants_from = min(self._grants_from, now)

    def handle(
        self, sender: MemberId, ask: RequestRole, newest_epoch: int, config_version: int, now: float
    ) -> Effect:
        """Grant or refuse; `newest_epoch` is the newest chosen epoch of the role known here."""
        grant = self._grants.get(ask.role)
        known = max(newest_epoch, grant.epoch if grant else 0)
        taken = grant is not None and grant.holder != sender and now < grant.expires_at
        if now < self._grants_from or taken or ask.epoch < known:
            return Send(sender, RoleRefused(ask.role, ask.epoch, known))
        expires_at = now + self._timings.role_lease_s * CLOCK_RATE_ALLOWANCE
        self._grants[ask.role] = RoleGrant(sender, ask.epoch, expires_at)
        return Send(sender, RoleGranted(ask.role, ask.epoch, ask.requested_at, config_version))

    def release(self, sender: MemberId, role: str, epoch: int) -> None:
        """The holder gave its lease back."""
        grant = self._grants.get(role)
        if grant is not None and grant.holder == sender and grant.epoch <= epoch:
            self._grants[role] = RoleGrant(sender, grant.epoch, float("-inf"))

    def held_elsewhere(self, role: str, own: MemberId, now: float) -> bool:
        """Whether another process has a live grant of `role` here, or may have one."""
        if now < self._grants_from:
            return True
        grant = self._grants.get(role)
        return grant is not None and grant.holder != own and now < grant.expires_at

    def last_granted(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return the epoch of each role granted here, and its holder while the lease lasts."""
        return {
            role: (grant.holder if now < grant.expires_at else None, grant.epoch)
            for role, grant in self._grants.items()
        }


class LeasePhase(enum.Enum):
    """How far this process is with a role."""

    IDLE = "idle"
    TAKING = "taking"
    """The new epoch is on its way to a majority of disks."""
    ASKING = "asking"
    HELD = "held"


class LeaderLeaseHolder:
    """This process's side of one role."""

    def __init__(self, role: str, timings: Timings) -> None:
        self.role = role
        self.phase = LeasePhase.IDLE
        self.epoch = 0
        self.retry_at = 0.0
        self._timings = timings
        self._asked_at: dict[MemberId, float] = {}
        self._started_at = 0.0
        self._renew_at = 0.0

    def begin(self, now: float) -> None:
        """A new epoch was proposed."""
        self.phase = LeasePhase.TAKING
        self._started_at = now

    def drop(self, retry_at: float) -> None:
        """Hold nothing any more."""
        self.phase = LeasePhase.IDLE
        self._asked_at = {}
        self.retry_at = retry_at

    def epoch_chosen(self, epoch: int, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """The epoch is durable: ask the grantors."""
        if self.phase is not LeasePhase.TAKING:
            return []
        self.epoch = epoch
        self.phase = LeasePhase.ASKING
        self._asked_at = {}
        self._started_at = now
        return self._ask(quorum, now)

    def handle_granted(
        self, sender: MemberId, granted: RoleGranted, quorum: ReplicaConfig, now: float
    ) -> None:
        """Count a grant from when it was asked for."""
        if granted.epoch != self.epoch or self.phase in (LeasePhase.IDLE, LeasePhase.TAKING):
            return
        self._asked_at[sender] = max(self._asked_at.get(sender, 0.0), granted.requested_at)
        if self.phase is LeasePhase.ASKING and now < self.acts_until(quorum):
            self.phase = LeasePhase.HELD

    def handle_refused(self, refused: RoleRefused, now: float) -> None:
        """A newer epoch exists: this term is over."""
        if refused.newest_epoch > self.epoch and self.phase is not LeasePhase.TAKING:
            self.drop(now + self._timings.role_renew_s)

    def tick(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        """Renew, or notice that the lease ended."""
        if self.phase is LeasePhase.IDLE:
            return []
        if self.phase is LeasePhase.HELD and now >= self.acts_until(quorum):
            self.drop(now)
            return []
        waits = self.phase in (LeasePhase.ASKING, LeasePhase.TAKING)
        if waits and now - self._started_at > self._timings.role_lease_s:
            self.drop(now + self._timings.role_renew_s)
            return []
        if self.phase is LeasePhase.TAKING or now < self._renew_at:
            return []
        return self._ask(quorum, now)

    def acts_until(self, quorum: ReplicaConfig) -> float:
        """Return the instant after which a majority of grantors may have forgotten this holder."""
        for requested_at in sorted(self._asked_at.values(), reverse=True):
            granted = {each for each, at in self._asked_at.items() if at >= requested_at}
            if quorum.is_member_quorum(granted):
                return requested_at + self._timings.role_lease_s - self._timings.role_margin_s
        return float("-inf")

    def state(self, quorum: ReplicaConfig, now: float) -> LeadershipState:
        """Return whether this process may act now."""
        until = self.acts_until(quorum)
        held = self.phase is LeasePhase.HELD and now < until
        return LeadershipState(held, self.epoch if held else 0, until)

    def _ask(self, quorum: ReplicaConfig, now: float) -> list[Effect]:
        renew = self._timings.role_renew_s
        self._renew_at = now + (renew if self.phase is LeasePhase.HELD else renew / 4)
        ask = RequestRole(self.role, self.epoch, now)
        return [Send(member, ask) for member in quorum.members()]
