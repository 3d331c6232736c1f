"""Steps that a core runs on each tick, and the effects of outcomes after each input.

The order of the steps matters: a step sees what the earlier steps of the same tick decided. For
example, leases see the keys that were taken, and heartbeats, which are sent last, report all of it.
"""

from __future__ import annotations

from collections.abc import Callable

from zincvale.coordination import log_events
from zincvale.coordination.core.components import ROLE_PROPOSAL_PREFIX, CoreComponents
from zincvale.coordination.delivery.rollout import ChosenChange
from zincvale.coordination.registers.change_messages import IN_FORCE, ChangeResult
from zincvale.coordination.registers.messages import Chosen
from zincvale.coordination.registers.owner import NewlyChosen, OwnerPhase, RegisterOwner
from zincvale.coordination.registers.ownership_proof import RejectedProposal
from zincvale.coordination.replication.replica_sets import (
    DELIVERED_KEYS,
    REGISTRY_KEY,
    REPLICA_SETS_KEY,
    ROLE_KEY_PREFIX,
)
from zincvale.model.machine import Effect, Log

TickStep = Callable[[CoreComponents, float], list[Effect]]


def run_tick(components: CoreComponents, now: float) -> list[Effect]:
    """Run all steps once in their order and return their effects."""
    effects: list[Effect] = []
    for step in TICK_STEPS:
        effects.extend(step(components, now))
    return effects


def drain_effects(components: CoreComponents, now: float) -> list[Effect]:
    """Turn the outcomes of the last input into effects: results, responses and updates."""
    effects: list[Effect] = []
    for key, owner in components.owners.items():
        if owner.outcomes:
            effects.extend(_drain_outcomes(components, key, owner, now))
        if owner.phase is OwnerPhase.FOLLOWING:
            tokens = owner.take_abandoned_tokens()
            if tokens:
                effects.extend(components.proposal_router.reroute(tokens, now))
    effects.extend(_log_changed_replicas(components))
    effects.extend(components.long_poll_server.respond_if_due(now))
    effects.extend(components.renewal_batcher.forward_if_due(now))
    for key in DELIVERED_KEYS:
        rolled_out = components.member_leases.applied_versions.take_rolled_out_changes(key)
        if rolled_out:
            effects.extend(_log_unconfirmed(components, key, rolled_out[-1].version))
        for change in rolled_out:
            chosen_version = components.context.chosen_version(key)
            result = ChangeResult(IN_FORCE, change.version, chosen_version)
            effects.extend(components.proposal_router.finish(change.token, result, now))
    return effects


def _log_changed_replicas(components: CoreComponents) -> list[Effect]:
    sets = components.context.replica_sets
    grantors = sets.grantors()
    if grantors == components.logged_grantors:
        return []
    components.logged_grantors = grantors
    fields = {
        "version": sets.version,
        "replicas": grantors.replicas,
        "previous": grantors.previous,
    }
    return [Log(log_events.REPLICAS_CHANGED, fields)]


def _log_unconfirmed(components: CoreComponents, key: str, version: int) -> list[Effect]:
    nodes = components.member_leases.applied_versions.unconfirmed_nodes(key)
    if not nodes:
        return []
    fields = {"key": key, "version": version, "nodes": nodes}
    return [Log(log_events.NODES_NOT_CONFIRMED, fields)]


def _drain_outcomes(
    components: CoreComponents, key: str, owner: RegisterOwner, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    outcomes, owner.outcomes = owner.outcomes, []
    for outcome in outcomes:
        match outcome:
            case RejectedProposal(token, result):
                effects.extend(components.proposal_router.finish(token, result, now))
            case NewlyChosen():
                effects.extend(_apply_chosen(components, key, outcome, now))
    return effects


def _apply_chosen(
    components: CoreComponents, key: str, chosen: NewlyChosen, now: float
) -> list[Effect]:
    position = chosen.record.position
    if not components.member_leases.caught_up:
        # Other cores grant leases only once a heartbeat reports that this core owns the key.
        components.heartbeats.schedule_soon(now)
    components.chosen_values.record_chosen(key, position.version, chosen.record.rows, now)
    effects = components.context.to_other_cores(Chosen(key, position))
    for proposal in chosen.accepted:
        if key in DELIVERED_KEYS:
            components.member_leases.applied_versions.trackers[key].add_pending(
                ChosenChange(proposal.token, proposal.version)
            )
            continue
        result = ChangeResult(IN_FORCE, proposal.version, position.version)
        effects.extend(components.proposal_router.finish(proposal.token, result, now))
    return effects


def _retry_disk(components: CoreComponents, now: float) -> list[Effect]:
    return components.context.replica.tick(now)


def _create_cluster(components: CoreComponents, now: float) -> list[Effect]:
    return components.cluster_creation.tick(now)


def _take_unowned_keys(components: CoreComponents, now: float) -> list[Effect]:
    return components.ownership.tick(now)


def _tick_owners(components: CoreComponents, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for key, owner in components.owners.items():
        effects.extend(
            owner.tick(components.context.replica_sets.declared_config(key).replicas, now)
        )
    return effects


def _route_proposals(components: CoreComponents, now: float) -> list[Effect]:
    return components.proposal_router.tick(now)


def _repair_values(components: CoreComponents, now: float) -> list[Effect]:
    components.value_repair.end_grant_block_if_complete(now)
    return components.value_repair.tick(now)


def _update_catch_up(components: CoreComponents, now: float) -> list[Effect]:
    leases, server = components.member_leases, components.long_poll_server
    if not leases.caught_up and components.context.is_voter():
        leases.caught_up = components.catch_up_tracker.is_caught_up(now)
    server.is_isolated = components.is_isolated(now)
    server.members_source = components.context.owner_name if leases.caught_up else ""
    return []


def _tick_leases(components: CoreComponents, now: float) -> list[Effect]:
    effects = components.member_leases.tick(now)
    if components.member_leases.members.refresh(now):
        components.long_poll_server.on_ephemeral_update(now)
    return effects


def _send_renewal_batches(components: CoreComponents, now: float) -> list[Effect]:
    return components.renewal_batcher.tick(now)


def _reconcile_registry(components: CoreComponents, now: float) -> list[Effect]:
    if not components.owners[REGISTRY_KEY].is_serving():
        return []
    change = components.member_leases.next_registry_change(now)
    return _propose_internal(components, REGISTRY_KEY, change, now)


def _reconcile_replica_sets(components: CoreComponents, now: float) -> list[Effect]:
    if not components.owners[REPLICA_SETS_KEY].is_serving():
        return []
    change = components.replica_set_reconciler.next_change(now)
    return _propose_internal(components, REPLICA_SETS_KEY, change, now)


def _propose_internal(
    components: CoreComponents, key: str, change: bytes | None, now: float
) -> list[Effect]:
    if change is None:
        return []
    return components.proposal_router.propose_internal(key, key, change, now)


def _tick_leader_election(components: CoreComponents, now: float) -> list[Effect]:
    effects, requested_roles = components.leader_election.tick(now)
    change = components.context.owner_name.encode()
    for role in requested_roles:
        name = f"{ROLE_PROPOSAL_PREFIX}{role}"
        key = f"{ROLE_KEY_PREFIX}{role}"
        # If two candidates see the role free, the base version lets only one of them get a new
        # epoch. Otherwise each would end the lease of the other by taking a newer epoch.
        base_version = components.context.chosen_version(key)
        effects.extend(
            components.proposal_router.propose_internal(name, key, change, now, base_version)
        )
    return effects


def _tick_long_polls(components: CoreComponents, now: float) -> list[Effect]:
    return components.long_poll_server.tick(now)


def _send_heartbeats(components: CoreComponents, now: float) -> list[Effect]:
    return components.heartbeats.tick(now)


TICK_STEPS: tuple[TickStep, ...] = (
    _retry_disk,
    _create_cluster,
    _take_unowned_keys,
    _tick_owners,
    _route_proposals,
    _repair_values,
    _update_catch_up,
    _tick_leases,
    _send_renewal_batches,
    _reconcile_registry,
    _reconcile_replica_sets,
    _tick_leader_election,
    _tick_long_polls,
    _send_heartbeats,
)
