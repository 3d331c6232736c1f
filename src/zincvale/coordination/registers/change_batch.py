"""Evaluation of changes, one after another, against a chosen record."""

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
class AcceptedProposal:
    """An accepted proposal; `version` is the version that its change produced."""

    token: str
    version: int


class ChangeBatch:
    """Changes that are written together; each one produces a version of its own."""

    def __init__(self, record: Record, reducer: Reducer) -> None:
        self.accepted: list[AcceptedProposal] = []
        self.entries: list[IdempotencyEntry] = []
        self._entry_by_key: dict[str, IdempotencyEntry] = {}
        self._record = record
        self._reducer = reducer
        self._rows: Rows = record.rows
        self._version = record.position.version
        self._changed_rows: dict[str, bytes | None] = {}

    def add(self, token: str, proposal: ProposeChange) -> ChangeResult | None:
        """Evaluate a change; return its rejection, or None if the change was accepted."""
        digest = change_digest(proposal)
        previous = self._entry_by_key.get(proposal.idempotency_key)
        if previous is None:
            previous = self._record.idempotency_entries.get(proposal.idempotency_key)
        if previous is not None:
            return self._accept_resent(token, previous, digest)
        if proposal.base_version is not None and proposal.base_version != self._version:
            return ChangeResult(
                CONFLICT,
                current_version=self._version,
                problem=f"built on version {proposal.base_version}, now {self._version}",
                remedy="read the current version and build the change on it",
            )
        result = self._reducer(self._rows, proposal.change)
        if isinstance(result, Failure):
            rejection = result.failure()
            return ChangeResult(
                CONFLICT if rejection.is_conflict else INVALID,
                current_version=self._version,
                problem=rejection.problem,
                remedy=rejection.remedy,
            )
        self._apply(token, proposal.idempotency_key, digest, result.unwrap())
        return None

    def finish(self, epoch: Epoch) -> tuple[Record, RecordUpdate]:
        """Return the record after all changes and the update that leads to it."""
        update = RecordUpdate(
            position=Position(epoch, self._version),
            base=self._record.position,
            config=self._record.config,
            puts={row: value for row, value in self._changed_rows.items() if value is not None},
            deletes=[row for row, value in self._changed_rows.items() if value is None],
            idempotency_entries=self.entries,
        )
        record = apply_update(self._record, update)
        assert record is not None
        return record, update

    def _accept_resent(
        self, token: str, previous: IdempotencyEntry, digest: str
    ) -> ChangeResult | None:
        if previous.digest != digest:
            return ChangeResult(
                INVALID,
                current_version=self._version,
                problem=f"order id {previous.idempotency_key!r} was used for another change",
                remedy="send a new change under a new order id",
            )
        self.accepted.append(AcceptedProposal(token, previous.version))
        return None

    def _apply(
        self, token: str, idempotency_key: str, digest: str, row_changes: Iterable[RowChange]
    ) -> None:
        changes = list(row_changes)
        self._rows = apply_changes(self._rows, changes)
        for change in changes:
            self._changed_rows[change.row] = change.value
        self._version += 1
        entry = IdempotencyEntry(idempotency_key, self._version, digest)
        self.entries.append(entry)
        self._entry_by_key[idempotency_key] = entry
        self.accepted.append(AcceptedProposal(token, self._version))


def change_digest(proposal: ProposeChange) -> str:
    """Return a digest of a proposal that tells a resend from a reused idempotency key."""
    return xxhash.xxh3_64_hexdigest(f"{proposal.base_version}:".encode() + proposal.change)
