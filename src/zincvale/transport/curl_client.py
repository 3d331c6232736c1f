"""HTTP/1.1 client on libcurl's multi interface, driven by the daemon's event loop.

Unlike tornado's curl client it distinguishes a request that was provably not sent from one that may
have run, slows down the server when the listener is slow, and never sends a request twice: libcurl
itself retries a request when a pooled connection turns out to be closed, which `CurlHandle`
prevents.

Listeners are called outside of libcurl's callbacks, so they may start, pause and cancel exchanges.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import attrs
import pycurl

from zincvale.transport.curl_exchange import (
    ClientRequest,
    ClientResponse,
    CurlExchange,
    ExchangeError,
    ExchangeFailure,
    ExchangeListener,
)
from zincvale.transport.curl_handle import CurlHandle
from zincvale.transport.curl_sockets import SocketTable

IDLE_CONNECTION_LIMIT = 1024
"""Maximum number of idle connections to all servers together. With too few, requests often have to
open new connections."""
FREE_HANDLE_LIMIT = 512
"""Maximum number of unused handles that are retained for reuse. With too few, a burst of requests
has to set up new ones."""


class CurlClient:
    """HTTP client of one daemon, on the running event loop.

    Parameters
    ----------
    address_map : addresses to connect to, by the advertised addresses that they replace; read for
        each exchange.
    """

    def __init__(self, address_map: Mapping[str, str] | None = None) -> None:
        self._address_map: Mapping[str, str] = address_map if address_map is not None else {}
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer_change)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket_change)
        self._multi.setopt(pycurl.M_MAXCONNECTS, IDLE_CONNECTION_LIMIT)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._events_by_fd: dict[int, int] = {}
        self._timer: asyncio.Handle | None = None
        self._free: list[CurlHandle] = []
        self._exchanges: dict[pycurl.Curl, CurlExchange] = {}
        self._handles: dict[CurlExchange, CurlHandle] = {}
        self._sockets = SocketTable()
        self._touched: list[CurlExchange] = []
        self._closed = False

    @property
    def running(self) -> int:
        """Number of exchanges in flight."""
        return len(self._handles)

    def start(self, request: ClientRequest, listener: ExchangeListener) -> CurlExchange:
        """Start an exchange; the listener is called only after this returns."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        exchange = CurlExchange(request, listener, self)
        self._start_transfer(exchange)
        return exchange

    async def fetch(self, request: ClientRequest, timeout_s: float) -> ClientResponse:
        """Return the complete response to a non-streaming request; raises `ExchangeError`."""
        listener = _FetchListener(asyncio.get_running_loop().create_future())
        exchange = self.start(request, listener)
        try:
            return await asyncio.wait_for(listener.future, timeout_s)
        except TimeoutError:
            raise ExchangeError(ExchangeFailure("timeout", exchange.sent)) from None
        finally:
            exchange.cancel()

    def close(self) -> None:
        """Cancel every exchange and close every connection."""
        if self._closed:
            return
        for exchange in list(self._handles):
            self.cancel(exchange)
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for handle in self._free:
            handle.curl.close()
        self._free.clear()
        self._multi.close()
        for fd in list(self._events_by_fd):
            self._unregister(fd)

    def _start_transfer(self, exchange: CurlExchange) -> None:
        handle = self._free.pop() if self._free else CurlHandle(self._mark_changed, self._sockets)
        advertised = exchange.request.address
        address = self._address_map.get(advertised, advertised)
        handle.prepare(exchange, address)
        self._exchanges[handle.curl] = exchange
        self._handles[exchange] = handle
        self._multi.add_handle(handle.curl)

    # Callbacks of libcurl, which requests timers and socket events

    def _on_timer_change(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms < 0 or self._loop is None or self._closed:
            return
        if timeout_ms == 0:
            self._timer = self._loop.call_soon(self._on_timeout)
        else:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._on_timeout)

    def _on_socket_change(self, event: int, fd: int, _multi: object, _data: object) -> None:
        if fd in self._events_by_fd:
            # libcurl may have closed the socket and opened another with the same number.
            self._unregister(fd)
        if event == pycurl.POLL_REMOVE or self._loop is None or self._closed:
            return
        self._events_by_fd[fd] = event
        if event & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._on_fd, fd, pycurl.CSELECT_IN)
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._on_fd, fd, pycurl.CSELECT_OUT)

    def _unregister(self, fd: int) -> None:
        event = self._events_by_fd.pop(fd, 0)
        if self._loop is None:
            return
        if event & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if event & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)

    def _on_fd(self, fd: int, action: int) -> None:
        if self._closed:
            return
        self._multi.socket_action(fd, action)
        self._deliver()

    def _on_timeout(self) -> None:
        self._timer = None
        if self._closed:
            return
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._deliver()

    # Notification of listeners, outside of libcurl's callbacks

    def _mark_changed(self, exchange: CurlExchange) -> None:
        if not exchange.touched:
            exchange.touched = True
            self._touched.append(exchange)

    def _deliver(self) -> None:
        while self._touched:
            touched, self._touched = self._touched, []
            for exchange in touched:
                exchange.touched = False
                self._notify(exchange)
        self._finish_completed()

    def _notify(self, exchange: CurlExchange) -> None:
        if exchange.finished:
            return
        listener = exchange.listener
        if exchange.sent and not exchange.connected_notified:
            exchange.connected_notified = True
            listener.on_connected()
        if exchange.headers_complete and not exchange.headers_notified and not exchange.finished:
            exchange.headers_notified = True
            listener.on_headers(exchange.status, exchange.headers)
        if exchange.request.streaming:
            self._deliver_body(exchange)
        if exchange.completion is not None and not exchange.body and not exchange.finished:
            self._end(exchange, exchange.completion)

    def _deliver_body(self, exchange: CurlExchange) -> None:
        while exchange.body and not exchange.paused and not exchange.finished:
            data = b"".join(exchange.body)
            exchange.body.clear()
            exchange.body_bytes = 0
            exchange.listener.on_body(data)
        if exchange.paused_by_curl and not exchange.body and not exchange.finished:
            exchange.paused_by_curl = False
            # This may call the write callback immediately with data that libcurl buffered.
            with contextlib.suppress(pycurl.error):
                self._handles[exchange].curl.pause(pycurl.PAUSE_CONT)

    def _finish_completed(self) -> None:
        for exchange, error in self._completed():
            # A listener that was notified earlier may have cancelled this exchange and reused its
            # handle.
            if not exchange.finished:
                self._complete(exchange, error)

    def _completed(self) -> list[tuple[CurlExchange, str]]:
        completed = []
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            ended = [(curl, "") for curl in succeeded]
            ended += [(curl, f"{code}: {message}") for curl, code, message in failed]
            for curl, error in ended:
                exchange = self._exchanges.get(curl)
                if exchange is not None:
                    completed.append((exchange, error))
        return completed

    def _complete(self, exchange: CurlExchange, error: str) -> None:
        if exchange.stale_connection and not exchange.sent and not exchange.relaunched:
            # Nothing was sent, so a new connection does not send the request twice.
            exchange.relaunched = True
            self._release_handle(exchange)
            self._start_transfer(exchange)
            return
        self._notify(exchange)
        if exchange.finished:
            return
        if exchange.request.streaming and exchange.body:
            exchange.completion = error
        else:
            self._end(exchange, error)

    def _end(self, exchange: CurlExchange, error: str) -> None:
        exchange.finished = True
        try:
            self._notify_end(exchange, error)
        finally:
            self._release_handle(exchange)

    def _notify_end(self, exchange: CurlExchange, error: str) -> None:
        if error:
            failure = ExchangeFailure(error, exchange.sent, exchange.status)
            exchange.listener.on_failed(failure)
            return
        body = b"" if exchange.request.streaming else b"".join(exchange.body)
        exchange.listener.on_done(body)

    def cancel(self, exchange: CurlExchange) -> None:
        """Close the exchange's connection; its listener is not called any more."""
        exchange.finished = True
        # Removing an unfinished transfer makes libcurl close its connection.
        self._release_handle(exchange)

    def resume(self, exchange: CurlExchange) -> None:
        """Deliver the buffered body in the next iteration of the event loop."""
        self._mark_changed(exchange)
        assert self._loop is not None
        self._loop.call_soon(self._deliver_resumed)

    def _deliver_resumed(self) -> None:
        if not self._closed:
            self._deliver()

    def _release_handle(self, exchange: CurlExchange) -> None:
        handle = self._handles.pop(exchange, None)
        if handle is None:
            return
        self._exchanges.pop(handle.curl, None)
        self._multi.remove_handle(handle.curl)
        handle.release()
        if exchange.finished:
            # The listener usually refers to its exchange; this breaks the reference cycle.
            exchange.listener = NULL_LISTENER
        if len(self._free) < FREE_HANDLE_LIMIT and not self._closed:
            self._free.append(handle)
        else:
            handle.curl.close()


class _NullListener:
    """Listener of finished exchanges, which ignores every event."""

    def on_connected(self) -> None:
        """Ignore it."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Ignore it."""

    def on_body(self, data: bytes) -> None:
        """Ignore it."""

    def on_done(self, body: bytes) -> None:
        """Ignore it."""

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Ignore it."""


NULL_LISTENER = _NullListener()


@attrs.define(eq=False)
class _FetchListener:
    """Listener that `fetch` uses."""

    future: asyncio.Future[ClientResponse]
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)

    def on_connected(self) -> None:
        """Ignore it: `fetch` returns only the complete response."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Store status and headers for the response."""
        self.status = status
        self.headers = dict(headers)

    def on_body(self, data: bytes) -> None:
        """Never called: `fetch` does not stream."""

    def on_done(self, body: bytes) -> None:
        """Set the response as the result of `fetch`."""
        if not self.future.done():
            self.future.set_result(ClientResponse(self.status, self.headers, body))

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Make `fetch` raise `ExchangeError`."""
        if not self.future.done():
            self.future.set_exception(ExchangeError(failure))
