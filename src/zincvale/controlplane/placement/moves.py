"""The calendar's rows: one planned or running change of residency."""

from __future__ import annotations

import enum

import attrs

from zincvale.controlplane.placement.items import ItemKind
from zincvale.model.identifiers import Address, MoveId, ServerId, StoreName, ZoneName


class MoveKind(enum.Enum):
    """What a move does."""

    LOAD = "load"
    UNLOAD = "unload"
    DRAIN = "drain"
    WAIT = "wait"


class MoveState(enum.Enum):
    """How far a move is.

    Legal transitions: a load begins PLANNED, an unload DRAINING, a drain or a wait RUNNING.
    PLANNED and DRAINING become ORDERED or CANCELLED. ORDERED becomes RUNNING, UNKNOWN, DONE or
    FAILED. RUNNING becomes DONE, FAILED, UNKNOWN (the runtime could not learn the end) or, for a
    drain or a wait, CANCELLED. UNKNOWN becomes RUNNING, DONE or FAILED. The last three are final.
    """

    PLANNED = "planned"
    DRAINING = "closing"
    """Nodes are notified to send nothing new; the unload follows. The value is text of the API."""
    ORDERED = "ordered"
    """The order was sent; its response is pending."""
    RUNNING = "running"
    """The server took the order, or (drain, wait) the time runs."""
    UNKNOWN = "unknown"
    """No response came; the reservation stays until the server's own status shows the outcome."""
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINISHED_STATES = frozenset({MoveState.DONE, MoveState.FAILED, MoveState.CANCELLED})
"""Nothing follows them."""
IN_FLIGHT_STATES = frozenset({MoveState.ORDERED, MoveState.RUNNING, MoveState.UNKNOWN})
"""The server may be carrying the move out."""


class MoveReason(enum.Enum):
    """Why a move was planned, most urgent first."""

    WAITING_REQUESTS = "waiting-requests"
    MIN_REPLICAS = "min-replicas"
    BESIDE_BASE = "beside-base"
    """An adapter that was asked for before, on the model that just came."""
    REPLACEMENT = "replacement"
    MORE_LOAD = "more-load"
    DAILY_CHANGE = "daily-change"
    HIGHER_VALUE = "higher-value"
    FREE_MEMORY = "free-memory"
    PREFETCH = "prefetch"
    """Brings weights onto a server's own disk."""
    MAKE_ROOM = "make-room"
    NOT_DECLARED = "not-declared"
    FOUND_IN_PROGRESS = "found-in-progress"
    SERVER_DRAINED = "server-drained"
    ZONE_EVACUATED = "zone-evacuated"
    LEADER_CHANGED = "leader-changed"


URGENCY_BY_REASON = {reason: urgency for urgency, reason in enumerate(MoveReason)}
"""0 is the most urgent; the order of `MoveReason` is the order of planning."""


@attrs.frozen
class Reservation:
    """What a move occupies from its start until it was observed to be over.

    Attributes
    ----------
    memory_bytes : of the server, for weights.
    kv_bytes : of the server, for the KV cache of a model.
    store_bytes_per_second : expected rate at the store.
    server_load_slots : of the server's concurrent loads.
    """

    memory_bytes: int = 0
    kv_bytes: int = 0
    store_bytes_per_second: int = 0
    server_load_slots: int = 0


NO_RESERVATION = Reservation()
"""Of moves that occupy nothing."""


@attrs.frozen
class Move:
    """One row of the calendar. Times are seconds on the controller's monotonic clock."""

    move_id: MoveId
    kind: MoveKind
    state: MoveState
    reason: MoveReason
    detail: str
    """The reason in a sentence, with the figures it rests on."""
    server: ServerId
    address: Address
    zone: ZoneName
    created_at: float
    start_at: float
    """Expected while planned, real from then on."""
    expected_end: float
    item_kind: ItemKind | None = None
    name: str = ""
    base_model: str = ""
    store: StoreName = StoreName("")
    reservation: Reservation = NO_RESERVATION
    order_id: str = ""
    epoch: int = 0
    after: tuple[MoveId, ...] = ()
    """Moves that must be done before this one is ordered."""
    responded_at: float | None = None
    """When the server took the order, or was seen carrying it out."""
    finished_at: float | None = None
    outcome: str = ""
    from_disk: bool = False
    """A load of weights that the server was expected to have on its own disk."""

    @property
    def finished(self) -> bool:
        """Whether nothing more happens."""
        return self.state in FINISHED_STATES

    @property
    def in_flight(self) -> bool:
        """Whether the server may be carrying it out."""
        return self.state in IN_FLIGHT_STATES

    @property
    def urgency(self) -> int:
        """0 is the most urgent."""
        return URGENCY_BY_REASON[self.reason]
