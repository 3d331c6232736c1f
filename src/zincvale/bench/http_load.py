"""A minimal HTTP/1.1 load client over persistent connections, cheap enough to saturate a node.

Load is closed loop (as fast as the connections allow) or open loop (Poisson arrivals at a rate),
for a given time.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
"""Precision of the latency histograms, which range from `LOWEST_US` to `HIGHEST_US`."""
HEADER_END = b"\r\n\r\n"
OK_PREFIX = b"HTTP/1.1 200"
US_PER_S = 1_000_000


@attrs.define
class LoadResult:
    """Counts and latencies of one load.

    Attributes
    ----------
    latency_us : latency of successful exchanges; in open loop from the planned arrival.
    """

    succeeded: int = 0
    """Exchanges whose response had status 200."""
    failed: int = 0
    elapsed_s: float = 0.0
    latency_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    @property
    def per_second(self) -> float:
        """Successful exchanges per second."""
        return self.succeeded / self.elapsed_s if self.elapsed_s else 0.0

    def quantile_ms(self, percent: float) -> float:
        """Return a latency quantile in milliseconds."""
        return float(self.latency_us.get_value_at_percentile(percent)) / 1000.0


class _Connection:
    """One persistent connection that carries one exchange at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def exchange(self, request: bytes) -> bool:
        """Send one request, read its complete response, and return whether its status was 200."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(self._host, self._port)
        assert self._reader is not None
        self._writer.write(request)
        head = await self._reader.readuntil(HEADER_END)
        await self._read_body(head.lower())
        return head.startswith(OK_PREFIX)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def _read_body(self, head: bytes) -> None:
        assert self._reader is not None
        if b"transfer-encoding: chunked" in head:
            await self._read_chunks()
            return
        _, _, after = head.partition(b"content-length:")
        length = int(after.split(b"\r\n", 1)[0]) if after else 0
        await self._reader.readexactly(length)

    async def _read_chunks(self) -> None:
        assert self._reader is not None
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            await self._reader.readexactly(size + 2)
            if size == 0:
                return


def request_bytes(address: str, path: str, body: bytes) -> bytes:
    """Return the bytes of one POST request with a JSON body."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def closed_loop(
    address: str, path: str, body_of: Callable[[int], bytes], connections: int, seconds: float
) -> LoadResult:
    """Send requests for `seconds`, each connection the next one after its response."""
    result = LoadResult()
    host, _, port = address.rpartition(":")
    begin = time.perf_counter()
    end = begin + seconds

    async def run_connection(number: int) -> None:
        connection = _Connection(host, int(port))
        sequence = number
        while time.perf_counter() < end:
            start = time.perf_counter()
            request = request_bytes(address, path, body_of(sequence))
            sequence += connections
            _record(result, await connection.exchange(request), start)
        connection.close()

    await asyncio.gather(*(run_connection(number) for number in range(connections)))
    result.elapsed_s = time.perf_counter() - begin
    return result


async def open_loop(
    address: str,
    path: str,
    body_of: Callable[[int], bytes],
    per_second: float,
    seconds: float,
    seed: int,
) -> LoadResult:
    """Send requests at Poisson arrivals; latency is measured from the planned arrival."""
    result = LoadResult()
    host, _, port = address.rpartition(":")
    idle: list[_Connection] = []
    arrivals = random.Random(seed)
    tasks: set[asyncio.Task[None]] = set()
    begin = time.perf_counter()
    planned = begin
    number = 0

    async def run_exchange(sequence: int, planned_at: float) -> None:
        connection = idle.pop() if idle else _Connection(host, int(port))
        request = request_bytes(address, path, body_of(sequence))
        _record(result, await connection.exchange(request), planned_at)
        idle.append(connection)

    while planned < begin + seconds:
        planned += arrivals.expovariate(per_second)
        delay_s = planned - time.perf_counter()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        task = asyncio.ensure_future(run_exchange(number, planned))
        number += 1
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    result.elapsed_s = time.perf_counter() - begin
    for connection in idle:
        connection.close()
    return result


def _record(result: LoadResult, is_ok: bool, since: float) -> None:
    if not is_ok:
        result.failed += 1
        return
    result.succeeded += 1
    elapsed_us = int((time.perf_counter() - since) * US_PER_S)
    result.latency_us.record_value(max(LOWEST_US, elapsed_us))
