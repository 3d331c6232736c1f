"""Creation of a cluster, once, by its first initial core.

The first core of the list waits until every initial core reports an empty disk and no process
reports an older cluster of this id; then it writes the first `replica-sets` record, which binds the
votes to the disks' identities, and sends it to the others.
"""

from __future__ import annotations

from zincvale.coordination import log_events
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import CreateCluster, Heartbeat
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.record_codec import StoredKeyState
from zincvale.coordination.registers.records import Record
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.coordination.replication.replica_sets import (
    CLUSTER_ROW,
    REPLICA_SETS_KEY,
    CoreRow,
    initial_rows,
)
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send

CLUSTER_INCARNATION_BITS = 64
"""Random bits of a cluster's identity; two creations must never draw the same."""
CREATION_RETRY_S = 2.0
"""Between two attempts to write the first record, while its write is not durable."""
RECOVERY_LISTEN_LEASE_TTLS = 3
"""Lease lifetimes that a recovering core listens, to hear what every node stores."""


class ClusterCreation:
    """Creates the cluster if this process is to, and completes a creation that was begun.

    Parameters
    ----------
    keys : the keys that the cluster starts with.
    """

    def __init__(self, context: CoreContext, keys: list[str]) -> None:
        self._context = context
        self._keys = keys
        self.older_cluster = ""
        """Identity of an existing cluster that some process reported."""
        self._is_refused = False
        self._retry_at = 0.0
        self._followed_position = Position()

    def is_empty(self) -> bool:
        """Whether this disk holds no record and promised nothing."""
        replica = self._context.replica
        return all(replica.state(key) == StoredKeyState() for key in replica.known_keys())

    def record_existing_cluster(self, cluster_incarnation: str) -> None:
        """Record that another process knows a cluster of this id."""
        if cluster_incarnation:
            self.older_cluster = cluster_incarnation

    def tick(self, now: float) -> list[Effect]:
        """Create the cluster when it is safe, or send the first record to cores without it."""
        context = self._context
        if not context.config.bootstrap or not context.config.initial_cores:
            return []
        if context.config.initial_cores[0].member != context.own_id:
            return []
        if not self.is_empty():
            return self._send_first_record(now)
        if now - context.started_at < self._listen_s():
            return []
        if self.older_cluster and not context.config.recover:
            return self._refuse_creation()
        if now < self._retry_at:
            return []
        return self._create(now)

    def handle(self, sender: MemberId, message: CreateCluster, now: float) -> list[Effect]:
        """Store the first record if it names this disk and the disk is empty."""
        context = self._context
        is_expected = context.config.bootstrap and message.disk == context.disk and self.is_empty()
        created = message.update.puts.get(CLUSTER_ROW, b"").decode()
        if not is_expected or self.older_cluster not in ("", created):
            return []
        self._listen_after_recovery(now)
        return context.replica.handle(sender, message, REPLICA_SETS_KEY)

    def follow_accepted_replica_sets(self) -> None:
        """Use the newest accepted replica sets after a restart, a creation or a change.

        An accepted change that was never chosen is overwritten under a higher epoch, maybe by an
        older version: that one is used then. Only what is known to be chosen is never taken back.
        """
        context = self._context
        record = context.replica.state(REPLICA_SETS_KEY).record
        if record.position > self._followed_position:
            self._followed_position = record.position
            if record.position.version >= context.chosen_version(REPLICA_SETS_KEY):
                context.use_sets(record.position.version, record.rows)

    def _listen_s(self) -> float:
        timings = self._context.config.timings
        if self._context.config.recover:
            return timings.lease_ttl_s * RECOVERY_LISTEN_LEASE_TTLS
        return timings.bootstrap_listen_s

    def _listen_after_recovery(self, now: float) -> None:
        if self._context.config.recover:
            self._context.grants_blocked_until = now + self._context.config.timings.lease_ttl_s

    def _create(self, now: float) -> list[Effect]:
        context = self._context
        rows = []
        for initial in context.config.initial_cores:
            if initial.member == context.own_id:
                rows.append(CoreRow(context.info(), context.disk))
                continue
            status = context.cores.heartbeat_of(initial.member)
            if status is None or not _awaits_creation(status):
                return []
            rows.append(CoreRow(status.info, status.disk))
        self._retry_at = now + CREATION_RETRY_S
        self._listen_after_recovery(now)
        incarnation = self.older_cluster
        if not incarnation:
            incarnation = f"{context.random_source.getrandbits(CLUSTER_INCARNATION_BITS):016x}"
        position = Position(Epoch(1, context.owner_name), 1)
        config = ReplicaConfig([row.replica() for row in rows])
        record = Record(position, config, initial_rows(incarnation, rows, self._keys))
        message = CreateCluster(context.disk, record.to_update())
        effects = context.replica.handle(context.own_id, message, REPLICA_SETS_KEY)
        return [Log(log_events.CLUSTER_CREATED, {"cluster": incarnation}), *effects]

    def _send_first_record(self, now: float) -> list[Effect]:
        context = self._context
        record = context.replica.state(REPLICA_SETS_KEY).record
        if record.position.version != 1:
            return []
        effects: list[Effect] = []
        for member, status in context.cores.live(now).items():
            row = context.sets.cores.get(member)
            if row is not None and row.disk == status.disk and not status.cluster_incarnation:
                effects.append(Send(member, CreateCluster(status.disk, record.to_update())))
        return effects

    def _refuse_creation(self) -> list[Effect]:
        if self._is_refused:
            return []
        self._is_refused = True
        fields = {"existing": self.older_cluster}
        return [Log(log_events.CREATION_REFUSED, fields)]


def _awaits_creation(status: Heartbeat) -> bool:
    return status.bootstrapping and not status.cluster_incarnation
