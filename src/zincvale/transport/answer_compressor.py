"""Compresses large answers of a daemon to its peers, each content once.

A document of many routes is a megabyte of rows, and the same bytes go to every poller: over a slow
link they would take seconds and hold up the requests beside them. The client's library expands
them.
"""

from __future__ import annotations

import gzip
from collections import OrderedDict

LEAST_COMPRESSED_BYTES = 8 * 1024
"""Smaller answers cost more to compress than to send."""
LEVEL = 1
KEPT_ANSWERS = 3


class AnswerCompressor:
    """Remembers the last few large answers in their compressed form."""

    def __init__(self) -> None:
        self._compressed: OrderedDict[bytes, bytes] = OrderedDict()

    def __len__(self) -> int:
        """Return how many answers are remembered."""
        return len(self._compressed)

    def compress(self, body: bytes) -> bytes:
        """Return `body` compressed by gzip; the same bytes for the same body."""
        known = self._compressed.get(body)
        if known is None:
            known = self._compressed[body] = gzip.compress(body, LEVEL, mtime=0)
        self._compressed.move_to_end(body)
        while len(self._compressed) > KEPT_ANSWERS:
            self._compressed.popitem(last=False)
        return known
