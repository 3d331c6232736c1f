"""Server side of the peer protocol."""

from __future__ import annotations

import http.client
import itertools
import json
from collections.abc import Callable
from typing import Any, Protocol

from tornado.concurrent import Future
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from zincvale.model.errors import MalformedBodyError, WrongClusterError, ZincvaleError
from zincvale.model.identifiers import MemberId
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.compression import GZIP, MIN_COMPRESSED_BYTES, ResponseCompressor
from zincvale.transport.peer_client import BATCH_CONTENT_TYPE, PeerIdentity

MAX_PEER_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of a request body, enforced by the HTTP server; a snapshot of all tables must
fit."""
MESSAGES_TARGET = ("POST", "/peer/messages")
CALL_TARGET = ("POST", "/peer/call")
JSON_CONTENT_TYPE = "application/json"
NO_CONTENT = 204


class PeerEndpoint(Protocol):
    """Handles the messages and calls of peers."""

    def messages_received(self, sender: MemberId, messages: list[Any]) -> list[Any]:
        """Handle one-way messages; return the messages to send back to `sender` at once."""
        ...

    def call_received(self, sender: MemberId, token: str, message: Any) -> None:
        """Handle a call, whose reply is sent later by `PeerServer.reply(token, reply)`."""
        ...

    def call_abandoned(self, token: str) -> None:
        """Handle that the caller of the call `token` closed its connection."""
        ...


class PeerServer(HTTPServerConnectionDelegate):
    """Serves `/peer/messages` and `/peer/call`, and stores the pending calls.

    It implements tornado's connection delegate, one level below the request handlers: a core serves
    hundreds of small requests per second, and a request handler would double the cost of each.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        endpoint: PeerEndpoint,
        on_refused: Callable[[str], None],
    ) -> None:
        self.identity = identity
        self.endpoint = endpoint
        self._on_refused = on_refused
        self._tokens = itertools.count(1)
        self._pending: dict[str, Future[Any]] = {}
        self.compressor = ResponseCompressor()

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        return _PeerRequest(self, request_conn)

    def open_call(self) -> tuple[str, Future[Any]]:
        """Return a new token and the future that its reply resolves."""
        token = f"peer-{next(self._tokens)}"
        future: Future[Any] = Future()
        self._pending[token] = future
        return token, future

    def reply(self, token: str, message: Any) -> bool:
        """Reply to the call `token`; return whether it was still pending."""
        future = self._pending.pop(token, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(message)
        return True

    def abandon(self, token: str) -> None:
        """Remove the call `token`, and notify the endpoint if it was pending."""
        if self._pending.pop(token, None) is not None:
            self.endpoint.call_abandoned(token)

    def decode(self, body: bytes) -> Batch:
        """Return the batch in `body`; raises `MalformedBodyError` or `WrongClusterError`."""
        try:
            batch = decode_batch(body)
        except MalformedBodyError as error:
            self._on_refused(str(error))
            raise
        if batch.cluster_id != self.identity.cluster_id:
            refusal = WrongClusterError(
                f"{batch.sender} belongs to cluster {batch.cluster_id!r}, this member to "
                f"{self.identity.cluster_id!r}",
                "correct cluster_id or the seeds in its settings",
                expected_cluster=self.identity.cluster_id,
                actual_cluster=batch.cluster_id,
            )
            self._on_refused(str(refusal))
            raise refusal
        return batch

    def encode(self, messages: list[Any]) -> bytes:
        """Return the response body that carries `messages`."""
        identity = self.identity
        return encode_batch(
            Batch(identity.cluster_id, identity.member, identity.incarnation, messages)
        )


class _PeerRequest(HTTPMessageDelegate):
    """Receives one request and responds to it."""

    def __init__(self, server: PeerServer, connection: Any) -> None:
        self._server = server
        self._connection = connection
        self._body: list[bytes] = []
        self._method_and_path = ("", "")
        self._accepts_gzip = False
        self._token = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store method and path, and whether the sender accepts compressed responses."""
        assert isinstance(start_line, RequestStartLine)
        self._method_and_path = (start_line.method, start_line.path)
        self._accepts_gzip = GZIP in headers.get("Accept-Encoding", "")

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; the HTTP server limits its size after decompression."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Handle the complete request."""
        if self._method_and_path == MESSAGES_TARGET:
            self._handle_batch(self._handle_messages)
        elif self._method_and_path == CALL_TARGET:
            self._handle_batch(self._handle_call)
        else:
            self._respond(404)

    def on_connection_close(self) -> None:
        """Abandon the call of a closed connection."""
        if self._token:
            self._server.abandon(self._token)

    def _handle_batch(self, handle: Callable[[Batch], None]) -> None:
        try:
            batch = self._server.decode(b"".join(self._body))
        except ZincvaleError as error:
            self._respond(
                error.http_status, json.dumps(error.to_json()).encode(), JSON_CONTENT_TYPE
            )
            return
        handle(batch)

    def _handle_messages(self, batch: Batch) -> None:
        """Pass on one-way messages; the response carries the messages that handling sent back."""
        replies = self._server.endpoint.messages_received(MemberId(batch.sender), batch.messages)
        if replies:
            self._respond(200, self._server.encode(replies))
        else:
            self._respond(204)

    def _handle_call(self, batch: Batch) -> None:
        """Pass on a call; the response is sent when the endpoint replies."""
        if len(batch.messages) != 1:
            self._respond(400)
            return
        self._token, future = self._server.open_call()
        self._connection.set_close_callback(self.on_connection_close)
        future.add_done_callback(lambda done: self._on_reply(done.result()))
        self._server.endpoint.call_received(MemberId(batch.sender), self._token, batch.messages[0])

    def _on_reply(self, reply: Any) -> None:
        self._token = ""
        if reply is None:
            self._respond(503)
        else:
            self._respond(200, self._server.encode([reply]))

    def _respond(
        self, status: int, body: bytes = b"", content_type: str = BATCH_CONTENT_TYPE
    ) -> None:
        headers = HTTPHeaders()
        if self._accepts_gzip and len(body) >= MIN_COMPRESSED_BYTES:
            body = self._server.compressor.compress(body)
            headers["Content-Encoding"] = GZIP
        if body:
            headers["Content-Type"] = content_type
        if status != NO_CONTENT:
            headers["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, http.client.responses[status])
        try:
            written = self._connection.write_headers(line, headers, body)
            written.add_done_callback(lambda done: done.exception())
            self._connection.finish()
        except StreamClosedError:
            """The sender closed its connection, and sends again what it still needs."""
