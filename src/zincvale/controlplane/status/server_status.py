"""Conditions of servers and zones: readiness, drains and evacuations."""

from __future__ import annotations

from zincvale.controlplane.status import conditions
from zincvale.controlplane.status.cluster_snapshot import ClusterSnapshot
from zincvale.controlplane.status.conditions import Condition, holds, unknown
from zincvale.controlplane.status.drain_progress import runs_requests
from zincvale.model.identifiers import ServerId, ZoneName
from zincvale.model.view import ServerHealth, ServerRow

_REASON_BY_HEALTH = {
    ServerHealth.READY: "Ready",
    ServerHealth.COLD: "Cold",
    ServerHealth.DOWN: "Down",
}


def server_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    """Return readiness and drain of a server."""
    row = world.directory.servers.get(ServerId(name))
    if row is None:
        message = "no such server was observed; check the name against `get servers`"
        return [unknown(conditions.READY, "NotObserved", message)]
    return [_ready(row), *_drain_conditions(row, world)]


def zone_conditions(name: str, world: ClusterSnapshot) -> list[Condition]:
    """Return the progress of an evacuation; nothing for an open zone."""
    spec = world.intent.zones.get(ZoneName(name))
    if spec is None or not spec.evacuated:
        return []
    rows = [row for row in world.directory.servers.values() if row.zone == name]
    busy = [row for row in rows if runs_requests(row)]
    running = sum(row.running for row in busy)
    message = f"{len(busy)} of {len(rows)} servers run {running} requests"
    done = all(world.drain_done(row.server) for row in rows) and not (world.lagging and not rows)
    reason = _progress(rows, done, world)
    return [
        holds(conditions.EVACUATING, not done, reason, message),
        holds(conditions.EVACUATED, done, reason, message),
    ]


def _ready(row: ServerRow) -> Condition:
    ready = row.health is ServerHealth.READY
    message = f"probes find it {row.health.value}, incarnation {row.incarnation or 'unknown'}"
    return holds(conditions.READY, ready, _REASON_BY_HEALTH[row.health], message)


def _drain_conditions(row: ServerRow, world: ClusterSnapshot) -> list[Condition]:
    if not world.out_of_service(row):
        return []
    cause = "declared drained" if world.drained(row.server) else f"zone {row.zone} is evacuated"
    message = f"{cause}; runs {row.running} requests"
    done = world.drain_done(row.server)
    reason = _progress([row], done, world)
    return [
        holds(conditions.DRAINING, not done, reason, message),
        holds(conditions.DRAINED, done, reason, message),
    ]


def _progress(rows: list[ServerRow], done: bool, world: ClusterSnapshot) -> str:
    if done:
        return "Idle"
    if any(not world.drains.told(row.server) for row in rows) or not rows:
        return "NodesLag"
    if any(runs_requests(row) for row in rows):
        return "Running"
    return "Settling"
