import asyncio

from testtools import TestCase

from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.operators.sample_change import POOL
from zincvale.standins.operators.core_client import CoreResponse
from zincvale.standins.operators.runner import Operators
from zincvale.standins.operators.script import (
    Base,
    OperatorScript,
    ScriptedChange,
    ScriptedRace,
    orders,
)
from zincvale.standins.settings import OperatorsSettings


class ScriptedCores:
    """Cores that hold one version and repeat their first response to a resent order.

    A scripted response, if there is one, takes precedence.
    """

    def __init__(self, steps=()):
        self.steps = list(steps)
        self.current = 7
        self.first_responses = {}

    async def version(self, core):
        return self.current

    async def apply(self, core, order_id, body):
        scripted = self.steps.pop(0) if self.steps else None
        if scripted is not None:
            return scripted
        if order_id in self.first_responses:
            return self.first_responses[order_id]
        base = body["baseVersion"]
        if base is not None and base != self.current:
            return CoreResponse(409, {"current_version": self.current})
        self.current += 1
        response = CoreResponse(200, {"version": self.current, "order_id": order_id})
        self.first_responses[order_id] = response
        return response


class OperatorsTest(TestCase):
    def execute(self, script, steps=()):
        self.cores = ScriptedCores(steps)
        self.journal = MemoryJournal()
        settings = OperatorsSettings("", ["core-a", "core-b", "core-c"], "", "", seed=2)

        async def sleep(seconds):
            await asyncio.sleep(0)

        operators = Operators(settings, script, self.cores, self.journal, TickingClock(), sleep)

        async def run():
            await asyncio.gather(*(operators.execute(order) for order in orders(script, 2)))

        asyncio.run(run())
        return operators.summary()

    def responses(self):
        rows = [row for row in self.journal.rows if row["event"] == "applied"]
        return [(row["order_id"], row["status"], row["version"]) for row in rows]

    def test_an_order_is_resent_with_the_same_id_until_it_is_acknowledged(self):
        script = OperatorScript([ScriptedChange(0.0, [POOL])])
        summary = self.execute(script, [CoreResponse(0, {}, "gone"), CoreResponse(503, {})])
        statuses = [status for _, status, _ in self.responses()]
        self.assertEqual([0, 503, 200], statuses)
        self.assertEqual(1, len({order_id for order_id, _, _ in self.responses()}))
        self.assertEqual({"acknowledged": 1}, summary["verdicts"])

    def test_a_resent_order_gets_its_first_response_again(self):
        change = ScriptedChange(0.0, [POOL], lost_acknowledgements=1, resend_after_s=[9.0])
        summary = self.execute(OperatorScript([change]))
        self.assertEqual([8, 8, 8], [version for _, _, version in self.responses()])
        self.assertEqual(0, summary["changed_answers"])

    def test_a_resent_order_with_a_different_response_is_counted(self):
        change = ScriptedChange(0.0, [POOL], lost_acknowledgements=1)
        summary = self.execute(OperatorScript([change]), [None, CoreResponse(409, {})])
        self.assertEqual(1, summary["changed_answers"])
        summary = self.execute(OperatorScript([change]), [None, CoreResponse(200, {"version": 99})])
        self.assertEqual(1, summary["changed_answers"])

    def test_one_contender_of_a_race_is_acknowledged_and_the_other_gets_a_conflict(self):
        summary = self.execute(OperatorScript(races=[ScriptedRace(0.0, [[POOL], [POOL]])]))
        sent = [row for row in self.journal.rows if row["event"] == "apply"]
        self.assertEqual([7, 7], [row["base_version"] for row in sent])
        self.assertEqual({"core-a", "core-b"}, {row["core"] for row in sent})
        self.assertEqual({"acknowledged": 1, "conflict": 1}, summary["verdicts"])

    def test_a_change_on_a_stale_version_gets_a_conflict_and_is_rebuilt(self):
        change = ScriptedChange(0.0, [POOL], base=Base.STALE, rebuild_on_conflict=True)
        summary = self.execute(OperatorScript([change]))
        self.assertEqual([409, 200], [status for _, status, _ in self.responses()])
        self.assertEqual({"rebuilt": 1, "acknowledged": 1}, summary["verdicts"])
