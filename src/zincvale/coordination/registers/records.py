"""Records of a register: a value, its position and the answers of recent orders."""

from __future__ import annotations

import attrs

from zincvale.coordination.changes import Rows
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import IdempotencyEntry, RecordUpdate
from zincvale.coordination.replication.replica_config import ReplicaConfig

ORDER_HISTORY_LIMIT = 4096
"""How many accepted orders a record remembers."""


@attrs.frozen
class Record:
    """One key's record at one position."""

    position: Position = Position()
    config: ReplicaConfig = ReplicaConfig()
    rows: Rows = attrs.field(factory=dict)
    orders: dict[str, IdempotencyEntry] = attrs.field(factory=dict)

    def to_update(self) -> RecordUpdate:
        """Return the whole record as an update."""
        return RecordUpdate(
            position=self.position,
            base=None,
            config=self.config,
            puts=self.rows,
            deletes=[],
            orders=list(self.orders.values()),
        )

    def moved_to(self, epoch: Epoch, config: ReplicaConfig) -> Record:
        """Return the same value written under another epoch, for the replicas of `config`."""
        position = Position(epoch, self.position.version)
        return attrs.evolve(self, position=position, config=config)


def apply_update(record: Record, update: RecordUpdate) -> Record | None:
    """Return the record at `update.position`, or None when `record` is not the update's base."""
    if update.base is None:
        orders = {entry.order_id: entry for entry in update.orders}
        return Record(update.position, update.config, dict(update.puts), orders)
    if update.base != record.position:
        return None
    rows = dict(record.rows)
    rows.update(update.puts)
    for row in update.deletes:
        rows.pop(row, None)
    orders = _extend_orders(record.orders, update.orders)
    return Record(update.position, update.config, rows, orders)


def _extend_orders(
    orders: dict[str, IdempotencyEntry], added: list[IdempotencyEntry]
) -> dict[str, IdempotencyEntry]:
    if not added:
        return orders
    result = dict(orders)
    for entry in added:
        result[entry.order_id] = entry
    while len(result) > ORDER_HISTORY_LIMIT:
        del result[next(iter(result))]
    return result
