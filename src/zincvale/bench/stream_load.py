"""A load of paced token streams that measures the gaps between chunks as a caller sees them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs
from hdrh.histogram import HdrHistogram

from zincvale.bench.http_load import (
    HEADER_END,
    HIGHEST_US,
    LOWEST_US,
    SIGNIFICANT_DIGITS,
    US_PER_S,
    request_bytes,
)

STREAMS = 200
SPREAD_S = 1.0
"""Time over which the starts of the streams are spread evenly, since callers start apart."""
CHUNK_MARK = b"data: "


@attrs.define
class StreamResult:
    """Number of chunks, and the gaps between them in microseconds."""

    chunks: int = 0
    gaps_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def gap_ms(self, percent: float) -> float:
        """Return a quantile of the gaps in milliseconds."""
        return float(self.gaps_us.get_value_at_percentile(percent)) / 1000.0


async def paced_streams(
    address: str, path: str, body_of: Callable[[int], bytes], streams: int = STREAMS
) -> StreamResult:
    """Read `streams` concurrent streams."""
    result = StreamResult()
    await asyncio.gather(
        *(
            _read_stream(address, path, body_of(number), number, streams, result)
            for number in range(streams)
        )
    )
    return result


async def _read_stream(
    address: str, path: str, body: bytes, number: int, streams: int, result: StreamResult
) -> None:
    await asyncio.sleep(SPREAD_S * number / streams)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes(address, path, body))
    await reader.readuntil(HEADER_END)
    previous_at = 0.0
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            break
        previous_at = _record_gap(result, chunk, previous_at)
    writer.close()


def _record_gap(result: StreamResult, chunk: bytes, previous_at: float) -> float:
    now = time.perf_counter()
    count = chunk.count(CHUNK_MARK)
    result.chunks += count
    if previous_at and count:
        result.gaps_us.record_value(max(LOWEST_US, int((now - previous_at) * US_PER_S)))
    return now
