"""Messages between the owner of a key and its replicas."""

from __future__ import annotations

import attrs

from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.messages import peer_message


@attrs.frozen
class IdempotencyEntry:
    """Result of an accepted change: the version it produced and a digest of the change."""

    idempotency_key: str
    version: int
    digest: str


@attrs.frozen
class RecordUpdate:
    """A record at `position`: the complete record if `base` is None, else the delta from `base`."""

    position: Position
    base: Position | None
    config: ReplicaConfig
    puts: dict[str, bytes]
    deletes: list[str]
    idempotency_entries: list[IdempotencyEntry]


@peer_message("register.prepare")
@attrs.frozen
class Prepare:
    """Asks a replica to promise that it refuses every epoch of `key` below `epoch` from now on."""

    key: str
    epoch: Epoch


@peer_message("register.promise")
@attrs.frozen
class Promise:
    """A durable promise of `epoch`, with the newest record that the replica accepted."""

    key: str
    disk: str
    epoch: Epoch
    record: RecordUpdate


@peer_message("register.accept")
@attrs.frozen
class Accept:
    """Asks a replica to store `update` durably; `chosen_version` is known to be chosen."""

    key: str
    epoch: Epoch
    update: RecordUpdate
    chosen_version: int


@peer_message("register.accepted")
@attrs.frozen
class Accepted:
    """Acknowledges that the record at `position` is durable on the sender's `disk`."""

    key: str
    disk: str
    position: Position


@peer_message("register.refused")
@attrs.frozen
class Refused:
    """Refuses a request under `epoch` because the sender promised the higher epoch `promised`."""

    key: str
    epoch: Epoch
    promised: Epoch


@peer_message("register.confirm")
@attrs.frozen
class ConfirmEpoch:
    """Asks whether `epoch` is still the highest epoch that the replica promised."""

    key: str
    epoch: Epoch
    round: int


@peer_message("register.confirmed")
@attrs.frozen
class EpochConfirmed:
    """Confirms that the sender's `disk` had no promise above `epoch` when the sender responded."""

    key: str
    disk: str
    epoch: Epoch
    round: int


@peer_message("register.base-missing")
@attrs.frozen
class BaseVersionMissing:
    """Asks for the complete record because the sender lacks the base of a delta."""

    key: str
    epoch: Epoch


@peer_message("register.chosen")
@attrs.frozen
class Chosen:
    """Announces that the record at `position` was chosen: it is durable at a majority."""

    key: str
    position: Position


@peer_message("value.fetch")
@attrs.frozen
class FetchValue:
    """Asks for the chosen value of `key` if it is newer than `version`."""

    key: str
    version: int


@attrs.frozen
class TableDelta:
    """A table at `version`: complete if `base_version` is None, else the delta from it."""

    name: str
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("value.chosen")
@attrs.frozen
class ChosenValue:
    """A chosen value of a key, complete or as a delta."""

    delta: TableDelta
