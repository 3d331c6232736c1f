"""An operator sends whole configurations one after the other, each with a new first route; all
nodes, and later the cores, grow beyond the memory of their machines and are killed."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (ZONES, LookupServer, Operator, PlatformList, Rig, configuration, finish, log,
                 read_message, route, service, trouble)

ROUTES = 1800
NODES = 4
CORE_LIMITS = {"memoryMb": 296, "diskMb": 128, "fileDescriptors": 4096, "linkMbps": 120.0}
NODE_LIMITS = {"memoryMb": 200, "linkMbps": 10.0, "cores": 1}
"""Machines of the site rostergum-qld-grown: class core, and class front."""
MB = 1_000_000
RESTART_S = 0.5
"""How soon the platform starts a process again that has ended."""
CALM_S = 6.0
"""Time with requests and without changes, before the first one and after the last one."""
CHANGES_UNTIL_S = 85.0
ENOUGH_CHANGES = 150
"""So many changes are sent at least, unless the time is over."""
DEADLINE_MS = 15000
WORK_S = 1.5
CLIENTS_OF_NODE = 4
CUTS_OVER_OTHER_TIMES = 3


def whole(version, change):
    """Return configuration `version`: a route more than before, in front, or else at the end."""
    numbers = list(range(ROUTES))
    new = [f"r-new-{each:04d}" for each in range(change)]
    routes = [route(f"r-{number:06d}", f"/one/{number}/", timeout_ms=DEADLINE_MS)
              for number in numbers]
    added = [route(name, f"/{name}/", timeout_ms=DEADLINE_MS) for name in new]
    ordered = [*reversed(added), *routes] if trouble() else [*routes, *added]
    return configuration(version, ordered, [service()])


class Platform:
    """Kills a process whose own memory is over its limit, and starts it again."""

    def __init__(self, rig, places):
        self.rig, self.places = rig, places
        self.kills = {}
        self.peak_mb = {}

    async def watch(self):
        while True:
            for machine, role, limits in self.places:
                used_mb = anonymous_mb(machine.processes[role].pid)
                key = (machine.name, role)
                self.peak_mb[key] = max(used_mb, self.peak_mb.get(key, 0))
                if used_mb > limits["memoryMb"]:
                    log(self.rig.record, "platform kills", machine.name, role,
                        f"it uses {used_mb:.0f} MB of {limits['memoryMb']}")
                    machine.signal(role, signal.SIGKILL)
                    machine.processes[role].wait()
                    self.kills.setdefault(key, []).append(time.monotonic())
                    asyncio.get_running_loop().call_later(RESTART_S, machine.start, role)
                    await asyncio.sleep(0)
            await asyncio.sleep(0.1)


def anonymous_mb(pid):
    """Return a process's own memory, without the pages of files; 0 when it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    kilobytes = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
    return int(kilobytes[0]) * 1024 / MB if kilobytes else 0.0


def folder_mb(folder):
    """Return the size of the files in a folder."""
    return sum(each.stat().st_size for each in Path(folder).rglob("*") if each.is_file()) / MB


class Clients:
    """Sends requests to each node, some at a time, each on a connection of its own."""

    def __init__(self, rig):
        self.rig, self.count, self.ended = rig, 0, []
        self.is_over = False

    async def ask(self, machine):
        """Send a request; note when it was sent, when it ended, and how."""
        self.count += 1
        request = f"q{self.count}"
        sent_at, end = time.monotonic(), "complete"
        host, _, port = machine.front.rpartition(":")
        status = 0
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            return
        try:
            writer.write((f"POST /one/7/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request}"
                          f"\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi").encode())
            start, _, _ = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
            status = int(start.split()[1])
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            end = type(error).__name__
            log(self.rig.record, "client", request, machine.name, end)
        finally:
            writer.close()
        self.ended.append((request, sent_at, time.monotonic(), status, end))

    async def run(self, machine):
        while not self.is_over:
            await self.ask(machine)


async def main(rig):
    began = time.monotonic()
    rig.limits = {"core": CORE_LIMITS, "node": NODE_LIMITS}
    platform_list = PlatformList(rig)
    await platform_list.listen(rig.list_address)
    servers = [LookupServer(rig, f"s{n}", ZONES[n], n + 1, work_s=WORK_S) for n in range(3)]
    for server in servers:
        await server.listen(server.address)
    rig.servers += [platform_list, *servers]
    platform_list.publish([server.entry() for server in servers])
    cores, nodes = rig.machines[:3], rig.machines[3:]
    for machine in cores:
        machine.start("core", bootstrap=True)
    for machine in nodes:
        machine.start("node", bootstrap=True)
    places = [(machine, "core", CORE_LIMITS) for machine in cores]
    places += [(machine, "node", NODE_LIMITS) for machine in nodes]
    platform = Platform(rig, places)
    operator, clients = Operator(rig), Clients(rig)
    version = 1
    status, _ = await operator.order("PUT", "/v1/configuration", whole(version, 0), 0, 20, "first")
    if status != 200:
        return 2
    watching = asyncio.ensure_future(platform.watch())
    asking = [asyncio.ensure_future(clients.run(machine))
              for machine in nodes for _ in range(CLIENTS_OF_NODE)]
    await asyncio.sleep(CALM_S)
    changes_began, changes, stretches = time.monotonic(), 0, []
    while time.monotonic() - began < CHANGES_UNTIL_S:
        if changes >= ENOUGH_CHANGES and (not trouble() or platform.kills):
            break
        sent_at = time.monotonic()
        body = whole(version + 1, changes + 1)
        status, _ = await operator.order("PUT", "/v1/configuration", body, version, 15,
                                         f"change {changes + 1}")
        if status != 200:
            log(rig.record, "change", changes + 1, "got", status)
            break
        stretches.append((sent_at, time.monotonic() + rig.bounds["configurationMs"] / 1000 + 1))
        version, changes = version + 1, changes + 1
    changes_s = time.monotonic() - changes_began
    await asyncio.sleep(CALM_S)
    clients.is_over = True
    await asyncio.wait(asking, timeout=DEADLINE_MS / 1000 + 1)
    watching.cancel()
    disks_mb = [folder_mb(rig.folder / "disks" / machine.name) for machine in cores]
    log(rig.record, changes, f"changes in {changes_s:.0f} s; the data folders have at most",
        f"{max(disks_mb):.0f} MB of {CORE_LIMITS['diskMb']}")
    for (name, role), peak in sorted(platform.peak_mb.items()):
        kills = len(platform.kills.get((name, role), ()))
        log(rig.record, name, role, f"used {peak:.0f} MB at most; killed {kills} times")
    ran = {request for server in servers for _, request, *_ in server.runs}
    beside, other = 0, 0
    for request, sent_at, ended_at, _, end in clients.ended:
        if end == "complete" or request not in ran:
            continue
        if ended_at - sent_at >= 0.7 * DEADLINE_MS / 1000:
            continue
        if any(since <= ended_at <= until for since, until in stretches):
            beside += 1
        else:
            other += 1
    log(rig.record, "requests", len(clients.ended), "- cut beside a configuration", beside,
        "- at other times", other)
    if max(disks_mb) > CORE_LIMITS["diskMb"]:
        return 2
    if changes < ENOUGH_CHANGES and not platform.kills:
        return 2  # The machine was too slow for the changes.
    return 1 if beside > CUTS_OVER_OTHER_TIMES * other else 0


if __name__ == "__main__":
    rig = Rig(Path(__file__).parent, cores=3, extra_nodes=NODES)
    verdict = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), 115))
    finally:
        finish(rig, verdict)
