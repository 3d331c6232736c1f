"""Rows, declared types and JSON bodies whose keys come from attribute names keep their bytes.

The golden files contain no class names: rows are listed by their name on the wire or on disk,
declared types by the table that they are declared in, or sorted by their text.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import orjson
import testtools
from testtools.matchers import Equals

from tests.golden.every_module import import_every_module, is_own
from tests.golden.golden_file import golden
from tests.golden.message_samples import SampleBuilder
from zincvale.controlplane.directory.row_codec import decode_server_row, encode_server_row
from zincvale.controlplane.documents.changes import DocumentChange, encode_change
from zincvale.controlplane.documents.rows import DocumentDecoder, encode_item
from zincvale.controlplane.intent.row_codec import decode_spec, encode_intent, encode_spec
from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.move_row_codec import decode_move, encode_move
from zincvale.controlplane.placement.moves import Move
from zincvale.controlplane.status.conditions import Condition
from zincvale.coordination.membership import registry
from zincvale.coordination.membership.member_codec import decode_member, encode_member
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.messages import RecordUpdate
from zincvale.coordination.registers.record_codec import (
    StoredKeyState,
    decode_chain,
    encode_delta,
    encode_snapshot,
)
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.coordination.replication.replica_set_changes import (
    join_change,
    keys_change,
    replace_change,
)
from zincvale.coordination.replication.replica_sets import (
    CoreRow,
    KeyRow,
    decode_replica_sets,
    encode_core,
    encode_group,
    encode_key,
)
from zincvale.fleet.invariants.rows import ROW_BY_EVENT
from zincvale.model.checked import Checked
from zincvale.model.control_tables import Intent, Role, ServerRow
from zincvale.model.forwarding import CallerLimits, ForwardPool, ForwardRoute
from zincvale.model.resources import SPEC_BY_KIND
from zincvale.tracing.api.estimates import Estimate
from zincvale.tracing.recorder.spans import Span, decode_spans, encode_rows

ROWS = "row_bytes.json"
DECLARED = "declared_types.json"
JOURNAL = "journal_rows.json"
OFFSET_S = 1000.0
"""Offset that converts the times of a move to Unix time."""


def full_sample(kind: Any) -> Any:
    """Return a sample of a type with every field filled."""
    return SampleBuilder(True).build(kind)


def minimal_sample(kind: Any) -> Any:
    """Return a sample of a type with only its required fields filled."""
    return SampleBuilder(False).build(kind)


def encoded_samples(kind: Any, encode: Callable[[Any], bytes]) -> list[str]:
    """Return the encoded minimal and full samples as text."""
    return [encode(sample(kind)).decode() for sample in (minimal_sample, full_sample)]


def span_body(span: Span) -> bytes:
    """Return the compact body of one span."""
    return encode_rows([span.to_row()])


def intent_rows() -> dict[str, str]:
    """Return an encoded row of every kind of resource, with every field filled."""
    tables = full_sample(Intent)
    return {row: content.decode() for row, content in sorted(encode_intent(tables).items())}


def document_items() -> dict[str, str]:
    """Return the document rows of a route, a pool and the limits, with every field filled."""
    kinds = {"route/r": ForwardRoute, "pool/p": ForwardPool, "limits": CallerLimits}
    return {
        row: encode_item(7, full_sample(kind).to_dict(), {"as": "written"}).decode()
        for row, kind in kinds.items()
    }


def rows() -> dict[str, Any]:
    """Return every row and body by its external name."""
    info, config = full_sample(MemberInfo), full_sample(ReplicaConfig)
    node = attrs.evolve(info, role=Role.NODE.value)
    snapshot = encode_snapshot(full_sample(StoredKeyState))
    delta = encode_delta(full_sample(Epoch), full_sample(RecordUpdate))
    return {
        "core/": encoded_samples(CoreRow, encode_core),
        "group/": encoded_samples(ReplicaConfig, encode_group),
        "key/": encoded_samples(KeyRow, encode_key),
        "op join": join_change(info, "disk").decode(),
        "op replace": replace_change("a", "b").decode(),
        "op keys": keys_change(config.replicas).decode(),
        "registry": encoded_samples(registry.RegistryRow, registry.encode_row),
        "registry open": registry.open_change([info], ["n"]).decode(),
        "registry close": registry.close_change().decode(),
        "members": encode_member(node, True).decode(),
        "directory": encoded_samples(ServerRow, encode_server_row),
        "moves": encoded_samples(Move, lambda move: encode_move(move, OFFSET_S)),
        "file S": snapshot.hex(),
        "file D": delta.hex(),
        "intent": intent_rows(),
        "document": document_items(),
        "document change": encoded_samples(DocumentChange, encode_change),
        "span": encoded_samples(Span, span_body),
        "span json": encoded_samples(Span, lambda span: orjson.dumps(span.to_json())),
        "estimate json": encoded_samples(Estimate, lambda each: orjson.dumps(each.to_json())),
        "condition json": encoded_samples(Condition, lambda each: orjson.dumps(each.to_json())),
    }


class RowBytesTest(testtools.TestCase):
    def test_rows_match_the_golden_file(self) -> None:
        current = rows()
        expected = golden(ROWS, current)
        self.assertThat(sorted(current), Equals(sorted(expected)))
        for name, content in expected.items():
            self.assertThat(current[name], Equals(content), name)

    def test_golden_rows_of_replica_sets_decode_and_encode_to_the_same_bytes(self) -> None:
        expected = golden(ROWS)
        for index in range(2):
            texts = {prefix: expected[prefix][index] for prefix in ("core/", "group/", "key/")}
            sets = decode_replica_sets(
                1, {f"{prefix}x": text.encode() for prefix, text in texts.items()}
            )
            again = {
                "core/": [encode_core(row) for row in sets.cores.values()],
                "group/": [encode_group(row) for row in sets.groups.values()],
                "key/": [encode_key(row) for row in sets.keys.values()],
            }
            self.assertThat(
                again, Equals({prefix: [text.encode()] for prefix, text in texts.items()})
            )

    def test_golden_topic_rows_decode_and_encode_to_the_same_bytes(self) -> None:
        expected = golden(ROWS)
        for text in expected["directory"]:
            row = decode_server_row("s", text.encode())
            self.assertThat(encode_server_row(row).decode(), Equals(text))
        for text in expected["moves"]:
            self.assertThat(encode_move(decode_move(text.encode())).decode(), Equals(text))
        for text in expected["registry"]:
            row = registry.decode_row(text.encode())
            self.assertThat(registry.encode_row(row).decode(), Equals(text))
        for text in expected["span"]:
            [span] = decode_spans(text.encode())
            self.assertThat(span_body(span).decode(), Equals(text))

    def test_golden_intent_rows_decode_and_encode_to_the_same_bytes(self) -> None:
        texts = golden(ROWS)["intent"]
        kinds = {row.partition("/")[0] for row in texts}
        self.assertThat(kinds, Equals(set(SPEC_BY_KIND)))
        for row, text in texts.items():
            kind, _, name = row.partition("/")
            spec = decode_spec(kind, name, text.encode())
            self.assertThat(encode_spec(spec.to_dict()).decode(), Equals(text), row)

    def test_golden_document_rows_decode_and_encode_to_the_same_bytes(self) -> None:
        texts = golden(ROWS)["document"]
        contents = {row: text.encode() for row, text in texts.items()}
        document = DocumentDecoder().update(1, contents)
        specs = {
            "route/r": document.routes["r"],
            "pool/p": document.pools["p"],
            "limits": document.limits,
        }
        again = {
            row: encode_item(7, spec.to_dict(), {"as": "written"}).decode()
            for row, spec in specs.items()
        }
        self.assertThat(again, Equals(texts))

    def test_a_golden_snapshot_decodes_to_the_same_state(self) -> None:
        snapshot = bytes.fromhex(golden(ROWS)["file S"])
        state, sample = decode_chain([snapshot]), full_sample(StoredKeyState)
        self.assertThat(state.promised, Equals(sample.promised))
        self.assertThat(state.record.to_update(), Equals(sample.record.to_update()))
        by_id = {
            entry.idempotency_key: entry for entry in sample.record.idempotency_entries.values()
        }
        self.assertThat(state.record.idempotency_entries, Equals(by_id))
        self.assertThat(encode_snapshot(state), Equals(snapshot))

    def test_a_golden_difference_extends_a_golden_snapshot(self) -> None:
        expected = golden(ROWS)
        chain = [bytes.fromhex(expected[name]) for name in ("file S", "file D")]
        state = decode_chain(chain)
        self.assertThat(state.promised, Equals(full_sample(Epoch)))
        self.assertThat(state.record.position, Equals(full_sample(RecordUpdate).position))

    def test_the_golden_member_row_decodes_to_its_member(self) -> None:
        row = decode_member("m", golden(ROWS)["members"].encode())
        shown = [row.role.value, row.zone, row.api_address, row.peer_address, row.incarnation]
        self.assertThat([*shown, row.ready], Equals(orjson.loads(golden(ROWS)["members"])))

    def test_item_kinds_keep_their_values(self) -> None:
        self.assertThat([each.value for each in ItemKind], Equals(["model", "adapter"]))


class DeclaredTypesTest(testtools.TestCase):
    """Types that are read from files and request bodies keep their fields and defaults."""

    def test_fields_and_defaults_of_declared_types_match_the_golden_file(self) -> None:
        import_every_module()
        current = sorted(_text_of(kind) for kind in _declared_types())
        self.assertThat(current, Equals(golden(DECLARED, current)))

    def test_fields_of_journal_rows_match_the_golden_file(self) -> None:
        current = {event: list(attrs.fields_dict(kind)) for event, kind in ROW_BY_EVENT.items()}
        self.assertThat(current, Equals(golden(JOURNAL, current)))


def _declared_types() -> set[type[Checked]]:
    found: set[type[Checked]] = set()
    waiting: list[type[Checked]] = [Checked]
    while waiting:
        subclasses = [each for each in waiting.pop().__subclasses__() if is_own(each)]
        found.update(subclasses)
        waiting.extend(subclasses)
    return found


def _text_of(kind: type[Checked]) -> str:
    """Return the minimal and the full sample of a type as JSON, in the order of the fields."""
    plain = [sample(kind).to_dict() for sample in (minimal_sample, full_sample)]
    return orjson.dumps(plain).decode()
