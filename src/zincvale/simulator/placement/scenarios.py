"""Fleets and loads for the placement emulator, similar in size to the two deployments.

The name of an adapter is `MODEL:NUMBER`. All randomness is seeded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs

from zincvale.simulator.placement.fleet import (
    Arrival,
    EmulatedServer,
    EmulatedServerSpec,
    EmulatedStoreSpec,
    Fleet,
    FleetEvent,
    FleetEventKind,
    ItemSpec,
)

GIGABYTE = 1_000_000_000
MODEL_SIZES_GB = (5, 5, 6, 6, 6, 7, 8, 8, 8, 9, 9, 10, 10, 12, 12)
"""Sizes from which a model's is drawn; another length or order changes the fleet of every seed."""
ADAPTER_SIZES_MB = (60, 100, 140, 180, 250)
HALF_DAY = 0.5
"""Fraction of the day after which the popularity order of the night applies."""


@attrs.frozen
class FleetShape:
    """Size and speed of a deployment.

    Attributes
    ----------
    servers_by_pool, models_by_pool : number of servers and of models in each pool.
    adapters : number of adapters of all models together.
    pinned_models : per pool, how many of the most popular models have `min_replicas` 2.
    """

    servers_by_pool: tuple[int, ...]
    models_by_pool: tuple[int, ...]
    adapters: int
    memory_bytes: int
    kv_bytes: int
    pull_bytes_per_second: int
    store_bytes_per_second: int
    pinned_models: int = 2
    max_running: int = 16


NILEBRIDGE = FleetShape(
    (3, 3), (20, 20), 75, 48 * GIGABYTE, 6 * GIGABYTE, 12 * GIGABYTE, 20 * GIGABYTE
)
TZINTZUNTZAN = FleetShape(
    (5, 4),
    (30, 25),
    100,
    48 * GIGABYTE,
    6 * GIGABYTE,
    2_500_000_000,
    5 * GIGABYTE,
)


@attrs.frozen
class LoadShape:
    """Rates, popularity and disturbances of a load; rare models are the less popular half.

    Attributes
    ----------
    requests_per_second : per pool, on average over the day.
    popularity_exponent : exponent of the Zipf distribution over the models of a pool and over the
        adapters of a model.
    adapter_share : fraction of the requests that use an adapter, for models with adapters.
    service_s : mean time that a request runs.
    day_s : length of a day; popularity changes between its two halves.
    shifting_share : fraction of the models, beyond the first two, whose ranks are shuffled for the
        second half.
    swing : relative amplitude of the request rate over the day.
    crowd_interval_s : mean time between two crowds, which request one rare model; 0 for none.
    crowd_s, crowd_requests_per_second : length and request rate of a crowd.
    rare_interval_s : time between two periods in which all rare models are requested; 0 for none.
    rare_s : length of such a period.
    failure_interval_s : time between two outages, in turn a crash and a drain; 0 for none.
    outage_s : length of an outage.
    """

    requests_per_second: float = 1.5
    popularity_exponent: float = 1.4
    adapter_share: float = 0.5
    service_s: float = 2.0
    day_s: float = 7200.0
    shifting_share: float = 0.0
    swing: float = 0.0
    crowd_interval_s: float = 0.0
    crowd_s: float = 60.0
    crowd_requests_per_second: float = 3.0
    rare_interval_s: float = 0.0
    rare_s: float = 60.0
    failure_interval_s: float = 0.0
    outage_s: float = 60.0


LOADS = {
    "steady": LoadShape(),
    "daily": LoadShape(shifting_share=0.5, swing=0.5),
    "crowds": LoadShape(crowd_interval_s=300.0),
    "rare-together": LoadShape(rare_interval_s=900.0),
    "failures": LoadShape(failure_interval_s=600.0),
    "everything": LoadShape(
        shifting_share=0.5,
        swing=0.5,
        crowd_interval_s=600.0,
        rare_interval_s=1800.0,
        failure_interval_s=1200.0,
    ),
}


def build_fleet(shape: FleetShape, seed: int) -> Fleet:
    """Return an empty fleet; models are named in order of their popularity by day."""
    source = random.Random(seed)
    items: dict[str, ItemSpec] = {}
    for pool_number, count in enumerate(shape.models_by_pool):
        for rank in range(count):
            name = f"p{pool_number}-m{rank:02}"
            size = source.choice(MODEL_SIZES_GB) * GIGABYTE
            min_replicas = 2 if rank < shape.pinned_models else 0
            store = f"store-{source.randrange(2)}"
            items[name] = ItemSpec(
                name, size, store, f"pool-{pool_number}", min_replicas=min_replicas
            )
    models = list(items)
    for number in range(shape.adapters):
        base = items[models[number % len(models)]]
        name = f"{base.name}:{number:03}"
        size = source.choice(ADAPTER_SIZES_MB) * 1_000_000
        items[name] = ItemSpec(name, size, base.store, base.pool, base.name)
    stores = {
        name: EmulatedStoreSpec(name, shape.store_bytes_per_second, 4)
        for name in ("store-0", "store-1")
    }
    return Fleet(items, stores, _servers(shape))


def _servers(shape: FleetShape) -> dict[str, EmulatedServer]:
    servers = {}
    number = 0
    for pool_number, count in enumerate(shape.servers_by_pool):
        for _ in range(count):
            name = f"server-{number}"
            spec = EmulatedServerSpec(
                name,
                f"pool-{pool_number}",
                f"zone-{number % 3}",
                shape.memory_bytes,
                shape.kv_bytes,
                shape.pull_bytes_per_second,
                shape.max_running,
            )
            servers[name] = EmulatedServer(spec)
            number += 1
    return servers


def build_arrivals(fleet: Fleet, load: LoadShape, seconds: float, seed: int) -> list[Arrival]:
    """Return the arrivals of `seconds`, in order of time."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    for pool in sorted({item.pool for item in fleet.items.values()}):
        callers = _PoolCallers(fleet, pool, load, seconds, source)
        arrivals.extend(callers.background())
        arrivals.extend(callers.crowds())
        arrivals.extend(callers.rare_together())
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


class _PoolCallers:
    """The callers of one pool; its models are ordered by their popularity by day."""

    def __init__(
        self, fleet: Fleet, pool: str, load: LoadShape, seconds: float, source: random.Random
    ) -> None:
        items = [item for item in fleet.items.values() if item.pool == pool]
        self._models = [item.name for item in items if not item.base]
        self._adapters: dict[str, list[str]] = {model: [] for model in self._models}
        for item in items:
            if item.base:
                self._adapters[item.base].append(item.name)
        self._load = load
        self._seconds = seconds
        self._source = source

    def background(self) -> Iterator[Arrival]:
        """Yield the regular requests; popularity differs between the halves of the day."""
        load = self._load
        weights = _zipf(len(self._models), load.popularity_exponent)
        night = self._night_order()
        peak = load.requests_per_second * (1.0 + load.swing)
        at = self._source.expovariate(peak)
        while at < self._seconds:
            phase = (at % load.day_s) / load.day_s
            swing = 1.0 + load.swing * math.sin(2.0 * math.pi * phase)
            if self._source.random() < load.requests_per_second * swing / peak:
                ranked = self._models if phase < HALF_DAY else night
                yield self._arrival(self._source.choices(ranked, weights)[0], at)
            at += self._source.expovariate(peak)

    def crowds(self) -> Iterator[Arrival]:
        """Yield the requests of sudden crowds, each for one of the rarer models."""
        load = self._load
        if not load.crowd_interval_s:
            return
        start = self._source.expovariate(1.0 / load.crowd_interval_s)
        while start < self._seconds:
            model = self._source.choice(self._rare())
            at = start
            while at < min(start + load.crowd_s, self._seconds):
                yield self._arrival(model, at)
                at += self._source.expovariate(load.crowd_requests_per_second)
            start += load.crowd_s + self._source.expovariate(1.0 / load.crowd_interval_s)

    def rare_together(self) -> Iterator[Arrival]:
        """Yield one request for each of the rarer models within every period of `rare_s`."""
        load = self._load
        if not load.rare_interval_s:
            return
        start = load.rare_interval_s / 2.0
        while start < self._seconds:
            for model in self._rare():
                at = start + self._source.random() * load.rare_s
                if at < self._seconds:
                    yield self._arrival(model, at)
            start += load.rare_interval_s

    def _rare(self) -> list[str]:
        return self._models[len(self._models) // 2 :]

    def _night_order(self) -> list[str]:
        """Return the models by their popularity by night; the first two keep their rank."""
        share = self._load.shifting_share
        moving = [rank for rank in range(2, len(self._models)) if self._source.random() < share]
        shuffled = moving[:]
        self._source.shuffle(shuffled)
        ranked = self._models[:]
        for rank, other in zip(moving, shuffled, strict=True):
            ranked[rank] = self._models[other]
        return ranked

    def _arrival(self, model: str, at: float) -> Arrival:
        load = self._load
        adapter = ""
        names = self._adapters[model]
        if names and self._source.random() < load.adapter_share:
            weights = _zipf(len(names), load.popularity_exponent)
            adapter = self._source.choices(names, weights)[0]
        return Arrival(at, model, adapter, self._source.expovariate(1.0 / load.service_s))


def _zipf(count: int, exponent: float) -> list[float]:
    return [1.0 / (rank + 1) ** exponent for rank in range(count)]


def build_events(fleet: Fleet, load: LoadShape, seconds: float, seed: int) -> list[FleetEvent]:
    """Return alternating crashes, with cold returns, and drains, of one server at a time."""
    if not load.failure_interval_s:
        return []
    source = random.Random(seed)
    events = []
    at = load.failure_interval_s
    crash = True
    while at + load.outage_s < seconds:
        server = source.choice(sorted(fleet.servers))
        kinds = (FleetEventKind.CRASH, FleetEventKind.RETURN_COLD)
        if not crash:
            kinds = (FleetEventKind.DRAIN, FleetEventKind.UNDRAIN)
        events.append(FleetEvent(at, kinds[0], server))
        events.append(FleetEvent(at + load.outage_s, kinds[1], server))
        crash = not crash
        at += load.failure_interval_s
    return events
