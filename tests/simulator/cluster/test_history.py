"""The linearizability check accepts valid histories and detects each kind of violation."""

from __future__ import annotations

import testtools

from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE
from zincvale.simulator.cluster.history import Attempt, check_history


def accepted(
    order: int, began: float, ended: float, version: int, base: int | None = None
) -> Attempt:
    return Attempt(order, base, False, "core-1", began, ended, IN_FORCE, version, version)


def refused(order: int, began: float, ended: float, base: int, current: int) -> Attempt:
    return Attempt(order, base, False, "core-1", began, ended, CONFLICT, 0, current)


class HistoryTest(testtools.TestCase):
    def test_linearizable_history_is_accepted(self) -> None:
        attempts = [
            accepted(1, 0.0, 1.0, 1),
            accepted(2, 0.5, 2.0, 2, base=1),
            refused(3, 1.5, 2.5, base=1, current=2),
            Attempt(4, None, False, "core-1", 2.0),
        ]
        self.assertEqual([], check_history(attempts, [1, 2]))
        self.assertEqual([], check_history(attempts, [1, 2, 4]))

    def test_each_kind_of_violation_is_detected(self) -> None:
        later = accepted(2, 5.0, 6.0, 1)
        cases = {
            "applied twice": ([accepted(1, 0, 1, 1)], [1, 1]),
            "never sent": ([accepted(1, 0, 1, 1)], [1, 9]),
            "it is at": ([accepted(1, 0, 1, 1), accepted(2, 0, 1, 1)], [1, 2]),
            "accepted as version": ([accepted(1, 0, 1, 1), accepted(2, 0, 1, 2, base=0)], [1, 2]),
            "conflicts with the version": ([refused(1, 0, 1, base=0, current=0)], []),
            "cannot have been made": ([accepted(1, 0, 1, 2), later], [2, 1]),
            "which contains it": (
                [accepted(1, 0, 1, 1, 0), refused(1, 2, 3, base=0, current=1)],
                [1],
            ),
        }
        for wanted, (attempts, log) in cases.items():
            self.assertIn(wanted, "; ".join(check_history(attempts, log)), wanted)

    def test_conflict_with_an_outdated_version_is_detected(self) -> None:
        attempts = [accepted(1, 0.0, 1.0, 1), refused(2, 2.0, 3.0, base=1, current=0)]
        self.assertIn("cannot have been made", check_history(attempts, [1])[0])
