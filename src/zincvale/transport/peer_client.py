"""Client side of the peer protocol: batched one-way messages and calls, over HTTP/1.1."""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from tornado.ioloop import IOLoop

from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import RAW_ADDRESS_PREFIX, MemberId
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.complete_exchange import CompleteResponse, NoResponseError, fetch_response
from zincvale.transport.compression import (
    GZIP,
    MIN_COMPRESSED_BYTES,
    DecompressionError,
    compress,
    decompress,
)
from zincvale.transport.peer import PeerCallError, PeerUnreachableError
from zincvale.transport.server_client import ServerClient
from zincvale.transport.server_exchange import OutgoingRequest

MIN_FAILURE_STATUS = 300
"""Responses with this status or a higher one are failures."""
SEND_TIMEOUT_S = 0.8
"""Time limit of a batch of one-way messages. Messages sent meanwhile are queued, so a longer limit
delays them."""
MAX_QUEUED_MESSAGES = 2_000
"""Maximum length of a peer's queue, which limits its memory while the peer is unreachable. The
oldest messages are dropped, since one-way messages may be lost."""
BATCH_CONTENT_TYPE = "application/vnd.zincvale.avro"


@attrs.define
class PeerIdentity:
    """Identity of the sender, sent with each batch."""

    cluster_id: str
    member: MemberId
    incarnation: str


@attrs.define
class _Link:
    """Queue of one-way messages to one member; at most one batch of them is in flight."""

    queue: deque[Any] = attrs.field(factory=deque)
    has_batch_in_flight: bool = False
    is_failing: bool = False


@attrs.define
class PeerTraffic:
    """Number of exchanges and bytes of bodies of one client, for measurements."""

    exchanges: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


def make_connections(address_map: Mapping[str, str] | None = None) -> ServerClient:
    """Return a client for the connections of one process to its peers.

    The state machines have timeouts for every call and lease, so an unreachable peer is detected
    without TCP timeouts, which would close connections whose bytes cross a slow link.
    """
    return ServerClient(time.monotonic, address_map, _disable_nagle)


def _disable_nagle(client_socket: socket.socket) -> None:
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _accept_any_response(_status: int, _headers: Mapping[str, str]) -> bool:
    """Accept every response, since peers respond to each request once and in order."""
    return True


Resolve = Callable[[MemberId], str | None]
OnMessages = Callable[[MemberId, list[Any]], None]
OnLinkState = Callable[[MemberId, bool, str], None]


class PeerClient:
    """Sends messages and calls to members; implements `transport.peer.PeerCaller`.

    Parameters
    ----------
    identity : identity of the sender, sent with each batch.
    resolve : returns the peer address of a member, or None while it is not known.
    address_map : addresses to connect to, by the advertised addresses that they replace.
    on_messages : called with (member, messages) when a response to a batch carries messages.
    on_link_state : called with (member, reachable, reason) when a member becomes unreachable or
        reachable again.
    connections : connections shared by several peer clients in one process; by default new ones.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        resolve: Resolve,
        address_map: dict[str, str],
        on_messages: OnMessages,
        on_link_state: OnLinkState,
        connections: ServerClient | None = None,
    ) -> None:
        self._identity = identity
        self._resolve = resolve
        self._on_messages = on_messages
        self._on_link_state = on_link_state
        self._links: dict[MemberId, _Link] = {}
        self._connections = connections or make_connections(address_map)
        self.traffic = PeerTraffic()

    def send(self, member: MemberId, message: Any) -> None:
        """Queue one message for `member`; the oldest are dropped when the queue is full."""
        link = self._links.setdefault(member, _Link())
        link.queue.append(message)
        if len(link.queue) > MAX_QUEUED_MESSAGES:
            link.queue.popleft()
        if link.has_batch_in_flight:
            return
        link.has_batch_in_flight = True
        IOLoop.current().add_callback(self._send_queued, member, link)

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        """Return the member's reply; raises `PeerCallError` or `PeerUnreachableError`."""
        replies = await self._exchange_batches(member, "/peer/call", [message], timeout_s)
        if not replies:
            raise PeerCallError(f"{member} sent no reply")
        return replies[0]

    def close(self) -> None:
        """Close every connection."""
        self._connections.close()

    async def _send_queued(self, member: MemberId, link: _Link) -> None:
        try:
            while link.queue:
                messages = list(link.queue)
                link.queue.clear()
                await self._send_batch(member, link, messages)
        finally:
            link.has_batch_in_flight = False

    async def _send_batch(self, member: MemberId, link: _Link, messages: list[Any]) -> None:
        try:
            replies = await self._exchange_batches(
                member, "/peer/messages", messages, SEND_TIMEOUT_S
            )
        except PeerCallError as error:
            if not link.is_failing:
                link.is_failing = True
                self._on_link_state(member, False, str(error))
            return
        if link.is_failing:
            link.is_failing = False
            self._on_link_state(member, True, "")
        if replies:
            self._on_messages(member, replies)

    async def _exchange_batches(
        self, member: MemberId, path: str, messages: list[Any], timeout_s: float
    ) -> list[Any]:
        address = self._address_of(member)
        if address is None:
            raise PeerUnreachableError(f"the address of {member} is not known")
        request = self._build_request(address, path, messages)
        self.traffic.exchanges += 1
        self.traffic.sent_bytes += len(request.body or b"")
        response = await self._fetch(member, address, request, timeout_s)
        self.traffic.received_bytes += len(response.body)
        if not response.body:
            return []
        try:
            return decode_batch(_decoded_body(response)).messages
        except (MalformedBodyError, DecompressionError) as error:
            raise PeerCallError(f"{member}: {error}") from error

    def _build_request(self, address: str, path: str, messages: list[Any]) -> OutgoingRequest:
        body = encode_batch(
            Batch(
                self._identity.cluster_id,
                self._identity.member,
                self._identity.incarnation,
                messages,
            )
        )
        headers = [
            ("Host", address),
            ("Content-Type", BATCH_CONTENT_TYPE),
            ("Accept-Encoding", GZIP),
        ]
        if len(body) >= MIN_COMPRESSED_BYTES:
            body = compress(body)
            headers.append(("Content-Encoding", GZIP))
        return OutgoingRequest("POST", path, headers, body, _accept_any_response, may_repeat=True)

    async def _fetch(
        self, member: MemberId, address: str, request: OutgoingRequest, timeout_s: float
    ) -> CompleteResponse:
        try:
            response = await self._fetch_with_retry(address, request, timeout_s)
        except NoResponseError as error:
            error_class = PeerCallError if error.connected else PeerUnreachableError
            raise error_class(f"{member}: {error}") from error
        if response.status >= MIN_FAILURE_STATUS:
            raise PeerCallError(f"{member}: HTTP status {response.status}")
        return response

    async def _fetch_with_retry(
        self, address: str, request: OutgoingRequest, timeout_s: float
    ) -> CompleteResponse:
        """Send a request, and retry once when a reused connection fails before any response.

        The peer may have handled the first one: messages between peers may arrive twice or be lost.
        """
        try:
            return await fetch_response(self._connections, address, request, timeout_s)
        except NoResponseError as error:
            if not error.reused:
                raise
        return await fetch_response(self._connections, address, request, timeout_s)

    def _address_of(self, member: MemberId) -> str | None:
        if member.startswith(RAW_ADDRESS_PREFIX):
            return member[len(RAW_ADDRESS_PREFIX) :]
        return self._resolve(member)


def _decoded_body(response: CompleteResponse) -> bytes:
    if response.headers.get("content-encoding") == GZIP:
        return decompress(response.body)
    return response.body
