"""Compression of large bodies between peers.

A document with many routes is about a megabyte of rows: over a slow link it would take seconds and
delay concurrent requests. The HTTP server and the peer client decompress bodies that are marked as
compressed. Responses to polls are the same for many pollers, so the latest are cached in compressed
form.
"""

from __future__ import annotations

import gzip
import zlib
from collections import OrderedDict

GZIP = "gzip"
"""Name of the content coding in HTTP headers."""
MIN_COMPRESSED_BYTES = 8 * 1024
"""Size from which bodies are compressed; smaller ones take more time to compress than to send."""
GZIP_LEVEL = 1
"""Compression level: the fastest of gzip, since large documents are compressed on the event
loop."""
MAX_CACHED_RESPONSES = 3
"""Number of cached responses. It must cover the large tables that are polled; otherwise each poll
would compress its table again."""


class DecompressionError(Exception):
    """A body that is marked as compressed is malformed or incomplete."""


def decompress(body: bytes) -> bytes:
    """Return the decompressed body; only for bodies of peers, since its size is not limited.

    Raises `DecompressionError`.
    """
    try:
        return gzip.decompress(body)
    except (OSError, EOFError, zlib.error) as error:
        raise DecompressionError(f"body cannot be decompressed: {error}") from error


def compress(body: bytes) -> bytes:
    """Return `body` compressed by gzip; equal bodies give equal bytes."""
    return gzip.compress(body, GZIP_LEVEL, mtime=0)


class ResponseCompressor:
    """Compresses large responses and caches the most recently used ones in compressed form."""

    def __init__(self) -> None:
        self._compressed: OrderedDict[bytes, bytes] = OrderedDict()

    def __len__(self) -> int:
        """Return how many responses are cached."""
        return len(self._compressed)

    def compress(self, body: bytes) -> bytes:
        """Return `body` compressed by gzip, from the cache if it was compressed recently."""
        compressed_body = self._compressed.get(body)
        if compressed_body is None:
            compressed_body = self._compressed[body] = compress(body)
        self._compressed.move_to_end(body)
        while len(self._compressed) > MAX_CACHED_RESPONSES:
            self._compressed.popitem(last=False)
        return compressed_body
