"""Compares the placement controller with baseline policies on simulated fleets.

Run as `python -m zincvale.simulator.placement_quality`. Runs every load on both fleets in virtual
time, with the same arrivals for each policy, and prints one JSON object per run.
Options: `--fleet NAME`, `--load NAME`, `--seconds N`, `--seed N`.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

import attrs
import orjson

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.simulator.placement.baselines import Greedy, LeastRecentlyUsed, Static
from zincvale.simulator.placement.controller_policy import ControllerPolicy
from zincvale.simulator.placement.emulator import Emulator, Outcome, Policy
from zincvale.simulator.placement.fleet import Fleet
from zincvale.simulator.placement.journal_checks import check_journal, check_ordered_rate
from zincvale.simulator.placement.scenarios import (
    LOADS,
    NILEBRIDGE,
    TZINTZUNTZAN,
    FleetShape,
    LoadShape,
    build_arrivals,
    build_events,
    build_fleet,
)

FLEETS = {"nilebridge": NILEBRIDGE, "tzintzuntzan": TZINTZUNTZAN}
CONTROLLER = "zincvale"
"""Name of the policy that runs the real placement controller."""
WARM_UP_FRACTION = 0.25
"""Fraction of a run that is excluded from its outcome."""
DEFAULT_SECONDS = 7200.0
"""Default length of a run in virtual time."""


@attrs.frozen
class Comparison:
    """The outcome of one run, and the violations found in the journal of its fleet."""

    policy: str
    outcome: Outcome
    problems: tuple[str, ...]


def make_policies(seed: int, config: PlacementConfig) -> dict[str, Callable[[Fleet], Policy]]:
    """Return the constructor of each policy by the policy's name."""
    return {
        "static": lambda fleet: Static(_by_popularity(fleet)),
        "lru": lambda _: LeastRecentlyUsed(),
        "greedy": lambda _: Greedy(),
        CONTROLLER: lambda _: ControllerPolicy(config, seed),
    }


def compare(
    shape: FleetShape, load: LoadShape, policy: str, seconds: float, seed: int
) -> Comparison:
    """Run one policy; the first quarter of the run is a warm-up and does not count."""
    config = PlacementConfig(day_s=load.day_s)
    fleet = build_fleet(shape, seed)
    arrivals = build_arrivals(fleet, load, seconds, seed + 1)
    events = build_events(fleet, load, seconds, seed + 2)
    placement_policy = make_policies(seed, config)[policy](fleet)
    outcome = Emulator(fleet, arrivals, events).run(
        placement_policy, seconds, seconds * WARM_UP_FRACTION
    )
    problems = check_journal(fleet)
    if policy == CONTROLLER:
        problems += check_ordered_rate(fleet, config.store_burst_s)
    return Comparison(policy, outcome, tuple(problems))


def _by_popularity(fleet: Fleet) -> list[str]:
    """Return the item names by popularity rank within their pools; the rank follows `-m`."""
    return sorted(fleet.items, key=lambda name: (name.partition("-m")[2][:2], name))


def main(arguments: list[str], write: Callable[[bytes], object]) -> None:
    """Run the comparisons that the command line selects and write one row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", choices=sorted(FLEETS))
    parser.add_argument("--load", choices=sorted(LOADS))
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for fleet in [options.fleet] if options.fleet else list(FLEETS):
        for load in [options.load] if options.load else list(LOADS):
            for policy in make_policies(options.seed, PlacementConfig()):
                result = compare(FLEETS[fleet], LOADS[load], policy, options.seconds, options.seed)
                write(_encode_row(fleet, load, options.seed, result))


def _encode_row(fleet: str, load: str, seed: int, result: Comparison) -> bytes:
    row = {
        "fleet": fleet,
        "load": load,
        "seed": seed,
        "policy": result.policy,
        "served_without_load_wait": round(result.outcome.served_without_load_wait, 4),
        **attrs.asdict(result.outcome),
        "problems": list(result.problems[:10]),
    }
    return orjson.dumps(row) + b"\n"


if __name__ == "__main__":
    main(sys.argv[1:], sys.stdout.buffer.write)
