"""Compression of large bodies between peers.

A document of many routes is a megabyte of rows: over a slow link it would take seconds and hold up
the requests beside it. The HTTP server and the peer client expand what is marked as compressed.
Responses to polls are the same for many pollers, so the last ones are cached in compressed form.
"""

from __future__ import annotations

import gzip
import zlib
from collections import OrderedDict

GZIP = "gzip"
"""The content coding, as headers name it."""
MIN_COMPRESSED_BYTES = 8 * 1024
"""Smaller bodies cost more to compress than to send."""
LEVEL = 1
"""The fastest level of gzip: a document of routes is compressed on the event loop."""
MAX_CACHED_RESPONSES = 3
"""With fewer than the large tables that are polled, each poll would compress its table again."""


class DecompressionError(Exception):
    """A body that is marked as compressed is not, or is incomplete."""


def expanded(body: bytes) -> bytes:
    """Return what was compressed; for peers only, since nothing bounds its size.

    Raises `DecompressionError`.
    """
    try:
        return gzip.decompress(body)
    except (OSError, EOFError, zlib.error) as error:
        raise DecompressionError(f"body cannot be expanded: {error}") from error


def compressed(body: bytes) -> bytes:
    """Return `body` by gzip; equal bodies give equal bytes."""
    return gzip.compress(body, LEVEL, mtime=0)


class ResponseCompressor:
    """Caches the last few large responses in their compressed form."""

    def __init__(self) -> None:
        self._compressed: OrderedDict[bytes, bytes] = OrderedDict()

    def __len__(self) -> int:
        """Return how many responses are cached."""
        return len(self._compressed)

    def compress(self, body: bytes) -> bytes:
        """Return `body` compressed by gzip; the same bytes for the same body."""
        known = self._compressed.get(body)
        if known is None:
            known = self._compressed[body] = compressed(body)
        self._compressed.move_to_end(body)
        while len(self._compressed) > MAX_CACHED_RESPONSES:
            self._compressed.popitem(last=False)
        return known
