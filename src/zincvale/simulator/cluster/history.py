"""The history of the operators' requests and responses, and the check that it is linearizable.

An order is a change request; a resent order keeps its number. The value contains the number of
every order that was applied (`intent_log`), so the order of the linearization is known: the order
at index v of the log took effect as version v. It remains to check that instants
t(1) <= t(2) <= ... exist which lie within the interval of every operation. Each response bounds
them:

- an order is not applied before its first attempt begins;
- an order that was answered `in-force` at v is applied before the response arrives, and so is every
  earlier order;
- a `conflict` with current version c observed version c and not yet c + 1 at some instant within
  its interval.

The instants exist exactly when the running maximum of the lower bounds never exceeds an upper
bound.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE, INVALID

NEVER = float("inf")
"""Time of an event that does not happen, and an index that is not in the log."""


@attrs.define(eq=False)
class Attempt:
    """One request of an operator. Times are seconds of virtual time.

    Attributes
    ----------
    order : number of the change request; resends have the same number.
    base_version : version that the change is based on, None if it applies to any version.
    is_invalid : whether the reducer must refuse the change.
    core : core to which the request was sent.
    status : final status that the core returned; empty if there was none.
    """

    order: int
    base_version: int | None
    is_invalid: bool
    core: str
    began: float
    ended: float = NEVER
    status: str = ""
    version: int = 0
    current_version: int = 0


def check_history(attempts: list[Attempt], log: list[int]) -> list[str]:
    """Return the violations of linearizability in a history.

    Parameters
    ----------
    attempts : all requests, in any order.
    log : order numbers in the newest version of the value that any process holds.
    """
    index_by_order = {order: log_index for log_index, order in enumerate(log, start=1)}
    violations = _check_log(attempts, log)
    for attempt in attempts:
        violations.extend(_check_attempt(attempt, index_by_order))
    return violations or _check_times(attempts, log, index_by_order)


def _check_log(attempts: list[Attempt], log: list[int]) -> list[str]:
    violations = []
    if len(set(log)) != len(log):
        repeated = sorted({order for order in log if log.count(order) > 1})
        violations.append(f"orders {repeated} were applied twice")
    attempted = {attempt.order for attempt in attempts}
    for order in log:
        if order not in attempted:
            violations.append(f"order {order} was applied and never sent")
    return violations


def _check_attempt(attempt: Attempt, index_by_order: dict[int, int]) -> list[str]:
    log_index = index_by_order.get(attempt.order)
    name = f"order {attempt.order} through {attempt.core}"
    match attempt.status:
        case status if status == IN_FORCE and log_index != attempt.version:
            return [f"{name} was told version {attempt.version}, it is at {log_index}"]
        case status if status == IN_FORCE and attempt.base_version not in (
            None,
            attempt.version - 1,
        ):
            return [
                f"{name} on base {attempt.base_version} was accepted as version {attempt.version}"
            ]
        case status if status == CONFLICT and attempt.current_version == attempt.base_version:
            return [f"{name} conflicts with the version it was built on, {attempt.base_version}"]
        case status if status == INVALID and not attempt.is_invalid:
            return [f"{name} was called invalid and is not"]
    if attempt.is_invalid and (log_index is not None or attempt.status == IN_FORCE):
        return [f"{name} is invalid and was applied"]
    return []


def _check_times(
    attempts: list[Attempt], log: list[int], index_by_order: dict[int, int]
) -> list[str]:
    earliest = [0.0] * (len(log) + 2)
    latest = [NEVER] * (len(log) + 2)
    for order, log_index in index_by_order.items():
        earliest[log_index] = min(attempt.began for attempt in attempts if attempt.order == order)
    for attempt in attempts:
        if attempt.status == IN_FORCE:
            latest[attempt.version] = min(latest[attempt.version], attempt.ended)
        elif attempt.status == CONFLICT:
            current = attempt.current_version
            if current > len(log):
                return [f"order {attempt.order} conflicted with version {current}, never seen"]
            latest[current] = min(latest[current], attempt.ended)
            earliest[current + 1] = max(earliest[current + 1], attempt.began)
            if index_by_order.get(attempt.order, NEVER) <= current:
                return [f"order {attempt.order} conflicted with {current}, which contains it"]
    earliest_so_far = 0.0
    for version in range(1, len(log) + 1):
        earliest_so_far = max(earliest_so_far, earliest[version])
        if earliest_so_far > latest[version]:
            return [
                f"version {version} (order {log[version - 1]}) was in force at "
                f"{latest[version]:.3f} s, but cannot have been made before {earliest_so_far:.3f} s"
            ]
    return []
