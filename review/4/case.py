"""Most of the machines without a disk are lost for good and replaced; the operator then gives two
orders: a valid change of the configuration and the evacuation of a zone."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (ZONES, LookupServer, Machine, Operator, PlatformList, Rig, ask, configuration,
                 finish, log, route, service, trouble)

EXTRA_NODES = 8
LOST = int(os.environ.get("LOST", "7"))
"""How many of the eight machines without a disk are lost; the three with a disk stay."""
REPLACED = os.environ.get("REPLACED", "1") == "1"
SETTLE_S = 8.0
REPLACE_AFTER_S = 2.0
ORDER_AFTER_S = 6.0
WATCH_S = float(os.environ.get("WATCH_S", "66"))
"""How long the operator keeps asking; longer than a lost node stays registered (60 s)."""


async def main(rig):
    platform = PlatformList(rig)
    await platform.listen(rig.list_address)
    servers = [LookupServer(rig, f"s{n}", ZONES[n], n + 1) for n in range(3)]
    for server in servers:
        await server.listen(server.address)
    rig.servers += [platform, *servers]
    platform.publish([server.entry() for server in servers])
    for machine in rig.machines:
        if machine.has_core:
            machine.start("core", bootstrap=True)
        machine.start("node", bootstrap=True)
    operator = Operator(rig)
    body = configuration(5, [route("r-one", "/one/")], [service()])
    status, _ = await operator.order("PUT", "/v1/configuration", body, 0, 20, "first")
    await asyncio.sleep(SETTLE_S)
    served = [await ask(rig, machine, number) for number, machine in enumerate(rig.machines)]
    log(rig.record, "served", served.count(200), "of", len(served))
    body = configuration(7, [route("r-one", "/one/"), route("r-two", "/two/")], [service()])
    before, waited = await operator.order("PUT", "/v1/configuration", body, 5, 10, "before")
    log(rig.record, "change before the loss", before, f"{waited:.1f} s")
    if status != 200 or before != 200 or served.count(200) < len(served):
        return 2
    lost = [machine for machine in rig.machines if not machine.has_core][:LOST]
    if trouble():
        for machine in lost:
            machine.signal("node", signal.SIGKILL)
    await asyncio.sleep(REPLACE_AFTER_S)
    if REPLACED:
        for index, machine in enumerate(lost):
            new = Machine(rig, 20 + index, machine.zone, False)
            rig.machines.append(new)
            new.start("node")
    await asyncio.sleep(ORDER_AFTER_S)
    bound_s = rig.bounds["acknowledgeMs"] / 1000
    body = configuration(11, [route("r-one", "/one/")], [service()])
    change, evacuation = await asyncio.gather(
        operator.order("PUT", "/v1/configuration", body, 7, WATCH_S, "change"),
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
    verdict = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), 112))
    finally:
        finish(rig, verdict)
