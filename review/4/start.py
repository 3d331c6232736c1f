"""One core process is killed within the first second of the fleet's first start and started again."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (ZONES, LookupServer, Operator, PlatformList, Rig, ask, configuration, finish, log,
                 route, service, trouble)

VICTIM = int(os.environ.get("VICTIM", "0"))
"""Which of the three cores is killed; each of them gives the same result."""
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "0.4"))
RESTART_AFTER_S = 0.5
BOOT_AGAIN = os.environ.get("BOOT_AGAIN") == "1"
"""Whether the restarted process is told `bootstrap = true` again, to compare."""
WATCH_S = float(os.environ.get("WATCH_S", "30"))


async def main(rig):
    platform = PlatformList(rig)
    await platform.listen(rig.list_address)
    servers = [LookupServer(rig, f"s{n}", ZONES[n], n + 1) for n in range(3)]
    for server in servers:
        await server.listen(server.address)
    rig.servers += [platform, *servers]
    platform.publish([server.entry() for server in servers])
    for machine in rig.machines:
        machine.start("core", bootstrap=True)
        machine.start("node", bootstrap=True)
    await asyncio.sleep(KILL_AFTER_S)
    if trouble():
        victim = rig.core_machines()[VICTIM]
        victim.signal("core", signal.SIGKILL)
        await asyncio.sleep(RESTART_AFTER_S)
        victim.start("core", bootstrap=BOOT_AGAIN)
    await asyncio.sleep(rig.bounds["contactMs"] / 1000)
    bound_s = rig.bounds["acknowledgeMs"] / 1000
    body = configuration(5, [route("r-one", "/one/")], [service()])
    status, waited = await Operator(rig).order(
        "PUT", "/v1/configuration", body, 0, WATCH_S, "first")
    log(rig.record, "first configuration answered", status,
        f"after {waited:.1f} s, bound {bound_s} s")
    await asyncio.sleep(1.0)
    served = [await ask(rig, rig.machines[number % 3], number) for number in range(9)]
    log(rig.record, "served", served.count(200), "of", len(served))
    running = [process.poll() for machine in rig.machines for process in machine.processes.values()]
    log(rig.record, "processes running", running.count(None), "of", len(running))
    if status is not None and status != 200:
        return 2
    return 0 if status == 200 and waited <= bound_s + rig.bounds["catchUpS"] else 1


if __name__ == "__main__":
    rig = Rig(Path(__file__).parent)
    rig.record.path = Path(__file__).with_name("record-start.txt")
    verdict = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), 110))
    finally:
        finish(rig, verdict)
