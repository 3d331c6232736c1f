"""Simulated language-model servers that execute orders one at a time and judge each of them."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import attrs
import orjson

from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.server_orders import HttpCall

LONGEST_REPORT_LAG_S = 0.5
"""Below what the platform's dialect assumes."""
UNLOAD_S = 0.02
ADAPTER_LOAD_S = 0.03
DISK_FACTOR = 0.3
"""Part of a load's time that a load from the server's own disk takes."""
LONGEST_RUN_S = 1.5
"""Of the requests that an unload waits for."""
FALL_S = 2.0
"""A server that was ordered to hold too much is down for so long."""


@attrs.frozen
class SimulatedModel:
    """Sizes of one model."""

    weight_bytes: int
    load_s: float
    adapter_bytes: int


@attrs.frozen
class Snapshot:
    """What a server showed at one time."""

    at: float
    models: dict[str, tuple[str, ...]]
    busy: bool
    sequence: int


@attrs.define(eq=False)
class SimulatedServer:
    """One server by the platform's rules; `problems` gets every broken limit.

    Attributes
    ----------
    held : adapters by model.
    on_disk : models held once, also before a restart.
    work : the order under way and when it ends.
    sequence : orders taken by this incarnation.
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
    highest_fence: int = 0
    down_until: float = 0.0
    listed_since: float = 0.0
    orders_taken: int = 0
    _snapshots: deque[Snapshot] = attrs.field(factory=deque)

    def start(self, models: list[str]) -> None:
        """Begin a new incarnation that holds `models`."""
        self.incarnations += 1
        self.instance = f"i-{self.slot}-{self.incarnations}"
        self._begin(models)

    def restart_empty(self) -> None:
        """Forget everything in memory under the same name, as some servers do."""
        self._begin([])

    def _begin(self, models: list[str]) -> None:
        self.held = {model: set() for model in models}
        self.on_disk.update(models)
        self.work = None
        self.sequence = 0
        self.highest_fence = 0
        self._snapshots.clear()
        self._record()

    def crash(self, down_s: float, *, keeps_instance: bool = False) -> None:
        """Go down and come back empty, as another instance or under the same name."""
        self.down_until = self.clock() + down_s
        if keeps_instance:
            self.restart_empty()
        else:
            self.start([])

    @property
    def is_down(self) -> bool:
        """Whether nothing answers at the address."""
        return self.clock() < self.down_until

    def weights(self) -> int:
        """Return the memory that is held or being loaded."""
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
        return FetchResult(self._order(orjson.loads(body)))

    def _report(self) -> dict[str, object]:
        seen_at = self.clock() - self.random.uniform(0.0, LONGEST_REPORT_LAG_S)
        shown = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at <= seen_at:
                shown = snapshot
        return {
            "models": [
                {"name": model, "adapters": list(adapters)}
                for model, adapters in shown.models.items()
            ],
            "busy": shown.busy,
            "sequence": shown.sequence,
            "running": 0,
        }

    def _order(self, order: dict[str, str]) -> int:
        what = {name: order.get(name, "") for name in ("operation", "model", "adapter")}
        fence = int(order["fencingToken"])
        if self.work is not None:
            return 202 if self.work[0] == what else 409
        expected = order.get("expectedRevision")
        if expected is not None and int(expected) != self.sequence:
            return 409
        if self._is_held(what) == (what["operation"] == "load"):
            return 200
        if what["adapter"] and what["model"] not in self.held:
            return 421
        self._check_fence(fence, order["holder"])
        if what["operation"] == "load" and not self._has_room(what):
            self.problems.append(
                f"LIMIT at {self.clock():.3f}: {self.instance} holds {sorted(self.held)} and was "
                f"ordered to load {what['model']}/{what['adapter']} by {order['holder']} ({fence})"
            )
            self.crash(FALL_S)
            return 202
        self.sequence += 1
        self.orders_taken += 1
        self.work = (what, self.clock() + self._work_s(what))
        self._record()
        return 202

    def _check_fence(self, fence: int, holder: str) -> None:
        if fence < self.highest_fence:
            self.problems.append(
                f"ONE at {self.clock():.3f}: {self.instance} took {fence} of {holder} "
                f"after {self.highest_fence}"
            )
        self.highest_fence = max(self.highest_fence, fence)

    def _is_held(self, what: dict[str, str]) -> bool:
        adapters = self.held.get(what["model"])
        if adapters is None:
            return False
        return not what["adapter"] or what["adapter"] in adapters

    def _has_room(self, what: dict[str, str]) -> bool:
        model = self.catalog[what["model"]]
        more = model.adapter_bytes if what["adapter"] else model.weight_bytes
        if self.weights() + more > self.memory_bytes:
            return False
        adapters = sum(map(len, self.held.values()))
        return not what["adapter"] or adapters < self.adapter_slots

    def _work_s(self, what: dict[str, str]) -> float:
        if what["operation"] == "unload":
            return UNLOAD_S + max(0.0, self.random.uniform(-LONGEST_RUN_S, LONGEST_RUN_S))
        if what["adapter"]:
            return ADAPTER_LOAD_S
        load_s = self.catalog[what["model"]].load_s * self.random.uniform(0.95, 1.1)
        return load_s * (DISK_FACTOR if what["model"] in self.on_disk else 1.0)

    def _finish_work(self) -> None:
        if self.work is None or self.clock() < self.work[1]:
            return
        what, ended_at = self.work
        self.work = None
        model, adapter = what["model"], what["adapter"]
        if what["operation"] == "load" and adapter:
            self.held[model].add(adapter)
        elif what["operation"] == "load":
            self.held[model] = set()
            self.on_disk.add(model)
        elif adapter:
            self.held.get(model, set()).discard(adapter)
        else:
            self.held.pop(model, None)
        self._record(ended_at)

    def _record(self, at: float | None = None) -> None:
        models = {model: tuple(sorted(adapters)) for model, adapters in self.held.items()}
        recorded_at = self.clock() if at is None else at
        self._snapshots.append(Snapshot(recorded_at, models, self.work is not None, self.sequence))
        while (
            len(self._snapshots) > 1 and self._snapshots[1].at < self.clock() - LONGEST_REPORT_LAG_S
        ):
            self._snapshots.popleft()

    def listed_models(self) -> dict[str, tuple[str, ...]]:
        """Return what the list of servers shows: it trails as a report does."""
        self._finish_work()
        return self._snapshots[0].models
