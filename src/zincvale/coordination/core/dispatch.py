"""Which part of a core takes which message or call."""

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
    RequestRole,
    RoleGranted,
    RoleRefused,
    RoleReleased,
)
from zincvale.coordination.leases.messages import (
    LeaseGranted,
    LeaseRedirect,
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

ReplicaAnswer = Promise | Accepted | BaseVersionMissing | Refused | EpochConfirmed


def handle_call(parts: CoreComponents, token: str, message: object, now: float) -> list[Effect]:
    """Apply a call; its reply follows now or later."""
    match message:
        case ProposeChange():
            return parts.proposals.propose(token, message, now)
        case ForwardChange():
            return parts.proposals.handle_forwarded(token, message, now)
        case Poll():
            return parts.delivery.poll(token, message, now)
        case PublishTopic():
            return parts.topics.publish(token, message, now)
        case RenewLease():
            return _renew_for_home(parts, token, message, now)
        case ReplaceReplica():
            return _replace(parts, token, message, now)
    return []


def handle_message(
    parts: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    """Apply a one-way message."""
    match message:
        case Accept():
            parts.values.handle_accept(message, now)
            return parts.context.replica.handle(sender, message, message.key)
        case Prepare():
            return parts.context.replica.handle(sender, message, message.key)
        case ConfirmEpoch():
            return parts.context.replica.confirm(sender, message)
        case Promise() | Accepted() | BaseVersionMissing() | Refused() | EpochConfirmed():
            return _handle_replica_answer(parts, sender, message, now)
        case Chosen():
            return parts.values.handle_chosen(sender, message, now)
        case FetchValue():
            return parts.values.handle_fetch(sender, message)
        case ChosenValue():
            parts.values.handle_value(message, now)
            return []
    return _handle_cluster_message(parts, sender, message, now)


def _handle_cluster_message(
    parts: CoreComponents, sender: MemberId, message: object, now: float
) -> list[Effect]:
    match message:
        case Heartbeat():
            return _handle_status(parts, sender, message, now)
        case UnchangedHeartbeat():
            return _handle_unchanged(parts, sender, message, now)
        case RequestHeartbeat():
            parts.statuses.send_whole_to(sender, now)
        case CreateCluster():
            return parts.creation.handle(sender, message, now)
        case RequestCores():
            return [Send(sender, LeaseRedirect(parts.leases.core_infos(), "asked"))]
        case LeaseRedirect(cores, _):
            for info in cores:
                parts.context.cores.note_core(info)
        case AppliedVersionsReport():
            parts.leases.reports.handle(sender, message)
        case RenewLease():
            answer = _renew(parts, message, now)
            return [Send(sender, answer), *parts.leases.report_if_complete(now)]
        case RelayedRenewal(renewal):
            return _handle_relayed(parts, sender, renewal, now)
        case RelayedRenewals():
            return _handle_batch(parts, sender, message, now)
        case RelayedGrants():
            return parts.home.handle_grants(sender, message)
        case RequestRole() | RoleGranted() | RoleRefused() | RoleReleased():
            return parts.roles.handle(sender, message, now)
        case TopicUpdate():
            return parts.topics.handle_update(sender, message, now)
        case FetchTopic():
            return parts.topics.handle_fetch(sender, message)
    return []


def _handle_replica_answer(
    parts: CoreComponents, sender: MemberId, message: ReplicaAnswer, now: float
) -> list[Effect]:
    owner = parts.owners.get(message.key)
    return owner.handle(sender, message, now) if owner is not None else []


def _handle_unchanged(
    parts: CoreComponents, sender: MemberId, message: UnchangedHeartbeat, now: float
) -> list[Effect]:
    """Take the status that the message stands for; ask for it when it is not known here."""
    last = parts.context.cores.status(sender)
    stands_for = (message.incarnation, message.number)
    if last is None or (last.info.incarnation, last.number) != stands_for:
        return [Send(sender, RequestHeartbeat())]
    status = attrs.evolve(last, topics=message.topics)
    return _handle_status(parts, sender, status, now)


def _handle_status(
    parts: CoreComponents, sender: MemberId, status: Heartbeat, now: float
) -> list[Effect]:
    known = parts.context.cores.live(now).get(sender)
    is_new = known is None or known.info.incarnation != status.info.incarnation
    if is_new:
        parts.statuses.send_whole_to(sender, now)
    parts.context.cores.note(sender, status, now)
    if is_new or status.heard.get(parts.context.own_id) != parts.context.config.incarnation:
        # The sender does not know this process yet, or not that it was heard: keys are taken and
        # roles granted by what all say of each other, so it need not wait for the next status.
        parts.statuses.send_soon(now)
    parts.creation.record_existing_cluster(status.cluster_incarnation)
    effects = parts.ownership.handle_heartbeat(sender, status, now)
    effects.extend(parts.values.handle_heartbeat(sender, status, now))
    effects.extend(parts.topics.handle_status(sender, status))
    return effects


def _renew(parts: CoreComponents, renewal: RenewLease, now: float) -> LeaseGranted | LeaseRedirect:
    parts.creation.record_existing_cluster(renewal.cluster_incarnation)
    parts.repair.record_renewal(MemberId(renewal.info.member), renewal)
    return parts.leases.handle_renew(renewal, parts.repair.required(), now)


def _renew_for_home(
    parts: CoreComponents, token: str, renewal: RenewLease, now: float
) -> list[Effect]:
    answer = _renew(parts, renewal, now)
    if not isinstance(answer, LeaseGranted):
        return [Reply(token, answer)]
    effects = parts.home.take(token, renewal, answer, now)
    return [*effects, *parts.leases.report_if_complete(now)]


def _handle_batch(
    parts: CoreComponents, sender: MemberId, batch: RelayedRenewals, now: float
) -> list[Effect]:
    grants = []
    for renewal in batch.renewals:
        answer = _renew(parts, renewal, now)
        if isinstance(answer, LeaseGranted):
            grants.append(NodeGrant(renewal.info.member, answer))
    return [Send(sender, RelayedGrants(grants)), *parts.leases.report_if_complete(now)]


def _handle_relayed(
    parts: CoreComponents, sender: MemberId, renewal: RenewLease, now: float
) -> list[Effect]:
    answer = _renew(parts, renewal, now)
    if not isinstance(answer, LeaseGranted):
        return []
    grant = RelayedGrant(renewal.info.member, parts.context.own_id, answer)
    return [Send(sender, grant), *parts.leases.report_if_complete(now)]


def _replace(
    parts: CoreComponents, token: str, request: ReplaceReplica, now: float
) -> list[Effect]:
    change = parts.manager.operator_change(request.remove, request.add)
    idempotency_key = f"replace:{request.remove}:{request.add}:{parts.context.sets.version}"
    proposal = ProposeChange(REPLICA_SETS_KEY, idempotency_key, None, change)
    return parts.proposals.propose(token, proposal, now)
