"""Determines when a started core knows every version that was acknowledged before its start.

The core has caught up once two conditions hold for each delivered key. A majority of the replicas
has reported, after the start of this process, that they promised no epoch above the serving
owner's; and this core knows the owner's chosen version.

Until then the core grants no leases. An earlier run of this process may have reported newer
versions as applied everywhere, and a grant that does not require them would let a node serve
without them.

A heartbeat was sent after the start of this process if it lists this process's incarnation among
those that its sender has received heartbeats from.
"""

from __future__ import annotations

from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.core.messages import KeyStatus
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.replication.replica_config import ReplicaConfig, replica_id
from zincvale.coordination.replication.replica_sets import DELIVERED_KEYS


class CatchUpTracker:
    """Checks the heartbeats that other cores sent since this process started."""

    def __init__(self, context: CoreContext, owners: dict[str, RegisterOwner]) -> None:
        self._context = context
        self._owners = owners

    def is_caught_up(self, now: float) -> bool:
        """Whether this core knows what was acknowledged of every delivered key before its start."""
        return all(self._key_is_caught_up(key, now) for key in DELIVERED_KEYS)

    def _key_is_caught_up(self, key: str, now: float) -> bool:
        statuses = self._statuses_since_start(key, now)
        highest_promised = max((status.promised for status in statuses.values()), default=Epoch())
        for status in statuses.values():
            if status.owned_epoch == highest_promised and status.config.is_quorum(statuses):
                return self._context.chosen_version(key) >= status.chosen_version
        return False

    def _statuses_since_start(self, key: str, now: float) -> dict[str, KeyStatus]:
        context = self._context
        statuses = {context.own_replica(): own_key_status(context, self._owners, key)}
        for member, status in context.cores.live(now).items():
            if status.heard.get(context.own_id) != context.config.incarnation:
                continue
            for key_status in status.keys:
                if key_status.key == key:
                    statuses[replica_id(member, status.disk)] = key_status
        return statuses


def own_key_status(context: CoreContext, owners: dict[str, RegisterOwner], key: str) -> KeyStatus:
    """Return this core's state of `key` as its heartbeat reports it."""
    state = context.replica.state(key)
    owner = owners.get(key)
    is_serving = owner is not None and owner.is_serving()
    return KeyStatus(
        key=key,
        promised=state.promised,
        accepted=state.record.position,
        chosen_version=context.chosen_version(key),
        owned_epoch=owner.epoch if owner is not None and is_serving else None,
        config=owner.record.config if owner is not None and is_serving else ReplicaConfig(),
    )
