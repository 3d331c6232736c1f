import asyncio

from testtools import TestCase

from tests.standins.helpers import MemoryJournal, TickingClock
from zincvale.standins.core_client import CoreResponse
from zincvale.standins.operator_retry import OrderRetry, Verdict
from zincvale.standins.operator_script import (
    Base,
    OperatorScript,
    ScriptedChange,
    ScriptedRace,
    orders,
)
from zincvale.standins.operators import Operators
from zincvale.standins.settings import OperatorsSettings

POOL = {"kind": "Pool", "name": "p", "spec": {"max_queue": "$n"}}


class OperatorScriptTest(TestCase):
    def test_a_burst_numbers_its_changes(self):
        change = ScriptedChange(2.0, [POOL], name="burst", repeat=3, every_s=0.5)
        planned = orders(OperatorScript([change]), seed=4)
        self.assertEqual([2.0, 2.5, 3.0], [order.at_s for order in planned])
        sizes = [order.resources[0]["spec"]["max_queue"] for order in planned]
        self.assertEqual([1, 2, 3], sizes)
        self.assertEqual(3, len({order.order_id for order in planned}))

    def test_contenders_of_a_race_share_time_and_base(self):
        race = ScriptedRace(1.0, [[POOL], [POOL]], repeat=2)
        planned = orders(OperatorScript(races=[race]), seed=4)
        self.assertEqual([1.0, 1.0, 2.0, 2.0], [order.at_s for order in planned])
        self.assertEqual([0, 1, 0, 1], [order.contender for order in planned])
        self.assertEqual({Base.CURRENT}, {order.base for order in planned})
        self.assertEqual(2, len({order.race for order in planned}))


class OrderRetryTest(TestCase):
    def test_a_lost_acknowledgement_sends_the_same_order_again(self):
        retry = OrderRetry(lost_acknowledgements=1, give_up_at=10.0)
        verdicts = [retry.after(200, 0.0), retry.after(200, 0.0)]
        self.assertEqual([Verdict.RESEND, Verdict.ACKNOWLEDGED], verdicts)

    def test_no_response_and_not_confirmed_are_sent_again_until_given_up(self):
        retry = OrderRetry(0, give_up_at=10.0)
        for status in (0, 500, 503, 504):
            self.assertEqual(Verdict.RESEND, retry.after(status, 9.0))
        self.assertEqual(Verdict.GAVE_UP, retry.after(503, 10.0))

    def test_a_conflict_and_an_invalid_change_are_final(self):
        retry = OrderRetry(0, give_up_at=10.0)
        self.assertEqual(Verdict.CONFLICT, retry.after(409, 0.0))
        self.assertEqual(Verdict.REFUSED, retry.after(422, 0.0))


class ScriptedCores:
    """Cores that keep one version and answer a resent order as at first, or as scripted."""

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
        answer = CoreResponse(200, {"version": self.current, "order_id": order_id})
        self.first_responses[order_id] = answer
        return answer


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

    def test_an_order_goes_on_until_it_is_acknowledged(self):
        script = OperatorScript([ScriptedChange(0.0, [POOL])])
        summary = self.execute(script, [CoreResponse(0, {}, "gone"), CoreResponse(503, {})])
        statuses = [status for _, status, _ in self.responses()]
        self.assertEqual([0, 503, 200], statuses)
        self.assertEqual(1, len({order_id for order_id, _, _ in self.responses()}))
        self.assertEqual({"acknowledged": 1}, summary["verdicts"])

    def test_a_resent_order_has_its_first_response(self):
        change = ScriptedChange(0.0, [POOL], lost_acknowledgements=1, resend_after_s=[9.0])
        summary = self.execute(OperatorScript([change]))
        self.assertEqual([8, 8, 8], [version for _, _, version in self.responses()])
        self.assertEqual(0, summary["changed_answers"])

    def test_a_resent_order_with_another_response_is_counted(self):
        change = ScriptedChange(0.0, [POOL], lost_acknowledgements=1)
        summary = self.execute(OperatorScript([change]), [None, CoreResponse(409, {})])
        self.assertEqual(1, summary["changed_answers"])
        summary = self.execute(OperatorScript([change]), [None, CoreResponse(200, {"version": 99})])
        self.assertEqual(1, summary["changed_answers"])

    def test_of_two_contenders_one_wins(self):
        summary = self.execute(OperatorScript(races=[ScriptedRace(0.0, [[POOL], [POOL]])]))
        sent = [row for row in self.journal.rows if row["event"] == "apply"]
        self.assertEqual([7, 7], [row["base_version"] for row in sent])
        self.assertEqual({"core-a", "core-b"}, {row["core"] for row in sent})
        self.assertEqual({"acknowledged": 1, "conflict": 1}, summary["verdicts"])

    def test_a_stale_change_loses_and_may_be_built_anew(self):
        change = ScriptedChange(0.0, [POOL], base=Base.STALE, rebuild_on_conflict=True)
        summary = self.execute(OperatorScript([change]))
        self.assertEqual([409, 200], [status for _, status, _ in self.responses()])
        self.assertEqual({"rebuilt": 1, "acknowledged": 1}, summary["verdicts"])
