"""What each crowd sends: its size, its requests, and what its clients leave out."""

from __future__ import annotations

import enum
import gzip
from collections.abc import Iterator

import attrs

from tests.soak.documents import BASE_ROUTES, HOST

KIB, MIB = 1024, 1024 * 1024
MAX_BODY_BYTES, MAX_HEADER_BYTES = 4 * MIB, 16 * KIB
"""The operators' limits, as `tests.soak.documents` states them."""
FILLER = b"x" * MIB
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 4_096
EXPANDED_BYTES = 48 * MIB
"""What a compressed body of the crowd at the peer address expands to."""
TRICKLE_PAUSE_S = 1.0


class Framing(enum.Enum):
    """How a client states where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"


@attrs.frozen
class Pause:
    """A client waits before it goes on."""

    seconds: float


@attrs.frozen
class Crowd:
    """Clients that all do the same.

    Attributes
    ----------
    connections : how many clients there are; each opens its next connection when one was closed.
    framing : None sends no body.
    body_bytes : how much of a body is sent, or announced if `sent_bytes` is less.
    sent_bytes : how much of it is sent at once; None sends all of it.
    trickle_bytes : what follows each second.
    chunk_bytes : size of a chunk.
    is_whole : whether the request ends.
    header_bytes : size of a header that never ends; 0 sends the complete headers.
    reads_answers : whether the clients read what they get.
    repeats : how many requests follow one another on a connection.
    answer_bytes : size of the answer that the request asks a server for.
    compressed : whether the body is compressed with gzip.
    path : target of the requests.
    is_silent : whether nothing is sent at all.
    header_lines : how many further headers each request has.
    """

    connections: int
    framing: Framing | None = None
    body_bytes: int = 0
    sent_bytes: int | None = None
    trickle_bytes: int = 0
    chunk_bytes: int = MIB
    is_whole: bool = False
    header_bytes: int = 0
    reads_answers: bool = True
    repeats: int = 1
    answer_bytes: int = 0
    compressed: bool = False
    path: str = f"/{BASE_ROUTES[0]}/crowd"
    is_silent: bool = False
    header_lines: int = 0

    def pieces(self, number: int) -> Iterator[bytes | Pause]:
        """Yield what client `number` sends over one connection."""
        if self.is_silent:
            return
        if self.header_bytes:
            yield self._request_line() + b"Filler: " + b"y" * self.header_bytes
            return
        for request in range(self.repeats):
            yield self._head(f"{number}-{request}")
            yield from self._body()

    def _request_line(self) -> bytes:
        return f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\n".encode()

    def _head(self, request_id: str) -> bytes:
        lines = [f"Request-Id: crowd-{request_id}", "Deadline-Ms: 4000"]
        if self.answer_bytes:
            lines.append(f"Answer-Bytes: {self.answer_bytes}")
        if self.compressed:
            lines.append("Content-Encoding: gzip")
        lines.extend(f"Filler-{line}: {line}" for line in range(self.header_lines))
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {self.body_bytes}")
        elif self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        return self._request_line() + "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _body(self) -> Iterator[bytes | Pause]:
        if self.framing is None:
            return
        if self.compressed:
            body = gzip.compress(bytes(EXPANDED_BYTES), compresslevel=1)
            yield b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            return
        if self.chunk_bytes == 1:
            for _ in range(self.body_bytes // (len(ONE_BYTE_CHUNKS) // 6)):
                yield ONE_BYTE_CHUNKS
            return
        sent = self.body_bytes if self.sent_bytes is None else self.sent_bytes
        while sent > 0:
            part = FILLER[: min(sent, self.chunk_bytes)]
            sent -= len(part)
            yield self._framed(part)
        while self.trickle_bytes:
            yield Pause(TRICKLE_PAUSE_S)
            yield self._framed(FILLER[: self.trickle_bytes])
        if self.is_whole and self.framing is Framing.CHUNKED:
            yield b"0\r\n\r\n"

    def _framed(self, part: bytes) -> bytes:
        if self.framing is Framing.LENGTH:
            return part
        return b"%x\r\n%s\r\n" % (len(part), part)


NEARLY_ALLOWED_BYTES = 3_900 * KIB
CROWDS = {
    "announced-far-over": Crowd(12, Framing.LENGTH, 60 * MIB),
    "chunked-far-over": Crowd(12, Framing.CHUNKED, 60 * MIB),
    "many-nearly-allowed": Crowd(60, Framing.CHUNKED, NEARLY_ALLOWED_BYTES),
    "half-then-trickle": Crowd(
        100, Framing.LENGTH, MAX_BODY_BYTES, sent_bytes=2 * MIB, trickle_bytes=2 * KIB
    ),
    "whole-at-once": Crowd(60, Framing.LENGTH, MAX_BODY_BYTES, is_whole=True),
    "chunks-of-one-byte": Crowd(40, Framing.CHUNKED, MAX_BODY_BYTES, chunk_bytes=1),
    "open-and-silent": Crowd(700, is_silent=True),
    "headers-without-end": Crowd(450, header_bytes=60 * KIB),
    "answers-never-read": Crowd(
        120, Framing.LENGTH, 1 * KIB, is_whole=True, reads_answers=False, answer_bytes=4 * MIB
    ),
    "many-requests-unread": Crowd(
        120, Framing.LENGTH, 1 * MIB, is_whole=True, reads_answers=False, repeats=8
    ),
    "long-paths-and-many-headers": Crowd(
        100,
        Framing.LENGTH,
        10,
        is_whole=True,
        repeats=40,
        header_lines=600,
        path=f"/{BASE_ROUTES[0]}/{'p' * 6_000}",
    ),
    "compressed-for-peers": Crowd(
        6, Framing.CHUNKED, MIB, compressed=True, is_whole=True, path="/peer/messages"
    ),
}
