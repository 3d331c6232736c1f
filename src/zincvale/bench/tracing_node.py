"""A node of the relay bench with or without tracing, to measure what tracing costs the node.

Started as `python -m zincvale.bench.tracing_node VARIANT ADDRESS BACK_END ...`; it stops by itself.
Variants: `untraced` records nothing; `traced` samples as many traces as one of `FLEET_NODES` nodes
does, and collects as many as it samples; `alone` samples the target of the whole fleet.

The node samples its own stack at every `SAMPLE_S` of processor time. On SIGTERM it prints, since
SIGUSR1: the number of samples, the share of them with tracing on the stack, and the share of the
processor time in the garbage collector.
"""

from __future__ import annotations

import gc
import signal
import sys
import time
from types import FrameType
from typing import Any

import attrs

from zincvale.bench import relay_process
from zincvale.tracing.recorder.no_spans import NoSpans
from zincvale.tracing.service import TracingService

UNTRACED = "untraced"
TRACED = "traced"
FLEET_NODES = 8
"""Nodes that share the target rate of traces in the variant `traced`."""
SAMPLE_S = 0.004
"""Processor time between two stack samples."""
TRACING_FOLDER = "/zincvale/tracing/"
"""Part of the path of every source file of the tracing package."""


@attrs.define(eq=False)
class UntracedService(TracingService):
    """Tracing that records nothing."""

    def __attrs_post_init__(self) -> None:
        self.recorder = NoSpans()  # type: ignore[assignment]

    def tick(self, now: float) -> None:
        """Do nothing."""

    def apply_members(self, members: Any) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class FleetShareService(TracingService):
    """Tracing with the target rate of one of `FLEET_NODES` nodes."""

    def apply_members(self, members: Any) -> None:
        """Apply the members, and divide the target rate as in a fleet of `FLEET_NODES`."""
        TracingService.apply_members(self, members)
        self.recorder.set_target_share(FLEET_NODES)


TRACING_TYPE_BY_VARIANT: dict[str, type[TracingService]] = {
    UNTRACED: UntracedService,
    TRACED: FleetShareService,
}
"""Service class by variant; any other variant (`alone`) uses `TracingService` itself."""


@attrs.define(eq=False)
class StackSampler:
    """Samples the stack at equal intervals of processor time, and times the garbage collector."""

    samples: int = 0
    in_tracing: int = 0
    gc_s: float = 0.0
    _gc_began_at: float = 0.0
    _began_at: float = 0.0

    def start(self) -> None:
        """Start sampling; SIGUSR1 resets the counts, SIGTERM prints them and exits."""
        signal.signal(signal.SIGPROF, self._sample_stack)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
        gc.callbacks.append(self._time_gc)
        signal.signal(signal.SIGTERM, self._report)
        signal.signal(signal.SIGUSR1, self._reset)

    def _reset(self, _number: int, _frame: FrameType | None) -> None:
        """Reset the counts, to exclude the start and the warm-up."""
        self.samples = self.in_tracing = 0
        self.gc_s = 0.0
        self._began_at = time.process_time()

    def _sample_stack(self, _number: int, frame: FrameType | None) -> None:
        self.samples += 1
        while frame is not None:
            if TRACING_FOLDER in frame.f_code.co_filename:
                self.in_tracing += 1
                return
            frame = frame.f_back

    def _time_gc(self, phase: str, _info: dict[str, int]) -> None:
        if phase == "start":
            self._gc_began_at = time.process_time()
        else:
            self.gc_s += time.process_time() - self._gc_began_at

    def _report(self, _number: int, _frame: FrameType | None) -> None:
        gc_share = self.gc_s / (time.process_time() - self._began_at)
        print(f"{self.samples} {self.in_tracing / max(self.samples, 1)} {gc_share}", flush=True)
        sys.exit(0)


def main(variant: str, address: str, *back_ends: str) -> None:
    """Run the relay bench's node in one of the variants."""
    StackSampler().start()
    tracing_type = TRACING_TYPE_BY_VARIANT.get(variant, TracingService)
    relay_process.main("node", address, *back_ends, tracing_type=tracing_type)


if __name__ == "__main__":
    main(*sys.argv[1:])
