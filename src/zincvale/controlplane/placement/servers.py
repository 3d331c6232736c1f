"""Table of servers: their reported state, replicas, limits and planned changes."""

from __future__ import annotations

import enum
from collections.abc import Collection

import attrs

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.items import ItemKey, ItemKind
from zincvale.controlplane.placement.moves import Reservation
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import Address, MoveId, PoolName, ServerId, ZoneName

NEVER = float("-inf")
"""A time before every time on the controller's clock."""
UNBOUNDED_BYTES = 1 << 62
"""A size above the memory of every server."""


class CountedAs(enum.Enum):
    """The counter of its item's row in which a replica is counted."""

    NOTHING = "nothing"
    READY = "ready"
    LOADING = "loading"


class ReplicaState(enum.Enum):
    """State of an item that occupies memory on a server.

    Orders cause these transitions: LOADING to LOADED, LOADED to UNLOADING, and UNLOADING to LOADED
    when the unload failed. The replica is removed when a load fails or an unload is done. If a
    status shows another change, which no order of this process explains, the status is followed.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


@attrs.define(eq=False)
class Replica:
    """An item on a server; its memory counts from the order to load until it is observed gone.

    Attributes
    ----------
    item_bytes : size of the weights, the largest one that was declared since the load; 0 while
        `is_size_known` is false, see `ServerState.unknown_bytes`.
    least_bytes : the smallest size that was declared since the load.
    since : when the current state began.
    draining : nodes are told to send no new requests to it.
    move_id : the planned or running move that loads or unloads it.
    contradicted_at : arrival of the first status that does not show the effect of the order; see
        `order_confirmation`.
    is_prefetched : it was loaded to put the weights on the server's disk, not for requests.
    is_size_known : false for an item that no resource has declared since this process started, on a
        server that does not report its memory use.
    """

    state: ReplicaState
    item_bytes: int
    kv_bytes: int
    since: float
    draining: bool = False
    counted_as: CountedAs = CountedAs.NOTHING
    move_id: MoveId | None = None
    contradicted_at: float | None = None
    is_prefetched: bool = False
    is_size_known: bool = True
    least_bytes: int = attrs.field(
        default=attrs.Factory(lambda self: self.item_bytes, takes_self=True)
    )

    def widen_size(self, declared_bytes: int) -> None:
        """Take another declared size into account; the weights may be those of an earlier one."""
        self.least_bytes = min(self.least_bytes, declared_bytes)
        self.item_bytes = max(self.item_bytes, declared_bytes)

    def set_first_size(self, declared_bytes: int) -> None:
        """Set the size of an item whose size was not known."""
        self.least_bytes = self.item_bytes = declared_bytes
        self.is_size_known = True


@attrs.define(eq=False)
class ServerState:
    """One language-model server.

    Attributes
    ----------
    requested_at : when the newest status was requested, on this process's clock.
    first_response_at : arrival of the first status that counts for confirming the server under the
        current leadership.
    confirmed_epoch : the newest leadership epoch under which the server was confirmed for orders.
    cold_until : end of the period in which a new incarnation gets fewer concurrent loads.
    reserved_bytes, reserved_kv_bytes : sums over `replicas`.
    unknown_bytes : upper bound on the memory that the replicas of unknown size use together.
    planned_bytes, planned_kv_bytes : sums over the loads that are planned but not yet ordered.
    planned_models : number of the loads of models that are planned but not yet ordered.
    planned_free_bytes : sum over the unfinished unloads, still counted in `reserved_bytes`.
    listing : names in the newest status, so that a status with the same names can be skipped; None
        if the replicas differ from that status.
    listed_bytes : total weights of the replicas in the newest status.
    unexplained_bytes : reported memory use beyond the weights of the reported replicas.
    loads_in_flight : loads that are ordered and whose end was not observed yet.
    load_blocked_until : by item, the time before which it must not be loaded, because an order to
        unload it may still arrive.
    retry_at : the server gets no order before this time, after it refused one because it was busy.
    indexed_free_bytes : the key of the server in `FreeMemoryIndex`.
    adapter_slots : limit on the number of adapters, whatever their size; 0 means no limit.
    reserved_adapters, planned_adapters, planned_free_adapters : number of adapters in `replicas`,
        in loads that are planned but not yet ordered, and in unfinished unloads.
    """

    server: ServerId
    address: Address
    pool: PoolName
    zone: ZoneName
    health: ServerHealth = ServerHealth.DOWN
    incarnation: str = ""
    memory_bytes: int = 0
    max_running: int = 0
    running: int = 0
    drained: bool = False
    zone_evacuated: bool = False
    requested_at: float = NEVER
    first_response_at: float = NEVER
    confirmed_epoch: int = 0
    cold_until: float = NEVER
    down_since: float = NEVER
    status_requested_at: float = NEVER
    replicas: dict[ItemKey, Replica] = attrs.field(factory=dict)
    reserved_bytes: int = 0
    reserved_kv_bytes: int = 0
    unknown_bytes: int = 0
    planned_bytes: int = 0
    planned_kv_bytes: int = 0
    planned_models: int = 0
    planned_free_bytes: int = 0
    listing: object = None
    listed_bytes: int = 0
    unexplained_bytes: int = 0
    loads_in_flight: int = 0
    load_blocked_until: dict[ItemKey, float] = attrs.field(factory=dict)
    retry_at: float = NEVER
    indexed_free_bytes: int = 0
    adapter_slots: int = 0
    reserved_adapters: int = 0
    planned_adapters: int = 0
    planned_free_adapters: int = 0

    @property
    def in_service(self) -> bool:
        """Whether the server is neither drained nor in an evacuated zone."""
        return not self.drained and not self.zone_evacuated

    @property
    def is_serving(self) -> bool:
        """Whether the server is in service and its health is not down."""
        return self.in_service and self.health is not ServerHealth.DOWN

    def headroom_bytes(self, config: PlacementConfig, kv_bytes: int) -> int:
        """Return the memory to keep free of weights, at least `kv_bytes` for the models' caches."""
        least = int(self.memory_bytes * config.kv_headroom_fraction)
        return max(least, kv_bytes, self.unexplained_bytes)

    def free_now_bytes(self, config: PlacementConfig, more_kv_bytes: int) -> int:
        """Return the memory free for one more load now, beside all replicas and loads in flight."""
        headroom = self.headroom_bytes(config, self.reserved_kv_bytes + more_kv_bytes)
        return self.memory_bytes - headroom - self.reserved_bytes - self.unknown_bytes

    def free_planned_bytes(self, config: PlacementConfig, more_kv_bytes: int) -> int:
        """Return the memory free for one more load after all planned moves."""
        kv_bytes = self.reserved_kv_bytes + self.planned_kv_bytes + more_kv_bytes
        weights = self.reserved_bytes + self.planned_bytes - self.planned_free_bytes
        weights += self.unknown_bytes_without(())
        return self.memory_bytes - self.headroom_bytes(config, kv_bytes) - weights

    def unknown_bytes_without(self, keys: Collection[ItemKey]) -> int:
        """Return the bound on unknown sizes after all planned unloads and the unload of `keys`.

        Nothing tells the size of a single replica, so the bound holds until all of them are gone.
        """
        if not self.unknown_bytes:
            return 0
        remains = any(
            not replica.is_size_known and not replica.draining and key not in keys
            for key, replica in self.replicas.items()
        )
        return self.unknown_bytes if remains else 0

    def freed_bytes(self, keys: Collection[ItemKey]) -> int:
        """Return the memory that is certainly free once the replicas `keys` are unloaded."""
        known_bytes = sum(self.replicas[key].item_bytes for key in keys)
        return known_bytes + self.unknown_bytes_without(()) - self.unknown_bytes_without(keys)

    def forget_unknown_sizes(self) -> None:
        """Count nothing for unknown sizes if no replica of unknown size is left."""
        if self.unknown_bytes and not self.has_unknown_sizes():
            self.unknown_bytes = 0

    def has_unknown_sizes(self) -> bool:
        """Whether the server holds a replica of unknown size; the bound on it may be 0."""
        return any(not replica.is_size_known for replica in self.replicas.values())

    def has_adapter_slot_now(self) -> bool:
        """Whether one more adapter fits now, beside all replicas and loads in flight."""
        return not self.adapter_slots or self.reserved_adapters < self.adapter_slots

    def missing_adapter_slots(self) -> int:
        """Return how many adapters to evict for one more, after all planned moves."""
        if not self.adapter_slots:
            return 0
        planned = self.reserved_adapters + self.planned_adapters - self.planned_free_adapters
        return max(0, planned + 1 - self.adapter_slots)

    def add_planned_load(self, kind: ItemKind, reservation: Reservation) -> None:
        """Count a load that is planned but not yet ordered, until `remove_planned_load`."""
        self.planned_bytes += reservation.memory_bytes
        self.planned_kv_bytes += reservation.kv_bytes
        self.planned_models += kind is ItemKind.MODEL
        self.planned_adapters += kind is ItemKind.ADAPTER

    def remove_planned_load(self, kind: ItemKind | None, reservation: Reservation) -> None:
        """Stop counting a planned load, because it is ordered now or was cancelled."""
        self.planned_bytes -= reservation.memory_bytes
        self.planned_kv_bytes -= reservation.kv_bytes
        self.planned_models -= kind is ItemKind.MODEL
        self.planned_adapters -= kind is ItemKind.ADAPTER

    def load_slots(self, config: PlacementConfig, now: float) -> int:
        """Return the limit of concurrent loads on the server."""
        if now < self.cold_until:
            return config.max_loads_per_cold_server
        return config.max_loads_per_server
