"""The node's state machine: its lease, its long poll, its peers, and whether it may serve.

The node renews its lease with one call to a coordinating core. If that call fails, it renews at
every core. When the lease is about to expire, it also sends renewals through peers and to the
seeds. The machine performs no I/O: it turns inputs into effects, and receives the time and the
source of randomness as arguments.
"""

from __future__ import annotations

import random

from zincvale.coordination import log_events
from zincvale.coordination.changes import ChangeNotifications, KeyView, TopicView
from zincvale.coordination.config import NodeConfig, ReadinessRule
from zincvale.coordination.core.messages import Heartbeat, RequestCores
from zincvale.coordination.delivery.long_poll_client import POLL_TOKEN_PREFIX, LongPollClient
from zincvale.coordination.delivery.long_poll_server import LongPollServer, delta_message
from zincvale.coordination.delivery.messages import Poll, PollResponse
from zincvale.coordination.leases.member_lease import MemberLeaseHolder
from zincvale.coordination.leases.messages import (
    LeaseGranted,
    LeaseGrants,
    LeaseRedirect,
    LeaseReleased,
    PartitionEvidence,
    PartitionProbe,
    RelayedGrant,
    RelayedRenewal,
    RelayRenewal,
    RenewLease,
)
from zincvale.coordination.leases.renewal_client import RENEWAL_TOKEN_PREFIX, RenewalClient
from zincvale.coordination.membership.member_codec import MemberTableDecoder, decode_member
from zincvale.coordination.membership.registry import decode_row
from zincvale.coordination.node.partition_guard import PartitionGuard
from zincvale.coordination.registers.messages import ChosenValue, FetchValue
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS, INTENT_KEY, REGISTRY_KEY
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
)

HEALTHY_LEASE_FRACTION = 0.5
"""Fraction of the lease lifetime. With less than this remaining, a renewal must have failed, so the
node renews at every core instead of through the coordinator."""
PROBE_LEASE_FRACTION = 0.45
"""Fraction of the lease lifetime. With less than this remaining, renewals get no responses, so the
node probes peers for a partition. It is below HEALTHY_LEASE_FRACTION, so that the node tries to
renew at every core first."""
RELAY_LEASE_FRACTION = 0.3
"""Fraction of the lease lifetime. With less than this remaining, the node also renews through
peers; by then, direct renewals have had time to get a response."""
FIRST_RETRY_S = 0.06
"""Base of the interval between renewals before the first lease, in seconds. It is short so that a
node becomes ready soon after its start."""
RETRY_GROWTH = 1.25
"""Factor by which the interval between renewals before the first lease grows with each renewal, up
to `lease_renew_s`. Without growth, many nodes that start together while no core can grant would
overload the cores."""
RELAY_PEERS = 2
"""Number of peers that a renewal is sent to in one round; each forwards it to every core."""
RELAY_INTERVAL_S = 0.3
"""Minimum interval between two rounds of renewals through peers, in seconds."""
SEED_INTERVAL_S = 2.0
"""Interval between two renewals at the seeds while the lease is expiring, in seconds. The seeds are
needed because every known core may have moved to another address."""


class NodeMachine:
    """One data-plane process's view of the control state.

    Parameters
    ----------
    config : the identity, addresses and timings of this process.
    random_source : the only source of randomness.
    now : the time of the process's start, in seconds on the clock of every later input.
    """

    def __init__(self, config: NodeConfig, random_source: random.Random, now: float) -> None:
        self._config = config
        self._random = random_source
        self._lease = MemberLeaseHolder(config)
        self._poll_client = LongPollClient(config, DELIVERED_KEYS, random_source)
        self._partition_guard = PartitionGuard(config, random_source, now)
        self._renewal_client = RenewalClient(config, random_source)
        self._poll_server = LongPollServer(
            config.timings,
            self._poll_client.values,
            self._poll_client.members,
            self._poll_client.topics,
        )
        self._members = MemberTableDecoder()
        self._renew_at = now
        self._relay_at = now
        self._seed_at = now + SEED_INTERVAL_S
        self._was_ready = False
        self._responded_at: dict[MemberId, float] = {}
        """When each core last responded to this node directly."""
        self._had_lease = False
        self._renewals_before_lease = 0
        self._has_poll_response = False
        self._has_left = False
        """Whether this node has given up its lease for good, because its process ends."""

    # --- inputs ---------------------------------------------------------------------------

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Apply one input and return the resulting effects."""
        if self._has_left:
            return []
        if isinstance(event, ShutdownRequested):
            return self._leave(now)
        effects = self._handle_one(event, now)
        effects.extend(self._report_readiness_change(now))
        effects.extend(self._poll_client.take_logs())
        return effects

    def _handle_one(self, event: Input, now: float) -> list[Effect]:
        match event:
            case Tick():
                return self._handle_tick(now)
            case MessageReceived(sender, message):
                return self._handle_message(sender, message, now)
            case CallReplied(token, LeaseGrants() as grants) if token.startswith(
                RENEWAL_TOKEN_PREFIX
            ):
                return self._handle_lease_grants(token, grants, now)
            case CallReplied(token, _) | CallFailed(token, _) if token.startswith(
                RENEWAL_TOKEN_PREFIX
            ):
                return self._handle_renewal_failure(token, now)
            case CallReplied(token, PollResponse() as response) if token.startswith(
                POLL_TOKEN_PREFIX
            ):
                return self._handle_poll_response(token, response, now)
            case CallReplied(token, _) | CallFailed(token, _) if token.startswith(
                POLL_TOKEN_PREFIX
            ):
                self._poll_client.handle_failure(token, now)
            case CallReceived(_, token, Poll() as poll):
                return self._poll_server.poll(token, poll, now)
            case CallAbandoned(token):
                self._poll_server.abandon(token)
            case ClockJumped(gap_s):
                self._lease.discard_grants()
                self._renewal_client.abandon_call()
                self._partition_guard.discard_evidence()
                # Nodes that were frozen together could otherwise take each other's evidence for an
                # outage of the cores, which may have acknowledged newer versions meanwhile.
                self._had_lease = self._had_lease and self._serves_on_evidence()
                self._poll_client.restart(None)
                return [Log(log_events.CLOCK_JUMPED, {"gap_s": round(gap_s, 3)})]
        return []

    def _leave(self, now: float) -> list[Effect]:
        """Give up the lease, so that no change waits until it expires.

        Evidence that this node gave may still let another one serve; its versions must then not
        count as confirmed, so the lease expires instead.
        """
        self._has_left = True
        if self._serves_on_evidence() and not self._partition_guard.may_confirm(now):
            return []
        released = LeaseReleased(self._config.member, self._config.incarnation)
        return [Send(core, released) for core in self._lease.grantors()]

    def _handle_message(self, sender: MemberId, message: object, now: float) -> list[Effect]:
        match message:
            case LeaseGranted():
                self._responded_at[sender] = now
                return self._handle_granted(sender, sender, message, now)
            case RelayedGrant(node, core, granted) if node == self._config.member:
                return self._handle_granted(MemberId(core), sender, granted, now)
            case LeaseRedirect(cores, _, can_grant):
                self._lease.add_cores(cores)
                if can_grant and not self.has_lease(now):
                    return self._renew(now)
            case _:
                return self._handle_peer_message(sender, message, now)
        return []

    def _handle_peer_message(self, sender: MemberId, message: object, now: float) -> list[Effect]:
        """Apply a message from a peer, or from a process that looks for cores."""
        match message:
            case RelayedGrant(node, _, _):
                return [Send(MemberId(node), message)]
            case RelayRenewal(renewal) if self.has_lease(now):
                return [Send(core, RelayedRenewal(renewal)) for core in self._lease.grantors()]
            case RenewLease() | Heartbeat() | RequestCores() if self._lease.cores:
                return [Send(sender, LeaseRedirect(list(self._lease.cores.values()), "a node"))]
            case PartitionProbe() if self._may_give_evidence(now):
                return self._partition_guard.give_evidence(
                    sender,
                    message,
                    self._registry_rows(),
                    self._poll_client.applied_versions(),
                    now,
                )
            case PartitionEvidence():
                self._partition_guard.record_evidence(
                    sender, message, self._registry_rows(), self._poll_client.applied_versions()
                )
            case FetchValue():
                return self._handle_fetch(sender, message)
        return []

    def _handle_granted(
        self, core: MemberId, responder: MemberId, granted: LeaseGranted, now: float
    ) -> list[Effect]:
        self._lease.handle_granted(core, granted)
        self._poll_client.on_newest_versions(responder, granted.chosen, now)
        if self.has_lease(now):
            self._had_lease = True
        return list(self._poll_client.tick(self._poll_hosts(now), now))

    def _handle_tick(self, now: float) -> list[Effect]:
        self._poll_server.is_isolated = not self.has_lease(now)
        hosts = self._poll_hosts(now)
        self._poll_client.abandon_unresponsive_host(self._responsive_cores(now) or hosts, now)
        effects: list[Effect] = list(self._poll_client.tick(hosts, now))
        if now >= self._renew_at:
            effects.extend(self._renew_through_coordinator(now))
        effects.extend(self._poll_server.tick(now))
        if self._is_lease_expiring(now):
            effects.extend(self._contact_peers_and_seeds(now))
        return effects

    def _handle_poll_response(self, token: str, response: PollResponse, now: float) -> list[Effect]:
        has_changed_key = self._poll_client.handle_response(token, response, now)
        self._has_poll_response = True
        self._poll_server.members_source = self._poll_client.members_source
        self._poll_server.on_update(now)
        effects: list[Effect] = list(self._poll_client.tick(self._poll_hosts(now), now))
        if has_changed_key:
            effects.extend(self._renew(now))
        return effects

    def _handle_fetch(self, sender: MemberId, fetch: FetchValue) -> list[Effect]:
        """Send the full value of a key to a core that has an older version or lost it."""
        table = self._poll_client.values.get(fetch.key)
        if table is None or table.version <= fetch.version:
            return []
        return [Send(sender, ChosenValue(delta_message(fetch.key, table.full())))]

    # --- cores and peers ------------------------------------------------------------------

    def _renew_through_coordinator(self, now: float) -> list[Effect]:
        """Renew with one call to the coordinating core.

        Without a coordinator, or if a renewal has failed, renew at every core instead.
        """
        if self._renewal_client.is_waiting():
            return []
        if self._remaining_s(now) < self._config.timings.lease_ttl_s * HEALTHY_LEASE_FRACTION:
            return self._renew(now)
        grantors = self._lease.grantors()
        preferred = self._lease.in_own_zone(grantors)
        call = self._renewal_client.renew(grantors, preferred, self._renewal(now), now)
        if call is None:
            return self._renew(now)
        self._renew_at = now + self._config.timings.lease_renew_s
        return [call]

    def _handle_lease_grants(self, token: str, response: LeaseGrants, now: float) -> list[Effect]:
        coordinator = self._renewal_client.complete_call(token)
        if coordinator is None:
            return []
        self._responded_at[coordinator] = now
        effects: list[Effect] = []
        for grant in response.grants:
            core = MemberId(grant.core)
            effects.extend(self._handle_granted(core, coordinator, grant.granted, now))
        granted = [MemberId(grant.core) for grant in response.grants]
        has_majority = self._lease.is_majority(granted)
        self._renewal_client.on_response(has_majority=has_majority, now=now)
        if not has_majority:
            renewal = self._renewal(now)
            missing = [core for core in self._lease.grantors() if core not in granted]
            effects.extend(Send(core, renewal) for core in missing)
        return effects

    def _handle_renewal_failure(self, token: str, now: float) -> list[Effect]:
        if self._renewal_client.complete_call(token) is None:
            return []
        self._renewal_client.on_failure(now)
        return self._renew(now)

    def _renew(self, now: float) -> list[Effect]:
        """Renew at every core."""
        self._renew_at = now + self._renewal_interval_s()
        renewal = self._renewal(now)
        return [Send(target, renewal) for target in self._lease.renewal_targets()]

    def _renewal_interval_s(self) -> float:
        """Return the time to the next renewal; before the first lease it is short and grows."""
        renew_s = self._config.timings.lease_renew_s
        if self._had_lease:
            return renew_s
        self._renewals_before_lease += 1
        return min(renew_s, FIRST_RETRY_S * RETRY_GROWTH**self._renewals_before_lease)

    def _renewal(self, now: float) -> RenewLease:
        return self._lease.renewal(
            self._poll_client.applied_versions(),
            ready=self.ready(now),
            may_confirm=self._partition_guard.may_confirm(now),
            fence=self._poll_client.topics.newest_epoch(),
            now=now,
        )

    def _contact_peers_and_seeds(self, now: float) -> list[Effect]:
        """Probe peers for a partition, and renew through peers and at the seeds when due."""
        effects = self._partition_guard.probe(self._registry_rows(), now)
        expires_soon = (
            self._remaining_s(now) < self._config.timings.lease_ttl_s * RELAY_LEASE_FRACTION
        )
        if expires_soon and now >= self._relay_at:
            self._relay_at = now + RELAY_INTERVAL_S
            renewal = self._renewal(now)
            effects.extend(Send(peer, RelayRenewal(renewal)) for peer in self._random_peers())
        if now >= self._seed_at:
            self._seed_at = now + SEED_INTERVAL_S
            renewal = self._renewal(now)
            effects.extend(Send(seed, renewal) for seed in self._lease.seeds())
        return effects

    def _peers(self) -> list[MemberId]:
        return [MemberId(node) for node in self._registry_rows() if node != self._config.member]

    def _random_peers(self) -> list[MemberId]:
        peers = self._peers()
        return self._random.sample(peers, min(RELAY_PEERS, len(peers)))

    def _poll_hosts(self, now: float) -> list[MemberId]:
        """Return which hosts may be polled: responsive cores, else newer peers, else all peers.

        Cores in the node's own zone are preferred, because their responses cross no zone boundary.
        Newer peers are those that have applied a newer version than this node.
        """
        responsive = self._poll_client.without_isolated_hosts(self._responsive_cores(now), now)
        if responsive:
            return self._lease.in_own_zone(responsive) or responsive
        return (
            self._partition_guard.newer_peers(self._poll_client.applied_versions(), now)
            or self._peers()
        )

    def _responsive_cores(self, now: float) -> list[MemberId]:
        """Return the cores that responded directly to this node within the last lease lifetime."""
        earliest = now - self._config.timings.lease_ttl_s
        return [core for core in self._lease.cores if self._responded_at.get(core, 0.0) > earliest]

    def _registry_rows(self) -> dict[str, bytes]:
        return self._poll_client.values[REGISTRY_KEY].rows

    # --- freshness ------------------------------------------------------------------------

    def _serves_on_evidence(self) -> bool:
        return self._config.readiness is ReadinessRule.LEASE_OR_EVIDENCE

    def _is_lease_expiring(self, now: float) -> bool:
        """Whether the lease has expired, or is about to because renewals get no responses."""
        remaining_s = self._remaining_s(now)
        if remaining_s > 0 and self._renewal_client.is_waiting():
            return False
        return remaining_s < self._config.timings.lease_ttl_s * PROBE_LEASE_FRACTION

    def _remaining_s(self, now: float) -> float:
        """Return the remaining time of the lease in seconds; negative once it has expired."""
        return self._lease.valid_until(self._poll_client.applied_versions()) - now

    def _may_give_evidence(self, now: float) -> bool:
        """Whether this node may give evidence of a partition: it had a lease and is losing it.

        Only a node that had a lease knows every version that was acknowledged before that lease.
        """
        return self._had_lease and self._is_lease_expiring(now)

    def _report_readiness_change(self, now: float) -> list[Effect]:
        """Log a change of readiness, and report it to every core with an immediate renewal."""
        ready = self.ready(now)
        if ready == self._was_ready:
            return []
        self._was_ready = ready
        event = log_events.NODE_READY if ready else log_events.NODE_UNREADY
        return [Log(event, {"intent_version": self.intent().version}), *self._renew(now)]

    # --- queries --------------------------------------------------------------------------

    def has_lease(self, now: float) -> bool:
        """Whether the lease is valid for the versions that this node has applied."""
        return now < self._lease.valid_until(self._poll_client.applied_versions())

    def has_evidence(self, now: float) -> bool:
        """Whether a majority of the registered nodes reaches no core and has applied nothing newer.

        Under `ReadinessRule.LEASE`, a newer version may be acknowledged meanwhile.
        """
        if not self._had_lease:
            return False
        return now < self._partition_guard.valid_until(self._registry_rows(), now)

    def fresh(self, now: float) -> bool:
        """Whether no version newer than those applied here can have been acknowledged."""
        if self._has_left:
            return False
        if self.has_lease(now):
            return True
        return self._serves_on_evidence() and self.has_evidence(now)

    def ready(self, now: float) -> bool:
        """Whether the node may accept new work: it is fresh and has received a poll response."""
        return self._has_poll_response and self.fresh(now)

    def intent(self) -> KeyView:
        """Return the operators' configuration as applied by this node."""
        return self.value(INTENT_KEY)

    def value(self, key: str) -> KeyView:
        """Return a delivered key as applied by this node; version 0 if there is none."""
        table = self._poll_client.values.get(key)
        return KeyView(table.version, table.rows) if table is not None else KeyView()

    def topic(self, name: str) -> TopicView:
        """Return an ephemeral topic as last received."""
        return self._poll_client.topics.view(name)

    def members(self, _now: float) -> Members:
        """Return the member table as last received.

        The time is unused; the query has the same parameters as that of `CoreMachine`.
        """
        return self._members.update(
            self._poll_client.members.version, self._poll_client.members.rows
        )

    def address_of(self, member: MemberId) -> Address | None:
        """Return the peer address of a member, if known."""
        address = self._lease.address_of(member)
        if address is not None:
            return address
        row = self._poll_client.members.rows.get(member)
        if row is not None:
            return decode_member(member, row).peer_address
        registry_row = self._registry_rows().get(member)
        return Address(decode_row(registry_row).peer_address) if registry_row is not None else None

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the peer addresses for first contact."""
        self._lease.use_seeds(tuple(Address(seed) for seed in seeds))

    def take_changes(self) -> ChangeNotifications:
        """Return what has changed since the last call."""
        return self._poll_client.notifications.take()
