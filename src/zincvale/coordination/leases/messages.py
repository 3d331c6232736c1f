"""Messages about member leases: renewals, grants, their relays, and evidence of a partition.

They travel as positional Avro: the order and the types of the fields are the wire format.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@peer_message("lease.renew")
@attrs.frozen
class RenewLease:
    """A node requests a grant of its lease and reports the versions that it has applied."""

    info: MemberInfo
    requested_at: float
    """Seconds on the node's own clock; a grant counts from this instant."""
    ready: bool
    applied_versions: dict[str, int]
    """Version by delivered key."""
    may_confirm: bool
    """No evidence of a partition that the node gave to a peer may still count; only then do its
    applied versions count towards the registered majority."""
    cluster_incarnation: str
    config_version: int
    """Version of the replica sets that the node counts by; a grant describes them only when they
    differ."""
    fence: int
    """The newest fencing epoch of any role that the node saw."""


@peer_message("lease.granted")
@attrs.frozen
class LeaseGranted:
    """A core's grant; it counts only for a node that has applied the `required` versions."""

    requested_at: float
    """As in the renewal, on the node's clock."""
    config_version: int
    grantors: ReplicaConfig
    """The cores that grant; empty, like `cores`, for a node that knows `config_version`."""
    required: dict[str, int]
    chosen: dict[str, int]
    """The newest chosen versions that the core knows, so that a node notices a poll that lags."""
    cores: list[MemberInfo]
    cluster_incarnation: str
    fence: int
    """The newest fencing epoch of any role that the core knows."""


@peer_message("lease.relay")
@attrs.frozen
class RelayRenewal:
    """Requests a peer to forward a renewal to the cores that it reaches."""

    renewal: RenewLease


@peer_message("lease.relayed")
@attrs.frozen
class RelayedRenewal:
    """A renewal forwarded by the sender, for a node that does not reach the core itself."""

    renewal: RenewLease


@peer_message("lease.relayed-grant")
@attrs.frozen
class RelayedGrant:
    """A grant on its way back through the peer."""

    node: str
    core: str
    granted: LeaseGranted


@peer_message("island.probe")
@attrs.frozen
class PartitionProbe:
    """A node that reaches no core asks a peer whether it reaches none either."""

    requested_at: float


@peer_message("island.evidence")
@attrs.frozen
class PartitionEvidence:
    """The sender reaches no core either, and has applied these versions.

    From now on it confirms no version to any core until the evidence cannot count any more.
    """

    requested_at: float
    applied_versions: dict[str, int]
    ages: bytes
    """Age of the evidence that the sender collected: one byte for each registered node, in order of
    name, in 250ths of a lease lifetime; 255 for none."""


@peer_message("lease.batch")
@attrs.frozen
class RelayedRenewals:
    """Renewals that a coordinating core collected, for another granting core."""

    renewals: list[RenewLease]


@attrs.frozen
class NodeGrant:
    """A grant of the sender for one node."""

    node: str
    granted: LeaseGranted


@peer_message("lease.batch-grants")
@attrs.frozen
class RelayedGrants:
    """A granting core's response to a batch of renewals."""

    grants: list[NodeGrant]


@attrs.frozen
class CoreGrant:
    """A grant of one core."""

    core: str
    granted: LeaseGranted


@peer_message("lease.grants")
@attrs.frozen
class LeaseGrants:
    """A coordinating core's response to a renewal: a majority's grants, or what came in time."""

    grants: list[CoreGrant]


@peer_message("lease.redirect")
@attrs.frozen
class LeaseRedirect:
    """No grant: the sender cannot grant; `cores` are those that it knows.

    With `can_grant`, a core invites a node that has no lease to renew: its seeds may be outdated.
    """

    cores: list[MemberInfo]
    reason: str
    can_grant: bool = False
