"""Messages between cores: heartbeats, creation of the cluster, versions that nodes applied."""

from __future__ import annotations

import attrs

from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import RecordUpdate
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@attrs.frozen
class TopicPosition:
    """The epoch and version of an ephemeral topic that a poller stores."""

    epoch: int
    version: int


@attrs.frozen
class KeyStatus:
    """The state of one key at a core."""

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
class Heartbeat:
    """Sent by a core to the others several times a second; without one it counts as failed."""

    info: MemberInfo
    disk: str
    """Random identity of the data folder."""
    cluster_incarnation: str
    """Identity of the cluster's creation; empty on a disk without records."""
    bootstrapping: bool
    voting: bool
    can_learn: bool
    """The sender has no vote and its disk takes writes."""
    keys: list[KeyStatus]
    heard: dict[str, str]
    """Incarnations of the cores whose heartbeats the sender received: proves that this one was sent
    after they started."""
    topics: dict[str, TopicPosition]
    leaving: bool = False
    """The sender was asked to stop: it owns nothing, leads nothing, and may be replaced."""
    leased_roles: list[str] = attrs.field(factory=list)
    """Roles for which the sender's grant to some holder is live."""
    number: int = 0
    """Counts the heartbeats of one process that differ in more than their topics."""


@peer_message("core.unchanged")
@attrs.frozen
class UnchangedHeartbeat:
    """Stands for the sender's last `Heartbeat`, of which only the topics changed."""

    incarnation: str
    number: int
    topics: dict[str, TopicPosition]


@peer_message("core.ask-status")
@attrs.frozen
class RequestHeartbeat:
    """The sender lacks the heartbeat that an `UnchangedHeartbeat` stands for: send it complete."""


@peer_message("core.ask")
@attrs.frozen
class RequestCores:
    """Request the cores that a process knows; the response is a `LeaseRedirect`."""


@peer_message("core.create")
@attrs.frozen
class CreateCluster:
    """The first record of a new cluster, for an empty disk with the named identity."""

    disk: str
    update: RecordUpdate


@peer_message("held.report")
@attrs.frozen
class AppliedVersionsReport:
    """Every node with a live lease at the sender has applied `version` of `key`.

    `nodes` are those that confirmed and gave no recent evidence of a partition; `chosen` are the
    sender's newest versions of the delivered keys, `config_version` that of its replica sets.
    """

    key: str
    version: int
    nodes: list[str]
    chosen: dict[str, int]
    config_version: int
