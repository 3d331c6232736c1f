"""Traces, schedules and reports keep the words that they derive from identifiers."""

from __future__ import annotations

import tempfile
import typing
from pathlib import Path
from typing import Any

import attrs
import orjson
import testtools
from testtools.matchers import Equals

from tests.golden.golden_file import golden
from tests.golden.message_samples import SampleBuilder
from zincvale.dataplane.inference.dependencies import ClaimDecision
from zincvale.dataplane.inference.events import ClaimDecided
from zincvale.dataplane.inference.request_trace import RequestTrace
from zincvale.fleet.figures import Figures
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.processes import UnexpectedEnd
from zincvale.simulator.schedules.run import Outcome
from zincvale.simulator.schedules.schedule import Schedule
from zincvale.simulator.schedules.schedule_files import write_schedule
from zincvale.tracing.api.explain import explain
from zincvale.tracing.chunks import TraceChunk, decode_chunks, encode_chunks
from zincvale.tracing.recorder.spans import Span
from zincvale.tracing.retention.retained_trace import RetainedTrace

CLAIMS = "claim_words.json"
REPORTS = "report_bytes.json"


class RootSpan:
    """Records the events of a request's root span."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, name: str, **attributes: Any) -> None:
        """Record an event."""
        self.events.append((name, attributes))


def full_sample(kind: Any) -> Any:
    """Return a sample of a type with every field filled."""
    return SampleBuilder(True).build(kind)


def recorded_claims() -> list[tuple[str, dict[str, Any]]]:
    """Return the trace events of all decisions on a claim, in the order of declaration."""
    root = RootSpan()
    record = RequestTrace(typing.cast(Any, None), typing.cast(Any, root))
    for kind in typing.get_args(ClaimDecision):
        record.record_input(ClaimDecided(full_sample(kind)))
    return root.events


def explanation_of(events: list[Any]) -> str:
    """Return the output of `trace why` for a root span with these events."""
    span = attrs.evolve(full_sample(Span), parent_id="", name="request", failure="", attributes={})
    plain = span.to_json()
    plain["events"] = [
        {"name": name, "offset_s": float(index), "attributes": attributes}
        for index, (name, attributes) in enumerate(events)
    ]
    trace = RetainedTrace(**{**_required_fields(), "request_id": "r"}).summary()
    return explain({"state": "kept", **trace, "spans": [plain]})


def _required_fields() -> dict[str, Any]:
    sample = SampleBuilder(False).build(RetainedTrace)
    fields = [each for each in attrs.fields(RetainedTrace) if each.init]
    return {each.alias: getattr(sample, each.name) for each in fields}


def schedule_text(schedule: Schedule) -> str:
    """Return the content of the file of a schedule."""
    with tempfile.TemporaryDirectory() as holder:
        path = Path(holder) / "schedule.json"
        write_schedule(schedule, path)
        return path.read_text(encoding="utf-8")


def reports() -> dict[str, Any]:
    """Return each stored or printed body by its external name."""
    evidence, bodies = encode_chunks([full_sample(TraceChunk), full_sample(TraceChunk)])
    return {
        "trace chunks": [evidence.decode(), bodies.hex()],
        "trace summary": orjson.dumps(SampleBuilder(False).build(RetainedTrace).summary()).decode(),
        "schedule": schedule_text(full_sample(Schedule)),
        "explored": orjson.dumps(attrs.asdict(full_sample(Outcome))).decode(),
        "report figures": orjson.dumps(attrs.asdict(full_sample(Figures))).decode(),
        "report invariant": orjson.dumps(full_sample(CheckResult).to_json()).decode(),
        "report ends": orjson.dumps(attrs.asdict(full_sample(UnexpectedEnd))).decode(),
    }


class ReportBytesTest(testtools.TestCase):
    def test_bodies_match_the_golden_file(self) -> None:
        current = reports()
        expected = golden(REPORTS, current)
        self.assertThat(sorted(current), Equals(sorted(expected)))
        for name, content in expected.items():
            self.assertThat(current[name], Equals(content), name)

    def test_golden_chunks_decode_and_encode_to_the_same_bytes(self) -> None:
        evidence, bodies = golden(REPORTS)["trace chunks"]
        again = encode_chunks(decode_chunks(evidence.encode(), bytes.fromhex(bodies)))
        self.assertThat([again[0].decode(), again[1].hex()], Equals([evidence, bodies]))


class ClaimWordsTest(testtools.TestCase):
    """A trace names a decision by its class, and the name is stored, sent and shown."""

    def test_trace_events_of_claim_decisions_match_the_golden_file(self) -> None:
        words = [[name, sorted(attributes.items())] for name, attributes in recorded_claims()]
        current = {"events": words, "told": explanation_of(recorded_claims())}
        expected = golden(CLAIMS, current)
        self.assertThat(orjson.loads(orjson.dumps(current)), Equals(expected))

    def test_golden_events_are_explained_in_the_golden_words(self) -> None:
        expected = golden(CLAIMS)
        events = [(name, dict(attributes)) for name, attributes in expected["events"]]
        self.assertThat(explanation_of(events), Equals(expected["told"]))
