"""A server crashes in the middle of its event streams, which end with their connections."""

import asyncio
import random
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (ZONES, Operator, PlatformList, Rig, configuration, finish, log, route, service,
                 trouble)

EVENTS = 30
SERVERS = 6
STREAMS = 18
DEADLINE_MS = 15000
CRASH_AFTER_S = 1.5


class ServerProcess:
    """One server process; it is killed with the other processes at the end."""

    def __init__(self, rig, number):
        self.zone, self.number = ZONES[number % 3], number
        self.id = f"i-stream{number}-{random.getrandbits(32):08x}"
        self.address = f"127.{rig.net}.8.{number + 1}:{rig.base + 98}"
        self.output = open(rig.folder / f"server{number}.log", "w+")
        self.process = subprocess.Popen(
            [sys.executable, "-B", str(Path(__file__).with_name("server.py")), self.address,
             self.id], stdout=self.output, stdin=subprocess.DEVNULL)

    def entry(self):
        return {"id": self.id, "service": "streams", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
                "stage": "both", "models": []}

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.output.close()

    def printed(self):
        return Path(self.output.name).read_text().splitlines()


async def stream(rig, machine, request, path):
    """Read one stream as a client; return whether it looked complete, and its pieces."""
    host, _, port = machine.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi").encode())
    log(rig.record, "client", request, "sent", path)
    body, status, is_complete = b"", None, False
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 16)
        status = int(head.split()[1])
        is_chunked = b"transfer-encoding: chunked" in head.lower()
        while is_chunked:
            size = int((await asyncio.wait_for(reader.readline(), 16)).split(b";")[0], 16)
            data = await asyncio.wait_for(reader.readexactly(size + 2), 16)
            if not size:
                is_complete = True
                break
            body += data[:-2]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        log(rig.record, "client", request, "broken off:", type(error).__name__)
    writer.close()
    whole, _, rest = body.rpartition(b"\n\n")
    pieces = [int(line[4:]) for line in whole.split(b"\n") if line.startswith(b"id: ")]
    log(rig.record, "client", request, status, "complete" if is_complete else "not complete",
        f"pieces {pieces[0] if pieces else '-'} to {pieces[-1] if pieces else '-'} of {EVENTS},",
        f"{len(pieces)} in all,", "rest", rest)
    return is_complete and status == 200, pieces


async def main(rig):
    platform = PlatformList(rig)
    await platform.listen(rig.list_address)
    servers = [ServerProcess(rig, number) for number in range(SERVERS)]
    rig.servers += [platform, *servers]
    platform.publish([server.entry() for server in servers])
    for machine in rig.machines:
        machine.start("core", bootstrap=True)
        machine.start("node", bootstrap=True)
    shared = {"kind": "streaming", "timeout_ms": DEADLINE_MS, "gapAimMs": 300}
    body = configuration(5, [
        route("r-plain", "/plain/", "streams", **shared),
        route("r-resumable", "/resumable/", "streams", attempts=2, resumable=True, **shared),
    ], [service("streams")])
    status, _ = await Operator(rig).order("PUT", "/v1/configuration", body, 0, 30, "first")
    if status != 200:
        return 2
    await asyncio.sleep(5)
    streams = []
    for number in range(STREAMS):
        path = "/plain/x" if number % 2 else "/resumable/x"
        streams.append(asyncio.ensure_future(
            stream(rig, rig.machines[number % 3], f"stream{number}", path)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(CRASH_AFTER_S)
    if trouble():
        servers[0].process.send_signal(signal.SIGKILL)
        log(rig.record, "signal SIGKILL server", servers[0].id)
    broken = 0
    for is_complete, pieces in await asyncio.gather(*streams):
        in_order = pieces == list(range(1, len(pieces) + 1))
        if not in_order or (is_complete and len(pieces) < EVENTS):
            broken += 1
        if not trouble() and not is_complete:
            return 2
    for server in servers:
        for line in server.printed():
            log(rig.record, "server", line)
    log(rig.record, "streams that ended as complete before their last piece, or out of order:",
        broken, "of", len(streams))
    return 1 if broken else 0


if __name__ == "__main__":
    rig = Rig(Path(__file__).parent)
    verdict = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), 90))
    finally:
        finish(rig, verdict)
