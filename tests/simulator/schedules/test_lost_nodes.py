"""Changes are acknowledged in time while most nodes are lost, frozen or cut off (ACKS).

Before, an acknowledgement waited for a majority of the registered nodes, and a registry whose
majority was lost for good could not change: no order was ever acknowledged again.
"""

from __future__ import annotations

import testtools

from zincvale.coordination.config import ReadinessRule
from zincvale.coordination.registers.change_messages import IN_FORCE
from zincvale.simulator.schedules.directed import directed_schedules
from zincvale.simulator.schedules.run import ScheduleRun

ACKNOWLEDGED_WITHIN_S = 4.0
SCENARIOS = ("most-nodes-lost", "every-node-lost", "most-nodes-frozen", "most-nodes-cut")


class LostNodesTest(testtools.TestCase):
    def test_changes_are_acknowledged_in_time(self) -> None:
        for name in SCENARIOS:
            for schedule in directed_schedules(name):
                run = ScheduleRun(schedule, ReadinessRule.LEASE)
                self.assertEqual("", run.execute().problem, name)
                for attempt in run.operators.attempts:
                    self.assertEqual(IN_FORCE, attempt.status, f"{name} {attempt}")
                    waited_s = attempt.ended - attempt.began
                    self.assertLess(waited_s, ACKNOWLEDGED_WITHIN_S, f"{name} {attempt}")
