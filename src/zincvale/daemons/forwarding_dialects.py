"""Message formats of a forwarding core: operators' API, list of servers, orders and statuses."""

from __future__ import annotations

from typing import Protocol

import attrs

from zincvale.controlplane.directory.server_discovery import ListedServer
from zincvale.controlplane.documents.api import OperatorDialect
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.server_orders import ServerOrders


@attrs.frozen
class ListPage:
    """One page of the list of servers; `next_page` is empty on the last one."""

    servers: list[ListedServer]
    next_page: str = ""


class ServerListDialect(Protocol):
    """Paths and format of the list of servers."""

    def list_path(self, page: str) -> str:
        """Return the path of the page with token `page`; an empty token means the first page."""
        ...

    def read_page(self, body: bytes) -> ListPage:
        """Return the page in a response's body; raises `MalformedBodyError`."""
        ...

    def is_throttled(self, result: FetchResult) -> bool:
        """Whether the response says that the list was requested too often."""
        ...


@attrs.frozen
class ForwardingDialects:
    """The dialects (message formats) that a core of a forwarding deployment needs."""

    operators: OperatorDialect
    server_list: ServerListDialect
    orders: ServerOrders
