"""What a core does on each tick, in a fixed order, and after each input."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.coordination.core.components import ROLE_PROPOSAL_PREFIX, CoreComponents
from zincvale.coordination.delivery.rollout import Waiter
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
from zincvale.model.machine import Effect

System = Callable[[CoreComponents, float], list[Effect]]


def run_tick(parts: CoreComponents, now: float) -> list[Effect]:
    """Run every system once, in order."""
    effects: list[Effect] = []
    for system in SYSTEMS:
        effects.extend(system(parts, now))
    return effects


def drain_effects(parts: CoreComponents, now: float) -> list[Effect]:
    """Hand on what the last input brought about: chosen records, answers, news."""
    effects: list[Effect] = []
    for key, owner in parts.owners.items():
        if owner.outcomes:
            effects.extend(_carry_outcomes(parts, key, owner, now))
        if owner.phase is OwnerPhase.FOLLOWING:
            tokens = owner.take_abandoned_tokens()
            if tokens:
                effects.extend(parts.proposals.reroute(tokens, now))
    effects.extend(parts.delivery.answer_if_due(now))
    effects.extend(parts.home.pass_on_if_due(now))
    for key in DELIVERED_KEYS:
        for waiter in parts.leases.reports.satisfied(key):
            chosen_version = parts.context.chosen_version(key)
            result = ChangeResult(IN_FORCE, waiter.version, chosen_version)
            effects.extend(parts.proposals.finish(waiter.token, result, now))
    return effects


def _carry_outcomes(
    parts: CoreComponents, key: str, owner: RegisterOwner, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    outcomes, owner.outcomes = owner.outcomes, []
    for outcome in outcomes:
        match outcome:
            case RejectedProposal(token, result):
                effects.extend(parts.proposals.finish(token, result, now))
            case NewlyChosen():
                effects.extend(_carry_chosen(parts, key, outcome, now))
    return effects


def _carry_chosen(parts: CoreComponents, key: str, chosen: NewlyChosen, now: float) -> list[Effect]:
    position = chosen.record.position
    if not parts.leases.caught_up:
        # The others wait for this core's word that it owns the key before they grant leases.
        parts.statuses.send_soon(now)
    parts.values.choose(key, position.version, chosen.record.rows, now)
    effects = parts.context.to_other_cores(Chosen(key, position))
    for proposal in chosen.accepted:
        if key in DELIVERED_KEYS:
            parts.leases.reports.trackers[key].wait(Waiter(proposal.token, proposal.version))
            continue
        result = ChangeResult(IN_FORCE, proposal.version, position.version)
        effects.extend(parts.proposals.finish(proposal.token, result, now))
    return effects


def _retry_disk(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.context.replica.tick(now)


def _create_cluster(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.creation.tick(now)


def _take_keys(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.ownership.tick(now)


def _write_registers(parts: CoreComponents, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for key, owner in parts.owners.items():
        effects.extend(owner.tick(parts.context.sets.group_of(key).replicas, now))
    return effects


def _route_proposals(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.proposals.tick(now)


def _repair(parts: CoreComponents, now: float) -> list[Effect]:
    parts.repair.end_grant_block_if_complete(now)
    return parts.repair.tick(now)


def _catch_up(parts: CoreComponents, now: float) -> list[Effect]:
    leases, delivery = parts.leases, parts.delivery
    if not leases.caught_up and parts.context.is_voter():
        leases.caught_up = parts.catch_up_tracker.is_caught_up(now)
    delivery.isolated = parts.is_isolated(now)
    delivery.members_source = parts.context.owner_name if leases.caught_up else ""
    return []


def _keep_leases(parts: CoreComponents, now: float) -> list[Effect]:
    effects = parts.leases.tick(now)
    if parts.leases.members.refresh(now):
        parts.delivery.note_soft_news(now)
    return effects


def _answer_renewals(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.home.tick(now)


def _keep_registry(parts: CoreComponents, now: float) -> list[Effect]:
    if not parts.owners[REGISTRY_KEY].is_serving():
        return []
    change = parts.leases.registry_change(now)
    return _propose_own(parts, REGISTRY_KEY, change, now)


def _keep_replicas(parts: CoreComponents, now: float) -> list[Effect]:
    if not parts.owners[REPLICA_SETS_KEY].is_serving():
        return []
    change = parts.manager.next_change(now)
    return _propose_own(parts, REPLICA_SETS_KEY, change, now)


def _propose_own(parts: CoreComponents, key: str, change: bytes | None, now: float) -> list[Effect]:
    if change is None:
        return []
    return parts.proposals.propose_internal(key, key, change, now)


def _keep_roles(parts: CoreComponents, now: float) -> list[Effect]:
    effects, wanted = parts.roles.tick(now)
    change = parts.context.owner_name.encode()
    for role in wanted:
        name = f"{ROLE_PROPOSAL_PREFIX}{role}"
        key = f"{ROLE_KEY_PREFIX}{role}"
        # Of two candidates that saw the role free one gets the epoch; otherwise each would end the
        # other's lease by a newer epoch.
        base = parts.context.chosen_version(key)
        effects.extend(parts.proposals.propose_internal(name, key, change, now, base))
    return effects


def _answer_polls(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.delivery.tick(now)


def _tell_status(parts: CoreComponents, now: float) -> list[Effect]:
    return parts.statuses.tick(now)


SYSTEMS: tuple[System, ...] = (
    _retry_disk,
    _create_cluster,
    _take_keys,
    _write_registers,
    _route_proposals,
    _repair,
    _catch_up,
    _keep_leases,
    _answer_renewals,
    _keep_registry,
    _keep_replicas,
    _keep_roles,
    _answer_polls,
    _tell_status,
)
