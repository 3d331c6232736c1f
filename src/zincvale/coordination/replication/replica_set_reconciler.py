"""Reconciles the declared replicas with the live cores: learners join and replace lost replicas.

The reconciler runs at the owner of the key `replica-sets`. A replacement begins when a replica has
been unresponsive for the configured delay, when its process runs on another disk, or when its core
is leaving. It is completed when the record of every key has settled on the new replicas and every
lease granted under the old ones has expired. It is rolled back when the new replica becomes
unresponsive in the meantime.
"""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import Heartbeat
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.replication.replica_config import ReplicaConfig, member_of, replica_id
from zincvale.coordination.replication.replica_set_changes import (
    close_change,
    join_change,
    keys_change,
    leave_change,
    replace_change,
)
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS, REPLICA_SETS_KEY
from zincvale.model.identifiers import MemberId

CHECK_INTERVAL_S = 0.25
"""Interval between two checks of the live cores; limits how late a change is proposed."""
LEASE_EXPIRY_FACTOR = 1.2
"""Multiple of the longest lease lifetime after which all leases of the old replicas have expired;
the excess over 1 is a margin."""
REMOVE_CORE_AFTER_S = 60.0
"""Time after which an unresponsive core without replicas is removed from the declared cores."""


class ReplicaSetReconciler:
    """Proposes changes of `replica-sets` one at a time; the reducer checks each of them again."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners
        self._check_at = 0.0
        self._unresponsive_since: dict[str, float] = {}
        self._joint_since: tuple[int, float] = (0, 0.0)

    def next_change(self, now: float) -> bytes | None:
        """Return the change to propose now, or None."""
        if now < self._check_at:
            return None
        self._check_at = now + CHECK_INTERVAL_S
        live = self._live_cores(now)
        declared = self._context.replica_sets.grantors()
        self._update_unresponsive(declared, live, now)
        for member, status in live.items():
            row = self._context.replica_sets.cores.get(member)
            if row is None or row.disk != status.disk or row.info != status.info:
                return join_change(status.info, status.disk)
        if declared.previous:
            return self._settle_change_if_due(declared, now)
        undeclared_keys = [
            key for key in self._owners if key not in self._context.replica_sets.keys
        ]
        if undeclared_keys:
            return keys_change(undeclared_keys)
        return self._replacement_if_due(declared, live, now) or self._removal_if_due(live, now)

    def check_soon(self) -> None:
        """Check again at the next tick: the previous change was applied, or a core appeared.

        A core that returned empty counts as caught up a few seconds after its start, most of which
        its start may take. Its join, the replacement and the move of the records must not wait for
        an interval each.
        """
        self._check_at = 0.0

    def operator_change(self, remove: str, add: str) -> bytes:
        """Return the change that replaces the replica on one core by the one on another core."""
        declared = self._context.replica_sets.grantors()
        removed = next(
            (replica for replica in declared.replicas if member_of(replica) == remove), remove
        )
        row = self._context.replica_sets.cores.get(MemberId(add))
        return replace_change(removed, row.replica() if row is not None else add)

    def _live_cores(self, now: float) -> dict[MemberId, Heartbeat]:
        """Return the live cores of this cluster and the live empty cores that want to join it."""
        incarnation = self._context.replica_sets.cluster_incarnation
        return {
            member: status
            for member, status in self._context.cores.live(now).items()
            if status.cluster_incarnation in ("", incarnation)
        }

    def _update_unresponsive(
        self, declared: ReplicaConfig, live: dict[MemberId, Heartbeat], now: float
    ) -> None:
        responsive = {replica_id(member, status.disk) for member, status in live.items()}
        responsive.add(self._context.own_replica())
        for replica in declared.all_replicas():
            if replica in responsive:
                self._unresponsive_since.pop(replica, None)
            else:
                self._unresponsive_since.setdefault(replica, now)

    def _unresponsive_s(self, replica: str, now: float) -> float:
        return now - self._unresponsive_since.get(replica, now)

    def _settle_change_if_due(self, declared: ReplicaConfig, now: float) -> bytes | None:
        version = self._context.replica_sets.version
        if self._context.chosen_version(REPLICA_SETS_KEY) != version:
            return None
        if self._joint_since[0] != version:
            self._joint_since = (version, now)
        timings = self._context.config.timings
        delay_s = timings.replace_delay_s
        if any(self._unresponsive_s(replica, now) > delay_s for replica in declared.added()):
            return close_change(forward=False)
        expiry_s = max(timings.role_lease_s, timings.lease_ttl_s) * LEASE_EXPIRY_FACTOR
        if now - self._joint_since[1] < expiry_s or not self._is_every_record_settled(
            declared, now
        ):
            return None
        return (
            close_change(forward=True) if self._is_new_majority_up_to_date(declared, now) else None
        )

    def _is_every_record_settled(self, declared: ReplicaConfig, now: float) -> bool:
        settled = ReplicaConfig(declared.replicas)
        configs: dict[str, ReplicaConfig] = {}
        for status in self._context.cores.live(now).values():
            for key_status in status.keys:
                if key_status.owned_epoch is not None:
                    configs[key_status.key] = key_status.config
        for key, owner in self._owners.items():
            if owner.is_serving():
                configs[key] = owner.record.config
        return all(configs.get(key) == settled for key in self._owners)

    def _is_new_majority_up_to_date(self, declared: ReplicaConfig, now: float) -> bool:
        """Whether a majority of the new replicas' cores knows every version that a live core knows.

        Cores that still counted majorities of the old replicas may have acknowledged versions that
        the new replicas' cores do not know yet.
        """
        chosen = {self._context.own_id: self._context.chosen_versions()}
        for member, status in self._context.cores.live(now).items():
            versions = {key_status.key: key_status.chosen_version for key_status in status.keys}
            chosen[member] = {key: versions.get(key, 0) for key in DELIVERED_KEYS}
        newest = {
            key: max(core_versions[key] for core_versions in chosen.values())
            for key in DELIVERED_KEYS
        }
        up_to_date = {member for member, core_versions in chosen.items() if core_versions == newest}
        return ReplicaConfig(declared.replicas).is_member_quorum(up_to_date)

    def _replacement_if_due(
        self, declared: ReplicaConfig, live: dict[MemberId, Heartbeat], now: float
    ) -> bytes | None:
        learners = [
            replica_id(member, status.disk)
            for member, status in live.items()
            if replica_id(member, status.disk) not in declared.replicas and status.can_learn
        ]
        if not learners:
            return None
        if len(declared.replicas) < self._context.config.group_size:
            return replace_change("", self._best_learner(learners, declared.replicas))
        delay_s = self._context.config.timings.replace_delay_s
        for replica in declared.replicas:
            same_member = [
                learner for learner in learners if member_of(learner) == member_of(replica)
            ]
            if same_member:
                return replace_change(replica, same_member[0])
        leaving = {
            replica_id(member, status.disk) for member, status in live.items() if status.leaving
        }
        for replica in declared.replicas:
            if replica in leaving or self._unresponsive_s(replica, now) > delay_s:
                remaining = [other for other in declared.replicas if other != replica]
                return replace_change(replica, self._best_learner(learners, remaining))
        return None

    def _best_learner(self, learners: list[str], remaining: list[str]) -> str:
        """Return the first learner by name, preferably in a zone without a remaining replica."""
        cores = self._context.replica_sets.cores
        zones = {
            cores[member_of(replica)].info.zone
            for replica in remaining
            if member_of(replica) in cores
        }

        def preference(replica: str) -> tuple[bool, str]:
            row = cores.get(member_of(replica))
            return (row is None or row.info.zone in zones, replica)

        return min(learners, key=preference)

    def _removal_if_due(self, live: dict[MemberId, Heartbeat], now: float) -> bytes | None:
        members = self._context.replica_sets.grantors().members()
        for member in self._context.replica_sets.cores:
            if member in members or member in live or member == self._context.own_id:
                self._unresponsive_since.pop(f"core {member}", None)
            elif (
                now - self._unresponsive_since.setdefault(f"core {member}", now)
                > REMOVE_CORE_AFTER_S
            ):
                return leave_change(member)
        return None
