"""Messages between cores: heartbeats, cluster creation and the versions that nodes applied."""

from __future__ import annotations

import attrs

from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import RecordUpdate
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@attrs.frozen
class TopicPosition:
    """The epoch and version of an ephemeral topic that a process stores."""

    epoch: int
    version: int


@attrs.frozen
class KeyStatus:
    """State of one key at the core that sends it."""

    key: str
    promised: Epoch
    accepted: Position
    chosen_version: int
    owned_epoch: Epoch | None
    """The epoch under which the sender serves the key; None if it does not."""
    config: ReplicaConfig
    """The configuration of the record at the owner; empty if the sender is not the owner."""


@peer_message("core.status")
@attrs.frozen
class Heartbeat:
    """Sent by a core to the other cores several times a second; its absence counts as a failure."""

    info: MemberInfo
    disk: str
    """Random identity of the sender's data folder."""
    cluster_incarnation: str
    """Random identity that the cluster got at its creation; empty on a disk without records."""
    bootstrapping: bool
    voting: bool
    can_learn: bool
    """Whether the sender could become a replica: it has no vote and its disk accepts writes."""
    keys: list[KeyStatus]
    heard: dict[str, str]
    """Incarnations of the cores whose heartbeats the sender received, by member. They prove to each
    of these cores that this heartbeat was sent after its start."""
    topics: dict[str, TopicPosition]
    leaving: bool = False
    """Whether the sender was asked to stop: it owns no key, holds no role and may be replaced."""
    leased_roles: list[str] = attrs.field(factory=list)
    """Roles for which the sender has granted a lease that has not expired."""
    number: int = 0
    """Number that a process increases when its heartbeat changes in more than its topics."""


@peer_message("core.unchanged")
@attrs.frozen
class UnchangedHeartbeat:
    """Represents the sender's last full `Heartbeat`, of which only the topics have changed."""

    incarnation: str
    number: int
    topics: dict[str, TopicPosition]


@peer_message("core.ask-status")
@attrs.frozen
class RequestHeartbeat:
    """Asks for the full heartbeat that an `UnchangedHeartbeat` represents and the sender lacks."""


@peer_message("core.ask")
@attrs.frozen
class RequestCores:
    """Asks for the cores that a process knows; the response is a `LeaseRedirect`."""


@peer_message("core.create")
@attrs.frozen
class CreateCluster:
    """The first record of a new cluster, for the empty disk with the identity `disk`."""

    disk: str
    update: RecordUpdate


@peer_message("held.report")
@attrs.frozen
class AppliedVersionsReport:
    """Reports that every node with a live lease at the sender has applied `version` of `key`.

    Attributes
    ----------
    nodes : the nodes that confirmed the version and gave no recent evidence of a partition.
    chosen : the newest versions of the delivered keys that the sender knows to be chosen.
    config_version : the version of the replica sets that the sender uses.
    """

    key: str
    version: int
    nodes: list[str]
    chosen: dict[str, int]
    config_version: int
