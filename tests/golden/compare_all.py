"""Compares the digests of all simulated runs with the approved ones.

Run as `python -m tests.golden.compare_all [SECTION ...]`. With ZINCVALE_APPROVE=1 it writes the
current digests of the sections as the approved ones instead.
"""

from __future__ import annotations

import os
import sys
import time

import orjson

from tests.approval import APPROVE_VARIABLE
from tests.golden.decision_log import APPROVED, differing_runs
from tests.golden.decisions_of_cluster import CLAIMS_RUNS, CLUSTER_RUNS, REGISTER_RUNS
from tests.golden.decisions_of_forwarding import FORWARDING_RUNS
from tests.golden.decisions_of_placement import HOLLOW_RUNS, PLACEMENT_RUNS, WHAT_IF_RUNS

SECTIONS = {
    "cluster": CLUSTER_RUNS,
    "claims": CLAIMS_RUNS,
    "register": REGISTER_RUNS,
    "forwarding": FORWARDING_RUNS,
    "placement": PLACEMENT_RUNS,
    "hollow": HOLLOW_RUNS,
    "what-if": WHAT_IF_RUNS,
}


def approve(sections: list[str]) -> None:
    """Write the current digests of these sections to the file of approved digests."""
    digests = orjson.loads(APPROVED.read_bytes()) if APPROVED.exists() else {}
    for section in sections:
        digests[section] = {name: run() for name, run in SECTIONS[section].items()}
    options = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    APPROVED.write_bytes(orjson.dumps(digests, option=options))


def compare(sections: list[str]) -> bool:
    """Print the runs that differ from the approved digests; return whether none does."""
    all_equal = True
    for section in sections:
        started_at = time.perf_counter()
        different = differing_runs(section, SECTIONS[section])
        elapsed_s = time.perf_counter() - started_at
        print(
            f"{section}: {len(SECTIONS[section])} runs, {elapsed_s:.1f} s, differing: {different}"
        )
        all_equal = all_equal and not different
    return all_equal


def main(arguments: list[str]) -> int:
    sections = arguments or list(SECTIONS)
    if os.environ.get(APPROVE_VARIABLE) == "1":
        approve(sections)
        return 0
    return 0 if compare(sections) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
