"""Formats of the platform's list of servers and of its servers' orders and status reports."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import attrs
import orjson

from zincvale.controlplane.directory.server_discovery import ListedServer
from zincvale.controlplane.placement.events import Order, OrderRefusal
from zincvale.controlplane.placement.items import ItemKind
from zincvale.daemons.forwarding_dialects import ListPage
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.server_orders import HttpCall, OrderReply, StatusReading
from zincvale.model.control_tables import ServerRow
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)

REPORT_LAG_S = 0.6
"""Longest time by which a server's report may be older than the response with it. If this were too
short, a report from before an order would count as one from after it."""
MS_PER_S = 1000.0
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
REPLY_BY_STATUS: dict[int, OrderReply | OrderRefusal] = {
    200: OrderReply.COMPLETED,
    202: OrderReply.ACCEPTED,
    400: OrderRefusal.OTHER,
    409: OrderRefusal.BUSY,
    412: OrderRefusal.STALE_EPOCH,
    421: OrderRefusal.OTHER,
}


class PlatformServerList:
    """Implements `ServerListDialect` with the platform's list of instances."""

    def list_path(self, page: str) -> str:
        """Return the path of the page with token `page`, or of the first page if it is empty."""
        return "/instances" if not page else f"/instances?pageToken={quote(page, safe='')}"

    def read_page(self, body: bytes) -> ListPage:
        """Return the page in a response's body; raises `MalformedBodyError`."""
        try:
            decoded = orjson.loads(body)
            servers = [_listed_server(each) for each in decoded["instances"]]
            return ListPage(servers, decoded.get("nextPageToken") or "")
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise MalformedBodyError(
                f"the server list cannot be read: {error!r}", "request it again"
            ) from error

    def is_throttled(self, result: FetchResult) -> bool:
        """Whether the response says that the list was requested too often."""
        return result.status == HTTP_TOO_MANY_REQUESTS


class PlatformOrders:
    """Implements `ServerOrders` with the platform's paths and JSON fields."""

    confirms_by_repeating = True

    def order_call(
        self, order: Order, row: ServerRow, issuer: str, sequence: int | None
    ) -> HttpCall:
        """Return the call that gives an order."""
        body: dict[str, Any] = {
            "operation": order.action.value,
            "holder": issuer,
            "fencingToken": order.epoch,
        }
        if order.item_kind is ItemKind.MODEL:
            body["model"] = order.name
        else:
            body["model"], _, body["adapter"] = order.name.rpartition("/")
        if sequence is not None:
            body["expectedRevision"] = sequence
        return HttpCall("/v1/order", orjson.dumps(body), {"Expect-Instance": row.incarnation})

    def order_reply(self, _order: Order, result: FetchResult) -> OrderReply | OrderRefusal:
        """Return the outcome of an order as far as the server's response proves it."""
        if not result.connected:
            return OrderRefusal.NOT_CONNECTED
        return REPLY_BY_STATUS.get(result.status, OrderReply.UNKNOWN)

    def status_call(self, row: ServerRow) -> HttpCall:
        """Return the call that requests a server's report."""
        return HttpCall("/v1/report", b"", {"Expect-Instance": row.incarnation})

    def read_status(self, row: ServerRow, result: FetchResult) -> StatusReading | None:
        """Return the report in a response; raises `MalformedBodyError`."""
        if result.status != HTTP_OK:
            return None
        try:
            decoded = orjson.loads(result.body)
            models, adapters = _resident(decoded["models"])
            return StatusReading(
                attrs.evolve(row, models=models, adapters=adapters, running=decoded["running"]),
                age_s=REPORT_LAG_S,
                is_busy=bool(decoded["busy"]),
                sequence=int(decoded["sequence"]),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise MalformedBodyError(
                f"the server report cannot be read: {error!r}", "request it again"
            ) from error


def _listed_server(decoded: dict[str, Any]) -> ListedServer:
    models, adapters = _resident(decoded.get("models") or ())
    return ListedServer(
        server=ServerId(decoded["id"]),
        address=Address(decoded["address"]),
        pool=PoolName(decoded["service"]),
        zone=ZoneName(decoded["zone"]),
        draining=decoded.get("state") == "draining",
        cold_remaining_s=(decoded.get("coldRemainingMs") or 0) / MS_PER_S,
        slots=int(decoded.get("slots") or 0),
        models=models,
        adapters=adapters,
    )


def _resident(models: Any) -> tuple[frozenset[ModelName], frozenset[AdapterName]]:
    names = frozenset(ModelName(each["name"]) for each in models)
    adapters = frozenset(
        AdapterName(f"{each['name']}/{adapter}")
        for each in models
        for adapter in each.get("adapters") or ()
    )
    return names, adapters
