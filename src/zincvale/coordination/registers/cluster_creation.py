"""One-time creation of a cluster by one of its initial cores.

The first core of the configured list that is not lost waits until every initial core reports an
empty disk and no process has reported an existing cluster with the same cluster id. It then writes
the first record of the key `replica-sets`, which binds votes to disk identities, and sends it to
the other cores.

A core that is lost during the first start does not prevent that. After `MISSING_CORE_WAIT_S`, a
majority of the initial cores is enough: the missing one is declared with an unknown disk, which
never votes, until a core with a disk replaces it. A core that is there with another disk than the
one that was told to create the cluster counts as missing too: it takes no first record, since it
may have taken one before. A later core of the list creates the cluster only if each earlier one was
silent for `TAKEOVER_S` or cannot create it. Should two cores create one nevertheless, at most one
record is chosen, because each needs a majority of the same three and a disk takes only one first
record; the owner of the key then replaces the other.

The creating core passes the first record on until the others have it. If it is lost right after,
the cores that have the record do so.
"""

from __future__ import annotations

from zincvale.coordination import log_events
from zincvale.coordination.config import InitialCore
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import CreateCluster, Heartbeat
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.registers.epochs import Epoch, Position, epoch_owner
from zincvale.coordination.registers.record_codec import StoredKeyState
from zincvale.coordination.registers.records import Record
from zincvale.coordination.replication.replica_config import ReplicaConfig, majority
from zincvale.coordination.replication.replica_sets import (
    CLUSTER_ROW,
    REPLICA_SETS_KEY,
    CoreRow,
    initial_rows,
)
from zincvale.model.control_tables import Role
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send

CLUSTER_INCARNATION_BITS = 64
"""Size in bits of the random cluster incarnation; no two clusters may get the same one."""
CREATION_RETRY_S = 2.0
"""Interval between two attempts to write the first record, until its write is durable."""
MISSING_CORE_WAIT_S = 3.0
"""Time from the start after which a majority of the initial cores creates the cluster. Machines
that start together take one to three seconds; a core that is declared without its disk is replaced
by itself when it appears, which takes some seconds in which no other core may be lost."""
TAKEOVER_S = 5.0
"""Time without a heartbeat of an earlier initial core after which the next one may take its part.
It is longer than most freezes, so that two cores hardly ever create a cluster at the same time."""
UNKNOWN_DISK = ""
RECOVERY_LISTEN_LEASE_TTLS = 3
"""How long a recovering core listens for the versions that nodes store, in lease lifetimes."""


class ClusterCreation:
    """Creates the cluster if this process is responsible, and completes an unfinished creation.

    Parameters
    ----------
    keys : the keys that the new cluster declares.
    """

    def __init__(self, context: CoreContext, keys: list[str]) -> None:
        self._context = context
        self._keys = keys
        self.existing_cluster = ""
        """Incarnation of an existing cluster that another process reported; empty if none did."""
        self._is_refused = False
        self._retry_at = 0.0
        self._applied_position = Position()

    def is_empty(self) -> bool:
        """Whether this disk has no record and no promise."""
        replica = self._context.replica
        return all(replica.state(key) == StoredKeyState() for key in replica.known_keys())

    def record_existing_cluster(self, cluster_incarnation: str) -> None:
        """Record the incarnation that another process reports; empty if it knows no cluster."""
        if cluster_incarnation:
            self.existing_cluster = cluster_incarnation

    def tick(self, now: float) -> list[Effect]:
        """Create the cluster once it is safe, or send the first record to cores that lack it."""
        context = self._context
        if not self.is_empty():
            return self._send_first_record(now)
        if not context.config.bootstrap or not context.config.initial_cores:
            return []
        is_first = context.config.initial_cores[0].member == context.own_id
        if not is_first and not self._takes_over(now):
            return []
        if now - context.started_at < self._listen_duration_s():
            return []
        if self.existing_cluster and not context.config.recover:
            return self._refuse_creation() if is_first else []
        if now < self._retry_at:
            return []
        return self._create(now)

    def _takes_over(self, now: float) -> bool:
        """Whether this core is the first initial core that is not silent and may create."""
        context = self._context
        if context.config.recover:
            return False
        live = context.cores.live(now)
        for initial in context.config.initial_cores:
            if initial.member == context.own_id:
                return True
            status = live.get(initial.member)
            if status is not None and not _awaits_creation(status):
                continue
            last_heard_at = context.cores.last_heard_at(initial.member)
            if now - max(last_heard_at, context.started_at) < TAKEOVER_S:
                return False
        return False

    def handle(self, sender: MemberId, message: CreateCluster, now: float) -> list[Effect]:
        """Store the first record if it is addressed to this disk and the disk is empty."""
        context = self._context
        is_expected = context.config.bootstrap and message.disk == context.disk and self.is_empty()
        created_cluster = message.update.puts.get(CLUSTER_ROW, b"").decode()
        if not is_expected or self.existing_cluster not in ("", created_cluster):
            return []
        self._block_grants_after_recovery(now)
        return context.replica.handle(sender, message, REPLICA_SETS_KEY)

    def apply_accepted_replica_sets(self) -> None:
        """Use the newest accepted replica sets, after a restart, a creation or a change.

        A change that was accepted but never chosen may be overwritten under a higher epoch by an
        older version, which is then used instead. A version that is known to be chosen is never
        replaced by an older one.
        """
        context = self._context
        record = context.replica.state(REPLICA_SETS_KEY).record
        if record.position > self._applied_position:
            self._applied_position = record.position
            if record.position.version >= context.chosen_version(REPLICA_SETS_KEY):
                context.use_replica_sets(record.position.version, record.rows)

    def _listen_duration_s(self) -> float:
        timings = self._context.config.timings
        if self._context.config.recover:
            return timings.lease_ttl_s * RECOVERY_LISTEN_LEASE_TTLS
        return timings.bootstrap_listen_s

    def _block_grants_after_recovery(self, now: float) -> None:
        if self._context.config.recover:
            self._context.grants_blocked_until = now + self._context.config.timings.lease_ttl_s

    def _create(self, now: float) -> list[Effect]:
        context = self._context
        rows = self._initial_core_rows(now)
        if not rows:
            return []
        self._retry_at = now + CREATION_RETRY_S
        self._block_grants_after_recovery(now)
        incarnation = self.existing_cluster
        if not incarnation:
            incarnation = f"{context.random_source.getrandbits(CLUSTER_INCARNATION_BITS):016x}"
        position = Position(Epoch(1, context.owner_name), 1)
        config = ReplicaConfig([row.replica() for row in rows])
        record = Record(position, config, initial_rows(incarnation, rows, self._keys))
        message = CreateCluster(context.disk, record.to_update())
        effects = context.replica.handle(context.own_id, message, REPLICA_SETS_KEY)
        return [Log(log_events.CLUSTER_CREATED, {"cluster": incarnation}), *effects]

    def _initial_core_rows(self, now: float) -> list[CoreRow]:
        """Return the rows of the initial cores; none while too few of them await the creation."""
        context = self._context
        live = context.cores.live(now)
        rows = []
        for initial in context.config.initial_cores:
            status = live.get(initial.member)
            if initial.member == context.own_id:
                rows.append(CoreRow(context.info(), context.disk))
            elif status is not None and status.cluster_incarnation:
                return []
            elif status is not None and _awaits_creation(status):
                rows.append(CoreRow(status.info, status.disk))
            else:
                rows.append(_row_of_missing_core(initial))
        present = sum(row.disk != UNKNOWN_DISK for row in rows)
        may_miss_cores = (
            now - context.started_at >= MISSING_CORE_WAIT_S and not context.config.recover
        )
        needed = majority(len(rows)) if may_miss_cores else len(rows)
        return rows if present >= needed else []

    def _send_first_record(self, now: float) -> list[Effect]:
        context = self._context
        record = context.replica.state(REPLICA_SETS_KEY).record
        if record.position.version != 1 or not self._passes_on(record, now):
            return []
        effects: list[Effect] = []
        for member, status in context.cores.live(now).items():
            row = context.replica_sets.cores.get(member)
            if row is not None and row.disk == status.disk and not status.cluster_incarnation:
                effects.append(Send(member, CreateCluster(status.disk, record.to_update())))
        return effects

    def _passes_on(self, record: Record, now: float) -> bool:
        """Whether this core wrote the first record, or the core that did is lost or lost it."""
        epoch = record.position.epoch
        if epoch.member() == self._context.own_id:
            return True
        status = self._context.cores.live(now).get(MemberId(epoch.member()))
        if status is None:
            return True
        is_same_run = epoch.owner == epoch_owner(status.info.member, status.info.incarnation)
        return not is_same_run and not status.cluster_incarnation

    def _refuse_creation(self) -> list[Effect]:
        if self._is_refused:
            return []
        self._is_refused = True
        fields = {"existing": self.existing_cluster}
        return [Log(log_events.CREATION_REFUSED, fields)]


def _awaits_creation(status: Heartbeat) -> bool:
    return status.bootstrapping and not status.cluster_incarnation


def _row_of_missing_core(initial: InitialCore) -> CoreRow:
    info = MemberInfo(
        member=initial.member,
        role=Role.CORE.value,
        zone=initial.zone,
        api_address=initial.api_address,
        peer_address=initial.peer_address,
        incarnation="",
    )
    return CoreRow(info, UNKNOWN_DISK)
