"""Tests of `trace show`, `trace why` and `trace find` against approved transcripts."""

from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from tests.tracing.builders import HERE, Recording, collector_table
from zincvale.tracing.api.explain import explain
from zincvale.tracing.api.render import render_table, render_tree
from zincvale.tracing.collector.effects import RetainTrace
from zincvale.tracing.collector.policies import ERROR_POLICY, SLOW_POLICY, Verdict
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.retention.retained_store import RetainedTraceStore
from zincvale.tracing.retention.trace_replicator import TraceReplicator

APPROVED = Path(__file__).parent / "approved"


def record_retried_quote(run):
    """Record a request that is queued, fails at one server and succeeds at the next."""
    root = run.recorder.start("request", attributes={"route": "quotes"})
    root.set("request_id", "quote-17\x1b[2J")
    root.set("model", "tariff-7b")
    root.event("hold", reason="16 of 16 running at every server")
    run.now += 0.012
    root.event("release", waited_ms=12.0)
    root.event("claim", decision="ClaimGranted")
    for attempt, server in enumerate(("model-server-2", "model-server-5"), 1):
        dispatch = run.recorder.start("dispatch", root.context)
        dispatch.set("attempt", attempt)
        dispatch.set("server", server)
        dispatch.event(
            "policy", policy="zone-exclusion", kind="filter", kept=4, reason="zone is evacuated"
        )
        dispatch.event(
            "policy", policy="least-outstanding", kind="score", kept=4, reason=f"{server} has 0"
        )
        run.now += 0.004
        if attempt == 1:
            dispatch.error("connection refused")
        dispatch.end()
        if attempt == 1:
            root.event("retry", cause="the connection was not established, so it did not run")
    root.set("server", "model-server-5")
    root.set("held_ms", 12.0)
    root.set("retries", 1)
    root.set("outcome", "answered")
    root.end()


def record_order(run):
    """Record an order to load a model that is completed after ninety seconds."""
    root = run.recorder.start(
        "order",
        attributes={
            "order_id": "o-4",
            "action": "load",
            "name": "tariff-7b",
            "server": "model-server-1",
            "reason": "demand",
        },
    )
    root.event("sent", epoch=3)
    run.now += 90.0
    root.event("completed", observed="loaded")
    root.end()


def retain(run, verdict, is_error):
    """Return the retained trace of the recorded spans, as the trace API returns it."""
    store = RetainedTraceStore(10**6, 3600.0)
    replicator = TraceReplicator(HERE, TracingConfig(), collector_table(HERE), store, run.now)
    replicator.handle(RetainTrace(run.chunks, verdict, is_error), run.now)
    [trace] = store.rows()
    return {"state": "kept", **trace.to_json()}


class Transcripts(TestCase):
    def setUp(self):
        super().setUp()
        self.quote, self.order = Recording(), Recording(seed=6)
        record_retried_quote(self.quote)
        record_order(self.order)

    def assert_approved(self, name, text):
        self.assertThat(text + "\n", Equals((APPROVED / name).read_text(encoding="utf-8")))

    def test_transcripts_of_a_retried_request(self):
        trace = retain(self.quote, Verdict(ERROR_POLICY, 1.0), True)
        self.assert_approved("quote-show.txt", render_tree(trace))
        self.assert_approved("quote-why.txt", explain(trace))

    def test_transcripts_of_an_order(self):
        trace = retain(self.order, Verdict(SLOW_POLICY, 1.0), False)
        self.assert_approved("order-show.txt", render_tree(trace))
        self.assert_approved("order-why.txt", explain(trace))

    def test_transcript_of_a_search(self):
        rows = [
            retain(self.quote, Verdict(ERROR_POLICY, 1.0), True),
            retain(self.order, Verdict(SLOW_POLICY, 1.0), False),
        ]
        self.assert_approved("find.txt", render_table(rows))

    def test_explanation_of_a_trace_without_its_root(self):
        trace = retain(self.quote, Verdict(ERROR_POLICY, 1.0), True)
        trace["spans"] = [span for span in trace["spans"] if span["parent_id"]]
        self.assert_approved("no-root-why.txt", explain({**trace, "state": "pending"}))
