"""Digests of the forwarding model: requests to servers and responses to callers, with times."""

from __future__ import annotations

import contextlib
from functools import partial
from typing import Any

from tests.golden.decision_log import DecisionLog, calls_observed
from zincvale.simulator.forwarding.model import CallerSink, ForwardingModel
from zincvale.simulator.forwarding.servers import ModelClient, ModelExchange

FORWARDING_SEEDS = range(1, 201)


@contextlib.contextmanager
def _traffic_recorded(log: DecisionLog) -> Any:
    def record_start(
        client: Any, address: Any, incarnation: Any, request: Any, listener: Any
    ) -> None:
        content = (request.method, request.target, request.headers, request.body)
        log.add("sent", client.node, address, incarnation, content, request.may_repeat)

    def record_cancel(exchange: ModelExchange) -> None:
        log.add("cancelled", exchange.is_cancelled)

    def record_head(sink: Any, status: int, reason: str, headers: Any) -> None:
        log.add("head", sink._record.request_id, sink._loop.time(), status, reason, headers)

    def record_body(sink: Any, data: bytes) -> None:
        log.add("body", sink._record.request_id, sink._loop.time(), data)

    def record_close(sink: Any, ending: Any) -> None:
        log.add("closed", sink._record.request_id, sink._loop.time(), ending)

    with (
        calls_observed(ModelClient, ModelClient.start, record_start),
        calls_observed(ModelExchange, ModelExchange.cancel, record_cancel),
        calls_observed(CallerSink, CallerSink.open, record_head),
        calls_observed(CallerSink, CallerSink.write, record_body),
        calls_observed(CallerSink, CallerSink._close, record_close),
    ):
        yield


def forwarding_digest(seed: int) -> str:
    log = DecisionLog()
    with _traffic_recorded(log):
        model = ForwardingModel(seed)
        model.run()
    log.add("callers", model.journal.callers)
    log.add("arrivals", model.journal.arrivals)
    log.add("runs", model.journal.runs)
    return log.digest()


FORWARDING_RUNS = {str(seed): partial(forwarding_digest, seed) for seed in FORWARDING_SEEDS}
