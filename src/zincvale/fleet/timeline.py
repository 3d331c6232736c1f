"""Performs the steps of a fault plan when they are due, each in a task of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from zincvale.fleet.fault_plan import Phase, Step
from zincvale.fleet.network_faults import describe_groups

FINISH_WITHIN_S = 20.0


@attrs.define
class Timeline:
    """Performs steps in the order of time; a fault is lifted only after its begin step is done."""

    steps: list[Step]
    perform: Callable[[Step], Awaitable[None]]
    print_line: Callable[[str], None]
    _next: int = 0
    _begun: dict[tuple[int, tuple[str, ...]], asyncio.Task[None]] = attrs.field(factory=dict)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def advance(self, elapsed_s: float) -> None:
        """Start every step that is due; raises the error of a step that failed."""
        while self._next < len(self.steps) and self.steps[self._next].at_s <= elapsed_s:
            step = self.steps[self._next]
            self._next += 1
            self.print_line(f"{elapsed_s:5.1f} s  {describe(step)}")
            self._start(step)
        for task in self._tasks:
            if task.done():
                task.result()
        self._tasks = [task for task in self._tasks if not task.done()]

    async def finish(self) -> None:
        """Wait for the started steps and cancel late ones; raises the error of a failed one."""
        if self._tasks:
            done, pending = await asyncio.wait(self._tasks, timeout=FINISH_WITHIN_S)
            for task in pending:
                task.cancel()
            for task in done:
                task.result()

    def _start(self, step: Step) -> None:
        key = (step.fault_id, step.targets)
        if step.phase is Phase.BEGIN:
            task = asyncio.ensure_future(self.perform(step))
            self._begun[key] = task
        else:
            task = asyncio.ensure_future(self._perform_after(self._begun[key], step))
        self._tasks.append(task)

    async def _perform_after(self, begun: asyncio.Task[None], step: Step) -> None:
        await asyncio.wait([begun])
        await self.perform(step)


def describe(step: Step) -> str:
    """Return the description of a step for the progress output."""
    what = describe_groups(step) if step.groups else " ".join(step.targets)
    return f"{step.fault.kind} {what} {step.phase.value}".replace("  ", " ")
