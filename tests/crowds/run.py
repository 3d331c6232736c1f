"""The command of the soak of crowds: plays seeds and reports them.

    python -m tests.crowds.run --seeds 1..50 [--seconds 60] [--machines 3] [--memory-mb 160]

Prints a line for each seed, and every check that failed. Logs of those runs are kept below
`--folder`.
"""

from __future__ import annotations

import argparse
import sys

from tests.crowds.soak_run import SoakOptions, SoakResult, play_soak
from tests.soak.seeds import play_seeds, seed_range
from tests.soak.settings_file import ProcessLimits


def _report(result: SoakResult) -> None:
    print(f"seed {result.options.seed}: {len(result.problems)} problems; {result.counts}")
    for problem in result.problems:
        print(f"    {problem}")
    sys.stdout.flush()


def main() -> int:
    """Play the seeds; the exit status is 1 if any check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--memory-mb", type=int, default=160)
    parser.add_argument("--descriptors", type=int, default=500)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--folder", default="target/crowds")
    arguments = parser.parse_args()
    options = [
        SoakOptions(
            seed,
            arguments.seconds,
            arguments.machines,
            ProcessLimits(arguments.memory_mb, arguments.descriptors),
            arguments.scale,
        )
        for seed in seed_range(arguments.seeds)
    ]
    return play_seeds(play_soak, options, arguments.folder, arguments.jobs, _report)


if __name__ == "__main__":
    sys.exit(main())
