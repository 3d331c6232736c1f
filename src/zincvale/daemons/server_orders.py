"""How servers take orders and report on themselves: the seam of placement towards back ends.

`NativeServerOrders` is the product's own dialect; another one is another class with these methods.
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
from zincvale.model.view import ServerRow

HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_STALE_EPOCH = 412
HTTP_BUSY = 503


@attrs.frozen
class HttpCall:
    """One call to a server."""

    path: str
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


class OrderReply(enum.Enum):
    """What a server's answer to an order proves."""

    TAKEN = "taken"
    """It carries the order out; its end is not known yet."""
    DONE = "done"
    """What was ordered holds."""
    UNKNOWN = "unknown"
    """Nothing: the order may run."""


@attrs.frozen
class StatusReading:
    """A server's own word.

    Attributes
    ----------
    row : the directory's row with what the server said.
    unloading : names on their way out.
    age_s : how much older than its answer the word may be.
    is_busy : an order is under way there.
    sequence : orders that the server took; None when it does not count them.
    """

    row: ServerRow
    unloading: frozenset[str] = frozenset()
    age_s: float = 0.0
    is_busy: bool = False
    sequence: int | None = None


class ServerOrders(Protocol):
    """Formats of orders and statuses."""

    @property
    def confirms_by_repeating(self) -> bool:
        """Whether an order that was taken can be sent again to learn that it is done."""
        ...

    def order_call(
        self, order: Order, row: ServerRow, holder: str, sequence: int | None
    ) -> HttpCall:
        """Return the call that gives an order."""
        ...

    def order_reply(self, order: Order, result: FetchResult) -> OrderReply | OrderRefusal:
        """Return what the answer proves."""
        ...

    def status_call(self, row: ServerRow) -> HttpCall:
        """Return the call (a GET) that asks for a server's status."""
        ...

    def read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        """Return the status in an answer, None when it is not this server's; may raise
        `MalformedBodyError`."""
        ...


class NativeServerOrders:
    """Implements `ServerOrders` for the product's own back ends."""

    confirms_by_repeating = False

    def order_call(
        self, order: Order, row: ServerRow, holder: str, sequence: int | None
    ) -> HttpCall:
        """Return the call that gives an order."""
        kind = "models" if order.item_kind is ItemKind.MODEL else "adapters"
        return HttpCall(f"/v1/{kind}/{order.action.value}", orjson.dumps(_order_body(order)))

    def order_reply(self, order: Order, result: FetchResult) -> OrderReply | OrderRefusal:
        """Return what the answer proves: only a proven refusal frees a reservation."""
        if result.status in (HTTP_OK, HTTP_ACCEPTED):
            return OrderReply.TAKEN
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

    def status_call(self, row: ServerRow) -> HttpCall:
        """Return the call that asks for a server's status."""
        return HttpCall(STATUS_PATH, b"")

    def read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        """Return the status in an answer; raises `MalformedBodyError`."""
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
