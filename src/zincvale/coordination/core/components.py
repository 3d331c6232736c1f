"""The parts of a core machine, wired together.

- `register_replica`, `register_owner`, `ownership`: the durable registers, one owner per key;
- `creation`, `catch_up_tracker`, `repair`: the first record, what a started core must learn, what
  nodes give back;
- `proposals`: changes on their way to an owner and back;
- `chosen_values`, `core_topics`, `delivery`: what long polls are answered from;
- `core_leases`, `home_renewals`: member leases, and what their holders hold;
- `replica_set_reconciler`: replacement of replicas;
- `core_roles`: singleton roles;
- `core_statuses`: what the cores tell each other.
"""

from __future__ import annotations

from zincvale.coordination.changes import Reducer
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.delivery.core_topics import CoreTopics
from zincvale.coordination.delivery.long_poll_server import LongPollServer
from zincvale.coordination.election.leader_election import LeaderElection
from zincvale.coordination.election.leader_lease import reduce_role
from zincvale.coordination.leases.catch_up import CatchUpTracker
from zincvale.coordination.leases.core_leases import MemberLeases
from zincvale.coordination.leases.renewal_batcher import LeaseRenewalBatcher
from zincvale.coordination.membership.heartbeats import HeartbeatExchange
from zincvale.coordination.membership.registry import reduce_registry
from zincvale.coordination.registers.change_messages import ChangeResult
from zincvale.coordination.registers.chosen_values import ChosenValues
from zincvale.coordination.registers.cluster_creation import ClusterCreation
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.registers.ownership import Ownership
from zincvale.coordination.registers.proposal_router import ProposalRouter
from zincvale.coordination.registers.value_repair import ValueRepair
from zincvale.coordination.replication.replica_set_changes import reduce_replica_sets
from zincvale.coordination.replication.replica_set_reconciler import ReplicaSetReconciler
from zincvale.coordination.replication.replica_sets import (
    DELIVERED_KEYS,
    REGISTRY_KEY,
    REPLICA_SETS_KEY,
    ROLE_KEY_PREFIX,
)
from zincvale.model.machine import Effect

ROLE_PROPOSAL_PREFIX = "role:"


class CoreComponents:
    """Every part of one core, and the results they hand each other."""

    def __init__(self, context: CoreContext, reducers: dict[str, Reducer]) -> None:
        timings = context.config.timings
        self.context = context
        self.owners = {
            key: RegisterOwner(key, context.owner_name, reducer, timings)
            for key, reducer in _all_reducers(context, reducers).items()
        }
        for key, owner in self.owners.items():
            owner.observe_epoch(context.replica.state(key).promised)
        self.values = ChosenValues(context, self._on_chosen)
        self.creation = ClusterCreation(context, list(self.owners))
        self.creation.follow_accepted_replica_sets()
        self.leases = MemberLeases(context)
        self.home = LeaseRenewalBatcher(context)
        self.manager = ReplicaSetReconciler(context, self.owners)
        self.catch_up_tracker = CatchUpTracker(context, self.owners)
        self.ownership = Ownership(context, self.owners)
        self.proposals = ProposalRouter(context, self.owners, self.ownership, self._on_internal)
        self.repair = ValueRepair(context, self.owners)
        self.roles = LeaderElection(context, self.ownership.owner_of, self.repair.may_take_role)
        self.delivery = LongPollServer(timings, context.values, context.members, context.topics)
        self.topics = CoreTopics(context, self.delivery)
        self.statuses = HeartbeatExchange(context, self.owners, self.roles.granted_here)

    def is_isolated(self, now: float) -> bool:
        """Whether this core does not hear a majority of the cores, itself included."""
        heard = {self.context.own_id, *self.context.cores.live(now)}
        return not self.context.sets.grantors().is_member_quorum(heard)

    def _on_chosen(self, key: str, version: int, now: float) -> None:
        if key in DELIVERED_KEYS:
            self.leases.grantor.note_chosen(key, version, now)
        if key in (REGISTRY_KEY, REPLICA_SETS_KEY):
            self.leases.reports.note_rules_changed()
        self.delivery.note_news(now)

    def _on_internal(self, name: str, result: ChangeResult, now: float) -> list[Effect]:
        if name.startswith(ROLE_PROPOSAL_PREFIX):
            return self.roles.handle_epoch(name.removeprefix(ROLE_PROPOSAL_PREFIX), result, now)
        return []


def _all_reducers(context: CoreContext, reducers: dict[str, Reducer]) -> dict[str, Reducer]:
    everything: dict[str, Reducer] = {
        REPLICA_SETS_KEY: reduce_replica_sets,
        REGISTRY_KEY: reduce_registry,
    }
    everything.update(reducers)
    for role in context.config.roles:
        everything[f"{ROLE_KEY_PREFIX}{role}"] = reduce_role
    return everything
