"""Front machines leave as planned, one after the other, each while it answers a long stream; the
operator then gives two orders: a valid change of the configuration and the evacuation of a zone."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (ZONES, LookupServer, Operator, PlatformList, Rig, ask, configuration, finish, log,
                 route, service, trouble)

EXTRA_NODES = 8
LEAVING = 7
"""How many of the eight machines without a disk leave; the three with a disk stay."""
GAP_S = 1.0
EVENTS, EVENT_S = 57, 0.2
"""A stream of 57 events, each 0.2 s after the one before."""
DEADLINE_MS = 15000
STREAMS = os.environ.get("STREAMS", "1") == "1"
"""Whether each machine that leaves is in the middle of a stream, to compare."""
WATCH_S = float(os.environ.get("WATCH_S", "30"))


class StreamServer(LookupServer):
    """Runs short requests as a lookup server does, and answers /chat/ with a stream in chunks."""

    async def work(self, request, headers, writer):
        if headers.get("wants") != "stream":
            await super().work(request, headers, writer)
            return
        writer.write((
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: {self.id}.{request}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                raise OSError("the caller has gone")
        writer.write(b"0\r\n\r\n")


async def chat(rig, machine, request):
    """Read one stream until its end, as a client would."""
    host, _, port = machine.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((
        f"POST /chat/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nWants: stream\r\nContent-Length: 2\r\n\r\nhi").encode())
    began, body = time.monotonic(), b""
    try:
        while b"\r\n0\r\n\r\n" not in body:
            data = await asyncio.wait_for(reader.read(65536), 16)
            if not data:
                break
            body += data
    except (OSError, asyncio.TimeoutError) as error:
        log(rig.record, "client", request, type(error).__name__)
    writer.close()
    log(rig.record, "client", request, machine.name, body.count(b"id: "), "events of", EVENTS,
        f"in {time.monotonic() - began:.1f} s")


async def leave(rig, machine):
    """SIGTERM, and SIGKILL after the grace that the platform gives; return when it has ended."""
    machine.signal("node", signal.SIGTERM)
    process, began = machine.processes["node"], time.monotonic()
    while process.poll() is None and time.monotonic() - began < rig.bounds["graceS"]:
        await asyncio.sleep(0.05)
    log(rig.record, machine.name, "ended" if process.poll() is not None else "is still running",
        f"{time.monotonic() - began:.1f} s after SIGTERM, exit status", process.poll())
    machine.signal("node", signal.SIGKILL)


async def main(rig):
    platform = PlatformList(rig)
    await platform.listen(rig.list_address)
    servers = [StreamServer(rig, f"s{n}", ZONES[n], n + 1) for n in range(3)]
    for server in servers:
        await server.listen(server.address)
    rig.servers += [platform, *servers]
    platform.publish([server.entry() for server in servers])
    for machine in rig.machines:
        if machine.has_core:
            machine.start("core", bootstrap=True)
        machine.start("node", bootstrap=True)
    operator = Operator(rig)
    routes = [route("r-one", "/one/"), route(
        "r-chat", "/chat/", kind="streaming", timeout_ms=DEADLINE_MS, gapAimMs=300)]
    body = configuration(5, routes, [service()])
    status, _ = await operator.order("PUT", "/v1/configuration", body, 0, 20, "first")
    await asyncio.sleep(8)
    served = [await ask(rig, machine, number) for number, machine in enumerate(rig.machines)]
    log(rig.record, "served", served.count(200), "of", len(served))
    if status != 200 or served.count(200) < len(served):
        return 2
    leaving = [machine for machine in rig.machines if not machine.has_core][:LEAVING]
    tasks = []
    for number, machine in enumerate(leaving):
        if STREAMS:
            tasks.append(asyncio.ensure_future(chat(rig, machine, f"chat{number}")))
        await asyncio.sleep(GAP_S / 2)
        if trouble():
            tasks.append(asyncio.ensure_future(leave(rig, machine)))
        await asyncio.sleep(GAP_S / 2)
    await asyncio.gather(*tasks)
    await asyncio.sleep(rig.bounds["contactMs"] / 1000)
    bound_s = rig.bounds["acknowledgeMs"] / 1000
    body = configuration(7, routes[:1], [service()])
    change, evacuation = await asyncio.gather(
        operator.order("PUT", "/v1/configuration", body, 5, WATCH_S, "change"),
        operator.order("POST", f"/v1/evacuate/{ZONES[0]}", None, None, WATCH_S, "evacuation"))
    for name, (status, waited) in (("change", change), ("evacuation", evacuation)):
        log(rig.record, name, "answered", status, f"after {waited:.1f} s, bound {bound_s} s")
    for number, machine in enumerate(rig.machines):
        if machine.processes["node"].poll() is None:
            await ask(rig, machine, 100 + number)
    in_time = [status == 200 and waited <= bound_s for status, waited in (change, evacuation)]
    return 0 if all(in_time) else 1


if __name__ == "__main__":
    rig = Rig(Path(__file__).parent, extra_nodes=EXTRA_NODES)
    rig.record.path = rig.record.path.with_name("record-leave.txt")
    verdict = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), 112))
    finally:
        finish(rig, verdict)
