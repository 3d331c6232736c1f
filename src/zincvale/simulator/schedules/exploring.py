"""Runs the schedules of many seeds, in this process or in worker processes.

A worker runs this module as a program. Its arguments are the start, stop and step of its range of
seeds and the rule of readiness; it prints each outcome as one line of JSON.
"""

from __future__ import annotations

import selectors
import subprocess
import sys
from collections.abc import Callable, Iterable, Iterator

import attrs
import orjson

from zincvale.coordination.config import ReadinessRule
from zincvale.model.errors import InvalidInputError
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import Outcome, run_schedule
from zincvale.simulator.schedules.schedule import Schedule
from zincvale.simulator.schedules.shrink import Shrinker

SEED_RANGE_SEPARATOR = ".."
MAX_JOBS = 4
"""Maximum number of worker processes."""


def parse_seeds(text: str) -> range:
    """Return the seeds of the range `A..B`, inclusive; raises `InvalidInputError`."""
    start, separator, end = str(text).partition(SEED_RANGE_SEPARATOR)
    if not start.isdigit() or (separator and not end.isdigit()):
        raise InvalidInputError(
            f"{text!r} is not a range of seeds", "write it as A..B, for example 1..500"
        )
    return range(int(start), int(end or start) + 1)


def explore_in_process(seeds: Iterable[int], readiness: ReadinessRule) -> Iterator[Outcome]:
    """Run seeds one after the other in this process and yield their outcomes."""
    for seed in seeds:
        yield run_schedule(draw_schedule(seed, readiness), readiness)


def explore_in_workers(seeds: range, readiness: ReadinessRule, jobs: int) -> Iterator[Outcome]:
    """Distribute seeds over worker processes and yield the outcomes that they print."""
    workers = [_start_worker(seeds[job::jobs], readiness) for job in range(jobs)]
    selector = selectors.DefaultSelector()
    try:
        for worker in workers:
            assert worker.stdout is not None
            selector.register(worker.stdout, selectors.EVENT_READ)
        # All pipes are read as they fill, since a worker blocks while its pipe is full.
        while selector.get_map():
            for key, _ in selector.select():
                line = key.fileobj.readline()  # type: ignore[union-attr]
                if line:
                    yield Outcome(**orjson.loads(line))
                else:
                    selector.unregister(key.fileobj)
    finally:
        selector.close()
        for worker in workers:
            worker.terminate()
            worker.wait()


def _start_worker(seeds: range, readiness: ReadinessRule) -> subprocess.Popen[bytes]:
    command = [
        sys.executable,
        "-m",
        "zincvale.simulator.schedules.exploring",
        str(seeds.start),
        str(seeds.stop),
        str(seeds.step),
        readiness.value,
    ]
    return subprocess.Popen(command, stdout=subprocess.PIPE, bufsize=0)


def shrink_failure(
    schedule: Schedule, invariant: str, run: Callable[[Schedule], Outcome] = run_schedule
) -> tuple[Schedule, int]:
    """Return the smallest schedule found that violates the same invariant, and the run count."""
    shrinker = Shrinker(lambda candidate: run(candidate).invariant == invariant)
    return shrinker.shrink(schedule), shrinker.runs


def _run_worker(arguments: list[str]) -> None:
    *numbers, readiness = arguments
    start, stop, step = map(int, numbers)
    for outcome in explore_in_process(range(start, stop, step), ReadinessRule(readiness)):
        sys.stdout.buffer.write(orjson.dumps(attrs.asdict(outcome)) + b"\n")
        sys.stdout.flush()


if __name__ == "__main__":
    _run_worker(sys.argv[1:])
