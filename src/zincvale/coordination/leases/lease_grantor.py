"""Grants member leases to nodes and knows which versions every live node holds.

A grant counts only for a node that holds the `required` versions. A lease that starts anew requires
everything chosen that this core knows; so once every live lease here holds a version, no later
grant of this core supports a node that lacks it.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.config import Timings
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.messages import MemberInfo

CLOCK_RATE_ALLOWANCE = 1.02
"""A grantor waits this much longer than the holder, whose clock may run slower."""


@attrs.define
class LeaseRow:
    """One node's lease at this core."""

    info: MemberInfo
    asked_at: float
    """When the node asked for its newest grant, on its own clock."""
    granted_until: float
    """Until when grants of this core may be in use."""
    held: dict[str, int]
    required: dict[str, int]
    """What the newest grant requires."""
    former_required: dict[str, int]
    """The least that grants still in use require, until `former_until`."""
    former_until: float
    ready: bool
    evidence_silent: bool

    def surely_held(self, key: str, now: float) -> int:
        """Return the version without which the node does not serve on grants of this core.

        The node may have got a version after it asked, and count a grant that it could not count
        then; so what matters is the least that any grant still in use requires.
        """
        required = self.former_required if now < self.former_until else self.required
        return max(self.held.get(key, 0), required.get(key, 0))


@attrs.frozen
class _Chosen:
    version: int
    since: float


class LeaseGrantor:
    """The leases of the nodes that renew at this core.

    Parameters
    ----------
    earliest_report : before this instant, leases granted by an earlier run may be in use.
    """

    def __init__(self, timings: Timings, earliest_report: float) -> None:
        self._timings = timings
        self._lifetime_s = timings.lease_ttl_s * CLOCK_RATE_ALLOWANCE
        self._earliest_report = earliest_report
        self.rows: dict[str, LeaseRow] = {}
        self._replaced: list[LeaseRow] = []
        """Leases of earlier incarnations, which may still be in use."""
        self._chosen: dict[str, _Chosen] = {}
        self._lagging: dict[str, set[str]] = {}
        self.replicas_changed = False
        """Whether what nodes hold may have changed since the last report."""
        self.members_changed: set[str] = set()
        """Nodes that came, went, moved or changed readiness since the member table was made."""

    def note_chosen(self, key: str, version: int, now: float) -> None:
        """Remember when this core learned of a chosen version."""
        self._chosen[key] = _Chosen(version, now)
        self._lagging[key] = {
            member for member, row in self.rows.items() if row.held.get(key, 0) < version
        }
        self.replicas_changed = True

    def renew(self, renewal: RenewLease, newest: dict[str, int], now: float) -> dict[str, int]:
        """Grant or renew a lease; return the versions its holder must hold.

        A lease that starts anew requires the `newest` ones. A renewal that was overtaken by a later
        one says nothing: its holder may have given evidence of being cut off in between.
        """
        member = renewal.info.member
        before = self.rows.get(member)
        if before is not None and renewal.asked_at < before.asked_at and now < before.granted_until:
            return dict(newest)
        row = self._continued(before, renewal, now)
        granted_until = now + self._lifetime_s
        if row is None:
            held, required, former, former_until = renewal.held, dict(newest), newest, now
        else:
            held = _highest(row.held, renewal.held)
            required = row.required | self._overdue(renewal.held, now)
            former, former_until = _former(row, required, now)
        after = LeaseRow(
            info=renewal.info,
            asked_at=renewal.asked_at,
            granted_until=granted_until,
            held=held,
            required=required,
            former_required=former,
            former_until=former_until,
            ready=renewal.ready,
            evidence_silent=renewal.evidence_silent,
        )
        self.rows[member] = after
        self._note_changes(member, before, after)
        return required

    def expire(self, now: float) -> None:
        """Forget nodes that did not renew for a lease lifetime."""
        self._replaced = [row for row in self._replaced if now < row.granted_until]
        gone = [member for member, row in self.rows.items() if now >= row.granted_until]
        for member in gone:
            del self.rows[member]
            for lagging in self._lagging.values():
                lagging.discard(member)
        if gone:
            self.members_changed.update(gone)
            self.replicas_changed = True

    def has_laggards(self) -> bool:
        """Whether some node with a lease lacks a chosen version."""
        return any(self._lagging.values())

    def held_floor(self, key: str, chosen: int, now: float) -> int:
        """Return the version that every node with a live lease here holds, at most `chosen`."""
        if now < self._earliest_report:
            return 0
        rows = [*self.rows.values(), *self._replaced]
        held = [row.surely_held(key, now) for row in rows if now < row.granted_until]
        return min([chosen, *held])

    def confirming(self, versions: dict[str, int], now: float) -> list[str]:
        """Return the nodes with a live lease that hold `versions` and gave no evidence lately."""
        return [
            member
            for member, row in self.rows.items()
            if row.evidence_silent
            and now < row.granted_until
            and all(row.held.get(key, 0) >= version for key, version in versions.items())
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

    def _note_changes(self, member: str, before: LeaseRow | None, after: LeaseRow) -> None:
        for key, chosen in self._chosen.items():
            if after.held.get(key, 0) >= chosen.version:
                self._lagging[key].discard(member)
            else:
                self._lagging[key].add(member)
        if before is None or before.info != after.info or before.ready != after.ready:
            self.members_changed.add(member)
        if (
            before is None
            or before.held != after.held
            or before.evidence_silent != after.evidence_silent
        ):
            self.replicas_changed = True

    def _overdue(self, held: dict[str, int], now: float) -> dict[str, int]:
        overdue = {}
        for key, chosen in self._chosen.items():
            late = now - chosen.since > self._timings.laggard_grace_s
            if late and held.get(key, 0) < chosen.version:
                overdue[key] = chosen.version
        return overdue


def _former(row: LeaseRow, required: dict[str, int], now: float) -> tuple[dict[str, int], float]:
    """Return the least that grants still in use require beside the new one, and until when."""
    if required == row.required:
        return row.former_required, row.former_until
    least = row.former_required if now < row.former_until else row.required
    return least, row.granted_until


def _highest(first: dict[str, int], second: dict[str, int]) -> dict[str, int]:
    return {key: max(first.get(key, 0), second.get(key, 0)) for key in first | second}
