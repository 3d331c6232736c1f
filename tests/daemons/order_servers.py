"""Simulated language-model servers that execute orders one at a time and check each order."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import attrs
import orjson

from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.server_orders import HttpCall

LONGEST_REPORT_LAG_S = 0.5
"""Longest time by which a report lags behind; it is below the lag that the platform's dialect
assumes."""
UNLOAD_S = 0.02
ADAPTER_LOAD_S = 0.03
DISK_LOAD_FRACTION = 0.3
"""Duration of a load from the server's own disk, as a fraction of that of a load from the store."""
LONGEST_REQUEST_S = 1.5
"""Longest duration of the requests that an unload waits for."""
OVERLOAD_DOWN_S = 2.0
"""How long a server is down after an order that exceeds its memory or adapter slots."""


@attrs.frozen
class SimulatedModel:
    """Sizes and load time of one model."""

    weight_bytes: int
    load_s: float
    adapter_bytes: int


@attrs.frozen
class Snapshot:
    """The state that a server reports as of one time."""

    at: float
    models: dict[str, tuple[str, ...]]
    busy: bool
    sequence: int


@attrs.define(eq=False)
class SimulatedServer:
    """One server that follows the platform's rules and appends every violation to `problems`.

    Attributes
    ----------
    held : names of the loaded adapters, by loaded model.
    on_disk : models that were loaded at any time, also before a restart.
    work : the order that is being executed and the time at which it ends.
    sequence : number of orders that this incarnation has accepted.
    """

    slot: int
    address: str
    zone: str
    memory_bytes: int
    adapter_slots: int
    catalog: dict[str, SimulatedModel]
    clock: Callable[[], float]
    random: random.Random
    problems: list[str]
    instance: str = ""
    incarnations: int = 0
    held: dict[str, set[str]] = attrs.field(factory=dict)
    on_disk: set[str] = attrs.field(factory=set)
    work: tuple[dict[str, str], float] | None = None
    sequence: int = 0
    highest_epoch: int = 0
    down_until: float = 0.0
    listed_since: float = 0.0
    accepted_orders: int = 0
    _snapshots: deque[Snapshot] = attrs.field(factory=deque)

    def start(self, models: list[str]) -> None:
        """Start a new incarnation in which `models` are loaded."""
        self.incarnations += 1
        self.instance = f"i-{self.slot}-{self.incarnations}"
        self._reset_state(models)

    def restart_empty(self) -> None:
        """Restart with empty memory under the same instance name, as some servers do."""
        self._reset_state([])

    def _reset_state(self, models: list[str]) -> None:
        self.held = {model: set() for model in models}
        self.on_disk.update(models)
        self.work = None
        self.sequence = 0
        self.highest_epoch = 0
        self._snapshots.clear()
        self._record_snapshot()

    def crash(self, down_s: float, *, keeps_instance: bool = False) -> None:
        """Be down for `down_s`, then run with empty memory as a new or the same instance."""
        self.down_until = self.clock() + down_s
        if keeps_instance:
            self.restart_empty()
        else:
            self.start([])

    @property
    def is_down(self) -> bool:
        """Whether the server does not respond at its address."""
        return self.clock() < self.down_until

    def used_bytes(self) -> int:
        """Return the memory in use by loaded models and adapters."""
        return sum(
            self.catalog[model].weight_bytes + len(adapters) * self.catalog[model].adapter_bytes
            for model, adapters in self.held.items()
        )

    def respond(self, call: HttpCall, body: bytes | None) -> FetchResult:
        """Return the response to an order or a report request."""
        self._finish_work()
        if call.headers.get("Expect-Instance") != self.instance:
            return FetchResult(421)
        if body is None:
            return FetchResult(200, orjson.dumps(self._report()))
        return FetchResult(self._handle_order(orjson.loads(body)))

    def _report(self) -> dict[str, object]:
        observed_at = self.clock() - self.random.uniform(0.0, LONGEST_REPORT_LAG_S)
        shown_snapshot = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at <= observed_at:
                shown_snapshot = snapshot
        return {
            "models": [
                {"name": model, "adapters": list(adapters)}
                for model, adapters in shown_snapshot.models.items()
            ],
            "busy": shown_snapshot.busy,
            "sequence": shown_snapshot.sequence,
            "running": 0,
        }

    def _handle_order(self, order: dict[str, str]) -> int:
        action = {name: order.get(name, "") for name in ("operation", "model", "adapter")}
        epoch = int(order["fencingToken"])
        if self.work is not None:
            return 202 if self.work[0] == action else 409
        expected = order.get("expectedRevision")
        if expected is not None and int(expected) != self.sequence:
            return 409
        if self._is_held(action) == (action["operation"] == "load"):
            return 200
        if action["adapter"] and action["model"] not in self.held:
            return 421
        self._check_epoch(epoch, order["holder"])
        if action["operation"] == "load" and not self._has_room(action):
            self.problems.append(
                f"limit exceeded at {self.clock():.3f}: {self.instance} holds {sorted(self.held)} "
                f"and was ordered to load {action['model']}/{action['adapter']} "
                f"by {order['holder']} ({epoch})"
            )
            self.crash(OVERLOAD_DOWN_S)
            return 202
        self.sequence += 1
        self.accepted_orders += 1
        self.work = (action, self.clock() + self._execution_s(action))
        self._record_snapshot()
        return 202

    def _check_epoch(self, epoch: int, holder: str) -> None:
        if epoch < self.highest_epoch:
            self.problems.append(
                f"stale epoch at {self.clock():.3f}: {self.instance} accepted {epoch} from "
                f"{holder} after {self.highest_epoch}"
            )
        self.highest_epoch = max(self.highest_epoch, epoch)

    def _is_held(self, action: dict[str, str]) -> bool:
        adapters = self.held.get(action["model"])
        if adapters is None:
            return False
        return not action["adapter"] or action["adapter"] in adapters

    def _has_room(self, action: dict[str, str]) -> bool:
        model = self.catalog[action["model"]]
        added_bytes = model.adapter_bytes if action["adapter"] else model.weight_bytes
        if self.used_bytes() + added_bytes > self.memory_bytes:
            return False
        adapters = sum(map(len, self.held.values()))
        return not action["adapter"] or adapters < self.adapter_slots

    def _execution_s(self, action: dict[str, str]) -> float:
        if action["operation"] == "unload":
            return UNLOAD_S + max(0.0, self.random.uniform(-LONGEST_REQUEST_S, LONGEST_REQUEST_S))
        if action["adapter"]:
            return ADAPTER_LOAD_S
        load_s = self.catalog[action["model"]].load_s * self.random.uniform(0.95, 1.1)
        return load_s * (DISK_LOAD_FRACTION if action["model"] in self.on_disk else 1.0)

    def _finish_work(self) -> None:
        if self.work is None or self.clock() < self.work[1]:
            return
        action, ended_at = self.work
        self.work = None
        model, adapter = action["model"], action["adapter"]
        if action["operation"] == "load" and adapter:
            self.held[model].add(adapter)
        elif action["operation"] == "load":
            self.held[model] = set()
            self.on_disk.add(model)
        elif adapter:
            self.held.get(model, set()).discard(adapter)
        else:
            self.held.pop(model, None)
        self._record_snapshot(ended_at)

    def _record_snapshot(self, at: float | None = None) -> None:
        models = {model: tuple(sorted(adapters)) for model, adapters in self.held.items()}
        recorded_at = self.clock() if at is None else at
        self._snapshots.append(Snapshot(recorded_at, models, self.work is not None, self.sequence))
        while (
            len(self._snapshots) > 1 and self._snapshots[1].at < self.clock() - LONGEST_REPORT_LAG_S
        ):
            self._snapshots.popleft()

    def listed_models(self) -> dict[str, tuple[str, ...]]:
        """Return the models in the list of servers, which lags behind as a report does."""
        self._finish_work()
        return self._snapshots[0].models
