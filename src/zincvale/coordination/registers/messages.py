"""Messages between the owner of a key and its replicas."""

from __future__ import annotations

import attrs

from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@attrs.frozen
class IdempotencyEntry:
    """The remembered result of one accepted change: the version it made, a digest of its body."""

    idempotency_key: str
    version: int
    digest: str


@attrs.frozen
class RecordUpdate:
    """A record at `position`: complete when `base` is None, else the delta from `base`."""

    position: Position
    base: Position | None
    config: ReplicaConfig
    puts: dict[str, bytes]
    deletes: list[str]
    idempotency_entries: list[IdempotencyEntry]


@peer_message("register.prepare")
@attrs.frozen
class Prepare:
    """Request that a replica refuse every epoch below `epoch` of `key`, for ever."""

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
    """Request that a replica make `update` durable; `chosen_version` is known to be chosen."""

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
    """The sender promised a higher epoch."""

    key: str
    epoch: Epoch
    promised: Epoch


@peer_message("register.confirm")
@attrs.frozen
class ConfirmEpoch:
    """Request whether `epoch` is still the highest that the replica promised."""

    key: str
    epoch: Epoch
    round: int


@peer_message("register.confirmed")
@attrs.frozen
class EpochConfirmed:
    """No higher epoch was promised on the sender's `disk` when it responded."""

    key: str
    disk: str
    epoch: Epoch
    round: int


@peer_message("register.base-missing")
@attrs.frozen
class BaseVersionMissing:
    """The sender cannot apply a delta; send the complete record."""

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
    """Request a chosen value newer than `version`."""

    key: str
    version: int


@attrs.frozen
class TableDelta:
    """A table at `version`: complete when `base_version` is None, else a delta."""

    name: str
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("value.chosen")
@attrs.frozen
class ChosenValue:
    """A chosen value, complete or as a delta."""

    delta: TableDelta
