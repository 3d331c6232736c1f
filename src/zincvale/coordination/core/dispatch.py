"""Dispatches messages and calls to the components of a core."""

from __future__ import annotations

import attrs

from zincvale.coordination.core.components import CoreComponents
from zincvale.coordination.core.messages import (
    AppliedVersionsReport,
    CreateCluster,
    Heartbeat,
    RequestCores,
    RequestHeartbeat,
    UnchangedHeartbeat,
)
from zincvale.coordination.delivery.messages import FetchTopic, Poll, PublishTopic, TopicUpdate
from zincvale.coordination.election.messages import (
    LeadershipGranted,
    LeadershipRefused,
    LeadershipReleased,
    RequestLeadership,
)
from zincvale.coordination.leases.messages import (
    LeaseGranted,
    LeaseRedirect,
    LeaseReleased,
    NodeGrant,
    RelayedGrant,
    RelayedGrants,
    RelayedRenewal,
    RelayedRenewals,
    RenewLease,
)
from zincvale.coordination.registers.change_messages import (
    ForwardChange,
    ProposeChange,
    ReplaceReplica,
)
from zincvale.coordination.registers.messages import (
    Accept,
    Accepted,
    BaseVersionMissing,
    Chosen,
    ChosenValue,
    ConfirmEpoch,
    EpochConfirmed,
    FetchValue,
    Prepare,
    Promise,
    Refused,
)
from zincvale.coordination.replication.replica_sets import REPLICA_SETS_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Reply, Send

ReplicaResponse = Promise | Accepted | BaseVersionMissing | Refused | EpochConfirmed


def handle_call(
    components: CoreComponents, token: str, message: object, now: float
) -> list[Effect]:
    """Process a call; its reply is in the returned effects or follows after a later input."""
    match message:
        case ProposeChange():
            return components.proposal_router.propose(token, message, now)
        case ForwardChange():
            return components.proposal_router.handle_forwarded(token, message, now)
        case Poll():
            return components.long_poll_server.poll(token, message, now)
        case PublishTopic():
            return components.topic_replicator.publish(token, message, now)
        case RenewLease():
            return _renew_for_batch(components, token, message, now)
        case ReplaceReplica():
            return _propose_replacement(components, token, message, now)
    return []


def handle_message(
    components: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    """Process a one-way message."""
    match message:
        case Accept():
            components.chosen_values.handle_accept(message, now)
            return components.context.replica.handle(sender, message, message.key)
        case Prepare():
            return components.context.replica.handle(sender, message, message.key)
        case ConfirmEpoch():
            return components.context.replica.confirm_epoch(sender, message)
        case Promise() | Accepted() | BaseVersionMissing() | Refused() | EpochConfirmed():
            return _handle_replica_response(components, sender, message, now)
        case Chosen():
            return components.chosen_values.handle_chosen(sender, message, now)
        case FetchValue():
            return components.chosen_values.handle_fetch(sender, message)
        case ChosenValue():
            components.chosen_values.handle_value(message, now)
            return []
    return _handle_cluster_message(components, sender, message, now)


def _handle_cluster_message(
    components: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    """Process a message about the cores themselves; pass any other message on."""
    if sender == components.context.own_id and isinstance(message, Heartbeat | UnchangedHeartbeat):
        # It came through an address that names this process; it tells nothing about another core.
        return []
    match message:
        case Heartbeat():
            return _handle_heartbeat(components, sender, message, now)
        case UnchangedHeartbeat():
            return _handle_unchanged_heartbeat(components, sender, message, now)
        case RequestHeartbeat():
            components.heartbeats.schedule_full_to(sender, now)
        case CreateCluster():
            return components.cluster_creation.handle(sender, message, now)
        case RequestCores():
            return [Send(sender, LeaseRedirect(components.member_leases.core_infos(), "asked"))]
        case LeaseRedirect(cores, _):
            for info in cores:
                components.context.cores.add_core(info)
        case AppliedVersionsReport():
            components.member_leases.applied_versions.handle(sender, message)
        case _:
            return _handle_lease_message(components, sender, message, now)
    return []


def _handle_lease_message(
    components: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    """Process a message about member leases; pass any other message on."""
    match message:
        case RenewLease():
            response = _renew(components, message, now)
            return [Send(sender, response), *components.member_leases.report_if_all_applied(now)]
        case LeaseReleased(member, incarnation):
            components.member_leases.grantor.release(member, incarnation)
            return components.member_leases.report_if_all_applied(now)
        case RelayedRenewal(renewal):
            return _handle_relayed_renewal(components, sender, renewal, now)
        case RelayedRenewals():
            return _handle_renewal_batch(components, sender, message, now)
        case RelayedGrants():
            return components.renewal_batcher.handle_grants(sender, message)
    return _handle_leader_or_topic_message(components, sender, message, now)


def _handle_leader_or_topic_message(
    components: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    """Process a message about singleton roles or ephemeral topics; ignore any other message."""
    match message:
        case RequestLeadership() | LeadershipGranted() | LeadershipRefused() | LeadershipReleased():
            return components.leader_election.handle(sender, message, now)
        case TopicUpdate():
            return components.topic_replicator.handle_update(sender, message, now)
        case FetchTopic():
            return components.topic_replicator.handle_fetch(sender, message)
    return []


def _handle_replica_response(
    components: CoreComponents, sender: MemberId, message: ReplicaResponse, now: float
) -> list[Effect]:
    owner = components.owners.get(message.key)
    return owner.handle(sender, message, now) if owner is not None else []


def _handle_unchanged_heartbeat(
    components: CoreComponents, sender: MemberId, message: UnchangedHeartbeat, now: float
) -> list[Effect]:
    """Process the heartbeat that the message stands for, or request it if it is unknown here."""
    last = components.context.cores.heartbeat_of(sender)
    expected = (message.incarnation, message.number)
    if last is None or (last.info.incarnation, last.number) != expected:
        return [Send(sender, RequestHeartbeat())]
    heartbeat = attrs.evolve(last, topics=message.topics)
    return _handle_heartbeat(components, sender, heartbeat, now)


def _handle_heartbeat(
    components: CoreComponents, sender: MemberId, heartbeat: Heartbeat, now: float
) -> list[Effect]:
    previous = components.context.cores.live(now).get(sender)
    is_new = previous is None or previous.info.incarnation != heartbeat.info.incarnation
    if is_new:
        components.heartbeats.schedule_full_to(sender, now)
        components.replica_set_reconciler.check_soon()
    components.context.cores.record_heartbeat(sender, heartbeat, now)
    if (
        is_new
        or heartbeat.heard.get(components.context.own_id) != components.context.config.incarnation
    ):
        # The sender does not know this process yet, or does not know that its heartbeats arrive
        # here. Taking keys and granting roles depend on what the cores report about each other, so
        # a heartbeat is sent soon instead of at the next interval.
        components.heartbeats.schedule_soon(now)
    components.cluster_creation.record_existing_cluster(heartbeat.cluster_incarnation)
    effects = components.ownership.handle_heartbeat(sender, heartbeat, now)
    effects.extend(components.chosen_values.handle_heartbeat(sender, heartbeat, now))
    effects.extend(components.topic_replicator.handle_heartbeat(sender, heartbeat))
    return effects


def _renew(
    components: CoreComponents, renewal: RenewLease, now: float
) -> LeaseGranted | LeaseRedirect:
    components.cluster_creation.record_existing_cluster(renewal.cluster_incarnation)
    components.value_repair.record_renewal(MemberId(renewal.info.member), renewal)
    return components.member_leases.handle_renewal(
        renewal, components.value_repair.required_versions(), now
    )


def _renew_for_batch(
    components: CoreComponents, token: str, renewal: RenewLease, now: float
) -> list[Effect]:
    response = _renew(components, renewal, now)
    if not isinstance(response, LeaseGranted):
        return [Reply(token, response)]
    effects = components.renewal_batcher.add(token, renewal, response, now)
    return [*effects, *components.member_leases.report_if_all_applied(now)]


def _handle_renewal_batch(
    components: CoreComponents, sender: MemberId, batch: RelayedRenewals, now: float
) -> list[Effect]:
    grants = []
    for renewal in batch.renewals:
        response = _renew(components, renewal, now)
        if isinstance(response, LeaseGranted):
            grants.append(NodeGrant(renewal.info.member, response))
    return [
        Send(sender, RelayedGrants(grants)),
        *components.member_leases.report_if_all_applied(now),
    ]


def _handle_relayed_renewal(
    components: CoreComponents, sender: MemberId, renewal: RenewLease, now: float
) -> list[Effect]:
    response = _renew(components, renewal, now)
    if not isinstance(response, LeaseGranted):
        return []
    grant = RelayedGrant(renewal.info.member, components.context.own_id, response)
    return [Send(sender, grant), *components.member_leases.report_if_all_applied(now)]


def _propose_replacement(
    components: CoreComponents, token: str, request: ReplaceReplica, now: float
) -> list[Effect]:
    change = components.replica_set_reconciler.operator_change(request.remove, request.add)
    idempotency_key = (
        f"replace:{request.remove}:{request.add}:{components.context.replica_sets.version}"
    )
    proposal = ProposeChange(REPLICA_SETS_KEY, idempotency_key, None, change)
    return components.proposal_router.propose(token, proposal, now)
