"""Inputs and effects of the directory machine and of probers."""

from __future__ import annotations

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer, ServerStatus
from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.model.control_tables import Intent, ServerRow
from zincvale.model.identifiers import Address, MemberId, ServerId
from zincvale.model.machine import ClockJumped, Log, Tick


@attrs.frozen
class DirectoryRoleGained:
    """Input: this process becomes the publisher under `epoch`; `published` is the current table."""

    epoch: int
    published: TopicView


@attrs.frozen
class DirectoryRoleLost:
    """Input: this process is no longer the publisher."""


@attrs.frozen
class PlatformListed:
    """Input: the platform's list was read."""

    rows: list[PlatformServer]


@attrs.frozen
class PlatformListFailed:
    """Input: the platform's list could not be read."""

    why: str


@attrs.frozen
class StatusObserved:
    """Input: a server responded to its probe.

    Attributes
    ----------
    requested_at : lower bound of the time at which the status was taken.
    """

    server: ServerId
    status: ServerStatus
    requested_at: float


@attrs.frozen
class StatusFailed:
    """Input: a probe sent at `requested_at` failed; `refused` if no connection was made."""

    server: ServerId
    why: str
    refused: bool
    requested_at: float


@attrs.frozen
class PassiveFailureObserved:
    """Input: a node's requests fail at a server, which is therefore probed without delay."""

    server: ServerId


@attrs.frozen
class DrainingMarked:
    """Input: `ServerRow.closing` of `server` is exactly `names` from now on.

    `epoch` is the fencing epoch of the placement role.
    """

    server: ServerId
    names: frozenset[str]
    epoch: int


@attrs.frozen
class IntentChanged:
    """Input: the operators' intent; load changes of servers out of service are not delayed."""

    intent: Intent


@attrs.frozen
class ProbersChanged:
    """Input: the members that probe, including this one; if empty, this one probes alone."""

    probers: tuple[MemberId, ...]


@attrs.frozen
class Published:
    """Input: the core accepted the last publication, or refused it."""

    accepted: bool


@attrs.frozen
class PublishFailed:
    """Input: it is unknown whether the last publication was accepted."""

    why: str


DirectoryInput = (
    DirectoryRoleGained
    | DirectoryRoleLost
    | PlatformListed
    | PlatformListFailed
    | StatusObserved
    | StatusFailed
    | PassiveFailureObserved
    | DrainingMarked
    | IntentChanged
    | ProbersChanged
    | Published
    | PublishFailed
    | ClockJumped
    | Tick
)


@attrs.frozen
class FetchPlatformList:
    """Effect: read the platform's list; `PlatformListed` or `PlatformListFailed` follows."""

    timeout_s: float


@attrs.frozen
class ProbeServer:
    """Effect: request a server's status; `StatusObserved` or `StatusFailed` follows."""

    server: ServerId
    address: Address
    timeout_s: float


@attrs.frozen
class PublishRows:
    """Effect: pass `message` to the local core if the role's lease is valid at that time.

    `Published` or `PublishFailed` follows.
    """

    message: PublishTopic


@attrs.frozen
class ServerReported:
    """Effect: report one observation to the placement controller.

    Attributes
    ----------
    requested_at : lower bound of the time at which the status was taken.
    unloading : models and adapters being unloaded.
    """

    row: ServerRow
    requested_at: float
    unloading: frozenset[str] = frozenset()


@attrs.frozen
class ServerRemoved:
    """Effect: report to the placement controller that a server was removed."""

    server: ServerId


DirectoryEffect = (
    FetchPlatformList | ProbeServer | PublishRows | ServerReported | ServerRemoved | Log
)
