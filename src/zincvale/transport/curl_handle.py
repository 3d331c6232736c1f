"""An easy handle of libcurl, which is reused for one exchange after another."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import pycurl

from zincvale.transport.curl_exchange import CurlExchange
from zincvale.transport.curl_sockets import SocketTable

NO_DESCRIPTOR = -1
IDLE_CONNECTION_AGE_S = 30
"""Connections that were idle for longer are not reused."""
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of the body of a response that is not streamed."""
PAUSE_BUFFER_BYTES = 64 * 1024
"""A streaming exchange stops reading its socket while more bytes than this are undelivered."""
FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim responses."""

# Results of callbacks. The annotations are needed because pycurl declares no types for them.
_ABORT_REQUEST: int = pycurl.PREREQFUNC_ABORT
_SEND_REQUEST: int = pycurl.PREREQFUNC_OK
_SOCKET_ACCEPTED: int = pycurl.SOCKOPT_OK
_PAUSE_BODY: int = pycurl.WRITEFUNC_PAUSE

_CONSTANT_HEADERS = ("Expect:", "Accept:", "User-Agent: zincvale")


class CurlHandle:
    """An easy handle with its fixed options.

    `mark_changed` is called inside libcurl's callbacks with an exchange whose state changed.
    """

    def __init__(self, mark_changed: Callable[[CurlExchange], None], sockets: SocketTable) -> None:
        self._mark_changed = mark_changed
        self._sockets = sockets
        self._new_descriptor = NO_DESCRIPTOR
        self.exchange: CurlExchange | None = None
        curl = pycurl.Curl()
        self.curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_AGE_S)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_new_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)

    def prepare(self, exchange: CurlExchange, address: str) -> None:
        """Set the options that differ from one exchange to the next."""
        self.exchange = exchange
        self._new_descriptor = NO_DESCRIPTOR
        exchange.shut_socket = self.shut_socket
        request = exchange.request
        curl = self.curl
        curl.setopt(pycurl.URL, f"http://{address}{request.target}")
        curl.setopt(pycurl.FRESH_CONNECT, int(exchange.stale_connection))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(request.connect_timeout_s * 1000)))
        curl.setopt(pycurl.HTTPHEADER, [*_CONSTANT_HEADERS, *request.headers])
        if request.body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.COPYPOSTFIELDS, request.body)

    def release(self) -> None:
        """Detach the exchange, after its transfer was removed from libcurl."""
        if self.exchange is not None:
            self.exchange.shut_socket = None
        self.exchange = None

    def shut_socket(self) -> None:
        """Shut down the socket, so that libcurl does not reuse the connection."""
        with contextlib.suppress(OSError, pycurl.error, ValueError):
            descriptor = self.curl.getinfo(pycurl.ACTIVESOCKET)
            if descriptor is None or descriptor < 0:
                return
            with socket.socket(fileno=socket.dup(descriptor)) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)

    def _on_new_socket(self, descriptor: int, _purpose: int) -> int:
        self._new_descriptor = descriptor
        return _SOCKET_ACCEPTED

    def _before_request(
        self, _remote_host: str, local_host: str, _remote_port: int, local_port: int
    ) -> int:
        """Allow the request to be sent only once and only over a connection with nothing to read.

        This prevents libcurl's own retry on a reused connection that the server closed, because the
        first request may have run. Nothing is sent over a reused connection that is closed or has
        unread bytes of a late response, so that the request can be sent over a new connection.
        """
        exchange = self.exchange
        if exchange is None or exchange.sent:
            return _ABORT_REQUEST
        endpoint = (local_host, local_port)
        if self._new_descriptor != NO_DESCRIPTOR:
            self._sockets.add(endpoint, self._new_descriptor)
        elif not self._sockets.is_reusable(endpoint):
            exchange.stale_connection = True
            return _ABORT_REQUEST
        may_send = exchange.request.may_send
        if may_send is not None and not may_send():
            return _ABORT_REQUEST
        exchange.sent = True
        self._mark_changed(exchange)
        return _SEND_REQUEST

    def _on_header(self, line: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            parts = text.split(" ", 2)
            exchange.status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
            exchange.headers.clear()
            return
        if not text:
            exchange.headers_complete = exchange.status >= FIRST_FINAL_STATUS
            self._mark_changed(exchange)
            return
        name, _, value = text.partition(":")
        exchange.headers[name.strip().lower()] = value.strip()

    def _on_data(self, data: bytes) -> int:
        exchange = self.exchange
        if exchange is None:
            return 0
        limit = PAUSE_BUFFER_BYTES if exchange.request.streaming else MAX_BODY_BYTES
        if exchange.body and exchange.body_bytes + len(data) > limit:
            return self._pause_or_fail(exchange)
        exchange.body.append(data)
        exchange.body_bytes += len(data)
        if exchange.request.streaming:
            self._mark_changed(exchange)
        return len(data)

    def _pause_or_fail(self, exchange: CurlExchange) -> int:
        if not exchange.request.streaming:
            return 0
        exchange.paused_by_curl = True
        return _PAUSE_BODY
