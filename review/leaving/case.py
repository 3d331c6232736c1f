"""Case: the machines that do not count are stopped one after the other; then a change is sent."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from fleet import (  # noqa: E402
    ACKNOWLEDGE_S,
    CONTACT_S,
    CONTROL,
    GRACE_S,
    ZONES,
    Run,
    configuration,
)

GAP_S = 1.0
"""Time between two stops: the default of the kind roll_term."""
JUDGED_FOR_S = 70.0
"""For how long the operator sends the change. The rule allows `acknowledgeMs`."""
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
    headers = {"Content-Type": "application/json"}
    first = await operator.order(
        "PUT",
        "/v1/configuration",
        {"If-Match": "0", **headers},
        configuration(1),
        30.0,
        label="configuration 1",
    )
    if first is None:
        return NOT_RUN
    await asyncio.sleep(CONTACT_S)
    leaving = [machine for machine in machines if not machine.has_disk]
    for machine in leaving if TROUBLE else []:
        fleet.signal(machine, signal.SIGTERM)
        await asyncio.sleep(GAP_S)
    if TROUBLE:
        await asyncio.sleep(GRACE_S)
    for machine in leaving if TROUBLE else []:
        run.lost.append(machine)
        fleet.lose(machine)
    record.line("the machines that leave have left")
    await asyncio.sleep(CONTACT_S)
    sent_at = record.now()
    acknowledged_at = await operator.order(
        "PUT",
        "/v1/configuration",
        {"If-Match": "1", **headers},
        configuration(2, timeout_ms=1100),
        JUDGED_FOR_S,
        label="configuration 2",
    )
    statuses = [await run.clients.ask(machine) for machine in fleet.machines.values()]
    ended = fleet.ended_by_themselves()
    if ended:
        record.line(f"processes ended by themselves: {ended}")
        return NOT_RUN
    record.line(f"clients' statuses at the end: {statuses}")
    if acknowledged_at is None:
        record.line(f"BROKEN: configuration 2 was not acknowledged in {JUDGED_FOR_S} s")
        return BROKEN
    took_s = acknowledged_at - sent_at
    record.line(f"configuration 2 was acknowledged after {took_s:.3f} s")
    return BROKEN if took_s > ACKNOWLEDGE_S else HELD


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
