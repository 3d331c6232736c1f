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
    """A record at `position`: complete when `base` is None, else the difference from `base`."""

    position: Position
    base: Position | None
    config: ReplicaConfig
    puts: dict[str, bytes]
    deletes: list[str]
    idempotency_entries: list[IdempotencyEntry]


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
class BaseVersionMissing:
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
