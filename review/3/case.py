"""Case: an evacuation is taken back and asked for again while a core machine is frozen."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from fleet import CONTACT_S, CONTROL, EVACUATION_S, ZONES, Run, configuration  # noqa: E402

FREEZE_S = 5.0
"""Length of the freeze: the largest of the site's days for one core machine."""
ORDER_LIMIT_S = 20.0
JUDGED_FOR_S = 6.0
REQUEST_GAP_S = 0.1
SLACK_S = 0.3
"""Added to every bound of the rule."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def play(run: Run) -> int:
    """Play the case; return the exit status."""
    fleet, record, operator = run.fleet, run.record, run.operator
    for zone in ZONES:
        run.servers.add("quote-api", zone)
    await run.servers.listen()
    machines = [fleet.add(number, ZONES[number % 3], has_disk=number < 3) for number in range(11)]
    fleet.seeds = [f"{machine.ip}:{CONTROL}" for machine in machines[:3]]
    for machine in machines:
        fleet.start(machine, bootstrap=True)
    zone, frozen = ZONES[0], machines[1]
    first = fleet.cores().index(frozen)
    path = f"/v1/evacuate/{zone}"
    headers = {"If-Match": "0", "Content-Type": "application/json"}
    put = await operator.order(
        "PUT", "/v1/configuration", headers, configuration(1), 30.0, label="configuration 1"
    )
    await asyncio.sleep(CONTACT_S)
    if put is None or await operator.order("POST", path, {}, b"", ORDER_LIMIT_S) is None:
        record.line("the first configuration or evacuation was not taken")
        return NOT_RUN
    await asyncio.sleep(EVACUATION_S)
    frozen_at = record.now()
    if TROUBLE:
        fleet.signal(frozen, signal.SIGSTOP)
    # The operator picks among the cores; here the first one that it picks is the frozen one.
    back = await operator.order("DELETE", path, {}, b"", ORDER_LIMIT_S, first=first)
    again = await operator.order("POST", path, {}, b"", ORDER_LIMIT_S, first=first + 1)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    if TROUBLE:
        fleet.signal(frozen, signal.SIGCONT)
    thawed_at = record.now()
    if back is None or again is None:
        record.line("the evacuation was not taken back, or not asked for again")
        return NOT_RUN
    # Machines are in touch again `contactMs` after the thaw.
    judged_from = max(again + EVACUATION_S, thawed_at + CONTACT_S) + SLACK_S
    await asyncio.sleep(judged_from - record.now())
    record.line(f"judged from here: evacuation acknowledged at {again:.3f}, thaw {thawed_at:.3f}")
    undisturbed = [machine for machine in machines if machine is not frozen]
    tasks = []
    until = judged_from + JUDGED_FOR_S
    while record.now() < until:
        tasks += [asyncio.ensure_future(run.clients.ask(machine)) for machine in undisturbed]
        await asyncio.sleep(REQUEST_GAP_S)
    statuses = await asyncio.gather(*tasks)
    ended = fleet.ended_by_themselves()
    if ended:
        record.line(f"processes ended by themselves: {ended}")
        return NOT_RUN
    counts = {
        server.zone: sum(at >= judged_from for at, _ in server.ran)
        for server in run.servers.servers
    }
    answered = statuses.count(200)
    record.line(f"runs by the zone of the server: {counts}; answered with 200: {answered}")
    if not answered:
        return NOT_RUN
    if counts[zone]:
        record.line(f"BROKEN: {counts[zone]} requests reached servers in the evacuated zone {zone}")
        return BROKEN
    record.line("no request reached the evacuated zone")
    return HELD


async def main() -> int:
    """Run the case and end every process."""
    run = Run(HERE)
    try:
        return await play(run)
    except Exception as error:  # noqa: BLE001
        run.record.line(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        run.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
