"""Evaluation of changes, one after the other, on top of a chosen record."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash
from returns.result import Failure

from zincvale.coordination.changes import Reducer, RowChange, Rows, apply_changes
from zincvale.coordination.registers.change_messages import (
    CONFLICT,
    INVALID,
    ChangeResult,
    ProposeChange,
)
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import IdempotencyEntry, RecordUpdate
from zincvale.coordination.registers.records import Record, apply_update


@attrs.frozen
class AcceptedChange:
    """An order whose change is part of the record at `version`."""

    token: str
    version: int


class ChangeBatch:
    """Changes that go together in one write, each with its own version."""

    def __init__(self, record: Record, reducer: Reducer) -> None:
        self.orders: list[AcceptedChange] = []
        self.entries: list[IdempotencyEntry] = []
        self._entry_by_order: dict[str, IdempotencyEntry] = {}
        self._record = record
        self._reducer = reducer
        self._rows: Rows = record.rows
        self._version = record.position.version
        self._touched: dict[str, bytes | None] = {}

    def add(self, token: str, proposal: ProposeChange) -> ChangeResult | None:
        """Evaluate one change; return its refusal, or None when it is part of the batch."""
        digest = change_digest(proposal)
        known = self._entry_by_order.get(proposal.order_id)
        if known is None:
            known = self._record.orders.get(proposal.order_id)
        if known is not None:
            return self._answer_again(token, known, digest)
        if proposal.base_version is not None and proposal.base_version != self._version:
            return ChangeResult(
                CONFLICT,
                current_version=self._version,
                problem=f"built on version {proposal.base_version}, now {self._version}",
                remedy="read the current version and build the change on it",
            )
        result = self._reducer(self._rows, proposal.change)
        if isinstance(result, Failure):
            refused = result.failure()
            return ChangeResult(
                CONFLICT if refused.is_conflict else INVALID,
                current_version=self._version,
                problem=refused.problem,
                remedy=refused.remedy,
            )
        self._take(token, proposal.order_id, digest, result.unwrap())
        return None

    def finish(self, epoch: Epoch) -> tuple[Record, RecordUpdate]:
        """Return the record after the batch and its difference from the one before."""
        update = RecordUpdate(
            position=Position(epoch, self._version),
            base=self._record.position,
            config=self._record.config,
            puts={row: value for row, value in self._touched.items() if value is not None},
            deletes=[row for row, value in self._touched.items() if value is None],
            orders=self.entries,
        )
        record = apply_update(self._record, update)
        assert record is not None
        return record, update

    def _answer_again(
        self, token: str, known: IdempotencyEntry, digest: str
    ) -> ChangeResult | None:
        if known.digest != digest:
            return ChangeResult(
                INVALID,
                current_version=self._version,
                problem=f"order id {known.order_id!r} was used for another change",
                remedy="send a new change under a new order id",
            )
        self.orders.append(AcceptedChange(token, known.version))
        return None

    def _take(
        self, token: str, order_id: str, digest: str, row_changes: Iterable[RowChange]
    ) -> None:
        changes = list(row_changes)
        self._rows = apply_changes(self._rows, changes)
        for change in changes:
            self._touched[change.row] = change.value
        self._version += 1
        entry = IdempotencyEntry(order_id, self._version, digest)
        self.entries.append(entry)
        self._entry_by_order[order_id] = entry
        self.orders.append(AcceptedChange(token, self._version))


def change_digest(proposal: ProposeChange) -> str:
    """Return a digest of what an order asks, to tell a resend from a reused id."""
    return xxhash.xxh3_64_hexdigest(f"{proposal.base_version}:".encode() + proposal.change)
