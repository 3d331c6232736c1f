"""Plays every day of this folder on deployments and prints what broke.

    python tests/days/run.py BENCH WHY JOBS SITE... [--only NAME,...]

BENCH is the users' bench, SITE a deployment's file; run it at the root of the repository.
"""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

DAYS = Path(__file__).parent
LIMIT_S = 900
ROW = re.compile(r"^\S+\s+\d+/\d+\s+.*$", re.MULTILINE)
WRONG = re.compile(r"^(?:rules broken|fault|short of the gate).*$", re.MULTILINE)
EVIDENCE_LINES = 12


def play(bench: str, why: str, site: str, day: Path) -> str:
    """Play one day; return a line, and the evidence of what broke."""
    command = [bench, "run", site, str(day), "--why", f"{why}: {day.stem}"]
    run = subprocess.run(command, capture_output=True, text=True, check=False, timeout=LIMIT_S)
    text = run.stdout + run.stderr
    row = ROW.search(text)
    line = f"{Path(site).stem:<14} {row.group(0)[:150] if row else 'not played: ' + text[-300:]}"
    wrong = WRONG.search(text)
    if wrong is None:
        return line
    evidence = text[wrong.start() :].splitlines()[:EVIDENCE_LINES]
    return "\n".join([line, *(f"    {each[:200]}" for each in evidence)])


def main(arguments: list[str]) -> None:
    """Play the days in a few processes at a time."""
    only: list[str] = []
    if "--only" in arguments:
        place = arguments.index("--only")
        only = arguments[place + 1].split(",")
        arguments = arguments[:place]
    bench, why, jobs, *sites = arguments
    days = [day for day in sorted(DAYS.glob("*.toml")) if not only or day.stem in only]
    with ThreadPoolExecutor(int(jobs)) as pool:
        played = [(site, day) for site in sites for day in days]
        for text in pool.map(lambda pair: play(bench, why, *pair), played):
            print(text, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
