"""Messages about member leases: renewals, grants, their relays, and evidence of a partition.

They are encoded as positional Avro: the order and the types of the fields are the wire format.
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
    """Seconds on the node's own clock; the lifetime of a grant starts at this time."""
    ready: bool
    applied_versions: dict[str, int]
    """Applied version of each delivered key."""
    may_confirm: bool
    """Whether no evidence of a partition that the node gave to a peer can still be in use. Only
    then do its applied versions count towards a majority of the registered nodes."""
    cluster_incarnation: str
    config_version: int
    """Version of the replica sets that the node uses; a grant carries the replica sets only when
    the grantor has another version."""
    fence: int
    """The newest fencing epoch of any role that the node knows."""


@peer_message("lease.granted")
@attrs.frozen
class LeaseGranted:
    """A core's grant; it is valid only for a node that has applied the `required` versions."""

    requested_at: float
    """`requested_at` of the renewal, on the node's clock."""
    config_version: int
    grantors: ReplicaConfig
    """The cores that may grant; empty, like `cores`, if the node knows `config_version`."""
    required: dict[str, int]
    chosen: dict[str, int]
    """The newest chosen versions that the core knows; they show a node that its poll lags."""
    cores: list[MemberInfo]
    cluster_incarnation: str
    fence: int
    """The newest fencing epoch of any role that the core knows."""


@peer_message("lease.release")
@attrs.frozen
class LeaseReleased:
    """A stopping node gives up its lease: this run of it serves and confirms nothing any more.

    It is sent only when no evidence of a partition that the node gave can still be in use.
    """

    member: str
    incarnation: str


@peer_message("lease.relay")
@attrs.frozen
class RelayRenewal:
    """Requests a peer to forward a renewal to the cores."""

    renewal: RenewLease


@peer_message("lease.relayed")
@attrs.frozen
class RelayedRenewal:
    """A renewal that the sender forwards for a node that does not reach the core itself."""

    renewal: RenewLease


@peer_message("lease.relayed-grant")
@attrs.frozen
class RelayedGrant:
    """A core's grant for `node`, returned through the peer that relayed the renewal."""

    node: str
    core: str
    granted: LeaseGranted


@peer_message("island.probe")
@attrs.frozen
class PartitionProbe:
    """Asks a peer for evidence that it reaches no core; the sender reaches none."""

    requested_at: float


@peer_message("island.evidence")
@attrs.frozen
class PartitionEvidence:
    """Response to `PartitionProbe`: the sender reaches no core, and has applied these versions.

    After sending it, the sender confirms no version to any core until the evidence has expired.
    """

    requested_at: float
    applied_versions: dict[str, int]
    ages: bytes
    """Ages of the evidence that the sender collected: one byte for each registered node, sorted by
    name, in 250ths of a lease lifetime; 255 without evidence."""


@peer_message("lease.batch")
@attrs.frozen
class RelayedRenewals:
    """A batch of renewals that a coordinating core forwards to another granting core."""

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
    """A coordinating core's response to a renewal.

    It carries the grants of a majority, or those that arrived before the response was due.
    """

    grants: list[CoreGrant]


@peer_message("lease.redirect")
@attrs.frozen
class LeaseRedirect:
    """States that the sender grants no lease, and names the cores that it knows.

    With `can_grant`, it is an invitation: a core asks a node without a lease to renew, because the
    node's seeds may be outdated.
    """

    cores: list[MemberInfo]
    reason: str
    can_grant: bool = False
