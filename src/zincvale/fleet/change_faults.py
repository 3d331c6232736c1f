"""Operators' changes as timed events: drains, bursts, races, lost responses, invalid files."""

from __future__ import annotations

from typing import Any

import attrs
from tornado import gen

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_kinds import (
    Apply,
    ChangeBurst,
    InvalidChange,
    LostAcknowledgement,
    RacingChanges,
)
from zincvale.fleet.fault_plan import Step
from zincvale.fleet.operators import HANG_UP_AFTER_S, Operators


@attrs.define
class DeclareHandler:
    """Drains and evacuations: a field of declared state that is set and taken back."""

    context: FaultContext
    kind: str
    field: str

    async def begin(self, step: Step) -> None:
        """Declare the targets drained or evacuated."""
        for target in step.targets:
            self.context.began(step, target)
        await self._declare(step, True)

    async def end(self, step: Step) -> None:
        """Take the targets back."""
        await self._declare(step, False)
        for target in step.targets:
            self.context.ended(step, target)

    async def _declare(self, step: Step, value: bool) -> None:
        resources = [
            {"kind": self.kind, "name": target, "spec": {self.field: value}}
            for target in step.targets
        ]
        operators = self.context.operators
        await operators.apply(operators.new_change(resources))


@attrs.define
class ChangeHandler:
    """Changes that have a beginning only."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Send the changes and wait for their responses."""
        self.context.began(step, "operators")
        operators = self.context.operators
        match step.fault:
            case Apply(resources=resources):
                await operators.apply(operators.new_change(resources))
            case ChangeBurst(count=count, pause_s=pause_s):
                await _burst(operators, count, pause_s)
            case RacingChanges(rounds=rounds):
                await _race(operators, rounds)
            case LostAcknowledgement(pause_s=pause_s, changes_between=changes_between):
                await _lose_acknowledgement(operators, pause_s, changes_between)
            case InvalidChange():
                await _send_invalid(operators)
        self.context.ended(step, "operators")

    async def end(self, step: Step) -> None:
        """The change stays."""


async def _burst(operators: Operators, count: int, pause_s: float) -> None:
    for _ in range(count):
        await operators.apply_marker()
        if pause_s:
            await gen.sleep(pause_s)


async def _race(operators: Operators, rounds: int) -> None:
    """Two different changes on one version leave at the same moment, to different cores."""
    for _ in range(rounds):
        base = await operators.current_version()
        if base is None:
            return
        changes = []
        for _ in range(2):
            _, resource = operators.marker_resource()
            changes.append(operators.new_change([resource], base))
        await gen.multi([operators.apply_marker_change(change) for change in changes])


async def _lose_acknowledgement(operators: Operators, pause_s: float, changes_between: int) -> None:
    """Hang up before the response, let time and other changes pass, send the same order again."""
    _, resource = operators.marker_resource()
    change = operators.new_change([resource], await operators.current_version())
    await operators.attempt(change, timeout_s=HANG_UP_AFTER_S)
    await gen.sleep(pause_s)
    await _burst(operators, changes_between, 0.0)
    await operators.apply_marker_change(change)


async def _send_invalid(operators: Operators) -> None:
    for resources in _INVALID:
        await operators.apply(operators.new_change(resources), attempts=2)


_INVALID: list[list[dict[str, Any]]] = [
    [{"kind": "Route", "name": "dangling", "spec": {"path": "/v1/dangling", "pool": "no-such"}}],
    [{"kind": "Pool", "name": "mistyped", "spec": {"max_queue": "many"}}],
    [{"kind": "Zone", "name": "unknown-field", "spec": {"evacuate": True}}],
    [{"kind": "Rout", "name": "unknown-kind", "spec": {}}],
    [
        {"kind": "Zone", "name": "half-good", "spec": {}},
        {"kind": "Adapter", "name": "half-bad", "spec": {"base_model": "no-such"}},
    ],
]
"""Each must change nothing, the last one not even its first half."""
