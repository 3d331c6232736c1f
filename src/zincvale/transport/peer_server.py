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
from zincvale.transport.compression import GZIP, LEAST_COMPRESSED_BYTES, AnswerCompressor
from zincvale.transport.peer_client import BATCH_CONTENT_TYPE, PeerIdentity

MAX_PEER_BODY_BYTES = 64 * 1024 * 1024
MESSAGES_TARGET = ("POST", "/peer/messages")
CALL_TARGET = ("POST", "/peer/call")
JSON_CONTENT_TYPE = "application/json"
NO_CONTENT = 204


class PeerEndpoint(Protocol):
    """What the server hands peers' messages to."""

    def messages_received(self, sender: MemberId, messages: list[Any]) -> list[Any]:
        """Handle one-way messages; return what handling sent back to `sender` at once."""
        ...

    def call_received(self, sender: MemberId, token: str, message: Any) -> None:
        """Handle a call; `PeerServer.reply(token, message)` answers it."""
        ...

    def call_abandoned(self, token: str) -> None:
        """The caller behind `token` went away."""
        ...


class PeerServer(HTTPServerConnectionDelegate):
    """Serves `/peer/messages` and `/peer/call`, and keeps the calls that wait for a reply.

    It sits on the library's connections, one level below its request handlers: a core answers
    hundreds of small exchanges a second, and a handler costs as much as all the rest of them.
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
        self._waiting: dict[str, Future[Any]] = {}
        self.compressor = AnswerCompressor()

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _PeerRequest(self, request_conn)

    def open_call(self) -> tuple[str, Future[Any]]:
        """Return a new token and the future that its reply resolves."""
        token = f"peer-{next(self._tokens)}"
        future: Future[Any] = Future()
        self._waiting[token] = future
        return token, future

    def reply(self, token: str, message: Any) -> bool:
        """Answer the call `token`; returns whether it still waited."""
        future = self._waiting.pop(token, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(message)
        return True

    def abandon(self, token: str) -> None:
        """Forget the call `token` and tell the endpoint."""
        if self._waiting.pop(token, None) is not None:
            self.endpoint.call_abandoned(token)

    def read(self, body: bytes) -> Batch:
        """Return the batch in `body`; raises `MalformedBodyError` or `WrongClusterError`."""
        try:
            batch = decode_batch(body)
        except MalformedBodyError as error:
            self._on_refused(str(error))
            raise
        if batch.cluster_id != self.identity.cluster_id:
            refusal = WrongClusterError(
                f"{batch.sender} is of cluster {batch.cluster_id!r}, this is "
                f"{self.identity.cluster_id!r}",
                "correct cluster_id or the seeds in its settings",
            )
            self._on_refused(str(refusal))
            raise refusal
        return batch

    def write(self, messages: list[Any]) -> bytes:
        """Return the body that carries `messages` back."""
        identity = self.identity
        return encode_batch(
            Batch(identity.cluster_id, identity.member, identity.incarnation, messages)
        )


class _PeerRequest(HTTPMessageDelegate):
    """Receives one request and answers it."""

    def __init__(self, server: PeerServer, connection: Any) -> None:
        self._server = server
        self._connection = connection
        self._body: list[bytes] = []
        self._target = ("", "")
        self._takes_gzip = False
        self._token = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep what is asked for."""
        assert isinstance(start_line, RequestStartLine)
        self._target = (start_line.method, start_line.path)
        self._takes_gzip = GZIP in headers.get("Accept-Encoding", "")

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body; the HTTP server bounds its size before it is expanded."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Hand the whole request over."""
        if self._target == MESSAGES_TARGET:
            self._take(self._handle_messages)
        elif self._target == CALL_TARGET:
            self._take(self._handle_call)
        else:
            self._answer(404)

    def on_connection_close(self) -> None:
        """Forget a call whose caller went away."""
        if self._token:
            self._server.abandon(self._token)

    def _take(self, handle: Callable[[Batch], None]) -> None:
        try:
            batch = self._server.read(b"".join(self._body))
        except ZincvaleError as error:
            self._answer(error.http_status, json.dumps(error.to_json()).encode(), JSON_CONTENT_TYPE)
            return
        handle(batch)

    def _handle_messages(self, batch: Batch) -> None:
        """One-way messages; the body of the answer is what handling sent back at once."""
        replies = self._server.endpoint.messages_received(MemberId(batch.sender), batch.messages)
        if replies:
            self._answer(200, self._server.write(replies))
        else:
            self._answer(204)

    def _handle_call(self, batch: Batch) -> None:
        """A call is held until its reply."""
        if len(batch.messages) != 1:
            self._answer(400)
            return
        self._token, future = self._server.open_call()
        self._connection.set_close_callback(self.on_connection_close)
        future.add_done_callback(lambda done: self._replied(done.result()))
        self._server.endpoint.call_received(MemberId(batch.sender), self._token, batch.messages[0])

    def _replied(self, reply: Any) -> None:
        self._token = ""
        if reply is None:
            self._answer(503)
        else:
            self._answer(200, self._server.write([reply]))

    def _answer(
        self, status: int, body: bytes = b"", content_type: str = BATCH_CONTENT_TYPE
    ) -> None:
        headers = HTTPHeaders()
        if self._takes_gzip and len(body) >= LEAST_COMPRESSED_BYTES:
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
            """The caller went away; it asks again."""
