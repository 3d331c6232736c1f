"""Messages about the members' leases."""

from __future__ import annotations

import attrs

from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@peer_message("lease.renew")
@attrs.frozen
class RenewLease:
    """A node asks a core for its lease and says which versions it holds."""

    info: MemberInfo
    asked_at: float
    ready: bool
    held: dict[str, int]
    evidence_silent: bool
    """The node told no peer that it was cut off during the last lease lifetime."""
    cluster_incarnation: str
    config_version: int
    """The replica sets that the node counts by; a grant describes them only when they differ."""
    fence: int
    """The newest fencing epoch of any role that the node saw."""


@peer_message("lease.granted")
@attrs.frozen
class LeaseGranted:
    """A core's grant; it counts only for a node that holds the `required` versions."""

    asked_at: float
    config_version: int
    grantors: ReplicaConfig
    """The cores that grant; empty, like `cores`, for a node that knows `config_version`."""
    required: dict[str, int]
    chosen: dict[str, int]
    """The newest versions the core knows, so that a node notices a poll that lags."""
    cores: list[MemberInfo]
    cluster_incarnation: str
    fence: int
    """The newest fencing epoch of any role that the core knows."""


@peer_message("lease.relay")
@attrs.frozen
class RelayRenewal:
    """Ask a peer to pass a renewal on to the cores it reaches."""

    renewal: RenewLease


@peer_message("lease.relayed")
@attrs.frozen
class RelayedRenewal:
    """A renewal that came through the sender, for a node that does not reach the core itself."""

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
    """A node that lost the cores asks a peer whether it lost them as well."""

    asked_at: float


@peer_message("island.evidence")
@attrs.frozen
class PartitionEvidence:
    """The sender lost the cores too, holds these versions, and confirms nothing for a while."""

    asked_at: float
    held: dict[str, int]
    ages: bytes
    """Age of the evidence the sender collected, one byte per registered node in order of name, in
    250ths of a lease lifetime; 255 for none."""


@peer_message("lease.batch")
@attrs.frozen
class RelayedRenewals:
    """Renewals that a home core collected, for another granting core."""

    renewals: list[RenewLease]


@attrs.frozen
class NodeGrant:
    """A grant of the sender for one node."""

    node: str
    granted: LeaseGranted


@peer_message("lease.batch-grants")
@attrs.frozen
class RelayedGrants:
    """A granting core's answer to a batch of renewals."""

    grants: list[NodeGrant]


@attrs.frozen
class CoreGrant:
    """A grant of one core."""

    core: str
    granted: LeaseGranted


@peer_message("lease.grants")
@attrs.frozen
class LeaseGrants:
    """A home core's answer to a renewal: the grants of a majority, or what came in time."""

    grants: list[CoreGrant]


@peer_message("lease.redirect")
@attrs.frozen
class LeaseRedirect:
    """No grant: the sender cannot grant; `cores` are those it knows.

    With `can_grant`, a core tells a node that renewed nowhere lately that it grants.
    """

    cores: list[MemberInfo]
    reason: str
    can_grant: bool = False
