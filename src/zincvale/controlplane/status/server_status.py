"""Conditions of servers and zones: readiness, drains and evacuations."""

from __future__ import annotations

from zincvale.controlplane.status import conditions
from zincvale.controlplane.status.cluster_snapshot import ClusterSnapshot
from zincvale.controlplane.status.conditions import Condition, known_condition, unknown_condition
from zincvale.controlplane.status.drain_progress import may_run_requests
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.identifiers import ServerId, ZoneName

_REASON_BY_HEALTH = {
    ServerHealth.READY: "Ready",
    ServerHealth.COLD: "Cold",
    ServerHealth.DOWN: "Down",
}


def server_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    """Return the conditions of a server's readiness and drain."""
    row = snapshot.directory.servers.get(ServerId(name))
    if row is None:
        message = "no such server was observed; compare the name with `get servers`"
        return [unknown_condition(conditions.READY, "NotObserved", message)]
    return [_ready_condition(row), *_drain_conditions(row, snapshot)]


def zone_conditions(name: str, snapshot: ClusterSnapshot) -> list[Condition]:
    """Return the conditions of a zone's evacuation; none for a zone in service."""
    spec = snapshot.intent.zones.get(ZoneName(name))
    if spec is None or not spec.evacuated:
        return []
    rows = [row for row in snapshot.directory.servers.values() if row.zone == name]
    busy = [row for row in rows if may_run_requests(row)]
    running = sum(row.running for row in busy)
    message = f"{len(busy)} of {len(rows)} servers run {running} requests"
    done = all(snapshot.is_drain_done(row.server) for row in rows) and not (
        snapshot.lagging and not rows
    )
    reason = _drain_reason(rows, snapshot, is_done=done)
    return [
        known_condition(conditions.EVACUATING, reason, message, is_true=not done),
        known_condition(conditions.EVACUATED, reason, message, is_true=done),
    ]


def _ready_condition(row: ServerRow) -> Condition:
    ready = row.health is ServerHealth.READY
    message = f"probes find it {row.health.value}, incarnation {row.incarnation or 'unknown'}"
    return known_condition(conditions.READY, _REASON_BY_HEALTH[row.health], message, is_true=ready)


def _drain_conditions(row: ServerRow, snapshot: ClusterSnapshot) -> list[Condition]:
    if not snapshot.is_out_of_service(row):
        return []
    cause = (
        "declared drained" if snapshot.is_drained(row.server) else f"zone {row.zone} is evacuated"
    )
    message = f"{cause}; runs {row.running} requests"
    done = snapshot.is_drain_done(row.server)
    reason = _drain_reason([row], snapshot, is_done=done)
    return [
        known_condition(conditions.DRAINING, reason, message, is_true=not done),
        known_condition(conditions.DRAINED, reason, message, is_true=done),
    ]


def _drain_reason(rows: list[ServerRow], snapshot: ClusterSnapshot, *, is_done: bool) -> str:
    """Return the reason of a drain's conditions: what the drain waits for, or `Idle` if done."""
    if is_done:
        return "Idle"
    if any(not snapshot.drains.is_applied(row.server) for row in rows) or not rows:
        return "NodesLag"
    if any(may_run_requests(row) for row in rows):
        return "Running"
    return "Settling"
