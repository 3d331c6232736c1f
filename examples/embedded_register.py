"""Three cores in one process: a change sent twice under one idempotency key, and a leader lease.

The state machines do no I/O: this file is their driver. `python examples/embedded_register.py`
"""

import random
from collections import deque

from returns.result import Success

from zincvale.coordination.changes import RowChange
from zincvale.coordination.config import CoreConfig, InitialCore
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.registers.change_messages import ProposeChange
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.model import machine as m

NAMES = ("core-1", "core-2", "core-3")
CORES = tuple(InitialCore(name, "api:1", f"{name}:2", "zone-a") for name in NAMES)


def new_core(name):
    """Return a core with an empty disk that may bootstrap the cluster."""
    config = CoreConfig("demo", name, "run-1", "zone-a", "region-1", "api:1", f"{name}:2",
                        bootstrap=True, initial_cores=CORES, roles=("planner",))  # fmt: skip
    reducers = {"k": lambda rows, change: Success([RowChange("greeting", change)])}
    return CoreMachine(config, RecoveredState(f"disk-of-{name}"), reducers, random.Random(1), 0.0)


def run():
    """Run 160 ticks of virtual time; return the replies, the values and the leaders."""
    cores, replies, calls, queue = {name: new_core(name) for name in NAMES}, [], {}, deque()
    for tick in range(160):
        queue.extend((name, m.Tick()) for name in NAMES)
        if tick in (100, 130):  # the same change, sent to two cores
            change = ProposeChange("k", "change-1", None, b"hello")
            queue.append((NAMES[tick % 3], m.CallReceived(NAMES[tick % 3], "mine", change)))
        while queue:
            name, event = queue.popleft()
            for effect in cores[name].handle(event, tick * 0.05):
                match effect:
                    case m.Send(to, message) if to in cores:
                        queue.append((to, m.MessageReceived(name, message)))
                    case m.Write(token):  # a real driver syncs a file here
                        queue.append((name, m.WriteCompleted(token)))
                    case m.Call(to, token, message):
                        calls[f"{name}/{token}"] = (name, token)
                        queue.append((to, m.CallReceived(name, f"{name}/{token}", message)))
                    case m.Reply("mine", message):
                        replies.append(message)
                    case m.Reply(token, message):
                        queue.append((calls[token][0], m.CallReplied(calls[token][1], message)))
    leaders = [name for name in NAMES if cores[name].role("planner", 159 * 0.05).is_leader]
    return replies, {name: cores[name].value("k").rows for name in NAMES}, leaders


if __name__ == "__main__":
    print(*run(), sep="\n")
