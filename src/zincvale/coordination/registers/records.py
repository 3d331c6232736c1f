"""Records of a register: a value, its position and the results of recently accepted changes."""

from __future__ import annotations

import attrs

from zincvale.coordination.changes import Rows
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import IdempotencyEntry, RecordUpdate
from zincvale.coordination.replication.replica_config import ReplicaConfig

IDEMPOTENCY_HISTORY_LIMIT = 4096
"""Maximum number of accepted changes whose results a record stores. A resend of an older change is
evaluated as a new change and may be applied a second time."""


@attrs.frozen
class Record:
    """The record of one key at one position."""

    position: Position = Position()
    config: ReplicaConfig = ReplicaConfig()
    rows: Rows = attrs.field(factory=dict)
    idempotency_entries: dict[str, IdempotencyEntry] = attrs.field(factory=dict)
    """Results of recently accepted changes by idempotency key, oldest first."""

    def to_update(self) -> RecordUpdate:
        """Return the complete record as an update."""
        return RecordUpdate(
            position=self.position,
            base=None,
            config=self.config,
            puts=self.rows,
            deletes=[],
            idempotency_entries=list(self.idempotency_entries.values()),
        )

    def reproposed_under(self, epoch: Epoch, config: ReplicaConfig) -> Record:
        """Return this record with the same value at another epoch and configuration."""
        position = Position(epoch, self.position.version)
        return attrs.evolve(self, position=position, config=config)


def apply_update(record: Record, update: RecordUpdate) -> Record | None:
    """Return the record at `update.position`, or None if `record` is not the update's base."""
    if update.base is None:
        entries = {entry.idempotency_key: entry for entry in update.idempotency_entries}
        return Record(update.position, update.config, dict(update.puts), entries)
    if update.base != record.position:
        return None
    rows = dict(record.rows)
    rows.update(update.puts)
    for row in update.deletes:
        rows.pop(row, None)
    entries = _extend_entries(record.idempotency_entries, update.idempotency_entries)
    return Record(update.position, update.config, rows, entries)


def _extend_entries(
    entries: dict[str, IdempotencyEntry], added: list[IdempotencyEntry]
) -> dict[str, IdempotencyEntry]:
    if not added:
        return entries
    result = dict(entries)
    for entry in added:
        result[entry.idempotency_key] = entry
    while len(result) > IDEMPOTENCY_HISTORY_LIMIT:
        del result[next(iter(result))]
    return result
