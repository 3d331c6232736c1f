"""What the control API reads from its core: a protocol that the core daemon implements."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from zincvale.coordination.changes import KeyView
from zincvale.model.control_tables import Directory, Intent, Members
from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class RoleRow:
    """One singleton role and the member that holds its leader lease.

    Attributes
    ----------
    holder : the member with the leader lease, or None while none is known.
    epoch : fencing epoch of the leader lease.
    """

    role: str
    holder: MemberId | None = None
    epoch: int = 0


@attrs.frozen
class ReplicaRow:
    """One replica of the control state."""

    member: MemberId
    zone: ZoneName
    peer_address: Address
    live: bool
    voting: bool
    disk: str = ""
    """Random identifier of the replica's data folder."""
    chosen_version: int = 0
    """Newest intent version that the replica knows to be chosen by a quorum."""


class CoreView(Protocol):
    """State of the local core, read when a request is handled."""

    def may_show_state(self) -> bool:
        """Whether the control state known here includes every acknowledged change."""
        ...

    def intent_rows(self) -> KeyView:
        """Return the newest chosen intent as rows."""
        ...

    def intent(self) -> Intent:
        """Return the newest chosen intent, decoded into typed tables."""
        ...

    def members(self) -> Members:
        """Return the members with live leases."""
        ...

    def applied_versions(self) -> Mapping[MemberId, int]:
        """Return the intent version that each live node last reported as applied."""
        ...

    def directory(self) -> Directory:
        """Return the observed servers."""
        ...

    def moves(self) -> Mapping[str, bytes]:
        """Return the rows of the move calendar: one JSON object per move, by move id."""
        ...

    def roles(self) -> Sequence[RoleRow]:
        """Return the singleton roles."""
        ...

    def replicas(self) -> Sequence[ReplicaRow]:
        """Return the replicas of the control state."""
        ...
