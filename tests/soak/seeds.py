"""Plays a range of seeds in several processes; shared by the commands of the soaks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Protocol, TypeVar


class SeededOptions(Protocol):
    """What a run plays."""

    @property
    def seed(self) -> int:
        """The seed, which also names the folder of the run."""
        ...


class SeededResult(Protocol):
    """What a run showed."""

    @property
    def problems(self) -> Sequence[object]:
        """What failed."""
        ...


Options = TypeVar("Options", bound=SeededOptions)
Result = TypeVar("Result", bound=SeededResult)


def seed_range(text: str) -> range:
    """Return the seeds in `FIRST..LAST`, or the one seed."""
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)


def play_seeds(
    play: Callable[[Options, Path], Result],
    options: Sequence[Options],
    folder: str,
    jobs: int,
    report: Callable[[Result], None],
) -> int:
    """Play and report every run; return the exit status, which is 1 if anything failed."""
    base = Path(folder).resolve()
    is_clean = True
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        runs = [pool.submit(play, each, base / f"seed-{each.seed}") for each in options]
        for run in runs:
            result = run.result()
            report(result)
            is_clean = is_clean and not result.problems
    return 0 if is_clean else 1
