"""Compare every approved digest: `python -m tests.golden.compare_all [SECTION ...]`.

With ZINCVALE_APPROVE=1 the digests of these sections are approved as they are now, instead.
"""

from __future__ import annotations

import os
import sys
import time

import orjson

from tests.approval import APPROVE_VARIABLE
from tests.golden.decision_log import APPROVED, differing
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
    """Write the digests of these sections as they are now."""
    digests = orjson.loads(APPROVED.read_bytes()) if APPROVED.exists() else {}
    for section in sections:
        digests[section] = {name: run() for name, run in SECTIONS[section].items()}
    options = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    APPROVED.write_bytes(orjson.dumps(digests, option=options))


def compare(sections: list[str]) -> bool:
    """Print what differs; return whether nothing does."""
    same = True
    for section in sections:
        begun = time.perf_counter()
        wrong = differing(section, SECTIONS[section])
        took_s = time.perf_counter() - begun
        print(f"{section}: {len(SECTIONS[section])} runs, {took_s:.1f} s, differing: {wrong}")
        same = same and not wrong
    return same


def main(arguments: list[str]) -> int:
    sections = arguments or list(SECTIONS)
    if os.environ.get(APPROVE_VARIABLE) == "1":
        approve(sections)
        return 0
    return 0 if compare(sections) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
