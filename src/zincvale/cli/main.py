"""`zincvale`: daemons, operator commands and tools under one name.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 not confirmed (send the same
order again), 4 conflict, 5 a condition that was waited for was not reached in time.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import fire

from zincvale.cli.daemon_commands import run_core, run_node
from zincvale.model.errors import ZincvaleError

EXIT_FAILED = 1
"""Exit code of a command that was refused or failed."""
EXIT_USAGE = 2
"""Exit code of wrong usage or wrong settings."""


class Zincvale:
    """Router and placer for many models: daemons, operator commands and tools."""

    def __init__(self) -> None:
        self.core = run_core
        self.node = run_node

    @property
    def trace(self) -> Any:
        """Find, show and explain kept traces."""
        from zincvale.cli.trace_commands import TraceCommands

        return TraceCommands()

    @property
    def fleet(self) -> Any:
        """Run real processes under load and faults on this machine, judged from journals."""
        from zincvale.fleet.commands import FleetCommands

        return FleetCommands()

    @property
    def simulate(self) -> Any:
        """Run the daemons' state machines in virtual time: exploration and what-if questions."""
        from zincvale.simulator.commands import SimulateCommands

        return SimulateCommands()

    @property
    def bench(self) -> Any:
        """Measure, as ratios within one run."""
        from zincvale.bench.commands import BenchCommands

        return BenchCommands()


OPERATOR_COMMANDS = ("apply", "get", "describe", "watch", "drain", "evacuate")
"""Commands that `run_operator_command` checks and runs; `fire` runs the others directly."""
USAGE = """zincvale: router and placer for many models

operators (each takes --help):
  apply -f FILE --core IP:PORT    declare resources, whole or partial
  get KIND [NAME]                 show resources, members, servers, moves, roles, replicas
  describe KIND NAME              one resource with its conditions
  watch                           follow the intent
  drain SERVER, evacuate ZONE     declare a server or zone out of service; --undo takes it back
  trace find|show|why             find and explain kept traces

daemons:
  core --settings FILE [--bootstrap]
  node --settings FILE

tools:
  fleet run|demo|faults           real processes under load and faults, judged from journals
  simulate explore|replay|...     the state machines in virtual time
  bench run|capacity              measurements
"""


def main() -> None:
    """Run the command in `sys.argv` and exit with its code."""
    arguments = sys.argv[1:]
    os.environ.setdefault("PAGER", "cat")
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(USAGE)
        return
    if arguments[0] in OPERATOR_COMMANDS:
        from zincvale.cli.operator.runner import run_operator_command

        sys.exit(run_operator_command(arguments))
    try:
        fire.Fire(Zincvale, command=arguments, name="zincvale")
    except ZincvaleError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE if error.kind in ("invalid", "start") else EXIT_FAILED)


if __name__ == "__main__":
    main()
