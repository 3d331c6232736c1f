"""Callers in virtual time, with the seeded arrivals, requests and retries of real fleets."""

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

OnComplete = Callable[[bool], None]


class VirtualCallers:
    """All callers of a run.

    Parameters
    ----------
    spec : the load to generate.
    seconds : how long new requests arrive.
    seed : of the arrivals.
    rate_factor : multiplies every caller's rate.
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
        """Schedule the first arrival."""
        self._schedule_next_arrival()

    def _schedule_next_arrival(self) -> None:
        arrival = next(self._schedule, None)
        if arrival is None:
            return
        at = self._context.started_at + arrival.at_s
        self._context.clock.call_at(at, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        self._schedule_next_arrival()
        self._context.open_conversations += 1
        conversation = self._context.planner.conversation(arrival)
        _ConversationRun(self._context, conversation).send_turn(0, "")


@attrs.define(eq=False)
class _ConversationRun:
    """The turns of one arrival; each starts after the complete response to the previous one."""

    context: CallersContext
    conversation: Conversation

    def send_turn(self, turn: int, history: str) -> None:
        """Send the request of a turn; `history` is the text of the turns before it."""
        plan = self.context.planner.plan(self.conversation, turn, history)

        def on_complete(answered: bool) -> None:
            if not answered or turn + 1 >= len(self.conversation.prompts):
                self.context.open_conversations -= 1
                return
            next_history = plan.prompt + "".join(plan.expected)
            think_s = self.conversation.caller.think_s
            self.context.clock.call_later(think_s, lambda: self.send_turn(turn + 1, next_history))

        CallerRequestRun(self.context, plan, on_complete).begin()


class CallerRequestRun:
    """One request with all of its attempts, in place of the stand-in's `Callers._request`."""

    def __init__(self, context: CallersContext, plan: Plan, on_complete: OnComplete) -> None:
        now = context.clock.now
        self.context = context
        self.plan = plan
        self.chunks = 0
        self.first_at: float | None = None
        self.deadline_at = now + plan.deadline_s
        self.row = RequestRow(plan.route, now - context.started_at)
        self._on_complete = on_complete
        self._retry = CallerRetry(plan.caller.max_attempts, self.deadline_at)
        self._started_at = now
        self._request_id = plan.base_id
        self._new_id_count = 0
        self._last_node = ""
        self._has_discarded_response = False
        self._is_duplicate_sent = False

    def begin(self) -> None:
        """Send the request for the first time."""
        self.context.figures.count_offered(self.row)
        self._start_attempt()

    def mark_first_byte(self) -> None:
        """Record the time of the first byte or chunk."""
        if self.first_at is None:
            self.first_at = self.context.clock.now

    def on_attempt_ended(self, result: AttemptResult) -> None:
        """Handle the result of an attempt: complete the request or send it again."""
        if result.outcome is AttemptOutcome.ANSWERED and self._discard_response_once():
            result = AttemptResult(AttemptOutcome.LOST)
        self.context.figures.count_attempt_end(self.row, result)
        step = self._retry.after(result, self.chunks > 0, self.context.clock.now)
        if not isinstance(step, Resend):
            self._complete(result)
            return
        if step.new_id:
            self._new_id_count += 1
            self._request_id = f"{self.plan.base_id}.{self._new_id_count}"
        self.context.clock.call_later(step.delay_s, self._start_attempt)

    def _discard_response_once(self) -> bool:
        if self._has_discarded_response or not self.plan.discards_response:
            return False
        self._has_discarded_response = True
        return True

    def _start_attempt(self) -> None:
        picked = self.context.node_picker.pick(self._last_node)
        if picked is None:
            self.on_attempt_ended(AttemptResult(AttemptOutcome.NO_NODE))
            return
        self._last_node = picked[0]
        self.row.attempts += 1
        CallerAttempt(self, picked[0], self._request_id, self.on_attempt_ended).start()
        if self.plan.is_duplicated and not self._is_duplicate_sent:
            self._is_duplicate_sent = True
            self._send_duplicate()

    def _send_duplicate(self) -> None:
        """Send the same request to another node too; its result is ignored."""
        picked = self.context.node_picker.pick(self._last_node)
        if picked is not None:
            CallerAttempt(self, picked[0], self._request_id, _ignore_result).start()

    def _complete(self, result: AttemptResult) -> None:
        now = self.context.clock.now
        self.row.outcome = result.outcome.value
        self.row.reason = result.reason
        self.row.total_s = now - self._started_at
        if self.first_at is not None:
            self.row.first_s = self.first_at - self._started_at
        self.context.figures.add_completed(self.row)
        self._on_complete(result.outcome is AttemptOutcome.ANSWERED)


def make_node_picker(seed: int) -> NodePicker:
    """Return a picker that chooses the same nodes as the real callers with this seed."""
    return NodePicker(random.Random(f"{seed}/nodes"))


def _ignore_result(result: AttemptResult) -> None:
    """Ignore the result of a duplicate."""
