"""Runs many seeds, in this process or in a few worker processes.

A worker is this module run as a program: first seed, end and step as arguments, one outcome as a
JSON line each on its output."""

from __future__ import annotations

import selectors
import subprocess
import sys
from collections.abc import Callable, Iterable, Iterator

import attrs
import orjson

from zincvale.model.errors import InvalidInputError
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import Outcome, run_schedule
from zincvale.simulator.schedules.schedule import Schedule
from zincvale.simulator.schedules.shrink import Shrinker

SEED_RANGE_SIGN = ".."
JOBS_LIMIT = 4


def parse_seeds(text: str) -> range:
    """Return the seeds of `A..B`, both included; raises `InvalidInputError`."""
    first, sign, last = str(text).partition(SEED_RANGE_SIGN)
    if not first.isdigit() or (sign and not last.isdigit()):
        raise InvalidInputError(
            f"{text!r} is no range of seeds", "write it as A..B, for example 1..500"
        )
    return range(int(first), int(last or first) + 1)


def explore_here(seeds: Iterable[int]) -> Iterator[Outcome]:
    """Run seeds one after the other."""
    for seed in seeds:
        yield run_schedule(draw_schedule(seed))


def explore_with_jobs(seeds: range, jobs: int) -> Iterator[Outcome]:
    """Spread seeds over worker processes and yield the outcomes that they print."""
    workers = [_start_worker(seeds[job::jobs]) for job in range(jobs)]
    selector = selectors.DefaultSelector()
    try:
        for worker in workers:
            assert worker.stdout is not None
            selector.register(worker.stdout, selectors.EVENT_READ)
        # All pipes are read as they fill: a worker whose pipe is full would stand still.
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


def _start_worker(seeds: range) -> subprocess.Popen[bytes]:
    command = [
        sys.executable,
        "-m",
        "zincvale.simulator.schedules.exploring",
        str(seeds.start),
        str(seeds.stop),
        str(seeds.step),
    ]
    return subprocess.Popen(command, stdout=subprocess.PIPE, bufsize=0)


def shrink_failure(
    schedule: Schedule, invariant: str, run: Callable[[Schedule], Outcome] = run_schedule
) -> tuple[Schedule, int]:
    """Return the smallest schedule found that breaks the same invariant, and the runs it took."""
    shrinker = Shrinker(lambda candidate: run(candidate).invariant == invariant)
    return shrinker.shrink(schedule), shrinker.runs


def _work(arguments: list[str]) -> None:
    start, stop, step = map(int, arguments)
    for outcome in explore_here(range(start, stop, step)):
        sys.stdout.buffer.write(orjson.dumps(attrs.asdict(outcome)) + b"\n")
        sys.stdout.flush()


if __name__ == "__main__":
    _work(sys.argv[1:])
