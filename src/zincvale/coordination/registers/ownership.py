"""Decides when this core takes a key: when no core has claimed the key for a timeout.

Owners claim their keys in their heartbeats. The live candidates are ranked by rendezvous hashing,
which spreads the keys over the cores. The first candidate takes a key that has no owner; each
further candidate waits one more peer timeout.
"""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat, KeyStatus
from zincvale.coordination.membership.peer_table import rendezvous_order
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.owner import OwnerPhase, RegisterOwner
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS, REPLICA_SETS_KEY
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect

RETRY_JITTER_S = 0.4
"""Maximum random delay that is added before a retry. Without it, two candidates could end each
other's attempts again and again."""
UNOWNED_KEY_WAIT_S = 0.05
"""Time without a claim after which the first candidate takes a key when every other replica of the
key has reported that it does not own the key."""
NEW_KEY_WAIT_S = 0.3
"""Time without a claim after which the first candidate takes a key that was never owned. It is
shorter than the peer timeout because no owner's heartbeat can be in transit."""


class Ownership:
    """Tracks the owner of each key and takes keys that have none."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners
        self._claimed_at: dict[str, float] = {}
        self._claims: dict[str, tuple[Epoch, MemberId]] = {}

    def owner_of(self, key: str, now: float) -> MemberId | None:
        """Return the live core that is believed to own `key`."""
        owner = self._owners.get(key)
        if owner is not None and owner.phase is not OwnerPhase.FOLLOWING:
            return self._context.own_id
        claim = self._claims.get(key)
        if claim is None or not self._context.cores.is_live(claim[1], now):
            return None
        return claim[1] if claim[1] != self._context.own_id else None

    def handle_heartbeat(self, sender: MemberId, status: Heartbeat, now: float) -> list[Effect]:
        """Record the promises and claims in another core's heartbeat."""
        effects: list[Effect] = []
        for key_status in status.keys:
            owner = self._owners.get(key_status.key)
            if owner is not None:
                effects.extend(owner.observe_epoch(key_status.promised))
            self._record_claim(sender, key_status, now)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Take the keys that have had no owner for as long as this core must wait."""
        if not self._context.is_voting() or self._context.leaving:
            return []
        effects: list[Effect] = []
        for key, owner in self._owners.items():
            if owner.phase is not OwnerPhase.FOLLOWING:
                self._claimed_at[key] = now
            elif self._should_take(key, owner, now):
                effects.extend(self._take(key, owner, now))
        return effects

    def resign(self) -> None:
        """Stop owning every key because this process is about to stop."""
        for owner in self._owners.values():
            owner.resign()

    def _take(self, key: str, owner: RegisterOwner, now: float) -> list[Effect]:
        context = self._context
        initial_config = context.replica_sets.initial_config(key)
        known_config = context.replica.state(key).record.config
        if not known_config.replicas:
            known_config = initial_config
        jitter_s = context.random_source.uniform(0.0, RETRY_JITTER_S)
        owner.retry_at = now + context.config.timings.prepare_timeout_s + jitter_s
        return owner.start(
            known_config, initial_config, context.replica_sets.declared_config(key).replicas, now
        )

    def _record_claim(self, sender: MemberId, key_status: KeyStatus, now: float) -> None:
        claimed_epoch = key_status.owned_epoch
        if claimed_epoch is None:
            return
        previous_claim = self._claims.get(key_status.key)
        if previous_claim is not None and claimed_epoch < previous_claim[0]:
            return
        self._claims[key_status.key] = (claimed_epoch, sender)
        self._claimed_at[key_status.key] = now

    def _should_take(self, key: str, owner: RegisterOwner, now: float) -> bool:
        if now < owner.retry_at or not self._is_configuration_known(key):
            return False
        if key in DELIVERED_KEYS and now < self._context.grants_blocked_until:
            return False
        peer_timeout_s = self._context.config.timings.peer_timeout_s
        unclaimed_s = now - self._claimed_at.setdefault(key, now)
        was_owned = self._context.replica.state(key).promised != Epoch()
        first_wait_s = peer_timeout_s if was_owned else NEW_KEY_WAIT_S
        if self._is_known_unowned(key, now):
            first_wait_s = UNOWNED_KEY_WAIT_S
        return unclaimed_s > first_wait_s + peer_timeout_s * self._rank(key, now)

    def _is_known_unowned(self, key: str, now: float) -> bool:
        """Whether every other replica of the key reports that it does not own the key.

        Only heartbeats sent after this process started count. After a restart of all cores, this
        avoids waiting for an owner that no longer exists.
        """
        context = self._context
        live = context.cores.live(now)
        for member in context.replica.state(key).record.config.members():
            if member == context.own_id:
                continue
            status = live.get(member)
            if status is None or status.heard.get(context.own_id) != context.config.incarnation:
                return False
            if any(
                key_status.key == key and key_status.owned_epoch is not None
                for key_status in status.keys
            ):
                return False
        return True

    def _is_configuration_known(self, key: str) -> bool:
        """Whether the key's replicas are known, from its record or from the chosen replica sets."""
        if self._context.replica.state(key).record.config.replicas:
            return True
        chosen = self._context.chosen_version(REPLICA_SETS_KEY) > 0
        return chosen and bool(self._context.replica_sets.initial_config(key).replicas)

    def _rank(self, key: str, now: float) -> int:
        candidates = [self._context.own_id]
        for member, status in self._context.cores.live(now).items():
            if status.voting:
                candidates.append(member)
        return rendezvous_order(key, candidates).index(self._context.own_id)
