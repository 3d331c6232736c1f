"""Runs leaderless server discovery: reads the server list and publishes the servers in it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from zincvale.controlplane.directory.messages import ListRead
from zincvale.controlplane.directory.server_discovery import (
    AnnounceRead,
    FetchList,
    ListedServer,
    PublishServers,
    ServerDiscovery,
    ServersObserved,
)
from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import TopicPublished
from zincvale.daemons.forwarding_dialects import ServerListDialect
from zincvale.daemons.http_fetch import HttpFetcher
from zincvale.model.errors import MalformedBodyError
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Log
from zincvale.runtime.driver import MachineDriver
from zincvale.runtime.logs import log

LIST_TIMEOUT_S = 1.0
"""Time limit for the request of one page."""
MAX_PAGES = 200
"""Most pages of one list: reading a list with more, or with endless pages, fails."""
HTTP_OK = 200


class DiscoveryRunner:
    """Passes inputs to the discovery machine and executes its effects.

    Parameters
    ----------
    send_to_cores : sends a one-way message to every other core.
    on_observed : called with each set of servers that was read or received.
    """

    def __init__(
        self,
        machine: ServerDiscovery,
        dialect: ServerListDialect,
        fetcher: HttpFetcher,
        address: str,
        driver: MachineDriver,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        send_to_cores: Callable[[Any], None],
        on_observed: Callable[[ServersObserved], None],
    ) -> None:
        self.machine = machine
        self._dialect = dialect
        self._fetcher = fetcher
        self._address = address
        self._driver = driver
        self._clock = clock
        self._wall_clock = wall_clock
        self._send_to_cores = send_to_cores
        self._on_observed = on_observed

    def document_changed(self, document: ForwardingDocument) -> None:
        """Handle a newer forwarding document."""
        self._execute(self.machine.on_document_changed(document, self._clock()))

    def topic_changed(self, view: TopicView) -> None:
        """Handle the newest state of the server topic, whichever core published it."""
        self._execute(self.machine.on_published(view, self._clock()))

    def message_received(self, _sender: MemberId, message: Any) -> None:
        """Handle another core's announcement that it has read the list."""
        if isinstance(message, ListRead):
            self.machine.on_read_announced(message, self._clock())

    def tick(self, rank: int, epoch_seen: int, now: float) -> None:
        """Read the list when it is this core's turn.

        `rank` is this core's place in the order in which live cores read the list; `epoch_seen` is
        the newest epoch of the server topic that a node has reported.
        """
        self.machine.on_stored_epoch(epoch_seen)
        if self._address:
            self._execute(self.machine.tick(rank, now))

    def _execute(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case FetchList():
                    IOLoop.current().add_callback(self._read_list)
                case PublishServers():
                    IOLoop.current().add_callback(self._publish, effect)
                case AnnounceRead(message):
                    self._send_to_cores(message)
                case ServersObserved():
                    self._on_observed(effect)
                case Log(number, fields):
                    log(number, **fields)

    async def _read_list(self) -> None:
        requested_at = self._clock()
        servers: list[ListedServer] = []
        page = ""
        for _ in range(MAX_PAGES):
            result = await self._fetcher.get(
                self._address, self._dialect.list_path(page), LIST_TIMEOUT_S
            )
            if result.status != HTTP_OK:
                is_throttled = self._dialect.is_throttled(result)
                self._report_read_failure(
                    result.error or f"status {result.status}", is_throttled=is_throttled
                )
                return
            try:
                list_page = self._dialect.read_page(result.body)
            except MalformedBodyError as error:
                self._report_read_failure(str(error), is_throttled=False)
                return
            servers.extend(list_page.servers)
            page = list_page.next_page
            if not page:
                break
        else:
            self._report_read_failure(f"more than {MAX_PAGES} pages", is_throttled=False)
            return
        now = self._clock()
        self._execute(self.machine.on_list_read(servers, requested_at, now, self._wall_clock()))

    def _report_read_failure(self, reason: str, *, is_throttled: bool) -> None:
        self._execute(self.machine.on_list_failed(reason, self._clock(), is_throttled=is_throttled))

    async def _publish(self, effect: PublishServers) -> None:
        reply = await self._driver.call_local(effect.message)
        if isinstance(reply, TopicPublished) and not reply.accepted:
            self.machine.on_publication_refused(reply.epoch)
