"""Plays one crowd against one address, in a process of its own, until its input is closed.

`python -m tests.crowds.crowd_process CROWD ADDRESS SCALE` prints how its connections ended.
`SCALE` is a factor on their number.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
from collections import Counter

import attrs

from tests.crowds.crowds import CROWDS, Crowd, Pause

RECONNECT_PAUSE_S = 0.2
CONNECT_TIMEOUT_S = 5.0
READ_BYTES = 65_536
CANCEL_INTERVAL_S = 0.5
STATUS_LINE_START, STATUS_LINE_END = len("HTTP/1.1 "), len("HTTP/1.1 200")


class CrowdClient:
    """One client of a crowd; it opens its next connection when one was closed."""

    def __init__(self, crowd: Crowd, number: int, address: str, outcomes: Counter[str]) -> None:
        self._crowd = crowd
        self._number = number
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._outcomes = outcomes

    async def run(self) -> None:
        """Use one connection after another."""
        while True:
            try:
                await self._use_connection()
            except (OSError, TimeoutError) as error:
                self._outcomes[type(error).__name__] += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self._host, self._port), CONNECT_TIMEOUT_S
        )
        sending = asyncio.ensure_future(self._send(writer))
        try:
            if self._crowd.reads_answers:
                await self._read(reader)
            else:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await sending
                await asyncio.Event().wait()
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        for piece in self._crowd.pieces(self._number):
            if isinstance(piece, Pause):
                await asyncio.sleep(piece.seconds)
                continue
            writer.write(piece)
            await writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Read until the connection is closed; count the status of the first answer."""
        first = b""
        while data := await reader.read(READ_BYTES):
            first = first or data
        status = first[STATUS_LINE_START:STATUS_LINE_END].decode("latin-1")
        self._outcomes[status or "closed without an answer"] += 1


async def _play(crowd: Crowd, address: str) -> Counter[str]:
    outcomes: Counter[str] = Counter()
    clients = [
        asyncio.ensure_future(CrowdClient(crowd, number, address, outcomes).run())
        for number in range(crowd.connections)
    ]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await _end(set(clients))
    return outcomes


async def _end(clients: set[asyncio.Future[None]]) -> None:
    """Cancel all clients; `asyncio.wait_for` loses a cancellation that comes as it succeeds."""
    while clients:
        for client in clients:
            client.cancel()
        _, clients = await asyncio.wait(clients, timeout=CANCEL_INTERVAL_S)


def main() -> None:
    """Play the crowd that the arguments name."""
    name, address, scale = sys.argv[1:]
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    crowd = CROWDS[name]
    crowd = attrs.evolve(crowd, connections=max(1, int(crowd.connections * float(scale))))
    print(json.dumps(asyncio.run(_play(crowd, address))))


if __name__ == "__main__":
    main()
