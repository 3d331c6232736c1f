"""Callers in virtual time: the same seeded arrivals, requests and retries as the real fleet's."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

import attrs

from zincvale.simulator.what_if.attempt import CallerAttempt, CallersContext
from zincvale.simulator.what_if.figures import RequestRow
from zincvale.standins.load.arrivals import Arrival, arrivals
from zincvale.standins.load.progress import NodePicker
from zincvale.standins.load.request_plan import Conversation, Plan
from zincvale.standins.load.retry import (
    AttemptOutcome,
    AttemptResult,
    CallerRetry,
    Resend,
)
from zincvale.standins.load.spec import LoadSpec

Then = Callable[[bool], None]


class VirtualCallers:
    """All callers of a run.

    Parameters
    ----------
    spec : the load.
    seconds, seed, rate_factor : as for the real callers.
    """

    def __init__(
        self,
        context: CallersContext,
        spec: LoadSpec,
        seconds: float,
        seed: int,
        rate_factor: float,
    ) -> None:
        self._context = context
        self._schedule: Iterator[Arrival] = arrivals(spec, seconds, seed, rate_factor)

    def start(self) -> None:
        """Let the first arrival come."""
        self._next()

    def _next(self) -> None:
        arrival = next(self._schedule, None)
        if arrival is None:
            return
        at = self._context.started_at + arrival.at_s
        self._context.clock.call_at(at, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        self._next()
        self._context.open_conversations += 1
        conversation = self._context.planner.conversation(arrival)
        _Turns(self._context, conversation).send_turn(0, "")


@attrs.define(eq=False)
class _Turns:
    """The turns of one arrival, each after the complete response to the one before."""

    context: CallersContext
    conversation: Conversation

    def send_turn(self, turn: int, history: str) -> None:
        """Send the request of a turn."""
        plan = self.context.planner.plan(self.conversation, turn, history)

        def then(answered: bool) -> None:
            if not answered or turn + 1 >= len(self.conversation.prompts):
                self.context.open_conversations -= 1
                return
            text = plan.prompt + "".join(plan.expected)
            think_s = self.conversation.caller.think_s
            self.context.clock.call_later(think_s, lambda: self.send_turn(turn + 1, text))

        CallerRequestRun(self.context, plan, then).begin()


class CallerRequestRun:
    """One request over its attempts: the counterpart of the stand-in's `Callers._request`."""

    def __init__(self, context: CallersContext, plan: Plan, then: Then) -> None:
        now = context.clock.now
        self.context = context
        self.plan = plan
        self.chunks = 0
        self.first_at: float | None = None
        self.deadline_at = now + plan.deadline_s
        self.row = RequestRow(plan.route, now - context.started_at)
        self._then = then
        self._retry = CallerRetry(plan.caller.max_attempts, self.deadline_at)
        self._started_at = now
        self._request_id = plan.base_id
        self._renamed = 0
        self._last_node = ""
        self._has_lost_response = False
        self._is_duplicated = False

    def begin(self) -> None:
        """Send the request for the first time."""
        self.context.figures.offered(self.row)
        self._attempt()

    def mark_first_byte(self) -> None:
        """Record the time of the first byte or chunk."""
        if self.first_at is None:
            self.first_at = self.context.clock.now

    def on_attempt_ended(self, result: AttemptResult) -> None:
        """Take what an attempt came to, and do what a caller does next."""
        if result.outcome is AttemptOutcome.ANSWERED and self._loses_response():
            result = AttemptResult(AttemptOutcome.LOST)
        self.context.figures.attempted(self.row, result)
        step = self._retry.after(result, self.chunks > 0, self.context.clock.now)
        if not isinstance(step, Resend):
            self._complete(result)
            return
        if step.new_id:
            self._renamed += 1
            self._request_id = f"{self.plan.base_id}.{self._renamed}"
        self.context.clock.call_later(step.delay_s, self._attempt)

    def _loses_response(self) -> bool:
        if self._has_lost_response or not self.plan.discards_response:
            return False
        self._has_lost_response = True
        return True

    def _attempt(self) -> None:
        picked = self.context.choice.pick(self._last_node)
        if picked is None:
            self.on_attempt_ended(AttemptResult(AttemptOutcome.NO_NODE))
            return
        self._last_node = picked[0]
        self.row.attempts += 1
        CallerAttempt(self, picked[0], self._request_id, self.on_attempt_ended).start()
        if self.plan.is_duplicated and not self._is_duplicated:
            self._is_duplicated = True
            self._send_duplicate()

    def _send_duplicate(self) -> None:
        """Send the same request to another node too; what comes of it only counts."""
        picked = self.context.choice.pick(self._last_node)
        if picked is not None:
            CallerAttempt(self, picked[0], self._request_id, _ignore).start()

    def _complete(self, result: AttemptResult) -> None:
        now = self.context.clock.now
        self.row.outcome = result.outcome.value
        self.row.reason = result.reason
        self.row.total_s = now - self._started_at
        if self.first_at is not None:
            self.row.first_s = self.first_at - self._started_at
        self.context.figures.completed(self.row)
        self._then(result.outcome is AttemptOutcome.ANSWERED)


def make_choice(seed: int) -> NodePicker:
    """Return the choice of nodes that the real callers make with this seed."""
    return NodePicker(random.Random(f"{seed}/nodes"))


def _ignore(result: AttemptResult) -> None:
    """Drop what a duplicate came to."""
