"""HTTP/1.1 calls over connections that the caller keeps; httptools reads the answers."""

from __future__ import annotations

import asyncio

import attrs
import httptools


class NotSentError(Exception):
    """No connection could be made, or it was closed before the request was written."""


class CutError(Exception):
    """The connection ended, or time ran out, before the answer was complete."""

    def __init__(self, reason: str, *, timed_out: bool = False) -> None:
        super().__init__(reason)
        self.timed_out = timed_out


@attrs.define
class HttpAnswer:
    """A complete answer."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.is_complete = True


class KeptConnection:
    """One connection to an address, opened when it is needed and used until it closes."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.bytes_written_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as this side knows."""
        return self._writer is not None and self._reader is not None and not self._reader.at_eof()

    async def open(self, timeout_s: float) -> None:
        """Connect unless the connection is open; raises `NotSentError`."""
        if self.is_open:
            return
        self.close()
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(self._host, self._port), timeout_s
            )
        except (TimeoutError, OSError) as error:
            raise NotSentError(repr(error)) from error

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        *,
        closes_late: bool = True,
    ) -> HttpAnswer:
        """Send one request over the open connection; raises `NotSentError` or `CutError`.

        Without an answer in time the connection is closed, but only if `closes_late`.
        """
        if self._writer is None or self._reader is None:
            raise NotSentError("not connected")
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        try:
            answer = await asyncio.wait_for(self._read(), timeout_s)
        except TimeoutError as error:
            if closes_late:
                self.close()
            raise CutError("no answer in time", timed_out=True) from error
        except (OSError, httptools.HttpParserError) as error:
            self.close()
            raise CutError(repr(error)) from error
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _read(self) -> HttpAnswer:
        assert self._reader is not None
        answer = HttpAnswer()
        parser = httptools.HttpResponseParser(answer)
        while not answer.is_complete:
            data = await self._reader.read(65_536)
            if not data:
                raise ConnectionResetError("closed before a complete answer")
            parser.feed_data(data)
        answer.status = parser.get_status_code()
        return answer


async def call_once(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> HttpAnswer:
    """Make one call on a connection of its own; raises `NotSentError` or `CutError`."""
    connection = KeptConnection(address)
    try:
        await connection.open(timeout_s)
        return await connection.call(method, path, headers, body, timeout_s)
    finally:
        connection.close()
