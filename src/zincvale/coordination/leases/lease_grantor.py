"""Grants member leases to nodes and tracks which versions every node with a lease has applied.

The invariant (docs/design-coordination.md): a grant is valid only for a node that has applied the
`required` versions. A new lease requires every chosen version that this core knows. Therefore, once
every node with a live lease here has applied a version, no later grant of this core is valid for a
node that lacks it.

A node that has released its lease confirms every version until a later run of it renews: it serves
nothing, and it gives evidence of a partition only after a lease that starts anew.

Three races are handled here:

- Renewals may arrive out of order. A renewal older than one already received does not change the
  lease: the node may have given evidence of a partition between the two, which the older renewal
  does not report.
- A node may apply a version after it sent its renewal, and then use an older grant that was not
  valid for it before. `LeaseRecord.assured_version` therefore uses the lowest requirement of all
  grants that may still be in use.
- A restarted node starts a new lease while its former process may still serve on the old one. The
  old lease is kept until its grants have expired.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.config import Timings
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.messages import MemberInfo

CLOCK_RATE_ALLOWANCE = 1.02
"""Factor by which a grantor extends the lease lifetime, because the holder's clock may run 2%
slower. With a smaller factor, a core could drop a lease that its holder still considers valid."""


@attrs.define
class LeaseRecord:
    """What this core recorded of the lease that it granted to one node."""

    info: MemberInfo
    requested_at: float
    """When the node requested its newest grant, on the node's clock."""
    granted_until: float
    """Until when grants of this core may be in use, on this core's clock."""
    applied_versions: dict[str, int]
    required: dict[str, int]
    """The versions by key that the newest grant requires."""
    previous_required: dict[str, int]
    """The lowest versions by key that any earlier grant requires, in force until
    `previous_until`."""
    previous_until: float
    ready: bool
    may_confirm: bool

    def assured_version(self, key: str, now: float) -> int:
        """Return the version of `key` that the node has applied whenever it serves on a grant.

        The node may have applied a version after its request, which makes an older grant valid for
        it. The result is therefore based on the lowest requirement of all grants still in use.
        """
        required = self.previous_required if now < self.previous_until else self.required
        return max(self.applied_versions.get(key, 0), required.get(key, 0))


@attrs.frozen
class _ChosenVersion:
    """A chosen version, and the time when this core learned of it."""

    version: int
    since: float


class LeaseGrantor:
    """Holds the leases of the nodes that renew at this core.

    Parameters
    ----------
    timings : durations, of which `lease_ttl_s` and `stale_member_grace_s` are used.
    earlier_leases_until : until when leases that an earlier run of this process granted, and that
        are unknown here, may be in use.
    """

    def __init__(self, timings: Timings, earlier_leases_until: float) -> None:
        self._timings = timings
        self._lifetime_s = timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._earlier_leases_until = earlier_leases_until
        self.leases: dict[str, LeaseRecord] = {}
        self._replaced_leases: list[LeaseRecord] = []
        """Leases of former processes of restarted nodes, which may still be in use."""
        self.departed: dict[str, str] = {}
        """The incarnations of the nodes that have released their leases."""
        self._chosen_versions: dict[str, _ChosenVersion] = {}
        self._stale_members: dict[str, set[str]] = {}
        self.applied_versions_changed = False
        """Whether the versions that nodes have applied may have changed since the last report."""
        self.members_changed: set[str] = set()
        """Nodes that joined, left, or changed their `MemberInfo` or readiness since the member
        table was last updated."""

    def on_chosen(self, key: str, version: int, now: float) -> None:
        """Record when this core learned of a chosen version, and which nodes lack it."""
        self._chosen_versions[key] = _ChosenVersion(version, now)
        self._stale_members[key] = {
            member
            for member, lease in self.leases.items()
            if lease.applied_versions.get(key, 0) < version
        }
        self.applied_versions_changed = True

    def renew(
        self, renewal: RenewLease, newest_versions: dict[str, int], now: float
    ) -> dict[str, int]:
        """Grant or renew a lease; return the versions that its holder must have applied.

        A new lease requires `newest_versions`. A renewal older than one already received does not
        change the lease: the node may have given evidence of a partition between the two.
        """
        member = renewal.info.member
        self.departed.pop(member, None)
        before = self.leases.get(member)
        if (
            before is not None
            and renewal.requested_at < before.requested_at
            and now < before.granted_until
        ):
            return dict(newest_versions)
        extended = self._extended_lease(before, renewal, now)
        granted_until = now + self._lifetime_s
        if extended is None:
            applied = renewal.applied_versions
            required, previous, previous_until = dict(newest_versions), newest_versions, now
        else:
            applied = _highest_versions(extended.applied_versions, renewal.applied_versions)
            required = extended.required | self._overdue_versions(renewal.applied_versions, now)
            previous, previous_until = _previous_requirements(extended, required, now)
        after = LeaseRecord(
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
        self.leases[member] = after
        self._record_changes(member, before, after)
        return required

    def release(self, member: str, incarnation: str) -> None:
        """Remove the lease of a node that has stopped; a later run of it may be here already."""
        lease = self.leases.get(member)
        if lease is not None and lease.info.incarnation == incarnation:
            self.departed[member] = incarnation
            self._remove_leases([member])

    def has_departed(self, info: MemberInfo) -> bool:
        """Whether this run of a node has released its lease; renewals of it may arrive late."""
        return self.departed.get(info.member) == info.incarnation

    def expire(self, now: float) -> None:
        """Remove the leases whose grants have all expired."""
        self._replaced_leases = [
            lease for lease in self._replaced_leases if now < lease.granted_until
        ]
        expired = [member for member, lease in self.leases.items() if now >= lease.granted_until]
        if expired:
            self._remove_leases(expired)

    def _remove_leases(self, members: list[str]) -> None:
        for member in members:
            del self.leases[member]
            for stale_members in self._stale_members.values():
                stale_members.discard(member)
        self.members_changed.update(members)
        self.applied_versions_changed = True

    def has_stale_members(self) -> bool:
        """Whether any node with a lease lacks a chosen version."""
        return any(self._stale_members.values())

    def lowest_applied_version(self, key: str, chosen: int, now: float) -> int:
        """Return the version that every node with a live lease here has applied, at most `chosen`.

        It is 0 while leases granted by an earlier run of this process, which are unknown here, may
        be in use.
        """
        if now < self._earlier_leases_until:
            return 0
        leases = [*self.leases.values(), *self._replaced_leases]
        applied = [lease.assured_version(key, now) for lease in leases if now < lease.granted_until]
        return min([chosen, *applied])

    def confirming_nodes(self, versions: dict[str, int], now: float) -> list[str]:
        """Return the nodes that confirm `versions`: with a live lease and them, or departed."""
        return [
            *self.departed,
            *self._confirming_holders(versions, now),
        ]

    def _confirming_holders(self, versions: dict[str, int], now: float) -> list[str]:
        return [
            member
            for member, lease in self.leases.items()
            if lease.may_confirm
            and now < lease.granted_until
            and all(
                lease.applied_versions.get(key, 0) >= version for key, version in versions.items()
            )
        ]

    def _extended_lease(
        self, before: LeaseRecord | None, renewal: RenewLease, now: float
    ) -> LeaseRecord | None:
        """Return the lease that this renewal extends; None when the renewal starts a new one."""
        if before is None:
            return None
        if before.info.incarnation != renewal.info.incarnation:
            self._replaced_leases.append(before)
            return None
        return before if now < before.granted_until else None

    def _record_changes(self, member: str, before: LeaseRecord | None, after: LeaseRecord) -> None:
        for key, chosen in self._chosen_versions.items():
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

    def _overdue_versions(self, applied: dict[str, int], now: float) -> dict[str, int]:
        """Return the chosen versions that a node has lacked for longer than the grace period."""
        overdue = {}
        for key, chosen in self._chosen_versions.items():
            is_overdue = now - chosen.since > self._timings.stale_member_grace_s
            if is_overdue and applied.get(key, 0) < chosen.version:
                overdue[key] = chosen.version
        return overdue


def _previous_requirements(
    lease: LeaseRecord, required: dict[str, int], now: float
) -> tuple[dict[str, int], float]:
    """Return the lowest requirement of the grants older than the new one, and when they expire."""
    if required == lease.required:
        return lease.previous_required, lease.previous_until
    lowest = lease.previous_required if now < lease.previous_until else lease.required
    return lowest, lease.granted_until


def _highest_versions(first: dict[str, int], second: dict[str, int]) -> dict[str, int]:
    return {key: max(first.get(key, 0), second.get(key, 0)) for key in first | second}
