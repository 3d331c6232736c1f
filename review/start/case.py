"""Case: one of the three core machines is lost for good while the system starts the first time."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from fleet import (  # noqa: E402
    ACKNOWLEDGE_S,
    CONTACT_S,
    CONTROL,
    ZONES,
    Run,
    configuration,
)

LOST_AFTER_S = 0.5
"""How long the lost machine has run; the others have run for as long, within 0.1 s."""
SUCCESSOR_AFTER_S = 1.0
"""When the successor comes: the default of the kind replace_core."""
CATCH_UP_S = 4.0
JUDGED_FOR_S = 40.0
"""For how long the operator sends the first configuration once the core is stable. The rule allows
`acknowledgeMs`."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def play(run: Run) -> int:
    """Play the case; return the exit status."""
    fleet, record = run.fleet, run.record
    for zone in ZONES:
        run.servers.add("quote-api", zone)
    await run.servers.listen()
    machines = [fleet.add(number, ZONES[number % 3], has_disk=number < 3) for number in range(11)]
    fleet.seeds = [f"{machine.ip}:{CONTROL}" for machine in machines[:3]]
    for machine in machines:
        fleet.start(machine, bootstrap=True)
    last_event_at = record.now()
    if TROUBLE:
        await asyncio.sleep(LOST_AFTER_S)
        lost = machines[2]
        run.lost.append(lost)
        fleet.lose(lost)
        record.line(f"machine {lost.name} is lost for good")
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor = fleet.add(20, lost.zone, has_disk=True)
        fleet.seeds = [f"{machine.ip}:{CONTROL}" for machine in fleet.cores()]
        fleet.start(successor, bootstrap=False)
        last_event_at = record.now()
    stable_at = last_event_at + CONTACT_S + CATCH_UP_S
    limit_s = stable_at + JUDGED_FOR_S - record.now()
    headers = {"If-Match": "0", "Content-Type": "application/json"}
    acknowledged_at = await run.operator.order(
        "PUT", "/v1/configuration", headers, configuration(1), limit_s, label="configuration 1"
    )
    await asyncio.sleep(1.0)
    asked = (run.clients.ask(machine, deadline_s=4.0) for machine in fleet.machines.values())
    statuses = await asyncio.gather(*asked)
    ended = fleet.ended_by_themselves()
    if ended:
        record.line(f"processes ended by themselves: {ended}")
        return NOT_RUN
    record.line(f"the core was stable from {stable_at:.3f}")
    record.line(f"clients' statuses at the end: {statuses}")
    if acknowledged_at is None:
        record.line(f"BROKEN: configuration 1 was not acknowledged in {JUDGED_FOR_S} s")
        return BROKEN
    late_s = acknowledged_at - stable_at
    record.line(f"configuration 1 was acknowledged at {acknowledged_at:.3f}")
    return BROKEN if late_s > ACKNOWLEDGE_S else HELD


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
