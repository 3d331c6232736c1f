"""Runs the directory machine of a native deployment: probes, server list and publications."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from zincvale.controlplane.directory.backend_status import (
    PLATFORM_LIST_PATH,
    STATUS_PATH,
    read_platform_list,
    read_server_status,
)
from zincvale.controlplane.directory.events import (
    DirectoryInput,
    FetchPlatformList,
    PlatformListed,
    PlatformListFailed,
    ProbeServer,
    Published,
    PublishFailed,
    PublishRows,
    ServerRemoved,
    ServerReported,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.machine import DirectoryMachine
from zincvale.daemons.http_fetch import HttpFetcher
from zincvale.daemons.topic_publisher import TopicPublisher
from zincvale.model.errors import MalformedBodyError
from zincvale.model.machine import Log
from zincvale.runtime.logs import log

HTTP_OK = 200

ReportCallback = Callable[[ServerReported | ServerRemoved], None]


class DirectoryRunner:
    """Passes inputs to the directory machine and executes its effects.

    Parameters
    ----------
    on_report : called with each observed or removed server, for the placement controller.
    """

    def __init__(
        self,
        machine: DirectoryMachine,
        fetcher: HttpFetcher,
        publisher: TopicPublisher,
        platform_address: str,
        clock: Callable[[], float],
        on_report: ReportCallback,
    ) -> None:
        self.machine = machine
        self._fetcher = fetcher
        self._publisher = publisher
        self._platform_address = platform_address
        self._clock = clock
        self._on_report = on_report

    def feed(self, event: DirectoryInput) -> None:
        """Apply one input and execute its effects, in order.

        HTTP requests and publications start in a later iteration of the event loop.
        """
        for effect in self.machine.handle(event, self._clock()):
            self._execute(effect)

    def _execute(self, effect: Any) -> None:
        loop = IOLoop.current()
        match effect:
            case FetchPlatformList(timeout_s):
                loop.add_callback(self._fetch_list, timeout_s)
            case ProbeServer():
                loop.add_callback(self._probe, effect)
            case PublishRows():
                loop.add_callback(self._publish, effect)
            case ServerReported() | ServerRemoved():
                self._on_report(effect)
            case Log(number, fields):
                log(number, **fields)

    async def _fetch_list(self, timeout_s: float) -> None:
        if not self._platform_address:
            self.feed(PlatformListFailed("the settings have no platform_address"))
            return
        result = await self._fetcher.get(self._platform_address, PLATFORM_LIST_PATH, timeout_s)
        if result.status != HTTP_OK:
            self.feed(PlatformListFailed(result.error or f"status {result.status}"))
            return
        try:
            rows = read_platform_list(result.body)
        except MalformedBodyError as error:
            self.feed(PlatformListFailed(str(error)))
            return
        self.feed(PlatformListed(rows))

    async def _probe(self, effect: ProbeServer) -> None:
        requested_at = self._clock()
        result = await self._fetcher.get(effect.address, STATUS_PATH, effect.timeout_s)
        if result.status != HTTP_OK:
            reason = result.error or f"status {result.status}"
            self.feed(StatusFailed(effect.server, reason, not result.connected, requested_at))
            return
        try:
            status = read_server_status(result.body)
        except MalformedBodyError as error:
            self.feed(StatusFailed(effect.server, str(error), False, requested_at))
            return
        self.feed(StatusObserved(effect.server, status, requested_at))

    async def _publish(self, effect: PublishRows) -> None:
        try:
            accepted = await self._publisher.publish(effect.message)
        except Exception as error:  # noqa: BLE001
            # A defect in the local coordination machine must not stop publishing: the directory
            # machine publishes again after `PublishFailed`.
            self.feed(PublishFailed(repr(error)))
            return
        self.feed(Published(accepted))
