"""Handlers of the faults on processes and their disks."""

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
    """Kills processes and starts them again: kill, restart, power loss and lost disk."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Kill all targets together; for a power loss, right after an acknowledged change."""
        if isinstance(step.fault, PowerLoss):
            await self.context.operators.apply_marker()
        for target in step.targets:
            self.context.journal_begin(step, target)
            self.context.fleet.table.kill(target)
            self.context.network.set_down(target, is_down=True)
        await self.context.update_relays()
        if isinstance(step.fault, DiskLost):
            self._empty_disks(step)

    async def end(self, step: Step) -> None:
        """Start the targets again."""
        for target in step.targets:
            self.context.fleet.restart(target)
            self.context.network.set_down(target, is_down=False)
            self.context.journal_end(step, target)
        await self.context.update_relays()

    def _empty_disks(self, step: Step) -> None:
        for target in step.targets:
            folder = self.context.fleet.folder.data(target)
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir(parents=True)


@attrs.define
class FreezeHandler:
    """Suspends processes and resumes them."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Suspend the targets."""
        for target in step.targets:
            self.context.journal_begin(step, target)
            self.context.fleet.table.freeze(target)

    async def end(self, step: Step) -> None:
        """Resume the targets."""
        for target in step.targets:
            self.context.journal_end(step, target)
            self.context.fleet.table.resume(target)


@attrs.define
class DiskQuotaHandler:
    """Simulates full disks by a quota of 0 bytes on data folders."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Set the quotas of the targets to 0 bytes."""
        for target in step.targets:
            self.context.journal_begin(step, target)
            self._set_quota(target, NO_BYTES)

    async def end(self, step: Step) -> None:
        """Remove the limits."""
        for target in step.targets:
            self._set_quota(target, UNLIMITED_BYTES)
            self.context.journal_end(step, target)

    def _set_quota(self, target: str, size_bytes: int) -> None:
        path = self.context.fleet.folder.quota(target)
        temporary = path.with_suffix(".new")
        temporary.write_text(str(size_bytes), encoding="utf-8")
        temporary.replace(path)


@attrs.define
class ReplaceHandler:
    """Removes processes for good and replaces them by empty ones at new addresses."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Replace the targets, one after the other."""
        for target in step.targets:
            await replace_process(self.context, step, target)

    async def end(self, step: Step) -> None:
        """Do nothing, as a replacement is permanent."""
