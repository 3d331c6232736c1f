"""Faults on processes and their disks."""

from __future__ import annotations

import shutil

import attrs

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_kinds import DiskLost, PowerLoss
from zincvale.fleet.fault_plan import Step
from zincvale.fleet.replacement import replace_process

UNLIMITED_BYTES = 1 << 40
NO_BYTES = 0


@attrs.define
class StopHandler:
    """Processes that end at once, and may come back: kill, restart, power loss, lost disk."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """End the targets, all at the same moment."""
        if isinstance(step.fault, PowerLoss):
            await self.context.operators.apply_marker()
        for target in step.targets:
            self.context.began(step, target)
            self.context.fleet.table.kill(target)
            self.context.network.set_down(target, is_down=True)
        await self.context.update_relays()
        if isinstance(step.fault, DiskLost):
            self._empty_disks(step)

    async def end(self, step: Step) -> None:
        """Start the targets again."""
        for target in step.targets:
            self.context.fleet.start_again(target)
            self.context.network.set_down(target, is_down=False)
            self.context.ended(step, target)
        await self.context.update_relays()

    def _empty_disks(self, step: Step) -> None:
        for target in step.targets:
            folder = self.context.fleet.folder.data(target)
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir(parents=True)


@attrs.define
class FreezeHandler:
    """Processes that stand still and wake."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Stop the targets where they stand."""
        for target in step.targets:
            self.context.began(step, target)
            self.context.fleet.table.freeze(target)

    async def end(self, step: Step) -> None:
        """Let the targets go on."""
        for target in step.targets:
            self.context.ended(step, target)
            self.context.fleet.table.wake(target)


@attrs.define
class DiskQuotaHandler:
    """Data folders that take no more bytes."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Fill the targets' disks."""
        for target in step.targets:
            self.context.began(step, target)
            self._set_quota(target, NO_BYTES)

    async def end(self, step: Step) -> None:
        """Make room again."""
        for target in step.targets:
            self._set_quota(target, UNLIMITED_BYTES)
            self.context.ended(step, target)

    def _set_quota(self, target: str, size_bytes: int) -> None:
        path = self.context.fleet.folder.quota(target)
        aside = path.with_suffix(".new")
        aside.write_text(str(size_bytes), encoding="utf-8")
        aside.replace(path)


@attrs.define
class ReplaceHandler:
    """Processes that are removed for good; empty ones at new addresses take their place."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Replace the targets, one after the other."""
        for target in step.targets:
            await replace_process(self.context, step, target)

    async def end(self, step: Step) -> None:
        """A replacement is never lifted."""
