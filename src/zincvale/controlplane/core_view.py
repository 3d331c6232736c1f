"""What the control API reads of the core it runs in: a protocol that the core daemon implements."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from zincvale.coordination.changes import KeyView
from zincvale.model.control_tables import Directory, Intent, Members
from zincvale.model.identifiers import Address, MemberId, ZoneName


@attrs.frozen
class RoleRow:
    """One singleton role and the member that leads it.

    Attributes
    ----------
    holder : the member with the leader lease, or None while none is known.
    epoch : fencing epoch of the lease.
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
    """Random identity of the replica's data folder."""
    chosen_version: int = 0
    """Newest version of the intent that the replica knows to be chosen."""


class CoreView(Protocol):
    """State of the local core, read at the moment of a request."""

    def may_show_state(self) -> bool:
        """Whether the control state known here is the newest that was acknowledged."""
        ...

    def intent_rows(self) -> KeyView:
        """Return the newest chosen intent as rows."""
        ...

    def intent(self) -> Intent:
        """Return the same intent, typed."""
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
        """Return the move calendar's rows: JSON objects by move id."""
        ...

    def roles(self) -> Sequence[RoleRow]:
        """Return the singleton roles."""
        ...

    def replicas(self) -> Sequence[ReplicaRow]:
        """Return the replicas of the control state."""
        ...
