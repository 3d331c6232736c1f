"""Encoding of the state that a replica stores of a key, as version files.

The first byte of a file marks it as a snapshot (`S`) or as a delta on the previous file (`D`). The
storage layer reads only this byte, to determine which older files are still needed.
"""

from __future__ import annotations

import io
from typing import Any

import attrs
import fastavro

from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import IdempotencyEntry, RecordUpdate
from zincvale.coordination.registers.records import Record, apply_update
from zincvale.coordination.replication.replica_config import ReplicaConfig

SNAPSHOT_MARK = b"S"
DELTA_MARK = b"D"

_EPOCH = {
    "type": "record",
    "name": "Epoch",
    "fields": [{"name": "number", "type": "long"}, {"name": "owner", "type": "string"}],
}
_POSITION = {
    "type": "record",
    "name": "Position",
    "fields": [{"name": "epoch", "type": _EPOCH}, {"name": "version", "type": "long"}],
}
_IDEMPOTENCY_ENTRY = {
    "type": "record",
    "name": "Order",
    "fields": [
        {"name": "order_id", "type": "string"},
        {"name": "version", "type": "long"},
        {"name": "digest", "type": "string"},
    ],
}
_FILE_SCHEMA = fastavro.parse_schema(
    {
        "type": "record",
        "name": "RecordFile",
        "fields": [
            {"name": "position", "type": _POSITION},
            {"name": "promised", "type": "Epoch"},
            {"name": "replicas", "type": {"type": "array", "items": "string"}},
            {"name": "previous", "type": {"type": "array", "items": "string"}},
            {"name": "puts", "type": {"type": "map", "values": "bytes"}},
            {"name": "deletes", "type": {"type": "array", "items": "string"}},
            {"name": "orders", "type": {"type": "array", "items": _IDEMPOTENCY_ENTRY}},
        ],
    }
)


@attrs.frozen
class StoredKeyState:
    """State that a replica stores of one key: its promise and its newest accepted record."""

    promised: Epoch = Epoch()
    record: Record = Record()


def encode_snapshot(state: StoredKeyState) -> bytes:
    """Return the content of a file that stores the complete state."""
    return SNAPSHOT_MARK + _encode(state.promised, state.record.to_update())


def encode_delta(promised: Epoch, update: RecordUpdate) -> bytes:
    """Return the content of a file that stores the difference from the previous file's state."""
    return DELTA_MARK + _encode(promised, update)


def decode_chain(contents: list[bytes]) -> StoredKeyState:
    """Return the state stored by a snapshot and the deltas that follow it.

    Raises
    ------
    ValueError
        A delta cannot be applied to the record before it.
    """
    state = StoredKeyState()
    for content in contents:
        fields = _decode(content[1:])
        position = _position(fields["position"])
        is_snapshot = content[:1] == SNAPSHOT_MARK
        update = RecordUpdate(
            position=position,
            base=None if is_snapshot else state.record.position,
            config=ReplicaConfig(fields["replicas"], fields["previous"]),
            puts=fields["puts"],
            deletes=fields["deletes"],
            idempotency_entries=[_idempotency_entry(entry) for entry in fields["orders"]],
        )
        record = apply_update(state.record, update)
        if record is None:
            raise ValueError("a delta file cannot be applied to the record before it")
        state = StoredKeyState(_epoch(fields["promised"]), record)
    return state


def _encode(promised: Epoch, update: RecordUpdate) -> bytes:
    buffer = io.BytesIO()
    fields = {
        "position": attrs.asdict(update.position),
        "promised": attrs.asdict(promised),
        "replicas": update.config.replicas,
        "previous": update.config.previous,
        "puts": update.puts,
        "deletes": update.deletes,
        "orders": [_entry_fields(entry) for entry in update.idempotency_entries],
    }
    fastavro.schemaless_writer(buffer, _FILE_SCHEMA, fields)
    return buffer.getvalue()


def _entry_fields(entry: IdempotencyEntry) -> dict[str, Any]:
    return {
        "order_id": entry.idempotency_key,
        "version": entry.version,
        "digest": entry.digest,
    }


def _idempotency_entry(fields: dict[str, Any]) -> IdempotencyEntry:
    return IdempotencyEntry(fields["order_id"], fields["version"], fields["digest"])


def _decode(body: bytes) -> Any:
    return fastavro.schemaless_reader(io.BytesIO(body), _FILE_SCHEMA, None)


def _epoch(fields: dict[str, Any]) -> Epoch:
    return Epoch(fields["number"], fields["owner"])


def _position(fields: dict[str, Any]) -> Position:
    return Position(_epoch(fields["epoch"]), fields["version"])
