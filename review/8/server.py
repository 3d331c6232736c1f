"""A stand-in server of event streams, as a process of its own: `server.py ADDRESS ID`.

Its streams have no length and end with their connection. It sends each event in two parts, as the
tokens of the event are made.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import Listener, answer

EVENTS = 30
FIRST_PART_S, SECOND_PART_S = 0.08, 0.02


class StreamServer(Listener):
    def __init__(self, identity):
        self.id = identity

    async def handle(self, method, target, headers, body, writer, reader):
        if target == "/health":
            writer.write(answer(200, b"", {"Instance-Id": self.id}))
            return
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, b"", {"Request-Id": request, "Not-Executed": "1"}))
            return
        after = int(headers.get("last-event-id") or 0)
        print("run", self.id, request, f"after {after}" if after else "", flush=True)
        writer.write((
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request}\r\nServer-Signature: {self.id}.{request}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode()
            writer.write(event[:-8])
            await asyncio.sleep(FIRST_PART_S)
            writer.write(event[-8:])
            await asyncio.sleep(SECOND_PART_S)
        await writer.drain()
        print("ended", self.id, request, flush=True)
        raise OSError("the connection ends with the answer")


async def main(address, identity):
    server = StreamServer(identity)
    await server.listen(address)
    await asyncio.sleep(150)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2]))
