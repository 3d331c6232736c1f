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
    """The observed state of one server.

    Attributes
    ----------
    row : the row of the directory; its `loading` has the names of models and adapters being loaded.
    requested_at : a time on this process's clock at or after which the status was taken: when this
        process sent the status request, or, for a row relayed by a prober, when this process
        requested it from the prober, minus the age of the row that the prober stated.
    unloading : names of models and adapters being unloaded.
    is_from_server : the server itself reported the state. A list of servers may lag behind an order
        of an earlier leader, so a list never confirms a server.
    """

    row: ServerRow
    requested_at: float
    unloading: frozenset[str] = frozenset()
    is_from_server: bool = True


@attrs.frozen
class DirectoryChanged:
    """Input: servers whose rows changed or were observed again, and servers that left."""

    reports: tuple[StatusReport, ...] = ()
    departed: tuple[ServerId, ...] = ()


@attrs.frozen
class DemandRow:
    """Demand for one model, or one of its adapters, at one node.

    Attributes
    ----------
    requests : requests that arrived since the node's last report.
    tokens : tokens generated since the node's last report.
    waiting : requests that wait at the node now because no replica can take them.
    """

    model: ModelName
    adapter: AdapterName | None = None
    requests: int = 0
    tokens: int = 0
    waiting: int = 0


@attrs.frozen
class UseRow:
    """Number of requests of one node that run on one server now, for a model or adapter."""

    server: ServerId
    model: ModelName
    adapter: AdapterName | None
    running: int


@attrs.frozen
class DemandReported:
    """Input: a node's complete report; models and adapters that it does not list count as 0."""

    node: MemberId
    rows: tuple[DemandRow, ...] = ()
    use: tuple[UseRow, ...] = ()


@attrs.frozen
class OrderAccepted:
    """Input: the server accepted the order.

    `done` means that the order is already carried out (HTTP status 200 instead of 202).
    """

    order_id: str
    done: bool = False


class OrderRefusal(enum.Enum):
    """Why an order was not accepted; it did not run and will not run."""

    MEMORY = "memory"
    BUSY = "busy"
    BASE_MODEL = "base-model"
    NOT_HELD = "not-held"
    STALE_EPOCH = "stale-epoch"
    WITHHELD = "withheld"
    """The runtime did not send the order, because the leader lease did not hold at that time."""
    NOT_CONNECTED = "not-connected"
    """No connection to the server was made, so the order was not sent."""
    OTHER = "other"


@attrs.frozen
class OrderRefused:
    """Input: the order certainly did not run and will not run."""

    order_id: str
    why: OrderRefusal


@attrs.frozen
class OrderUnknown:
    """Input: the order got no response, or its end could not be learned; it may still run."""

    order_id: str


@attrs.frozen
class LeaderGained:
    """Input: this process holds the leader lease under `epoch`; also sent at each renewal.

    `acts_until` is the end of the lease minus its safety margin, on this process's clock.
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
    """What an order tells the server to do."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class Order:
    """An order to a server to load or unload an item.

    Attributes
    ----------
    epoch : fencing epoch of the leader; servers refuse orders with an older epoch.
    base_model : the base model of an adapter; empty for a model.
    store_address : address of the store to pull the weights from; empty in an order to unload.
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
    """Effect: send `order`, if the leader lease of its epoch holds at the time of sending.

    The runtime responds with `OrderAccepted`, `OrderRefused` or `OrderUnknown` within the order's
    lifetime.
    """

    server: ServerId
    address: Address
    order: Order
    not_after: float
    """The order must not be sent at or after this time."""


@attrs.frozen
class RequestStatus:
    """Effect: request the server's status now; the result is fed back as `DirectoryChanged`."""

    server: ServerId
    address: Address


@attrs.frozen
class PublishMoves:
    """Effect: put the changed rows on the topic `moves` and remove others from it.

    `is_complete` means that all rows that are not listed are to be removed as well.
    """

    changed: tuple[Move, ...]
    removed: tuple[MoveId, ...] = ()
    is_complete: bool = False


@attrs.frozen
class MarkDraining:
    """Effect: set `ServerRow.closing` of `server` to `names`, its draining replicas."""

    server: ServerId
    names: frozenset[str]


@attrs.frozen
class OrderRecorded:
    """Effect: record that an order was issued, with its reason."""

    move_id: MoveId
    order: Order
    server: ServerId
    reason: MoveReason
    detail: str
    planned_at: float


@attrs.frozen
class CompletionRecorded:
    """Effect: record the observed outcome of an order.

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
