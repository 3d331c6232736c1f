"""State machine of a core: control state, leases, singleton roles and delivery.

Inputs are dispatched to the components (`dispatch`). A tick runs the steps of the components in a
fixed order (`tick`). After each input, the outcomes of the components are turned into effects
(`tick.drain_effects`).
"""

from __future__ import annotations

import random
from collections import deque

import attrs

from zincvale.coordination import log_events
from zincvale.coordination.changes import (
    ChangeNotifications,
    KeyView,
    LeadershipState,
    Reducer,
    TopicView,
)
from zincvale.coordination.config import CoreConfig
from zincvale.coordination.core.components import CoreComponents
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.dispatch import handle_call, handle_message
from zincvale.coordination.core.queries import core_state, key_states, replica_statuses
from zincvale.coordination.core.status import CoreState, ReplicaStatus
from zincvale.coordination.core.tick import drain_effects, run_tick
from zincvale.coordination.membership.member_codec import MemberTableDecoder
from zincvale.coordination.membership.peer_table import PeerTable
from zincvale.coordination.registers.proposal_router import FORWARD_PREFIX
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication.replica_sets import ReplicaSets
from zincvale.model.control_tables import Members
from zincvale.model.identifiers import Address, MemberId
from zincvale.model.machine import (
    CallAbandoned,
    CallFailed,
    CallReceived,
    CallReplied,
    ClockJumped,
    Effect,
    Input,
    Log,
    MessageReceived,
    Send,
    ShutdownRequested,
    Tick,
    WriteCompleted,
)


class CoreMachine:
    """State machine of one core process with a disk.

    Parameters
    ----------
    config : identity, addresses and timings of this process.
    recovered : the state recovered from its data folder.
    reducers : the reducer of each key of the embedding application.
    random_source : the only source of randomness.
    now : current time in seconds, on the same clock as the times of all later inputs.
    """

    def __init__(
        self,
        config: CoreConfig,
        recovered: RecoveredState,
        reducers: dict[str, Reducer],
        random_source: random.Random,
        now: float,
    ) -> None:
        self._context = CoreContext(
            config=config,
            random_source=random_source,
            started_at=now,
            disk=recovered.disk,
            quarantined=recovered.damaged,
            replica=RegisterReplica(recovered, config.timings),
            cores=PeerTable(config),
        )
        self._components = CoreComponents(self._context, reducers)
        self._members = MemberTableDecoder()
        if recovered.keys:
            self._context.grants_blocked_until = now + config.timings.lease_ttl_s

    # --- inputs ---------------------------------------------------------------------------

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Process an input and return its effects, except messages to this process itself.

        These messages are processed at once.
        """
        effects: list[Effect] = []
        inputs: deque[Input] = deque([event])
        while inputs:
            for effect in self._handle_input(inputs.popleft(), now) + drain_effects(
                self._components, now
            ):
                if isinstance(effect, Send) and effect.to == self._context.own_id:
                    inputs.append(MessageReceived(effect.to, effect.message))
                else:
                    effects.append(effect)
        return effects

    def _handle_input(self, event: Input, now: float) -> list[Effect]:
        components = self._components
        match event:
            case Tick():
                return run_tick(components, now)
            case MessageReceived(sender, message):
                return handle_message(components, sender, message, now)
            case CallReceived(_, token, message):
                return handle_call(components, token, message, now)
            case CallAbandoned(token):
                components.long_poll_server.abandon(token)
            case CallReplied(token, message) if token.startswith(FORWARD_PREFIX):
                return components.proposal_router.handle_forward_reply(token, message, now)
            case CallFailed(token, _) if token.startswith(FORWARD_PREFIX):
                return components.proposal_router.handle_forward_reply(token, None, now)
            case WriteCompleted(token, error):
                effects = self._context.replica.handle_written(token, error, now)
                components.cluster_creation.apply_accepted_replica_sets()
                return effects
            case ShutdownRequested():
                return self._shut_down(now)
            case ClockJumped(gap_s):
                dropped = Log(log_events.CLOCK_JUMPED, {"gap_s": round(gap_s, 3)})
                return [dropped, *components.leader_election.give_up_all_leases(now)]
        return []

    def _shut_down(self, now: float) -> list[Effect]:
        """Give up every key and role of this process and report it in a heartbeat at once."""
        self._context.leaving = True
        self._components.ownership.resign()
        effects = self._components.leader_election.release_all_leases(now)
        self._components.heartbeats.schedule_immediately()
        return [*effects, *self._components.heartbeats.tick(now)]

    # --- queries --------------------------------------------------------------------------

    def members(self, now: float) -> Members:
        """Return the members that have live leases, as far as this core knows."""
        return self._members.update(self._context.members.version, self._context.members.rows)

    def value(self, key: str) -> KeyView:
        """Return the newest value of `key` that this core knows to be chosen."""
        table = self._context.values.get(key)
        return KeyView(table.version, table.rows) if table else KeyView()

    def may_show_state(self, now: float) -> bool:
        """Whether this core may show its control state, because the state is current.

        The state is not current until the core has caught up after its start, nor while the core
        does not hear a majority of the cores.
        """
        return self._components.member_leases.caught_up and not self._components.is_isolated(now)

    def topic(self, name: str) -> TopicView:
        """Return an ephemeral topic as last published."""
        return self._context.topics.view(name)

    def topic_epoch_seen(self, name: str) -> int:
        """Return the newest epoch of an ephemeral topic that any node has reported."""
        return self._components.long_poll_server.topic_epochs_seen.get(name, 0)

    def role(self, role_name: str, now: float) -> LeadershipState:
        """Return whether this process holds a role, with its epoch and until when it may act."""
        return self._components.leader_election.state(role_name, now)

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of a member, if known."""
        return self._context.cores.address_of(member)

    def may_stop(self, now: float) -> bool:
        """Whether this process may stop: it has no vote, or no learner could take its place."""
        if not self._context.is_voter():
            return True
        live = self._context.cores.live(now).values()
        return not any(status.can_learn for status in live)

    def live_cores(self, now: float) -> list[MemberId]:
        """Return the other cores whose last heartbeat is recent."""
        return list(self._context.cores.live(now))

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peer addresses that are used for first contact."""
        addresses = tuple(Address(seed) for seed in seeds)
        self._context.config = attrs.evolve(self._context.config, seeds=addresses)

    def take_changes(self) -> ChangeNotifications:
        """Return the notifications of changes since the last call and clear them."""
        return self._context.notifications.take()

    def applied_versions(self, key: str) -> dict[MemberId, int]:
        """Return the version of `key` that each node with a live lease last reported as applied."""
        leases = self._components.member_leases.grantor.leases
        return {
            MemberId(member): lease.applied_versions.get(key, 0) for member, lease in leases.items()
        }

    def role_holders(self, now: float) -> dict[str, tuple[MemberId | None, int]]:
        """Return the holder and epoch of each singleton role, as last granted by this core."""
        return self._components.leader_election.last_granted(now)

    def replica_sets(self) -> ReplicaSets:
        """Return the declared cores and replicas that this core uses."""
        return self._context.replica_sets

    def replica_statuses(self, now: float) -> list[ReplicaStatus]:
        """Return the status of every core of the cluster as this core sees it."""
        return replica_statuses(self._context, now)

    def state(self, now: float) -> CoreState:
        """Return the state of this core for operators."""
        components = self._components
        trackers = components.member_leases.applied_versions.trackers
        keys = key_states(self._context, components.owners, components.ownership, trackers, now)
        return core_state(
            self._context, caught_up=components.member_leases.caught_up, keys=keys, now=now
        )
