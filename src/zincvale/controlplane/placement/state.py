"""The tables of placement, and the methods that keep their sums and indexes consistent."""

from __future__ import annotations

import random
from typing import Any

import attrs

from zincvale.controlplane.placement.calendar import Calendar
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.disk_copies import DiskCopies
from zincvale.controlplane.placement.drain_table import DrainTable
from zincvale.controlplane.placement.events import Effect
from zincvale.controlplane.placement.free_memory import FreeMemoryIndex
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, is_adapter_key
from zincvale.controlplane.placement.load_times import LoadTimes
from zincvale.controlplane.placement.prefetch_state import PrefetchState
from zincvale.controlplane.placement.reviews import ReviewSchedule
from zincvale.controlplane.placement.server_index import ServerIndex
from zincvale.controlplane.placement.servers import (
    UNBOUNDED_BYTES,
    CountedAs,
    Replica,
    ReplicaState,
    ServerState,
)
from zincvale.controlplane.placement.shortages import ShortageQueues
from zincvale.controlplane.placement.stores import StoreState
from zincvale.controlplane.placement.undeclared import UndeclaredReplicas
from zincvale.controlplane.placement.unplaced import UnplacedItems
from zincvale.controlplane.placement.unserved_items import UnservedItems
from zincvale.model.control_tables import Intent
from zincvale.model.identifiers import (
    MemberId,
    MoveId,
    PoolName,
    ServerId,
    StoreName,
)
from zincvale.model.machine import Log
from zincvale.model.resources import AdapterSpec, ModelSpec


@attrs.define
class Leadership:
    """Whether this process is the leader, and when it may send orders.

    Attributes
    ----------
    acts_until : no order may be sent at or after this time, unless the lease is renewed.
    gained_at : when leadership was gained.
    published_epoch : epoch of the last complete publication of the calendar.
    """

    epoch: int = 0
    is_leader: bool = False
    acts_until: float = float("-inf")
    gained_at: float = float("-inf")
    published_epoch: int = 0
    is_takeover_complete: bool = False
    """Loads may be ordered: every server has shown what it may still be pulling for an earlier
    leader, or the takeover limit has passed."""

    first_order_at: float = float("-inf")
    """No order may be sent before this time; see `PlacementConfig.first_order_delay_s`."""

    def may_order(self, now: float) -> bool:
        """Whether an order may be sent at `now`."""
        return self.is_leader and self.first_order_at <= now < self.acts_until


@attrs.define(eq=False)
class NodeDemand:
    """The newest demand report of one data-plane node."""

    reported_at: float
    waiting: dict[ItemKey, int] = attrs.field(factory=dict)
    running: dict[tuple[ServerId, ItemKey], int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class PlacementState:
    """All tables, and the indexes from which the systems learn what changed.

    Dicts with None as values are used as sets, because their iteration order is deterministic.

    Attributes
    ----------
    running : requests that nodes report as running, by server and item.
    unserved : items that were requested and not served since, the longest unserved first.
    unserved_reported_at : when the items that are not served were last checked.
    nodes_checked_at : when the nodes were last checked for expired reports.
    oldest_node_report : arrival of the oldest among the newest reports of all nodes.
    adapters_by_base : declared adapters by base model; `ItemRow.adapters` of the model is the same
        dict.
    pending_declarations : declarations that were not applied to the tables yet; None means that the
        item was deleted.
    store_slots : the store in which a move occupies a pull slot.
    prefetches : the state of prefetching, by pool.
    awaiting_status : servers whose next status matters, because they have orders in flight or are
        not confirmed.
    changed_drains : servers whose draining replicas are to be published.
    effects : effects of the input that is being handled, in order.
    next_number : number of the next move or order.
    """

    config: PlacementConfig
    random: random.Random
    intent: Intent = attrs.field(factory=Intent)
    leadership: Leadership = attrs.field(factory=Leadership)
    # Declarations, reports and measurements.
    items: dict[ItemKey, ItemRow] = attrs.field(factory=dict)
    adapters_by_base: dict[ItemKey, dict[ItemKey, None]] = attrs.field(factory=dict)
    pending_declarations: dict[ItemKey, ModelSpec | AdapterSpec | None] = attrs.field(factory=dict)
    stores: dict[StoreName, StoreState] = attrs.field(factory=dict)
    servers: dict[ServerId, ServerState] = attrs.field(factory=dict)
    server_index: ServerIndex = attrs.field(factory=ServerIndex)
    nodes: dict[MemberId, NodeDemand] = attrs.field(factory=dict)
    running: dict[tuple[ServerId, ItemKey], int] = attrs.field(factory=dict)
    unserved: UnservedItems = attrs.field(factory=UnservedItems)
    unserved_reported_at: float = 0.0
    nodes_checked_at: float = 0.0
    oldest_node_report: float = 0.0
    load_times: LoadTimes = attrs.field(factory=LoadTimes)
    disk_copies: DiskCopies = attrs.field(factory=DiskCopies)
    # Planned and running changes.
    calendar: Calendar = attrs.field(factory=Calendar)
    store_slots: dict[MoveId, StoreName] = attrs.field(factory=dict)
    drains: DrainTable = attrs.field(factory=DrainTable)
    prefetches: dict[PoolName, PrefetchState] = attrs.field(factory=dict)
    # Work queues and indexes of the systems.
    reviews: ReviewSchedule = attrs.field(factory=ReviewSchedule)
    shortages: ShortageQueues = attrs.field(factory=ShortageQueues)
    unplaced: UnplacedItems = attrs.field(factory=UnplacedItems)
    undeclared: UndeclaredReplicas = attrs.field(factory=UndeclaredReplicas)
    free_memory: FreeMemoryIndex = attrs.field(factory=FreeMemoryIndex)
    awaiting_status: dict[ServerId, None] = attrs.field(factory=dict)
    # Outputs.
    changed_drains: dict[ServerId, None] = attrs.field(factory=dict)
    effects: list[Effect] = attrs.field(factory=list)
    next_number: int = 1

    def log(self, number: int, **fields: Any) -> None:
        """Emit a numbered log event."""
        self.effects.append(Log(number, fields))

    def allocate_number(self) -> int:
        """Return a number that no other move or order of this process has."""
        number = self.next_number
        self.next_number += 1
        return number

    # Reviews

    def queue_review(self, key: ItemKey) -> None:
        """Queue a declared item for review in the next run."""
        if key in self.items:
            self.reviews.queue(key)

    # Replicas

    def pending_replicas(self, item: ItemRow) -> int:
        """Return the number of replicas that are being loaded or are planned to be."""
        return item.loading + len(item.planned)

    def recount_replica(self, server: ServerState, key: ItemKey, replica: Replica) -> None:
        """Update the counters of the item's row to the current state of a replica."""
        counted_as = _counted_as(server, replica)
        if counted_as is replica.counted_as:
            return
        item = self.items.get(key)
        if item is None:
            return
        item.ready += (counted_as is CountedAs.READY) - (replica.counted_as is CountedAs.READY)
        item.loading += (counted_as is CountedAs.LOADING) - (
            replica.counted_as is CountedAs.LOADING
        )
        replica.counted_as = counted_as

    def recount_server(self, server: ServerState) -> None:
        """Recount and queue for review all items on a server that began or stopped serving."""
        for key, replica in server.replicas.items():
            self.recount_replica(server, key, replica)
            self.queue_review(key)

    def set_replica_state(
        self, server: ServerState, key: ItemKey, replica: Replica, state: ReplicaState
    ) -> None:
        """Set the state of a replica and update what depends on it."""
        replica.state = state
        server.listing = None
        self._record_disk_copy(server, key, replica)
        self.recount_replica(server, key, replica)

    def loads_from_disk(self, item: ItemRow, server: ServerState) -> bool:
        """Whether the server is known to have had the item's weights on its own disk."""
        if not self.config.servers_keep_weights or item.kind is not ItemKind.MODEL:
            return False
        return self.disk_copies.has(item.key, server.address)

    def is_on_disk(self, item: ItemRow) -> bool:
        """Whether a server in the directory has the item's weights on its own disk."""
        addresses = self.disk_copies.addresses(item.key)
        return any(address in self.server_index.by_address for address in addresses)

    def expected_load_s(self, item: ItemRow, server: ServerState | None = None) -> float:
        """Return the expected load time of an item on a server.

        Without a server, it is the time of a load from the store on any server.
        """
        if server is not None and self.loads_from_disk(item, server):
            return self._expected_from_disk_s(item)
        server_id = server.server if server is not None else None
        rate = self._store_rate(item)
        return self.load_times.expected_s(
            item.key, item.weight_bytes, server_id, item.store, rate, item.declared_load_s
        )

    def expected_reload_s(self, item: ItemRow) -> float:
        """Return the expected time to load the item again on a server that had it before."""
        if not self.config.servers_keep_weights or item.kind is not ItemKind.MODEL:
            return self.expected_load_s(item)
        return min(self._expected_from_disk_s(item), self.expected_load_s(item))

    def _expected_from_disk_s(self, item: ItemRow) -> float:
        rate = self._store_rate(item)
        return self.load_times.expected_from_disk_s(
            item.weight_bytes, item.store, rate, item.declared_load_s
        )

    def _store_rate(self, item: ItemRow) -> int:
        store = self.stores.get(item.store)
        return store.bytes_per_second if store else 1

    def running_on(self, server: ServerState, key: ItemKey) -> int:
        """Return the number of requests that nodes report as running on a replica."""
        return self.running.get((server.server, key), 0)

    def _record_disk_copy(self, server: ServerState, key: ItemKey, replica: Replica) -> None:
        if replica.state is ReplicaState.LOADED and not is_adapter_key(key):
            self.disk_copies.record(key, server.address)

    def add_replica(self, server: ServerState, key: ItemKey, replica: Replica) -> None:
        """Add a replica to a server and count its memory."""
        server.replicas[key] = replica
        server.listing = None
        self._record_disk_copy(server, key, replica)
        server.reserved_adapters += is_adapter_key(key)
        server.reserved_bytes += replica.item_bytes
        server.reserved_kv_bytes += replica.kv_bytes
        if not replica.is_size_known:
            server.unknown_bytes = UNBOUNDED_BYTES
        item = self.items.get(key)
        if item is not None:
            item.holders[server.server] = None
        self.recount_replica(server, key, replica)
        self.free_memory.mark_stale(server)
        self.queue_review(key)

    def remove_replica(self, server: ServerState, key: ItemKey) -> None:
        """Remove a replica that no longer occupies memory on the server."""
        replica = server.replicas.pop(key)
        server.listing = None
        server.reserved_adapters -= is_adapter_key(key)
        server.reserved_bytes -= replica.item_bytes
        server.reserved_kv_bytes -= replica.kv_bytes
        server.forget_unknown_sizes()
        if replica.draining:
            self.changed_drains[server.server] = None
        item = self.items.get(key)
        if item is not None:
            item.holders.pop(server.server, None)
            item.ready -= replica.counted_as is CountedAs.READY
            item.loading -= replica.counted_as is CountedAs.LOADING
        self.undeclared.remove(key, server.server)
        self.free_memory.mark_stale(server)
        self.queue_review(key)
        if item is not None and item.kind is ItemKind.MODEL:
            self.queue_adapters(item)

    def resize_replica(self, server: ServerState, replica: Replica, item: ItemRow) -> None:
        """Update a replica to the declared sizes of its item."""
        server.reserved_bytes -= replica.item_bytes
        if replica.is_size_known:
            replica.widen_size(item.weight_bytes)
        else:
            replica.set_first_size(item.weight_bytes)
        server.reserved_bytes += replica.item_bytes
        server.reserved_kv_bytes += item.kv_bytes - replica.kv_bytes
        replica.kv_bytes = item.kv_bytes
        server.forget_unknown_sizes()
        self.free_memory.mark_stale(server)

    def set_draining(
        self, server: ServerState, key: ItemKey, replica: Replica, *, draining: bool
    ) -> None:
        """Set whether nodes must stop sending new requests to a replica."""
        if replica.draining != draining:
            replica.draining = draining
            self.recount_replica(server, key, replica)
            self.changed_drains[server.server] = None

    def queue_adapters(self, model: ItemRow) -> None:
        """Queue the adapters of a model that were ever requested, are loaded or are planned."""
        for key in model.adapters:
            adapter = self.items[key]
            may_need_review = (
                adapter.demand.profile is not None or adapter.holders or adapter.planned
            )
            if may_need_review or adapter.waiting:
                self.queue_review(key)

    # Moves

    def new_move_id(self) -> MoveId:
        """Return a move identifier that no other leader uses."""
        return MoveId(f"m{self.leadership.epoch}-{self.allocate_number()}")


def _counted_as(server: ServerState, replica: Replica) -> CountedAs:
    if not server.is_serving:
        return CountedAs.NOTHING
    if replica.state is ReplicaState.LOADING:
        return CountedAs.LOADING
    if replica.state is ReplicaState.LOADED and not replica.draining:
        return CountedAs.READY
    return CountedAs.NOTHING
