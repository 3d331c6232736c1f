"""Messages between the processes of a cluster."""

from __future__ import annotations

import attrs

from zincvale.coordination.epochs import Epoch, Position
from zincvale.coordination.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@attrs.frozen
class MemberInfo:
    """Who a process is and how it is reached."""

    member: str
    role: str
    zone: str
    api_address: str
    peer_address: str
    incarnation: str


@attrs.frozen
class OrderEntry:
    """The remembered answer of one accepted order: the version it made, a digest of its body."""

    order_id: str
    version: int
    digest: str


@attrs.frozen
class RecordUpdate:
    """A record at `position`: whole when `base` is None, else the difference from `base`."""

    position: Position
    base: Position | None
    config: ReplicaConfig
    puts: dict[str, bytes]
    deletes: list[str]
    orders: list[OrderEntry]


# --- register ---------------------------------------------------------------------------------


@peer_message("register.prepare")
@attrs.frozen
class Prepare:
    """Ask a replica to refuse every epoch below `epoch` of `key`, for ever."""

    key: str
    epoch: Epoch


@peer_message("register.promise")
@attrs.frozen
class Promise:
    """A durable promise, with the newest record the replica accepted."""

    key: str
    disk: str
    epoch: Epoch
    record: RecordUpdate


@peer_message("register.accept")
@attrs.frozen
class Accept:
    """Ask a replica to make `update` durable; `chosen_version` is known to be chosen."""

    key: str
    epoch: Epoch
    update: RecordUpdate
    chosen_version: int


@peer_message("register.accepted")
@attrs.frozen
class Accepted:
    """The record at `position` is durable on the sender's `disk`."""

    key: str
    disk: str
    position: Position


@peer_message("register.refused")
@attrs.frozen
class Refused:
    """A replica holds a promise to a higher epoch."""

    key: str
    epoch: Epoch
    promised: Epoch


@peer_message("register.confirm")
@attrs.frozen
class ConfirmEpoch:
    """Ask a replica whether `epoch` is still the highest it promised."""

    key: str
    epoch: Epoch
    round: int


@peer_message("register.confirmed")
@attrs.frozen
class EpochConfirmed:
    """No higher epoch was promised on the sender's `disk` when it answered."""

    key: str
    disk: str
    epoch: Epoch
    round: int


@peer_message("register.base-missing")
@attrs.frozen
class BaseMissing:
    """A replica cannot apply a difference; send the whole record."""

    key: str
    epoch: Epoch


@peer_message("register.chosen")
@attrs.frozen
class Chosen:
    """The record at `position` is durable at a majority."""

    key: str
    position: Position


@peer_message("value.fetch")
@attrs.frozen
class FetchValue:
    """Ask for a chosen value newer than `version`."""

    key: str
    version: int


@attrs.frozen
class TableDelta:
    """A table at `version`: whole when `base_version` is None, else a difference."""

    name: str
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("value.chosen")
@attrs.frozen
class ChosenValue:
    """A chosen value, whole or as a difference."""

    delta: TableDelta


@attrs.frozen
class TopicPosition:
    """The epoch and version of a soft topic that a poller holds."""

    epoch: int
    version: int


# --- cores among each other -------------------------------------------------------------------


@attrs.frozen
class KeyStatus:
    """Where a core stands with one key."""

    key: str
    promised: Epoch
    accepted: Position
    chosen_version: int
    owned_epoch: Epoch | None
    """The epoch under which the sender serves the key."""
    config: ReplicaConfig
    """The owner's configuration of the record; empty from others."""


@peer_message("core.status")
@attrs.frozen
class CoreStatus:
    """What a core tells the others several times a second."""

    info: MemberInfo
    disk: str
    """Random identity of the data folder."""
    cluster_incarnation: str
    """Identity of the cluster's creation; empty on a disk that holds no records."""
    bootstrapping: bool
    voting: bool
    can_learn: bool
    """The sender has no vote and its disk takes writes."""
    keys: list[KeyStatus]
    heard: dict[str, str]
    """Incarnations of the cores the sender heard: proves that it spoke after they started."""
    topics: dict[str, TopicPosition]
    leaving: bool = False
    """The sender was asked to stop: it owns nothing, leads nothing, and may be replaced."""
    held_roles: list[str] = attrs.field(factory=list)
    """Roles for which the sender's grant to some holder is live."""


@peer_message("core.create")
@attrs.frozen
class CreateCluster:
    """The first record of a new cluster, for an empty disk with the named identity."""

    disk: str
    update: RecordUpdate


@peer_message("held.report")
@attrs.frozen
class HeldReport:
    """Every node with a live lease at the sender holds `version` of `key`.

    `nodes` are those that confirmed and gave no evidence of being cut off lately; `chosen` are the
    sender's newest versions of the delivered keys, `config_version` that of its replica sets.
    """

    key: str
    version: int
    nodes: list[str]
    chosen: dict[str, int]
    config_version: int


# --- changes ----------------------------------------------------------------------------------


@peer_message("change.propose")
@attrs.frozen
class ProposeChange:
    """Change `key`; the same `order_id` sent again gets its first answer."""

    key: str
    order_id: str
    base_version: int | None
    change: bytes


@peer_message("replica.replace")
@attrs.frozen
class ReplaceReplica:
    """Replace the replica on core `remove` by one on core `add`; answered by `ChangeResult`."""

    remove: str
    add: str


@peer_message("change.forward")
@attrs.frozen
class ForwardChange:
    """A change handed by another core to the owner it believes in."""

    proposal: ProposeChange
    limit_s: float


@peer_message("change.result")
@attrs.frozen
class ChangeResult:
    """Answer to a change: `in-force`, `conflict`, `invalid` or `not-confirmed`."""

    status: str
    version: int = 0
    current_version: int = 0
    problem: str = ""
    remedy: str = ""


IN_FORCE = "in-force"
CONFLICT = "conflict"
INVALID = "invalid"
NOT_CONFIRMED = "not-confirmed"
NOT_OWNER = "not-owner"
"""Between cores only: the change was not taken; route it anew."""

# --- member leases ----------------------------------------------------------------------------


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
class IslandProbe:
    """A node that lost the cores asks a peer whether it lost them as well."""

    asked_at: float


@peer_message("island.evidence")
@attrs.frozen
class IslandEvidence:
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


# --- leader leases ----------------------------------------------------------------------------


@peer_message("role.ask")
@attrs.frozen
class AskRole:
    """Ask a grantor for the lease of `role` at the fencing `epoch`."""

    role: str
    epoch: int
    asked_at: float


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
    asked_at: float
    config_version: int
    """The grantor's replica sets; a holder that knows only older ones does not count the grant."""


@peer_message("role.refused")
@attrs.frozen
class RoleRefused:
    """Another holder has the lease, or the epoch is old."""

    role: str
    epoch: int
    newest_epoch: int


# --- delivery ---------------------------------------------------------------------------------


@attrs.frozen
class TopicDelta:
    """A soft topic at `(epoch, version)`: whole when `base_version` is None."""

    topic: str
    epoch: int
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("topic.publish")
@attrs.frozen
class PublishTopic:
    """Change a soft topic under the fencing epoch of the publishing role.

    The first publication under a new epoch, or with `replace`, replaces all rows.
    """

    topic: str
    epoch: int
    puts: dict[str, bytes]
    deletes: list[str]
    replace: bool = False


@peer_message("topic.published")
@attrs.frozen
class TopicPublished:
    """Answer to `PublishTopic`: whether the epoch was accepted."""

    accepted: bool
    epoch: int
    version: int


@peer_message("topic.update")
@attrs.frozen
class TopicUpdate:
    """A topic's change on its way to the other cores."""

    delta: TopicDelta


@peer_message("topic.fetch")
@attrs.frozen
class FetchTopic:
    """Ask for a topic newer than what the sender holds."""

    topic: str
    epoch: int
    version: int


@peer_message("poll")
@attrs.frozen
class Poll:
    """Long poll: answered when anything is newer than what the poller holds."""

    keys: dict[str, int]
    members_source: str
    members_version: int
    topics: dict[str, TopicPosition]


@peer_message("poll.answer")
@attrs.frozen
class PollAnswer:
    """What is newer; `members_source` names whose member table it is."""

    keys: list[TableDelta]
    topics: list[TopicDelta]
    members_source: str
    members: TableDelta | None
    isolated: bool = False
    """The sender does not hear a majority of the cores: poll another one."""
