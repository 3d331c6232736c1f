"""The components of a core machine and the connections between them.

- `context.replica`, `owners`, `ownership`: the durable registers, with one owner per key;
- `cluster_creation`, `catch_up_tracker`, `value_repair`: the first record of a cluster, what a
  core must learn after its start, and values that disks lost and nodes still store;
- `proposal_router`: routes changes to the owner of a key and returns their results;
- `chosen_values`, `topic_replicator`, `long_poll_server`: tables and the long polls that read them;
- `member_leases`, `renewal_batcher`: leases of members and the versions that members applied;
- `replica_set_reconciler`: replacement of replicas;
- `leader_election`: singleton roles;
- `heartbeats`: heartbeats between the cores.
"""

from __future__ import annotations

from zincvale.coordination.changes import Reducer
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.delivery.long_poll_server import LongPollServer
from zincvale.coordination.delivery.topic_replicator import TopicReplicator
from zincvale.coordination.election.leader_election import LeaderElection
from zincvale.coordination.election.leader_lease import reduce_role
from zincvale.coordination.leases.catch_up import CatchUpTracker
from zincvale.coordination.leases.core_leases import MemberLeases
from zincvale.coordination.leases.renewal_batcher import LeaseRenewalBatcher
from zincvale.coordination.membership.heartbeats import HeartbeatSender
from zincvale.coordination.membership.registry import reduce_registry
from zincvale.coordination.registers.change_messages import IN_FORCE, ChangeResult
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
    """The components of one core and the callbacks between them.

    The components are constructed in the order of their dependencies.
    """

    def __init__(self, context: CoreContext, reducers: dict[str, Reducer]) -> None:
        timings = context.config.timings
        self.context = context
        self.owners = {
            key: RegisterOwner(key, context.owner_name, reducer, timings)
            for key, reducer in _all_reducers(context, reducers).items()
        }
        for key, owner in self.owners.items():
            owner.observe_epoch(context.replica.state(key).promised)
        self.chosen_values = ChosenValues(context, self._on_chosen)
        self.cluster_creation = ClusterCreation(context, list(self.owners))
        self.cluster_creation.apply_accepted_replica_sets()
        self.member_leases = MemberLeases(context)
        self.renewal_batcher = LeaseRenewalBatcher(context)
        self.replica_set_reconciler = ReplicaSetReconciler(context, self.owners)
        self.catch_up_tracker = CatchUpTracker(context, self.owners)
        self.ownership = Ownership(context, self.owners)
        self.proposal_router = ProposalRouter(
            context, self.owners, self.ownership, self._on_internal_result
        )
        self.value_repair = ValueRepair(context, self.owners)
        self.leader_election = LeaderElection(
            context, self.ownership.owner_of, self.value_repair.may_take_role
        )
        self.long_poll_server = LongPollServer(
            timings, context.values, context.members, context.topics
        )
        self.topic_replicator = TopicReplicator(context, self.long_poll_server)
        self.logged_grantors = context.replica_sets.grantors()
        """The replicas that vote, as last logged."""
        self.heartbeats = HeartbeatSender(context, self.owners, self.leader_election.granted_roles)

    def is_isolated(self, now: float) -> bool:
        """Whether this core and the cores that it hears do not form a majority of the cores."""
        live_cores = {self.context.own_id, *self.context.cores.live(now)}
        return not self.context.replica_sets.grantors().is_member_quorum(live_cores)

    def _on_chosen(self, key: str, version: int, now: float) -> None:
        if key in DELIVERED_KEYS:
            self.member_leases.grantor.on_chosen(key, version, now)
        if key in (REGISTRY_KEY, REPLICA_SETS_KEY):
            self.member_leases.applied_versions.on_rules_changed()
        self.long_poll_server.on_update(now)

    def _on_internal_result(self, name: str, result: ChangeResult, now: float) -> list[Effect]:
        if name.startswith(ROLE_PROPOSAL_PREFIX):
            return self.leader_election.on_epoch_proposed(
                name.removeprefix(ROLE_PROPOSAL_PREFIX), result, now
            )
        if name == REPLICA_SETS_KEY and result.status == IN_FORCE:
            self.replica_set_reconciler.check_soon()
        return []


def _all_reducers(context: CoreContext, reducers: dict[str, Reducer]) -> dict[str, Reducer]:
    all_reducers: dict[str, Reducer] = {
        REPLICA_SETS_KEY: reduce_replica_sets,
        REGISTRY_KEY: reduce_registry,
    }
    all_reducers.update(reducers)
    for role in context.config.roles:
        all_reducers[f"{ROLE_KEY_PREFIX}{role}"] = reduce_role
    return all_reducers
