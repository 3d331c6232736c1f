"""Grants member leases to nodes and knows which versions every live node has applied.

The invariant (docs/design-coordination.md): a grant counts only for a node that has applied the
`required` versions. A lease that starts anew requires everything chosen that this core knows; so
once every live lease here has applied a version, no later grant of this core supports a node that
lacks it.

Three races are guarded here:

- A renewal that a later one overtook is not counted: its node may have given evidence of a
  partition in between, which the late message denies.
- A node may apply a version after it sent its renewal, and then count an older grant that it could
  not count before. `LeaseRow.assured_version` therefore goes by the least that any grant still in
  use requires.
- A node that restarted starts a new lease while its former process may still serve on the old one:
  the old row counts until its grants have expired.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.config import Timings
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.messages import MemberInfo

CLOCK_RATE_ALLOWANCE = 1.02
"""A grantor counts this much longer than the holder, whose clock may run 2% slower; with less, a
core forgets a lease that its holder still counts."""


@attrs.define
class LeaseRow:
    """One node's lease at this core."""

    info: MemberInfo
    requested_at: float
    """When the node requested its newest grant, on the node's clock."""
    granted_until: float
    """Until when grants of this core may be in use, on this core's clock."""
    applied_versions: dict[str, int]
    required: dict[str, int]
    """What the newest grant requires."""
    previous_required: dict[str, int]
    """The least that earlier grants, in use until `previous_until`, require."""
    previous_until: float
    ready: bool
    may_confirm: bool

    def assured_version(self, key: str, now: float) -> int:
        """Return the version without which the node does not serve on grants of this core.

        The node may have applied a version after its request, and count a grant that it could not
        count then; so what matters is the least that any grant still in use requires.
        """
        required = self.previous_required if now < self.previous_until else self.required
        return max(self.applied_versions.get(key, 0), required.get(key, 0))


@attrs.frozen
class _ChosenVersion:
    """A chosen version, and since when this core knows it."""

    version: int
    since: float


class LeaseGrantor:
    """The leases of the nodes that renew at this core.

    Parameters
    ----------
    timings : durations; `lease_ttl_s` and `stale_member_grace_s` are used.
    earliest_report : before this instant, leases granted by an earlier run may be in use.
    """

    def __init__(self, timings: Timings, earliest_report: float) -> None:
        self._timings = timings
        self._lifetime_s = timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._earliest_report = earliest_report
        self.rows: dict[str, LeaseRow] = {}
        self._replaced: list[LeaseRow] = []
        """Leases of earlier incarnations, which may still be in use."""
        self._chosen: dict[str, _ChosenVersion] = {}
        self._stale_members: dict[str, set[str]] = {}
        self.applied_versions_changed = False
        """Whether what nodes have applied may have changed since the last report."""
        self.members_changed: set[str] = set()
        """Nodes that joined, left, moved or changed readiness since the member table was made."""

    def on_chosen(self, key: str, version: int, now: float) -> None:
        """Record when this core learned of a chosen version, and which leases lack it."""
        self._chosen[key] = _ChosenVersion(version, now)
        self._stale_members[key] = {
            member
            for member, row in self.rows.items()
            if row.applied_versions.get(key, 0) < version
        }
        self.applied_versions_changed = True

    def renew(self, renewal: RenewLease, newest: dict[str, int], now: float) -> dict[str, int]:
        """Grant or renew a lease; return the versions that its holder must have applied.

        A lease that starts anew requires the `newest` ones. A renewal that a later one overtook is
        not counted: its holder may have given evidence of a partition in between.
        """
        member = renewal.info.member
        before = self.rows.get(member)
        if (
            before is not None
            and renewal.requested_at < before.requested_at
            and now < before.granted_until
        ):
            return dict(newest)
        row = self._continued(before, renewal, now)
        granted_until = now + self._lifetime_s
        if row is None:
            applied = renewal.applied_versions
            required, previous, previous_until = dict(newest), newest, now
        else:
            applied = _highest(row.applied_versions, renewal.applied_versions)
            required = row.required | self._overdue(renewal.applied_versions, now)
            previous, previous_until = _previous_requirements(row, required, now)
        after = LeaseRow(
            info=renewal.info,
            requested_at=renewal.requested_at,
            granted_until=granted_until,
            applied_versions=applied,
            required=required,
            previous_required=previous,
            previous_until=previous_until,
            ready=renewal.ready,
            may_confirm=renewal.may_confirm,
        )
        self.rows[member] = after
        self._record_changes(member, before, after)
        return required

    def expire(self, now: float) -> None:
        """Remove the leases of which no grant can be in use any more."""
        self._replaced = [row for row in self._replaced if now < row.granted_until]
        expired = [member for member, row in self.rows.items() if now >= row.granted_until]
        for member in expired:
            del self.rows[member]
            for stale_members in self._stale_members.values():
                stale_members.discard(member)
        if expired:
            self.members_changed.update(expired)
            self.applied_versions_changed = True

    def has_stale_members(self) -> bool:
        """Whether some node with a lease lacks a chosen version."""
        return any(self._stale_members.values())

    def lowest_applied_version(self, key: str, chosen: int, now: float) -> int:
        """Return the version that every node with a live lease here has applied, at most `chosen`.

        It is 0 while leases of an earlier run of this process, which are not known here, may live.
        """
        if now < self._earliest_report:
            return 0
        rows = [*self.rows.values(), *self._replaced]
        applied = [row.assured_version(key, now) for row in rows if now < row.granted_until]
        return min([chosen, *applied])

    def confirming_nodes(self, versions: dict[str, int], now: float) -> list[str]:
        """Return the nodes with a live lease that applied `versions` and may confirm them."""
        return [
            member
            for member, row in self.rows.items()
            if row.may_confirm
            and now < row.granted_until
            and all(
                row.applied_versions.get(key, 0) >= version for key, version in versions.items()
            )
        ]

    def _continued(
        self, before: LeaseRow | None, renewal: RenewLease, now: float
    ) -> LeaseRow | None:
        """Return the lease that this renewal continues, if it does."""
        if before is None:
            return None
        if before.info.incarnation != renewal.info.incarnation:
            self._replaced.append(before)
            return None
        return before if now < before.granted_until else None

    def _record_changes(self, member: str, before: LeaseRow | None, after: LeaseRow) -> None:
        for key, chosen in self._chosen.items():
            if after.applied_versions.get(key, 0) >= chosen.version:
                self._stale_members[key].discard(member)
            else:
                self._stale_members[key].add(member)
        if before is None or before.info != after.info or before.ready != after.ready:
            self.members_changed.add(member)
        if (
            before is None
            or before.applied_versions != after.applied_versions
            or before.may_confirm != after.may_confirm
        ):
            self.applied_versions_changed = True

    def _overdue(self, applied: dict[str, int], now: float) -> dict[str, int]:
        """Return the versions that a node lacks for longer than the grace period."""
        overdue = {}
        for key, chosen in self._chosen.items():
            late = now - chosen.since > self._timings.stale_member_grace_s
            if late and applied.get(key, 0) < chosen.version:
                overdue[key] = chosen.version
        return overdue


def _previous_requirements(
    row: LeaseRow, required: dict[str, int], now: float
) -> tuple[dict[str, int], float]:
    """Return the least that grants still in use require beside the new one, and until when."""
    if required == row.required:
        return row.previous_required, row.previous_until
    least = row.previous_required if now < row.previous_until else row.required
    return least, row.granted_until


def _highest(first: dict[str, int], second: dict[str, int]) -> dict[str, int]:
    return {key: max(first.get(key, 0), second.get(key, 0)) for key in first | second}
