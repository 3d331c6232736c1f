"""What operators requested and got reported, and the check that it is linearizable.

The register's value names every order that led to it (`intent_log`), so the linearization is known
but for its times: the order at index v of the log took effect as version v. What remains is whether
instants t(1) <= t(2) <= ... exist that respect every operation's interval. Each response
bounds them:

- an order was not applied before its first attempt began;
- an order answered `in-force` at v was applied when the response came, and so was every
  earlier one;
- a `conflict` with current version c saw version c and not c + 1 somewhere within its interval.

The instants exist exactly when the running maximum of the lower bounds stays under the upper ones.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE, INVALID

NEVER = float("inf")


@attrs.define(eq=False)
class Attempt:
    """One request of an operator. Times are true seconds.

    Attributes
    ----------
    status : what was reported to the operator; empty when unknown.
    """

    order: int
    base: int | None
    is_bad: bool
    through: str
    began: float
    ended: float = NEVER
    status: str = ""
    version: int = 0
    current_version: int = 0


def check_history(attempts: list[Attempt], log: list[int]) -> list[str]:
    """Return what is wrong with a history.

    Parameters
    ----------
    attempts : in any order.
    log : the orders of the newest version that any replica of the value has.
    """
    index_by_order = {order: log_index for log_index, order in enumerate(log, start=1)}
    problems = _check_log(attempts, log)
    for attempt in attempts:
        problems.extend(_check_attempt(attempt, index_by_order))
    return problems or _check_times(attempts, log, index_by_order)


def _check_log(attempts: list[Attempt], log: list[int]) -> list[str]:
    problems = []
    if len(set(log)) != len(log):
        repeated = sorted({order for order in log if log.count(order) > 1})
        problems.append(f"orders {repeated} were applied twice")
    attempted = {attempt.order for attempt in attempts}
    for order in log:
        if order not in attempted:
            problems.append(f"order {order} was applied and never sent")
    return problems


def _check_attempt(attempt: Attempt, index_by_order: dict[int, int]) -> list[str]:
    log_index = index_by_order.get(attempt.order)
    name = f"order {attempt.order} through {attempt.through}"
    match attempt.status:
        case status if status == IN_FORCE and log_index != attempt.version:
            return [f"{name} was told version {attempt.version}, it is at {log_index}"]
        case status if status == IN_FORCE and attempt.base not in (None, attempt.version - 1):
            return [f"{name} on base {attempt.base} was accepted as version {attempt.version}"]
        case status if status == CONFLICT and attempt.current_version == attempt.base:
            return [f"{name} conflicts with the version it was built on, {attempt.base}"]
        case status if status == INVALID and not attempt.is_bad:
            return [f"{name} was called invalid and is not"]
    if attempt.is_bad and (log_index is not None or attempt.status == IN_FORCE):
        return [f"{name} is invalid and was applied"]
    return []


def _check_times(
    attempts: list[Attempt], log: list[int], index_by_order: dict[int, int]
) -> list[str]:
    lower = [0.0] * (len(log) + 2)
    upper = [NEVER] * (len(log) + 2)
    for order, log_index in index_by_order.items():
        lower[log_index] = min(attempt.began for attempt in attempts if attempt.order == order)
    for attempt in attempts:
        if attempt.status == IN_FORCE:
            upper[attempt.version] = min(upper[attempt.version], attempt.ended)
        elif attempt.status == CONFLICT:
            current = attempt.current_version
            if current > len(log):
                return [f"order {attempt.order} conflicted with version {current}, never seen"]
            upper[current] = min(upper[current], attempt.ended)
            lower[current + 1] = max(lower[current + 1], attempt.began)
            if index_by_order.get(attempt.order, NEVER) <= current:
                return [f"order {attempt.order} conflicted with {current}, which contains it"]
    reached = 0.0
    for version in range(1, len(log) + 1):
        reached = max(reached, lower[version])
        if reached > upper[version]:
            return [
                f"version {version} (order {log[version - 1]}) was in force at "
                f"{upper[version]:.3f} s, but cannot have been made before {reached:.3f} s"
            ]
    return []
