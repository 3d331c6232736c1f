"""Simulated operators: they send changes and resend those whose response was lost."""

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
"""Time after which an operator considers a response lost."""
RESEND_DELAY_S = 0.5
"""Delay before an order is resent to the next core."""
MAX_RESENDS = 2
"""Number of times that an order is resent unless it gets a final response."""
ROW_COUNT = 6
"""Number of rows from which each change chooses the one that it puts or deletes."""
DELETION_SHARE = 0.2
"""Fraction of the changes that delete their row."""
FINAL_STATUSES = (IN_FORCE, CONFLICT, INVALID)
"""Statuses after which an order is not resent."""


@attrs.frozen
class Order:
    """A change request of an operator; resends contain exactly the same bytes."""

    number: int
    base_version: int | None
    body: bytes
    is_invalid: bool = False


@attrs.define(eq=False)
class _PendingAttempt:
    """An attempt that may still have to be resent."""

    order: Order
    attempt: Attempt
    resends_left: int
    is_settled: bool = False


class Operators:
    """All operators of the cluster, and the history of their requests and responses."""

    def __init__(
        self, cluster: Cluster, checker: InvariantChecker, random_source: random.Random
    ) -> None:
        self.attempts: list[Attempt] = []
        self.orders: list[Order] = []
        self.disks_lost_on_acknowledgement = 0
        """Number of upcoming acknowledgements after which the acknowledging core loses its disk."""
        self._cluster = cluster
        self._checker = checker
        self._random = random_source

    def new_order(self, base_version: int | None, is_invalid: bool = False) -> Order:
        """Create a change to a random row, based on `base_version` if there is one."""
        number = len(self.orders) + 1
        row = f"row-{self._random.randrange(ROW_COUNT)}"
        text = None if self._random.random() < DELETION_SHARE else f"order {number}"
        order = Order(
            number, base_version, change_body(number, {row: text}, is_invalid), is_invalid
        )
        self.orders.append(order)
        return order

    def known_version(self, member: str) -> int:
        """Return the intent version that a core holds, or 0 if it is not running."""
        process = self._cluster.running_process(member)
        return process.machine.value(INTENT_KEY).version if process is not None else 0

    def send(
        self, order: Order, member: str, loss: float = 0.0, resends: int = MAX_RESENDS
    ) -> Attempt:
        """Send an order to a core; resend it to the other cores until a final response arrives.

        Parameters
        ----------
        loss : probability that the response is lost.
        resends : maximum number of resends.
        """
        simulation = self._cluster.simulation
        attempt = Attempt(
            order.number, order.base_version, order.is_invalid, member, simulation.now
        )
        self.attempts.append(attempt)
        pending = _PendingAttempt(order, attempt, resends)
        process = self._cluster.running_process(member)
        if process is None:
            simulation.schedule(simulation.now + RESEND_DELAY_S, self._resend, pending)
            return attempt
        is_lost = self._random.random() < loss

        def on_response(result: Any) -> None:
            self._record_result(attempt, process, result)
            if not is_lost and attempt.status in FINAL_STATUSES:
                pending.is_settled = True
            else:
                simulation.schedule(simulation.now + RESEND_DELAY_S, self._resend, pending)

        simulation.schedule(simulation.now + RESPONSE_TIMEOUT_S, self._resend, pending)
        change = ProposeChange(INTENT_KEY, f"order-{order.number}", order.base_version, order.body)
        simulation.call_local(process, change, on_response)
        return attempt

    def _record_result(self, attempt: Attempt, process: Process, result: Any) -> None:
        """Record a response at the instant it leaves the core, even if it is lost afterwards."""
        if not isinstance(result, ChangeResult):
            return
        if result.status in FINAL_STATUSES:
            attempt.ended = self._cluster.simulation.now
            attempt.status = result.status
            attempt.version = result.version
            attempt.current_version = result.current_version
        self._checker.on_change_result(result)
        if result.status == IN_FORCE and self.disks_lost_on_acknowledgement:
            self.disks_lost_on_acknowledgement -= 1
            simulation = self._cluster.simulation
            simulation.schedule(simulation.now, self._cluster.lose_disk, process.member)

    def _resend(self, pending: _PendingAttempt) -> None:
        """Resend an order to the next core, at most once per attempt."""
        if pending.is_settled:
            return
        pending.is_settled = True
        if pending.resends_left == 0:
            return
        cores = self._cluster.cores
        member = pending.attempt.core
        index = cores.index(member) if member in cores else 0
        self.send(pending.order, cores[(index + 1) % len(cores)], 0.0, pending.resends_left - 1)
