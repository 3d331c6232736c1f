"""Who asks for which model and adapter, and when."""

from __future__ import annotations

import random

import attrs

from zincvale.simulator.serving.shapes import (
    PoolShape,
    Popularity,
    RequestKind,
    popularity_weight,
)

BURST_FACTOR = 2.0
"""Rate of rare models during a burst, compared with the usual one."""
SHIFTED_PLACES = 2
"""Number of places by which popularity moves on at each shift of demand."""


@attrs.frozen
class Arrival:
    """A caller's request; `adapter` is empty for the model alone."""

    at: float
    kind: RequestKind
    model: str
    adapter: str
    service_s: float


@attrs.frozen
class DemandPlan:
    """When demand changes during a day, in seconds from its start.

    Attributes
    ----------
    shifts : (begin, end) of each time in which popularity moves on to other models.
    bursts : (begin, end) of each time in which rare models are asked for more often.
    replacements : when some rare models are retired and others are declared.
    """

    seconds: float
    shifts: tuple[tuple[float, float], ...]
    bursts: tuple[tuple[float, float], ...]
    replacements: tuple[float, ...] = ()

    def rare_models(self, shape: PoolShape, at: float) -> range:
        """Return the numbers of the rare models that are declared at a time."""
        done = sum(replacement <= at for replacement in self.replacements)
        return shape.rare_models(done, len(self.replacements) - done)


DAY = DemandPlan(34.0, ((1.0, 8.5), (14.0, 21.0), (24.0, 31.5)), ((10.5, 15.0),))
DAY_WITH_REPLACEMENTS = attrs.evolve(DAY, replacements=(4.0, 9.0))
"""The second replacement comes before the leader changes, so that retired copies are left over."""


def draw_arrivals(shape: PoolShape, plan: DemandPlan, source: random.Random) -> list[Arrival]:
    """Return the requests of a day, in order of time."""
    arrivals = [
        arrival for kind in shape.kinds for arrival in _arrivals_of_kind(shape, plan, kind, source)
    ]
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _arrivals_of_kind(
    shape: PoolShape, plan: DemandPlan, kind: RequestKind, source: random.Random
) -> list[Arrival]:
    names = shape.model_names()
    adapter_counts = shape.adapter_counts()
    weights = [popularity_weight(rank) for rank in range(shape.popular_models)]
    arrivals = []
    at = 0.0
    while (at := at + source.expovariate(_rate(plan, kind, at))) < plan.seconds:
        if kind.popularity is Popularity.RARE:
            model = source.choice(plan.rare_models(shape, at))
        else:
            rank = source.choices(range(shape.popular_models), weights)[0]
            model = min(rank + _places_moved(plan, at, source), len(adapter_counts) - 1)
        adapters = adapter_counts[model] if model < len(adapter_counts) else 0
        adapter = ""
        if adapters and source.random() < kind.adapter_share:
            adapter = f"a{source.randrange(adapters)}"
        service_s = source.uniform(0.5, 1.5) * kind.service_s
        arrivals.append(Arrival(at, kind, names[model], adapter, service_s))
    return arrivals


def _rate(plan: DemandPlan, kind: RequestKind, at: float) -> float:
    is_rare = kind.popularity is Popularity.RARE
    in_burst = is_rare and any(begin <= at < end for begin, end in plan.bursts)
    return kind.per_s * (BURST_FACTOR if in_burst else 1.0)


def _places_moved(plan: DemandPlan, at: float, source: random.Random) -> int:
    """Return by how many places popularity has moved on for one request at `at`.

    During a shift, more and more requests follow the new order.
    """
    places = 0
    for begin, end in plan.shifts:
        if source.random() < (at - begin) / (end - begin):
            places += SHIFTED_PLACES
    return places
