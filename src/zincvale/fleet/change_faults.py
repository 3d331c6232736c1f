"""Handlers of operators' changes: drains, bursts, races, lost responses and invalid changes."""

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
class DeclaredFieldHandler:
    """Drains servers or evacuates zones by a field of the intent that is set and cleared again."""

    context: FaultContext
    kind: str
    field: str

    async def begin(self, step: Step) -> None:
        """Declare the targets drained or evacuated."""
        for target in step.targets:
            self.context.journal_begin(step, target)
        await self._declare(step, True)

    async def end(self, step: Step) -> None:
        """Undo the drain or evacuation of the targets."""
        await self._declare(step, False)
        for target in step.targets:
            self.context.journal_end(step, target)

    async def _declare(self, step: Step, value: bool) -> None:
        resources = [
            {"kind": self.kind, "name": target, "spec": {self.field: value}}
            for target in step.targets
        ]
        operators = self.context.operators
        await operators.apply(operators.new_change(resources))


@attrs.define
class ChangeHandler:
    """Sends changes that are not undone: applied files, bursts, races, lost acknowledgements."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Send the changes and wait for their responses."""
        self.context.journal_begin(step, "operators")
        operators = self.context.operators
        match step.fault:
            case Apply(resources=resources):
                await operators.apply(operators.new_change(resources))
            case ChangeBurst(count=count, pause_s=pause_s):
                await _apply_markers(operators, count, pause_s)
            case RacingChanges(rounds=rounds):
                await _send_racing_changes(operators, rounds)
            case LostAcknowledgement(pause_s=pause_s, changes_between=changes_between):
                await _resend_after_lost_response(operators, pause_s, changes_between)
            case InvalidChange():
                await _send_invalid(operators)
        self.context.journal_end(step, "operators")

    async def end(self, step: Step) -> None:
        """Do nothing, as the changes are not undone."""


async def _apply_markers(operators: Operators, count: int, pause_s: float) -> None:
    for _ in range(count):
        await operators.apply_marker()
        if pause_s:
            await gen.sleep(pause_s)


async def _send_racing_changes(operators: Operators, rounds: int) -> None:
    """Send two different changes on one version to different cores at the same time."""
    for _ in range(rounds):
        base = await operators.current_version()
        if base is None:
            return
        changes = []
        for _ in range(2):
            _, resource = operators.marker_resource()
            changes.append(operators.new_change([resource], base))
        await gen.multi([operators.apply_marker_change(change) for change in changes])


async def _resend_after_lost_response(
    operators: Operators, pause_s: float, changes_between: int
) -> None:
    """Disconnect before the response, wait, apply other changes, and resend the same order."""
    _, resource = operators.marker_resource()
    change = operators.new_change([resource], await operators.current_version())
    await operators.attempt(change, timeout_s=HANG_UP_AFTER_S)
    await gen.sleep(pause_s)
    await _apply_markers(operators, changes_between, 0.0)
    await operators.apply_marker_change(change)


async def _send_invalid(operators: Operators) -> None:
    for resources in _INVALID_CHANGES:
        await operators.apply(operators.new_change(resources), attempts=2)


_INVALID_CHANGES: list[list[dict[str, Any]]] = [
    [{"kind": "Route", "name": "dangling", "spec": {"path": "/v1/dangling", "pool": "no-such"}}],
    [{"kind": "Pool", "name": "mistyped", "spec": {"max_queue": "many"}}],
    [{"kind": "Zone", "name": "unknown-field", "spec": {"evacuate": True}}],
    [{"kind": "Rout", "name": "unknown-kind", "spec": {}}],
    [
        {"kind": "Zone", "name": "half-good", "spec": {}},
        {"kind": "Adapter", "name": "half-bad", "spec": {"base_model": "no-such"}},
    ],
]
"""Changes that must be refused as a whole; the first resource of the last one is valid."""
