"""Client side of the peer protocol: batched one-way messages and calls, over curl."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.ioloop import IOLoop

from zincvale.model.errors import MalformedBody
from zincvale.model.identifiers import MemberId
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.compression import GZIP, LEAST_COMPRESSED_BYTES, compressed
from zincvale.transport.peer import PeerCallFailed, PeerNotReached

CURL_COULD_NOT_CONNECT = 7
MAX_CONCURRENT_EXCHANGES = 256
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 0.8
MAX_QUEUED_MESSAGES = 2_000
RAW_ADDRESS_PREFIX = "@"
BATCH_CONTENT_TYPE = "application/vnd.zincvale.avro"


@attrs.define
class PeerIdentity:
    """What each batch says of its sender."""

    cluster_id: str
    member: MemberId
    incarnation: str


@attrs.define
class _Link:
    """One-way messages to one member: at most one batch in flight, the rest queue."""

    queue: deque[Any] = attrs.field(factory=deque)
    in_flight: bool = False
    failing: bool = False


@attrs.define
class PeerTraffic:
    """Exchanges and body bytes of one client, for measurements."""

    exchanges: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


def make_curl_client() -> CurlAsyncHTTPClient:
    """Return a client of its own for peer exchanges."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_EXCHANGES)


Resolve = Callable[[MemberId], str | None]
OnMessages = Callable[[MemberId, list[Any]], None]
OnLinkState = Callable[[MemberId, bool, str], None]


class PeerClient:
    """Sends messages and calls to members; implements `transport.peer.PeerCaller`.

    Parameters
    ----------
    identity : stamped on each batch.
    resolve : returns a member's peer address, or None while it is not known.
    address_map : advertised address to the address that is dialled instead.
    on_messages : called with the messages that a peer's answer to a batch carries.
    on_link_state : called with (member, reachable, reason) when a link changes state.
    client : shared by several peer clients in one process; by default one of its own.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        resolve: Resolve,
        address_map: dict[str, str],
        on_messages: OnMessages,
        on_link_state: OnLinkState,
        client: CurlAsyncHTTPClient | None = None,
    ) -> None:
        self._identity = identity
        self._resolve = resolve
        self._address_map = address_map
        self._on_messages = on_messages
        self._on_link_state = on_link_state
        self._links: dict[MemberId, _Link] = {}
        self._client = client or make_curl_client()
        self.traffic = PeerTraffic()

    def send(self, member: MemberId, message: Any) -> None:
        """Queue one message for `member`; the oldest are dropped when the queue is full."""
        link = self._links.setdefault(member, _Link())
        link.queue.append(message)
        if len(link.queue) > MAX_QUEUED_MESSAGES:
            link.queue.popleft()
        if link.in_flight:
            return
        link.in_flight = True
        IOLoop.current().add_callback(self._drain, member, link)

    async def call(self, member: MemberId, message: Any, timeout_s: float) -> Any:
        """Return the member's reply; raises `PeerCallFailed` or `PeerNotReached`."""
        replies = await self._post(member, "/peer/call", [message], timeout_s)
        if not replies:
            raise PeerCallFailed(f"{member} gave no reply")
        return replies[0]

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _drain(self, member: MemberId, link: _Link) -> None:
        try:
            while link.queue:
                messages = list(link.queue)
                link.queue.clear()
                await self._send_batch(member, link, messages)
        finally:
            link.in_flight = False

    async def _send_batch(self, member: MemberId, link: _Link, messages: list[Any]) -> None:
        try:
            replies = await self._post(member, "/peer/messages", messages, SEND_TIMEOUT_S)
        except PeerCallFailed as error:
            if not link.failing:
                link.failing = True
                self._on_link_state(member, False, str(error))
            return
        if link.failing:
            link.failing = False
            self._on_link_state(member, True, "")
        if replies:
            self._on_messages(member, replies)

    async def _post(
        self, member: MemberId, path: str, messages: list[Any], timeout_s: float
    ) -> list[Any]:
        address = self._address_of(member)
        if address is None:
            raise PeerNotReached(f"the address of {member} is not known")
        body = encode_batch(
            Batch(
                self._identity.cluster_id,
                self._identity.member,
                self._identity.incarnation,
                messages,
            )
        )
        headers = {"Content-Type": BATCH_CONTENT_TYPE, "Expect": ""}
        if len(body) >= LEAST_COMPRESSED_BYTES:
            body = compressed(body)
            headers["Content-Encoding"] = GZIP
        request = HTTPRequest(
            f"http://{address}{path}",
            method="POST",
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        self.traffic.exchanges += 1
        self.traffic.sent_bytes += len(body)
        response = await self._fetch(member, request)
        self.traffic.received_bytes += len(response.body or b"")
        if not response.body:
            return []
        try:
            return decode_batch(response.body).messages
        except MalformedBody as error:
            raise PeerCallFailed(f"{member}: {error}") from error

    async def _fetch(self, member: MemberId, request: HTTPRequest) -> HTTPResponse:
        try:
            return await self._client.fetch(request)
        except CurlError as error:
            if error.errno == CURL_COULD_NOT_CONNECT:
                raise PeerNotReached(f"{member}: {error}") from error
            raise PeerCallFailed(f"{member}: {error}") from error
        except HTTPClientError as error:
            raise PeerCallFailed(f"{member}: {error}") from error

    def _address_of(self, member: MemberId) -> str | None:
        if member.startswith(RAW_ADDRESS_PREFIX):
            advertised: str | None = member[len(RAW_ADDRESS_PREFIX) :]
        else:
            advertised = self._resolve(member)
        if advertised is None:
            return None
        return self._address_map.get(advertised, advertised)
