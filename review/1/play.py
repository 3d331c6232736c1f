"""Plays the day of this case on three seeds; exits with 1 if the rule breaks on two, else with 0.

    python review/1/play.py BENCH SITE

BENCH is the users' bench, SITE the file of the site nbhf-calc; run it at the repository's root.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
SEEDS = (1, 2, 3)
RULE, NEEDED = "CONFIG", 2


def main(bench: str, site: str) -> int:
    """Play the day on each seed."""
    broken = 0
    for seed in SEEDS:
        report = HERE / ("report.json" if seed == SEEDS[0] else f"report-{seed}.json")
        why = f"review, case 1, seed {seed}"
        command = [bench, "run", site, str(HERE / "day.toml"), "--seed", str(seed)]
        command += ["--report", str(report), "--why", why]
        subprocess.run(command, check=True, capture_output=True)
        breaks = json.loads(report.read_text(encoding="utf-8"))["breaks"]
        print(f"seed {seed}: {breaks}")
        broken += RULE in breaks
    return 1 if broken >= NEEDED else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
