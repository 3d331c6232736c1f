"""One node of the relay bench with or without its record, to measure what the record costs it.

`python -m zincvale.bench.tracing_node VARIANT ADDRESS BACK_END ...`; stops by itself. Variants:
`untraced` records nothing; `traced` samples as many traces as one of `FLEET_NODES` nodes does, and
collects as many as it samples; `alone` samples the whole fleet's target.

Every `SAMPLE_S` of processor time the node samples its own stack; on SIGTERM it writes to standard
output, counted since SIGUSR1: the number of samples, the share of them that met the tracing plane,
and the share of time in the garbage collector.
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
SAMPLE_S = 0.004
TRACING_FOLDER = "/zincvale/tracing/"


@attrs.define(eq=False)
class UntracedService(TracingService):
    """The tracing plane with nothing in it."""

    def __attrs_post_init__(self) -> None:
        self.recorder = NoSpans()  # type: ignore[assignment]

    def tick(self, now: float) -> None:
        """Do nothing."""

    def apply_members(self, members: Any) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class FleetShareService(TracingService):
    """The tracing plane of one of `FLEET_NODES` nodes."""

    def apply_members(self, members: Any) -> None:
        """Take the members, and the share of the target that a fleet leaves to one node."""
        TracingService.apply_members(self, members)
        self.recorder.set_target_share(FLEET_NODES)


TRACING_TYPE_BY_VARIANT: dict[str, type[TracingService]] = {
    UNTRACED: UntracedService,
    TRACED: FleetShareService,
}
"""Any other variant (`alone`) runs the tracing plane as it is."""


@attrs.define(eq=False)
class StackSampler:
    """Samples the stack at even steps of processor time."""

    samples: int = 0
    in_tracing: int = 0
    gc_s: float = 0.0
    _gc_began_at: float = 0.0
    _began_at: float = 0.0

    def start(self) -> None:
        """Look from now on; report and exit on SIGTERM."""
        signal.signal(signal.SIGPROF, self._sample_stack)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
        gc.callbacks.append(self._time_gc)
        signal.signal(signal.SIGTERM, self._report)
        signal.signal(signal.SIGUSR1, self._begin)

    def _begin(self, _number: int, _frame: FrameType | None) -> None:
        """Forget the start and the warm-up."""
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
    """Serve the relay bench's node in one of the variants."""
    StackSampler().start()
    tracing_type = TRACING_TYPE_BY_VARIANT.get(variant, TracingService)
    relay_process.main("node", address, *back_ends, tracing_type=tracing_type)


if __name__ == "__main__":
    main(*sys.argv[1:])
