"""Plans of faults that are played as written: related paths of a fault that was mended.

The core machine of a fault is chosen by its strength, among the present ones from old to new.
"""

from __future__ import annotations

from tests.soak.faults import Fault

OLDEST, SECOND_OLDEST = 0.0, 0.4
CUT_S = 5.0

DIRECTED_PLANS: dict[str, tuple[Fault, ...]] = {
    # A replaced core machine whose zone is cut off never joined, and the next loss took the
    # acknowledged configuration.
    "replaced-then-cut": (
        Fault(2.0, "cut-after-replacement", OLDEST, CUT_S),
        Fault(16.0, "replace-core", OLDEST, 0.0),
    ),
    "cut-then-replaced": (
        Fault(2.0, "replace-inside-cut", OLDEST, CUT_S),
        Fault(16.0, "replace-core", OLDEST, 0.0),
    ),
    "two-newcomers-cut": (
        Fault(2.0, "cut-after-replacement", OLDEST, CUT_S),
        Fault(18.0, "cut-after-replacement", OLDEST, CUT_S),
        Fault(34.0, "replace-core", OLDEST, 0.0),
    ),
    # The newcomer is cut off again as soon as its zone is back.
    "newcomer-cut-twice": (
        Fault(2.0, "cut-after-replacement", OLDEST, CUT_S),
        Fault(8.5, "cut-zone", OLDEST, CUT_S),
        Fault(9.0, "hang-up", 1.0, 1.0),
        Fault(24.0, "replace-core", SECOND_OLDEST, 0.0),
    ),
}
AFTER_LAST_FAULT_S = 12.0


def plan_length_s(name: str) -> float:
    """Return how long a directed plan is played."""
    return max(fault.at for fault in DIRECTED_PLANS[name]) + AFTER_LAST_FAULT_S
