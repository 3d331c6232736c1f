"""Inputs and effects of the placement controller."""

from __future__ import annotations

import enum

import attrs

from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.moves import Move, MoveReason
from zincvale.model.control_tables import Intent, ServerRow
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    MemberId,
    ModelName,
    MoveId,
    ServerId,
    StoreName,
)
from zincvale.model.machine import ClockJumped, Log, Tick


@attrs.frozen
class IntentChanged:
    """Input: the complete intent; tables and specs that are the same objects are skipped."""

    intent: Intent


@attrs.frozen
class StatusReport:
    """One server as observed.

    Attributes
    ----------
    row : the directory's row. `loading` holds names of models and adapters being loaded.
    requested_at : a time on this process's clock before which the status was certainly not taken:
        when this process sent the status request, or, for a row relayed by a prober, when this
        process requested it from the prober, less the row's age in the prober's response.
    unloading : names of models and adapters being unloaded.
    is_from_server : the server itself reported it. What a list says of it may trail behind an
        order of an earlier leader, so a list never confirms a server.
    """

    row: ServerRow
    requested_at: float
    unloading: frozenset[str] = frozenset()
    is_from_server: bool = True


@attrs.frozen
class DirectoryChanged:
    """Input: servers whose rows changed, or were confirmed, and servers that left the list."""

    reports: tuple[StatusReport, ...] = ()
    departed: tuple[ServerId, ...] = ()


@attrs.frozen
class DemandRow:
    """What one node saw for one model and adapter since its last report.

    Attributes
    ----------
    requests : requests that arrived.
    tokens : tokens generated.
    waiting : requests pending at the node now because no replica can take them.
    """

    model: ModelName
    adapter: AdapterName | None = None
    requests: int = 0
    tokens: int = 0
    waiting: int = 0


@attrs.frozen
class UseRow:
    """Requests of one node that run on one server now."""

    server: ServerId
    model: ModelName
    adapter: AdapterName | None
    running: int


@attrs.frozen
class DemandReported:
    """Input: a node's complete present picture; what it does not list is zero."""

    node: MemberId
    rows: tuple[DemandRow, ...] = ()
    use: tuple[UseRow, ...] = ()


@attrs.frozen
class OrderAccepted:
    """Input: the server took the order.

    `done` tells that it is already in effect (HTTP 200, not 202).
    """

    order_id: str
    done: bool = False


class OrderRefusal(enum.Enum):
    """Why a server refused an order; it did not run and will not."""

    MEMORY = "memory"
    BUSY = "busy"
    BASE_MODEL = "base-model"
    NOT_HELD = "not-held"
    STALE_EPOCH = "stale-epoch"
    WITHHELD = "withheld"
    """The runtime did not send it: the leader lease did not cover the moment."""
    NOT_CONNECTED = "not-connected"
    """No connection was made, so nothing was sent."""
    OTHER = "other"


@attrs.frozen
class OrderRefused:
    """Input: the order provably never ran and never will."""

    order_id: str
    why: OrderRefusal


@attrs.frozen
class OrderUnknown:
    """Input: the order got no response; it may run."""

    order_id: str


@attrs.frozen
class LeaderGained:
    """Input: this process holds the leader lease under `epoch`; also sent at each renewal.

    `acts_until` is the end of the lease less its safety margin, on this process's clock.
    """

    epoch: int
    acts_until: float


@attrs.frozen
class LeaderLost:
    """Input: the leader lease ended or may have ended."""


Input = (
    IntentChanged
    | DirectoryChanged
    | DemandReported
    | OrderAccepted
    | OrderRefused
    | OrderUnknown
    | LeaderGained
    | LeaderLost
    | ClockJumped
    | Tick
)


class OrderAction(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class Order:
    """One order to a server.

    Attributes
    ----------
    epoch : fencing epoch of the leader; receivers refuse older ones.
    base_model : of an adapter.
    store_address : where weights are pulled from; empty in an unload.
    from_disk : the server is expected to have the weights on its own disk.
    """

    order_id: str
    epoch: int
    action: OrderAction
    item_kind: ItemKind
    name: str
    base_model: str
    item_bytes: int
    store: StoreName
    store_address: Address
    from_disk: bool = False


@attrs.frozen
class SendOrder:
    """Effect: send `order`, if the leader lease of its epoch covers the moment of sending.

    Answer with `OrderAccepted`, `OrderRefused` or `OrderUnknown` within the order's lifetime.
    """

    server: ServerId
    address: Address
    order: Order
    not_after: float
    """The order must not leave at or after this time."""


@attrs.frozen
class RequestStatus:
    """Effect: request the server's status now; feed back `DirectoryChanged`."""

    server: ServerId
    address: Address


@attrs.frozen
class PublishMoves:
    """Effect: put these rows on the topic `moves` and take the removed ones off it.

    `is_complete` says that rows not listed are to be removed as well.
    """

    changed: tuple[Move, ...]
    removed: tuple[MoveId, ...] = ()
    is_complete: bool = False


@attrs.frozen
class MarkDraining:
    """Effect: `ServerRow.closing` of `server` is exactly `names` from now on."""

    server: ServerId
    names: frozenset[str]


@attrs.frozen
class OrderRecorded:
    """Effect: a fact for the record: an order left."""

    move_id: MoveId
    order: Order
    server: ServerId
    reason: MoveReason
    detail: str
    planned_at: float


@attrs.frozen
class CompletionRecorded:
    """Effect: a fact for the record: what became of an order, as observed.

    `outcome` is `done`, `failed: WHY` or `refused: WHY`.
    """

    move_id: MoveId
    order_id: str
    server: ServerId
    sent_at: float
    outcome: str


Effect = (
    SendOrder
    | RequestStatus
    | PublishMoves
    | MarkDraining
    | OrderRecorded
    | CompletionRecorded
    | Log
)
