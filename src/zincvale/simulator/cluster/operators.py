"""Simulated operators: changes, races, bursts, resends and lost acknowledgements."""

from __future__ import annotations

import random
from typing import Any

import attrs

from zincvale.coordination.registers.change_messages import (
    CONFLICT,
    IN_FORCE,
    INVALID,
    ChangeResult,
    ProposeChange,
)
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.history import Attempt
from zincvale.simulator.cluster.intent_log import change_body
from zincvale.simulator.cluster.invariant_checker import InvariantChecker
from zincvale.simulator.cluster.process import Process

RESPONSE_TIMEOUT_S = 6.0
"""After this an operator counts the response as lost."""
RESEND_AFTER_S = 0.5
RESENDS = 2
ROWS = 6
DELETION_SHARE = 0.2
"""Share of the changes that delete their row."""
FINAL = (IN_FORCE, CONFLICT, INVALID)


@attrs.frozen
class Order:
    """A change as an operator wrote it; resends repeat it byte for byte."""

    number: int
    base: int | None
    body: bytes
    is_bad: bool = False


@attrs.define(eq=False)
class _Sending:
    order: Order
    attempt: Attempt
    resends_left: int
    is_over: bool = False


class Operators:
    """Every operator of the cluster, and the history of the responses they got."""

    def __init__(
        self, cluster: Cluster, checker: InvariantChecker, random_source: random.Random
    ) -> None:
        self.attempts: list[Attempt] = []
        self.orders: list[Order] = []
        self.disks_lost_on_acknowledgement = 0
        """How many of the next cores to acknowledge a change lose their disk right after."""
        self._cluster = cluster
        self._checker = checker
        self._random = random_source

    def new_order(self, base: int | None, is_bad: bool = False) -> Order:
        """Write a new change."""
        number = len(self.orders) + 1
        row = f"row-{self._random.randrange(ROWS)}"
        text = None if self._random.random() < DELETION_SHARE else f"order {number}"
        order = Order(number, base, change_body(number, {row: text}, is_bad), is_bad)
        self.orders.append(order)
        return order

    def known_version(self, member: str) -> int:
        """Return the intent version that a core shows, or 0."""
        process = self._cluster.running(member)
        return process.machine.value(INTENT_KEY).version if process is not None else 0

    def send(self, order: Order, member: str, loss: float = 0.0, resends: int = RESENDS) -> Attempt:
        """Send an order through a core; unless it gets a final response, again through others.

        Parameters
        ----------
        loss : probability that the response is lost.
        """
        simulation = self._cluster.simulation
        attempt = Attempt(order.number, order.base, order.is_bad, member, simulation.now)
        self.attempts.append(attempt)
        sending = _Sending(order, attempt, resends)
        process = self._cluster.running(member)
        if process is None:
            simulation.schedule(simulation.now + RESEND_AFTER_S, self._resend, sending)
            return attempt
        is_lost = self._random.random() < loss

        def on_response(result: Any) -> None:
            self._record_result(attempt, process, result)
            if not is_lost and attempt.status in FINAL:
                sending.is_over = True
            else:
                simulation.schedule(simulation.now + RESEND_AFTER_S, self._resend, sending)

        simulation.schedule(simulation.now + RESPONSE_TIMEOUT_S, self._resend, sending)
        change = ProposeChange(INTENT_KEY, f"order-{order.number}", order.base, order.body)
        simulation.call_local(process, change, on_response)
        return attempt

    def _record_result(self, attempt: Attempt, process: Process, result: Any) -> None:
        """Record a response as it leaves the core."""
        if not isinstance(result, ChangeResult):
            return
        if result.status in FINAL:
            attempt.ended = self._cluster.simulation.now
            attempt.status = result.status
            attempt.version = result.version
            attempt.current_version = result.current_version
        self._checker.acknowledged_change(result)
        if result.status == IN_FORCE and self.disks_lost_on_acknowledgement:
            self.disks_lost_on_acknowledgement -= 1
            simulation = self._cluster.simulation
            simulation.schedule(simulation.now, self._cluster.lose_disk, process.member)

    def _resend(self, sending: _Sending) -> None:
        """Repeat an order through the next core, once."""
        if sending.is_over:
            return
        sending.is_over = True
        if sending.resends_left == 0:
            return
        cores = self._cluster.cores
        member = sending.attempt.through
        index = cores.index(member) if member in cores else 0
        self.send(sending.order, cores[(index + 1) % len(cores)], 0.0, sending.resends_left - 1)
