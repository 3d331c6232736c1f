"""When requests arrive: open loop, Poisson, seeded. Pure."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator

import attrs

from zincvale.standins.load.spec import CallerSpec, LoadSpec, RareModels


@attrs.frozen(order=True)
class Arrival:
    """One request, or the first of one conversation.

    Attributes
    ----------
    at_s : seconds from the start of the run.
    caller : the caller's name.
    number : counts this stream's arrivals from 1.
    tail_share : 0, or the share of least popular models to choose from.
    """

    at_s: float
    caller: str
    number: int
    tail_share: float = 0.0


def arrivals(spec: LoadSpec, seconds: float, seed: int, rate_factor: float) -> Iterator[Arrival]:
    """Return every arrival of a run in order of time."""
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
    base = caller.rate_per_second * rate_factor

    def rate_at(at_s: float) -> float:
        rate = base
        for crowd in spec.crowds:
            rate *= crowd.factor_at(caller.name, at_s)
        return rate

    highest = base
    for crowd in spec.crowds:
        highest *= max(1.0, crowd.factor_at(caller.name, crowd.start_s))
    for number, at_s in enumerate(_poisson(source, rate_at, highest, 0.0, seconds), start=1):
        yield Arrival(at_s, caller.name, number)


def _burst_arrivals(
    burst: RareModels, index: int, seconds: float, seed: int, rate_factor: float
) -> Iterator[Arrival]:
    source = random.Random(f"{seed}/rare/{index}/{burst.caller}")
    rate = burst.rate_per_second * rate_factor
    end_s = min(seconds, burst.start_s + burst.seconds)
    times = _poisson(source, lambda _at_s: rate, rate, burst.start_s, end_s)
    for number, at_s in enumerate(times, start=1):
        yield Arrival(at_s, burst.caller, _BURST_NUMBERS * (index + 1) + number, burst.tail_share)


_BURST_NUMBERS = 1_000_000
"""Arrivals of a burst are numbered from here on, apart from the caller's own."""


def _poisson(
    source: random.Random,
    rate_at: Callable[[float], float],
    highest: float,
    start_s: float,
    end_s: float,
) -> Iterator[float]:
    """Yield the times of a Poisson process whose rate varies (thinning of the highest rate)."""
    if highest <= 0:
        return
    at_s = start_s + source.expovariate(highest)
    while at_s < end_s:
        if source.random() * highest < rate_at(at_s):
            yield at_s
        at_s += source.expovariate(highest)
