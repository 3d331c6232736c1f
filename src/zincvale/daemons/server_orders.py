"""Interface between placement and back-end servers: formats of orders and status requests.

`NativeServerOrders` implements `ServerOrders` for the native protocol; another dialect (protocol)
is another class that implements it.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import orjson

from zincvale.controlplane.directory.backend_status import STATUS_PATH, read_server_status
from zincvale.controlplane.directory.tracked_servers import observed_row
from zincvale.controlplane.placement.events import Order, OrderAction, OrderRefusal
from zincvale.controlplane.placement.items import ItemKind
from zincvale.daemons.http_fetch import FetchResult
from zincvale.model.control_tables import ServerRow

HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_STALE_EPOCH = 412
HTTP_BUSY = 503


@attrs.frozen
class HttpCall:
    """Path, body and headers of one HTTP call to a server."""

    path: str
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class OrderReply(enum.Enum):
    """Outcome of an order that a server's response proves; a refusal is an `OrderRefusal`.

    An order goes from `ACCEPTED` to `COMPLETED`; after `UNKNOWN` only a status shows its result.
    """

    ACCEPTED = "accepted"
    """The server executes the order; whether it is completed is not known yet."""
    COMPLETED = "completed"
    """The server's state is what the order requests."""
    UNKNOWN = "unknown"
    """The response proves nothing: the order may or may not be executed."""


@attrs.frozen
class StatusReading:
    """The status that a server reports about itself.

    Attributes
    ----------
    row : the directory's row, updated from the response.
    unloading : models and adapters that are being unloaded.
    age_s : longest time by which the status may be older than the response with it.
    is_busy : whether the server executes an order.
    sequence : number of orders that the server has accepted; None if it does not count them.
    """

    row: ServerRow
    unloading: frozenset[str] = frozenset()
    age_s: float = 0.0
    is_busy: bool = False
    sequence: int | None = None


class ServerOrders(Protocol):
    """Formats of orders and statuses of one kind of server."""

    @property
    def confirms_by_repeating(self) -> bool:
        """Whether the reply to a repeated accepted order tells whether the order is completed."""
        ...

    def order_call(
        self, order: Order, row: ServerRow, issuer: str, sequence: int | None
    ) -> HttpCall:
        """Return the call that gives an order.

        Parameters
        ----------
        issuer : name under which this process gives orders.
        sequence : number of orders that the server must have accepted before this one, else it
            refuses; None requests no such check.
        """
        ...

    def order_reply(self, order: Order, result: FetchResult) -> OrderReply | OrderRefusal:
        """Return the outcome of an order as far as the server's response proves it."""
        ...

    def status_call(self, row: ServerRow) -> HttpCall:
        """Return the call (a GET) that requests a server's status."""
        ...

    def read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        """Return the status in a response, None when it is not a status of this server.

        Raises `MalformedBodyError`.
        """
        ...


class NativeServerOrders:
    """Implements `ServerOrders` for back ends that speak the native protocol."""

    confirms_by_repeating = False

    def order_call(
        self, order: Order, _row: ServerRow, _issuer: str, _sequence: int | None
    ) -> HttpCall:
        """Return the call that gives an order."""
        kind = "models" if order.item_kind is ItemKind.MODEL else "adapters"
        return HttpCall(f"/v1/{kind}/{order.action.value}", orjson.dumps(_order_body(order)))

    def order_reply(self, order: Order, result: FetchResult) -> OrderReply | OrderRefusal:
        """Return the outcome of an order as far as the server's response proves it.

        Only a proven refusal releases the memory that is reserved for the order.
        """
        if result.status in (HTTP_OK, HTTP_ACCEPTED):
            return OrderReply.ACCEPTED
        if not result.connected:
            return OrderRefusal.NOT_CONNECTED
        if result.status == HTTP_CONFLICT:
            is_base = b"base-model" in result.body
            return OrderRefusal.BASE_MODEL if is_base else OrderRefusal.MEMORY
        if result.status == HTTP_BUSY:
            return OrderRefusal.BUSY
        if result.status == HTTP_STALE_EPOCH:
            return OrderRefusal.STALE_EPOCH
        if result.status == HTTP_NOT_FOUND and order.action is OrderAction.UNLOAD:
            return OrderRefusal.NOT_HELD
        return OrderReply.UNKNOWN

    def status_call(self, _row: ServerRow) -> HttpCall:
        """Return the call that requests a server's status."""
        return HttpCall(STATUS_PATH, b"")

    def read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        """Return the status in a response; raises `MalformedBodyError`."""
        if result.status != HTTP_OK:
            return None
        status = read_server_status(result.body)
        if status.server != row.server:
            return None
        return StatusReading(observed_row(row, status), status.unloading)


def _order_body(order: Order) -> dict[str, object]:
    body: dict[str, object] = {"order_id": order.order_id, "epoch": order.epoch}
    if order.item_kind is ItemKind.MODEL:
        body["model"] = order.name
    else:
        body["adapter"] = order.name
    if order.action is OrderAction.LOAD:
        body["bytes"] = order.item_bytes
        body["store"] = order.store_address
        if order.item_kind is ItemKind.ADAPTER:
            body["base_model"] = order.base_model
    return body
