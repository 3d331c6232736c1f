"""Messages about leader leases; positional Avro: the order and types of fields are the format."""

from __future__ import annotations

import attrs

from zincvale.model.messages import peer_message


@peer_message("role.ask")
@attrs.frozen
class RequestLeadership:
    """Requests the lease of `role` from a grantor, at the fencing `epoch`."""

    role: str
    epoch: int
    requested_at: float
    """Seconds on the clock of the requesting process, from which it counts the grant."""


@peer_message("role.released")
@attrs.frozen
class LeadershipReleased:
    """The holder gives its lease up early: it acts no more under `epoch`."""

    role: str
    epoch: int


@peer_message("role.granted")
@attrs.frozen
class LeadershipGranted:
    """The lease of `role` was granted, counted from `requested_at` on the requester's clock."""

    role: str
    epoch: int
    requested_at: float
    config_version: int
    """The grantor's replica sets; a holder that knows only older ones does not count the grant."""


@peer_message("role.refused")
@attrs.frozen
class LeadershipRefused:
    """Another holder has the lease, the grantor may not grant yet, or the epoch is old."""

    role: str
    epoch: int
    newest_epoch: int
