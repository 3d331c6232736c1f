"""Table of servers: what each one holds, may hold and reported."""

from __future__ import annotations

import enum

import attrs

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.items import ItemKey, ItemKind
from zincvale.controlplane.placement.moves import Reservation
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import Address, MoveId, PoolName, ServerId, ZoneName

NEVER = float("-inf")
"""Before every time on the controller's clock."""


class CountedAs(enum.Enum):
    """How a replica is counted in its item's row."""

    NOTHING = "nothing"
    READY = "ready"
    LOADING = "loading"


class ReplicaState(enum.Enum):
    """What a server does with an item that occupies its memory.

    Legal transitions by orders: LOADING to LOADED, LOADED to UNLOADING, and back to LOADED when the
    unload failed; the replica is removed when a load failed or an unload ended. A status may show
    any other change, which no order of this process explains; then the status is followed.
    """

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


@attrs.define(eq=False)
class Replica:
    """An item on a server; counted in memory from the order to load until it is seen gone.

        Attributes
        ----------
        item_bytes : weights.
        since : when the state began.
    draining : nodes are notified to send nothing new.
        move : the move that loads or unloads it.
        is_prefetched : loaded so that the server has it on disk, not for requests.
        contrary_since : arrival of the first status that contradicts the order; see
            `order_confirmation`.
    """

    state: ReplicaState
    item_bytes: int
    kv_bytes: int
    since: float
    draining: bool = False
    counted_as: CountedAs = CountedAs.NOTHING
    move: MoveId | None = None
    contrary_since: float | None = None
    is_prefetched: bool = False


@attrs.define(eq=False)
class ServerState:
    """One language-model server.

    Attributes
    ----------
    requested_at : when the newest status was requested, on this process's clock.
    first_response_at : arrival of the first status requested under the present leadership.
    confirmed_epoch : leadership epoch under which orders may be given.
    cold_until : end of the ramp after its incarnation appeared.
    reserved_bytes, reserved_kv_bytes : sums over `replicas`.
    planned_bytes, planned_kv_bytes : loads planned but not ordered.
    planned_models : loads of models planned but not ordered.
    planned_free_bytes : planned unloads, still counted in `reserved_bytes`.
    listing : names of the newest status, to skip a status that lists the same; None when the
        replicas are not, or no longer, what that status showed.
    listed_bytes : weights of what the newest status lists.
    unexplained_bytes : memory it reports in use beyond the weights that it lists.
    loads_in_flight : loads ordered and not seen over.
    barred_until : items not to be loaded yet, because an order to unload them may still arrive.
    adapter_slots : adapters that fit beside each other, whatever their size; 0 means no limit.
    reserved_adapters, planned_adapters, planned_free_adapters : adapters in `replicas`, in loads
        that are planned but not ordered, and in planned unloads.
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
    planned_bytes: int = 0
    planned_kv_bytes: int = 0
    planned_models: int = 0
    planned_free_bytes: int = 0
    listing: object = None
    listed_bytes: int = 0
    unexplained_bytes: int = 0
    loads_in_flight: int = 0
    barred_until: dict[ItemKey, float] = attrs.field(factory=dict)
    retry_at: float = NEVER
    indexed_free_bytes: int = 0
    adapter_slots: int = 0
    reserved_adapters: int = 0
    planned_adapters: int = 0
    planned_free_adapters: int = 0

    @property
    def in_service(self) -> bool:
        """Whether operators want requests and loads here."""
        return not self.drained and not self.zone_evacuated

    @property
    def is_serving(self) -> bool:
        """Whether its replicas can serve requests."""
        return self.in_service and self.health is not ServerHealth.DOWN

    def headroom_bytes(self, config: PlacementConfig, kv_bytes: int) -> int:
        """Return memory that weights must leave free, with `kv_bytes` kept for models."""
        least = int(self.memory_bytes * config.kv_headroom_fraction)
        return max(least, kv_bytes, self.unexplained_bytes)

    def free_now_bytes(self, config: PlacementConfig, more_kv_bytes: int) -> int:
        """Return memory for one more load, by what is loaded or may be in flight."""
        headroom = self.headroom_bytes(config, self.reserved_kv_bytes + more_kv_bytes)
        return self.memory_bytes - headroom - self.reserved_bytes

    def free_planned_bytes(self, config: PlacementConfig, more_kv_bytes: int) -> int:
        """Return memory for one more load once the calendar is carried out."""
        kv_bytes = self.reserved_kv_bytes + self.planned_kv_bytes + more_kv_bytes
        weights = self.reserved_bytes + self.planned_bytes - self.planned_free_bytes
        return self.memory_bytes - self.headroom_bytes(config, kv_bytes) - weights

    def has_adapter_slot_now(self) -> bool:
        """Whether one more adapter fits, by what is loaded or may be in flight."""
        return not self.adapter_slots or self.reserved_adapters < self.adapter_slots

    def missing_adapter_slots(self) -> int:
        """Return how many adapters must leave for one more, once the calendar is carried out."""
        if not self.adapter_slots:
            return 0
        planned = self.reserved_adapters + self.planned_adapters - self.planned_free_adapters
        return max(0, planned + 1 - self.adapter_slots)

    def add_planned_load(self, kind: ItemKind, reservation: Reservation) -> None:
        """Count a load that is planned but not ordered; `remove_planned_load` takes it back."""
        self.planned_bytes += reservation.memory_bytes
        self.planned_kv_bytes += reservation.kv_bytes
        self.planned_models += kind is ItemKind.MODEL
        self.planned_adapters += kind is ItemKind.ADAPTER

    def remove_planned_load(self, kind: ItemKind | None, reservation: Reservation) -> None:
        """Stop counting a planned load: it is ordered now, or given up."""
        self.planned_bytes -= reservation.memory_bytes
        self.planned_kv_bytes -= reservation.kv_bytes
        self.planned_models -= kind is ItemKind.MODEL
        self.planned_adapters -= kind is ItemKind.ADAPTER

    def load_slots(self, config: PlacementConfig, now: float) -> int:
        """Return how many loads may run here at once."""
        if now < self.cold_until:
            return config.max_loads_per_cold_server
        return config.max_loads_per_server
