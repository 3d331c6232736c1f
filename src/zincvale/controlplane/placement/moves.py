"""Rows of the calendar: each is one planned, running or finished move."""

from __future__ import annotations

import enum

import attrs

from zincvale.controlplane.placement.items import ItemKind
from zincvale.model.identifiers import Address, MoveId, ServerId, StoreName, ZoneName


class MoveKind(enum.Enum):
    """Kind of a move: a load, an unload, the drain of a server, or the wait of a new leader."""

    LOAD = "load"
    UNLOAD = "unload"
    DRAIN = "drain"
    WAIT = "wait"


class MoveState(enum.Enum):
    """State of a move.

    Legal transitions: a load begins as PLANNED, an unload as DRAINING, a drain or a wait as
    RUNNING. PLANNED and DRAINING become ORDERED or CANCELLED. ORDERED becomes RUNNING, UNKNOWN,
    DONE or FAILED. RUNNING becomes DONE, FAILED, UNKNOWN (if the runtime could not learn the end)
    or, for a drain or a wait, CANCELLED. UNKNOWN becomes RUNNING, DONE or FAILED. DONE, FAILED and
    CANCELLED are final.
    """

    PLANNED = "planned"
    DRAINING = "closing"
    """Nodes are told to send no new requests; the unload is ordered later. The value is part of
    the API."""
    ORDERED = "ordered"
    """The order was sent and has no response yet."""
    RUNNING = "running"
    """The server accepted the order; a drain or a wait is in progress."""
    UNKNOWN = "unknown"
    """It is not known whether the order runs, or how it ended; the reservation stays until the
    server's own status shows the outcome."""
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINISHED_STATES = frozenset({MoveState.DONE, MoveState.FAILED, MoveState.CANCELLED})
"""Final states."""
IN_FLIGHT_STATES = frozenset({MoveState.ORDERED, MoveState.RUNNING, MoveState.UNKNOWN})
"""States in which the server may be carrying out the move."""


class MoveReason(enum.Enum):
    """Why a move was planned, most urgent first."""

    WAITING_REQUESTS = "waiting-requests"
    MIN_REPLICAS = "min-replicas"
    BESIDE_BASE = "beside-base"
    """Loads an adapter that was requested before and has no replica, beside its base model."""
    REPLACEMENT = "replacement"
    MORE_LOAD = "more-load"
    DAILY_CHANGE = "daily-change"
    HIGHER_VALUE = "higher-value"
    FREE_MEMORY = "free-memory"
    PREFETCH = "prefetch"
    """Puts weights onto a server's own disk, or measures how fast they load from there."""
    MAKE_ROOM = "make-room"
    NOT_DECLARED = "not-declared"
    FOUND_IN_PROGRESS = "found-in-progress"
    SERVER_DRAINED = "server-drained"
    ZONE_EVACUATED = "zone-evacuated"
    LEADER_CHANGED = "leader-changed"


URGENCY_BY_REASON = {reason: urgency for urgency, reason in enumerate(MoveReason)}
"""Urgency by reason, 0 the most urgent; the order of `MoveReason` is the order of planning."""


@attrs.frozen
class Reservation:
    """Resources that a move occupies from its start until its end was observed.

    Attributes
    ----------
    memory_bytes : memory of the server for weights.
    kv_bytes : memory of the server for the KV cache of a model.
    store_bytes_per_second : expected pull rate from the store.
    server_load_slots : slots among the server's concurrent loads.
    """

    memory_bytes: int = 0
    kv_bytes: int = 0
    store_bytes_per_second: int = 0
    server_load_slots: int = 0


NO_RESERVATION = Reservation()
"""Reservation of moves that occupy no resources."""


@attrs.frozen
class Move:
    """One row of the calendar. Times are seconds on the controller's monotonic clock."""

    move_id: MoveId
    kind: MoveKind
    state: MoveState
    reason: MoveReason
    detail: str
    """Explanation of the reason for operators, with the figures that it is based on."""
    server: ServerId
    address: Address
    zone: ZoneName
    created_at: float
    start_at: float
    """Expected start while the move is planned, actual start afterwards."""
    expected_end: float
    item_kind: ItemKind | None = None
    name: str = ""
    base_model: str = ""
    store: StoreName = StoreName("")
    reservation: Reservation = NO_RESERVATION
    order_id: str = ""
    epoch: int = 0
    after: tuple[MoveId, ...] = ()
    """Moves that must be done (before an unload: ordered) before this one is ordered."""
    responded_at: float | None = None
    """When the server accepted the order, or was first observed to carry it out."""
    finished_at: float | None = None
    outcome: str = ""
    from_disk: bool = False
    """The weights of the load were expected to be on the server's own disk."""

    @property
    def finished(self) -> bool:
        """Whether the move is in a final state."""
        return self.state in FINISHED_STATES

    @property
    def in_flight(self) -> bool:
        """Whether the server may be carrying out the move."""
        return self.state in IN_FLIGHT_STATES

    @property
    def urgency(self) -> int:
        """Position of the reason in the order of planning; 0 is the most urgent."""
        return URGENCY_BY_REASON[self.reason]
