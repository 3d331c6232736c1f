"""Read-only queries over the components of a core, for operators."""

from __future__ import annotations

from collections.abc import Iterable

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.core.status import CoreState, KeyState, ReplicaStatus
from zincvale.coordination.delivery.rollout import RolloutTracker
from zincvale.coordination.registers.ownership import Ownership
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.identifiers import Address, MemberId, ZoneName


def core_state(
    context: CoreContext, *, caught_up: bool, keys: list[KeyState], now: float
) -> CoreState:
    """Return the state of this core."""
    return CoreState(
        member=context.own_id,
        disk=context.disk,
        cluster_incarnation=context.replica_sets.cluster_incarnation,
        voting=context.is_voting(),
        caught_up=caught_up,
        disk_failure=context.replica.failure,
        quarantined=dict(context.quarantined),
        replicas=context.replica_sets.grantors().all_replicas(),
        live_cores=[str(member) for member in context.cores.live(now)],
        keys=keys,
    )


def key_states(
    context: CoreContext,
    keys: Iterable[str],
    ownership: Ownership,
    trackers: dict[str, RolloutTracker],
    now: float,
) -> list[KeyState]:
    """Return the state of each key as this core sees it."""
    states = []
    for key in keys:
        chosen = context.chosen_version(key)
        tracker = trackers.get(key)
        state = KeyState(
            key=key,
            owner=str(ownership.owner_of(key, now) or ""),
            epoch=context.replica.state(key).promised.number,
            chosen_version=chosen,
            in_force_version=tracker.rolled_out_version if tracker is not None else chosen,
        )
        states.append(state)
    return states


def replica_statuses(context: CoreContext, now: float) -> list[ReplicaStatus]:
    """Return the status of every core of the cluster as this core sees it."""
    return [_replica_status(context, member, now) for member in context.replica_sets.cores]


def _replica_status(context: CoreContext, member: MemberId, now: float) -> ReplicaStatus:
    row = context.replica_sets.cores[member]
    is_own = member == context.own_id
    status = context.cores.heartbeat_of(member)
    intent_version = context.chosen_version(INTENT_KEY) if is_own else _intent_version(status)
    return ReplicaStatus(
        member=member,
        zone=ZoneName(row.info.zone),
        peer_address=Address(row.info.peer_address),
        live=context.cores.is_live(member, now),
        voting=context.is_voting() if is_own else status is not None and status.voting,
        disk=row.disk,
        chosen_version=intent_version,
    )


def _intent_version(status: Heartbeat | None) -> int:
    keys = status.keys if status is not None else []
    return next(
        (key_status.chosen_version for key_status in keys if key_status.key == INTENT_KEY), 0
    )
