"""Messages about leader leases."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("role.ask")
@attrs.frozen
class RequestRole:
    """Ask a grantor for the lease of `role` at the fencing `epoch`."""

    role: str
    epoch: int
    requested_at: float


@peer_message("role.released")
@attrs.frozen
class RoleReleased:
    """The holder gives a role back: it acts no more under `epoch`."""

    role: str
    epoch: int


@peer_message("role.granted")
@attrs.frozen
class RoleGranted:
    """The lease of `role` was granted, counted from `asked_at` on the asker's clock."""

    role: str
    epoch: int
    requested_at: float
    config_version: int
    """The grantor's replica sets; a holder that knows only older ones does not count the grant."""


@peer_message("role.refused")
@attrs.frozen
class RoleRefused:
    """Another holder has the lease, or the epoch is old."""

    role: str
    epoch: int
    newest_epoch: int
