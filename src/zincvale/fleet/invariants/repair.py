"""Invariant 9: a second loss right after a repair erases no acknowledged change.

The check applies all acknowledged changes in the order of their versions; the intent read from the
cores at the end of the run must contain the result. Fields that an unconfirmed order may have
changed are not compared.
"""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.operations import (
    HTTP_OK,
    AcknowledgedOrder,
    OperatorOrder,
    acknowledged_orders,
    newest_acknowledged_version,
    operator_orders,
)
from zincvale.fleet.invariants.outages import outages
from zincvale.fleet.invariants.rows import IntentRead

NUMBER = 9
TITLE = "a repair and a second loss erase nothing acknowledged"

REPAIR_KINDS = frozenset({"replace", "disk-lost", "power-loss", "restart", "kill"})

ResourceKey = tuple[str, str]


@attrs.define
class ReplayedIntent:
    """The intent that results from the acknowledged changes.

    `fields` holds the spec of each resource by its kind and name, `deleted` the resources that were
    deleted, `uncertain` the fields that an unconfirmed order may have changed (an empty field name
    means the complete resource).
    """

    fields: dict[ResourceKey, dict[str, Any]] = attrs.field(factory=dict)
    deleted: set[ResourceKey] = attrs.field(factory=set)
    uncertain: set[tuple[ResourceKey, str]] = attrs.field(factory=set)

    def apply(self, order: OperatorOrder) -> None:
        """Apply one change as the control API does, which merges a spec field by field."""
        if order.replaces_all:
            self.deleted |= set(self.fields)
            self.fields.clear()
        for resource in order.resources:
            key = (str(resource.get("kind")), str(resource.get("name")))
            spec = resource.get("spec")
            if spec is None:
                self.fields.pop(key, None)
                self.deleted.add(key)
            else:
                self.fields.setdefault(key, {}).update(spec)
                self.deleted.discard(key)

    def exclude_unconfirmed(self, order: OperatorOrder) -> None:
        """Exclude from the comparison what an unconfirmed order may have changed."""
        if order.replaces_all:
            self.fields.clear()
            self.deleted.clear()
            return
        for resource in order.resources:
            key = (str(resource.get("kind")), str(resource.get("name")))
            spec = resource.get("spec")
            names = [""] if spec is None else list(spec)
            self.uncertain |= {(key, name) for name in names}


def check(evidence: Evidence) -> CheckResult:
    """Compare the last intent read from each daemon with the acknowledged changes."""
    result = CheckResult(NUMBER, TITLE)
    orders = operator_orders(evidence)
    acked = acknowledged_orders(orders)
    for read in _last_complete_reads(evidence):
        if read.asked_t < max((item.t for item in acked), default=0.0):
            result.not_checked.append(f"{read.member} was last read before the last change")
            continue
        _check_version(result, read, acked)
        _check_content(result, read, acked, orders)
    if not result.facts and acked:
        result.not_checked.append("no daemon's intent was read after the last change")
    repairs = [outage for outage in outages(evidence) if outage.kind in REPAIR_KINDS]
    if not repairs:
        result.not_checked.append("no daemon was lost or repaired in this run")
    return result


def _check_version(result: CheckResult, read: IntentRead, acked: list[AcknowledgedOrder]) -> None:
    expected = newest_acknowledged_version(acked, read.asked_t)
    result.facts += 1
    if (read.version or 0) < expected:
        result.add_breach(
            read.member, read.t, f"ended at version {read.version}, below {expected} acknowledged"
        )


def _check_content(
    result: CheckResult,
    read: IntentRead,
    acked: list[AcknowledgedOrder],
    orders: list[OperatorOrder],
) -> None:
    replayed = ReplayedIntent()
    for item in acked:
        replayed.apply(item.order)
    for order in orders:
        if order.is_uncertain:
            replayed.exclude_unconfirmed(order)
    shown = {
        (str(item.get("kind")), str(item.get("name"))): item.get("spec") or {}
        for item in read.resources or []
    }
    for key, fields in replayed.fields.items():
        if (key, "") not in replayed.uncertain:
            certain = {
                name: value
                for name, value in fields.items()
                if (key, name) not in replayed.uncertain
            }
            _check_resource(result, read, key, certain, shown.get(key))
    for key in sorted(replayed.deleted):
        if key in shown and not _is_uncertain(replayed, key):
            result.add_breach(read.member, read.t, f"{key[0]} {key[1]} is back after its deletion")
    result.facts += len(replayed.fields)
    if replayed.uncertain:
        result.not_checked.append(
            f"{read.member}: {len(replayed.uncertain)} fields that unanswered orders may have set"
        )


def _check_resource(
    result: CheckResult,
    read: IntentRead,
    key: ResourceKey,
    certain: dict[str, Any],
    shown: dict[str, Any] | None,
) -> None:
    """Compare the fields that only acknowledged orders set with those read from the member."""
    if shown is None:
        result.add_breach(read.member, read.t, f"{key[0]} {key[1]} is missing")
        return
    for name, value in certain.items():
        if shown.get(name) != value:
            result.add_breach(
                read.member,
                read.t,
                f"{key[0]} {key[1]}: {name} is {shown.get(name)!r}, not {value!r}",
            )


def _is_uncertain(replayed: ReplayedIntent, key: ResourceKey) -> bool:
    return any(uncertain_key == key for uncertain_key, _ in replayed.uncertain)


def _last_complete_reads(evidence: Evidence) -> list[IntentRead]:
    last: dict[str, IntentRead] = {}
    for read in evidence.rows_of(IntentRead):
        if read.status == HTTP_OK and read.resources is not None:
            last[read.member] = read
    return [last[member] for member in sorted(last)]
