"""Choice of model and adapter by a Zipf distribution whose order may change. Performs no I/O."""

from __future__ import annotations

import bisect
import itertools
import random

import attrs

from zincvale.standins.load.spec import Popularity


@attrs.frozen
class Choice:
    """The model and adapter that a request names; `adapter` is empty for none."""

    model: str
    adapter: str


class ModelPopularity:
    """Distribution of the requests of one caller over models.

    Parameters
    ----------
    models : the models, in any order.
    adapters_by_model : the adapters of each model.
    popularity : exponent, and times at which the order of the models changes.
    seed : seed of the random orders.
    """

    def __init__(
        self,
        models: list[str],
        adapters_by_model: dict[str, list[str]],
        popularity: Popularity,
        seed: str,
    ) -> None:
        self._adapters_by_model = adapters_by_model
        self._shifts_at_s = sorted(popularity.shifts_at_s)
        self._orders = [
            _shuffled(models, f"{seed}/order/{index}")
            for index in range(len(self._shifts_at_s) + 1)
        ]
        weights = [1.0 / rank**popularity.zipf_exponent for rank in range(1, len(models) + 1)]
        self._cumulative = list(itertools.accumulate(weights))

    def order_at(self, at_s: float) -> list[str]:
        """Return the models, most popular first, at a time of the run."""
        return self._orders[bisect.bisect_right(self._shifts_at_s, at_s)]

    def choose(
        self, source: random.Random, at_s: float, adapter_share: float, tail_share: float
    ) -> Choice:
        """Draw a model by popularity, or uniformly from the least popular fraction `tail_share`."""
        order = self.order_at(at_s)
        if tail_share > 0:
            tail = max(1, round(len(order) * tail_share))
            model = source.choice(order[-tail:])
        else:
            point = source.random() * self._cumulative[-1]
            model = order[min(bisect.bisect_right(self._cumulative, point), len(order) - 1)]
        adapters = self._adapters_by_model.get(model, [])
        if adapters and source.random() < adapter_share:
            return Choice(model, source.choice(adapters))
        return Choice(model, "")


def _shuffled(models: list[str], seed: str) -> list[str]:
    order = sorted(models)
    random.Random(seed).shuffle(order)
    return order
