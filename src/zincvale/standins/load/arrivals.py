"""Arrival times of requests: a seeded open-loop Poisson process. Performs no I/O."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator

import attrs

from zincvale.standins.load.spec import CallerSpec, LoadSpec, RareModels


@attrs.frozen(order=True)
class Arrival:
    """The arrival of a single request or of the first request of a conversation.

    Attributes
    ----------
    at_s : seconds from the start of the run.
    caller : name of the caller.
    number : number of the arrival, unique for its caller.
    tail_share : 0, or the fraction of models, the least popular ones, from which to choose.
    """

    at_s: float
    caller: str
    number: int
    tail_share: float = 0.0


def arrivals(spec: LoadSpec, seconds: float, seed: int, rate_factor: float) -> Iterator[Arrival]:
    """Return the arrivals of a run, sorted by time."""
    streams = [
        _caller_arrivals(spec, caller, seconds, seed, rate_factor) for caller in spec.callers
    ]
    for index, burst in enumerate(spec.rare_models):
        streams.append(_burst_arrivals(burst, index, seconds, seed, rate_factor))
    return heapq.merge(*streams)


def _caller_arrivals(
    spec: LoadSpec, caller: CallerSpec, seconds: float, seed: int, rate_factor: float
) -> Iterator[Arrival]:
    source = random.Random(f"{seed}/arrivals/{caller.name}")
    base_rate = caller.rate_per_second * rate_factor

    def rate_at(at_s: float) -> float:
        rate = base_rate
        for crowd in spec.crowds:
            rate *= crowd.factor_at(caller.name, at_s)
        return rate

    highest_rate = base_rate
    for crowd in spec.crowds:
        highest_rate *= max(1.0, crowd.factor_at(caller.name, crowd.start_s))
    for number, at_s in enumerate(
        _poisson_times(source, rate_at, highest_rate, 0.0, seconds), start=1
    ):
        yield Arrival(at_s, caller.name, number)


def _burst_arrivals(
    burst: RareModels, index: int, seconds: float, seed: int, rate_factor: float
) -> Iterator[Arrival]:
    source = random.Random(f"{seed}/rare/{index}/{burst.caller}")
    rate = burst.rate_per_second * rate_factor
    end_s = min(seconds, burst.start_s + burst.seconds)
    times = _poisson_times(source, lambda _at_s: rate, rate, burst.start_s, end_s)
    for number, at_s in enumerate(times, start=1):
        yield Arrival(
            at_s, burst.caller, _BURST_NUMBER_OFFSET * (index + 1) + number, burst.tail_share
        )


_BURST_NUMBER_OFFSET = 1_000_000
"""Offset of the arrival numbers of each burst, which keeps them distinct from the others."""


def _poisson_times(
    source: random.Random,
    rate_at: Callable[[float], float],
    highest_rate: float,
    start_s: float,
    end_s: float,
) -> Iterator[float]:
    """Yield the times of a Poisson process of varying rate, by thinning one of the highest rate."""
    if highest_rate <= 0:
        return
    at_s = start_s + source.expovariate(highest_rate)
    while at_s < end_s:
        if source.random() * highest_rate < rate_at(at_s):
            yield at_s
        at_s += source.expovariate(highest_rate)
