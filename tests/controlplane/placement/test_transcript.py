"""Approved transcript of effects: takeover, an eviction and its load, a lost response, a drain."""

from __future__ import annotations

from pathlib import Path

import attrs
import testtools

from tests.approval import verify
from tests.controlplane.placement.driver import (
    Driver,
    make_intent,
    make_row,
    orders_in,
)
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.events import (
    CompletionRecorded,
    Effect,
    IntentChanged,
    MarkDraining,
    OrderRecorded,
    OrderUnknown,
    PublishMoves,
    RequestStatus,
    SendOrder,
)
from zincvale.model.log_events import log_event
from zincvale.model.machine import Log
from zincvale.model.resources import ServerSpec

APPROVED = Path(__file__).parent / "approved"


def describe(effect: Effect) -> str:
    match effect:
        case SendOrder(server, _, order):
            return f"order {order.order_id} {order.action.value} {order.name} -> {server}"
        case PublishMoves(changed, removed, is_complete):
            rows = ", ".join(f"{move.move_id} {move.state.value}" for move in changed)
            return f"publish{' complete' if is_complete else ''} [{rows}] remove {list(removed)}"
        case MarkDraining(server, names):
            return f"draining on {server}: {sorted(names)}"
        case OrderRecorded(move_id, order):
            return f"record {order.order_id} of {move_id}: {effect.reason.value}; {effect.detail}"
        case CompletionRecorded(move_id, order_id):
            return f"record {order_id} of {move_id} ended: {effect.outcome}"
        case Log(number, fields):
            kept = {key: fields[key] for key in ("name", "server", "outcome") if fields.get(key)}
            return f"log {number} {log_event(number).name} {kept}"
        case RequestStatus(server, _):
            return f"request status of {server}"
    return repr(effect)


class Transcript:
    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.lines: list[str] = []

    def record(self, title: str, effects: list[Effect]) -> list[Effect]:
        self.lines.append(f"{self.driver.now:.1f} {title}")
        shown = [describe(effect) for effect in effects]
        self.lines += [f"    {line}" for line in shown if not line.startswith("request status")]
        return effects


class TranscriptTests(testtools.TestCase):
    def test_effects_of_takeover_eviction_lost_response_and_drain(self):
        config = PlacementConfig(fill_free_memory=False)
        rows = {
            "server-1": make_row("server-1", "zone-a", models=frozenset({"hot", "warm"})),
            "server-2": make_row("server-2", "zone-b", memory_bytes=12_000_000_000),
        }
        driver = Driver(make_intent({"hot": 12, "warm": 12, "rare": 15}), rows, config)
        transcript = Transcript(driver)
        transcript.record("gains leadership and confirms the servers", driver.lead())
        for _ in range(5):
            driver.demand(("hot", None, 3, 0), ("warm", None, 1, 0))
            driver.tick(1.0)
        driver.demand(("rare", None, 2, 2))
        transcript.record("two requests wait for rare", driver.tick(0.1))
        driver.tick(0.2)
        driver.demand(("rare", None, 0, 2))
        unloads = orders_in(transcript.record("the nodes know of the drain", driver.tick(0.1)))
        driver.complete(unloads)
        loads = orders_in(transcript.record("warm is unloaded", driver.tick(0.1)))
        for order in loads:
            transcript.record("no response", driver.feed(OrderUnknown(order.order.order_id)))
        driver.tick(2.0)
        transcript.record(
            "the status shows rare as loading",
            driver.report("server-1", loading=frozenset({"rare"})),
        )
        driver.tick(2.0)
        transcript.record(
            "the status shows rare as loaded",
            driver.report("server-1", loading=frozenset(), models=frozenset({"hot", "rare"})),
        )
        drained = {"server-1": ServerSpec(drained=True)}
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=2, servers=drained)))
        driver.demand(("rare", None, 0, 0), ("hot", None, 1, 1))
        transcript.record("server-1 drains, hot is too large for server-2", driver.tick(2.0))
        verify(self, APPROVED, "a_shift", "\n".join(transcript.lines))
