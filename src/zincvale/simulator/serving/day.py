"""Runs one simulated day of a pool, with changes of the placement leader."""

from __future__ import annotations

import asyncio
import random
from functools import partial

import attrs

from zincvale.dataplane.messages import DemandReport
from zincvale.model.identifiers import ServerId, ZoneName
from zincvale.simulator.serving.arrivals import DAY, DemandPlan, draw_arrivals
from zincvale.simulator.serving.cores import MESSAGE_S, ServingCore
from zincvale.simulator.serving.engines import EngineServer
from zincvale.simulator.serving.nodes import (
    CallerRequest,
    PublishedResidency,
    ResidentServers,
    ServingNode,
)
from zincvale.simulator.serving.outcome import DayOutcome
from zincvale.simulator.serving.shapes import PoolShape, popularity_weight
from zincvale.simulator.virtual_loop import VirtualLoop

ZONES = tuple(ZoneName(f"z{number}") for number in range(3))
"""Zones; each has one core, and nodes that report their demand to it."""
NODES_PER_ZONE = 4
CORE_OFFSET_S = 0.01
"""Difference between the ticks of two cores."""
LEAD_S = 12.0
"""Time before the first request, in which the servers become known."""
POPULAR_COPIES_FRACTION = 0.4
"""Fraction of the pool's room that copies of popular models take at the start."""


@attrs.frozen
class LeaderChange:
    """The leader is cut off: from then on it takes no reports, and another core leads later.

    Attributes
    ----------
    lost_after_s : time from `at` until the lease of the leader that is cut off ends.
    vacant_s : time from then until another core leads.
    cut_s : time for which the core that is cut off takes no reports of its zone's nodes.
    restarts_cores : all other cores are killed and started at the same time, so that the next
        leader knows of earlier documents only what the servers still hold.
    """

    at: float
    lost_after_s: float = 1.3
    vacant_s: float = 0.7
    cut_s: float = 4.5
    restarts_cores: bool = False


FIRST_CHANGE_S = 11.0
CHANGE_INTERVAL_S = 8.0
"""Time between two changes of leader; a new leader orders loads for some seconds of it."""


def changes_of_day(count: int, *, restarts_cores: bool = False) -> tuple[LeaderChange, ...]:
    """Return the changes of leader of a day."""
    return tuple(
        LeaderChange(FIRST_CHANGE_S + number * CHANGE_INTERVAL_S, restarts_cores=restarts_cores)
        for number in range(count)
    )


ONE_CHANGE = changes_of_day(1)


class ServingDay:
    """One day: servers, nodes, cores and callers in virtual time."""

    def __init__(
        self,
        seed: int,
        shape: PoolShape,
        leader_changes: tuple[LeaderChange, ...] = ONE_CHANGE,
        plan: DemandPlan = DAY,
    ) -> None:
        self._random = random.Random(seed)
        self._loop = VirtualLoop()
        self._shape = shape
        self._plan = plan
        self._leader_changes = leader_changes
        self._leader = 0
        self._cut_until = [0.0] * len(ZONES)
        self.outcome = DayOutcome(seed)
        self._document = shape.document(1, plan.rare_models(shape, 0.0))
        self._engines = self._make_engines()
        self._residency = PublishedResidency()
        self._cores = [self._new_core() for _ in ZONES]
        self._nodes = self._make_nodes()

    def run(self) -> DayOutcome:
        """Run the day and return what was served."""
        for index, core in enumerate(self._cores):
            core.start(CORE_OFFSET_S * (index + 1))
        for number, node in enumerate(self._nodes):
            node.start(0.5 * number / len(self._nodes))
        self._loop.call_later(1.0, self._cores[0].lead, 1)
        for number, change in enumerate(self._leader_changes):
            self._loop.call_later(LEAD_S + change.at, self._cut_leader, change, number + 2)
        for version, at in enumerate(self._plan.replacements, start=2):
            self._loop.call_later(LEAD_S + at, self._replace_models, version, at)
        for arrival in draw_arrivals(self._shape, self._plan, self._random):
            shifted = attrs.evolve(arrival, at=arrival.at + LEAD_S)
            request = CallerRequest(
                shifted, self._engines, self._draw_node, self._loop, self.outcome
            )
            self._loop.call_at(shifted.at, request.begin)
        self._loop.run_until(LEAD_S + self._plan.seconds)
        self.outcome.loads = sum(engine.loads for engine in self._engines.values())
        for engine in self._engines.values():
            self.outcome.problems += engine.problems
        return self.outcome

    # --- the pool ---------------------------------------------------------------------------

    def _make_engines(self) -> dict[ServerId, EngineServer]:
        models = self._shape.all_models()
        engines = {}
        for number in range(self._shape.servers):
            name = ServerId(f"server-{number:03}")
            engines[name] = EngineServer(
                name, ZONES[number % len(ZONES)], self._shape, models, self._loop
            )
        self._place_models(list(engines.values()))
        return engines

    def _place_models(self, engines: list[EngineServer]) -> None:
        """Place popular models on many servers, and others on one each, as room allows."""
        names = self._shape.model_names()
        room = {engine.name: self._shape.memory_bytes for engine in engines}
        copies = POPULAR_COPIES_FRACTION * 3 * len(engines)
        weights = [popularity_weight(rank) for rank in range(self._shape.popular_models)]
        wanted = [
            name
            for name, weight in zip(names, weights, strict=False)
            for _ in range(max(1, round(copies * weight / sum(weights))))
        ]
        declared = self._plan.rare_models(self._shape, 0.0)
        others = names[self._shape.popular_models : declared.stop]
        self._random.shuffle(others)
        for name in (*wanted, *others):
            self._place(name, engines, room)

    def _place(self, name: str, engines: list[EngineServer], room: dict[ServerId, int]) -> None:
        candidates = [engine for engine in engines if name not in engine.held]
        engine = max(candidates, key=lambda engine: room[engine.name])
        model_bytes = engine.models[name].weight_bytes
        if room[engine.name] >= model_bytes:
            room[engine.name] -= model_bytes
            engine.place(name)

    def _publish(self, server: ServerId, names: frozenset[str]) -> None:
        self._residency.update(server, names)
        for node in self._nodes:
            if len(node.context.pending):
                node.context.dispatch_pending()

    # --- nodes ------------------------------------------------------------------------------

    def _make_nodes(self) -> list[ServingNode]:
        chain = ResidentServers(self._engines, self._residency)
        return [
            ServingNode(
                f"node-{zone}-{number}",
                zone,
                self._loop,
                self._document,
                chain,
                partial(self._on_report, index),
            )
            for index, zone in enumerate(ZONES)
            for number in range(NODES_PER_ZONE)
        ]

    def _draw_node(self) -> ServingNode:
        return self._random.choice(self._nodes)

    def _on_report(self, zone: int, report: DemandReport) -> None:
        """Give a report to the core of the zone, which passes it on to the leader alone."""
        if self._loop.time() < self._cut_until[zone]:
            return
        self._loop.call_later(MESSAGE_S, self._cores[zone].on_demand, report)
        leader = self._leader
        if leader != zone and self._cores[leader].epoch:
            self._loop.call_later(2 * MESSAGE_S, self._cores[leader].on_demand, report)

    def _replace_models(self, version: int, at: float) -> None:
        """Retire some rare models and declare others."""
        self._document = self._shape.document(version, self._plan.rare_models(self._shape, at))
        for core in self._cores:
            core.apply_document(self._document)
        for node in self._nodes:
            node.apply_document(self._document)

    # --- the leader lease ---------------------------------------------------------------------

    def _new_core(self) -> ServingCore:
        return ServingCore(
            self._random.randrange(1 << 30),
            self._loop,
            self._engines,
            self._document,
            self.outcome,
            self._publish,
        )

    def _restart_followers(self) -> None:
        for index, core in enumerate(self._cores):
            if index != self._leader:
                core.stop()
                self._cores[index] = self._new_core()
                self._cores[index].start(CORE_OFFSET_S * (index + 1))

    def _cut_leader(self, change: LeaderChange, epoch: int) -> None:
        if change.restarts_cores:
            self._restart_followers()
        self._cut_until[self._leader] = self._loop.time() + change.cut_s
        self._loop.call_later(change.lost_after_s, self._cores[self._leader].stop_leading)
        self._loop.call_later(change.lost_after_s + change.vacant_s, self._elect, epoch)

    def _elect(self, epoch: int) -> None:
        self._leader = (self._leader + 1) % len(self._cores)
        self._cores[self._leader].lead(epoch)


def run_day(
    seed: int,
    shape: PoolShape,
    leader_changes: tuple[LeaderChange, ...] = ONE_CHANGE,
    plan: DemandPlan = DAY,
) -> DayOutcome:
    """Run the day of one seed."""
    day = ServingDay(seed, shape, leader_changes, plan)
    try:
        return day.run()
    finally:
        asyncio.set_event_loop(None)
