"""Messages about leader leases.

They are encoded as positional Avro: the order and the types of the fields are the wire format.
"""

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
    """Seconds on the requester's clock; the lifetime of the grant starts at this time."""


@peer_message("role.released")
@attrs.frozen
class LeadershipReleased:
    """States that the holder gave up its lease early, and no longer acts under `epoch`."""

    role: str
    epoch: int


@peer_message("role.granted")
@attrs.frozen
class LeadershipGranted:
    """The lease of `role` was granted; it starts at `requested_at` on the requester's clock."""

    role: str
    epoch: int
    requested_at: float
    config_version: int
    """Version of the grantor's replica sets; a holder that knows only older ones ignores the
    grant."""


@peer_message("role.refused")
@attrs.frozen
class LeadershipRefused:
    """Another process holds the lease, the grantor may not grant yet, or the epoch is outdated."""

    role: str
    epoch: int
    newest_epoch: int
