"""Sizes, load times and request rates of a simulated pool."""

from __future__ import annotations

import enum

import attrs

from zincvale.model.forwarding import (
    Engine,
    EngineModel,
    ForwardingDocument,
    ForwardPool,
    ForwardRoute,
    WeightedPool,
)

POOL = "models"
GIGABYTE = 1_000_000_000
MEGABYTE = 1_000_000
SMALL_MODEL_INTERVAL = 6
"""One of this many models is a small one, which loads somewhat sooner."""
SMALL_MODEL_BYTES = 65 * GIGABYTE
MODEL_BYTES = 72 * GIGABYTE
ADAPTER_BYTES = 66 * MEGABYTE
SMALL_MODEL_LOAD_FRACTION = 0.9
FIRST_MODEL_FACTOR = 2.7
"""Weight of the most popular model, compared with the second one."""
POPULARITY_EXPONENT = 0.48
"""Exponent of the Zipf distribution over the other popular models."""
REPLACED_MODELS = 60
"""Number of rare models that a change of the document retires, and of those it declares instead."""
LONGEST_GAP_S = 0.3
"""Longest pause between two events of a stream that its caller accepts."""


class Popularity(enum.Enum):
    """Which models the requests of a kind ask for."""

    POPULAR = "popular"
    """A few models get most requests; over the day others take their places."""
    RARE = "rare"
    """All other models, each as often as any other."""


@attrs.frozen
class RequestKind:
    """One kind of requests.

    Attributes
    ----------
    per_s : mean rate over the whole pool.
    adapter_share : fraction of the requests that use an adapter, if their model has any.
    service_s : mean time for which a request runs.
    """

    name: str
    popularity: Popularity
    per_s: float
    adapter_share: float
    objective_s: float
    deadline_s: float
    service_s: float
    priority: int

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the first event before it closes its connection."""
        return min(self.deadline_s, max(2.0, 4.0 * self.objective_s, 8.0 * LONGEST_GAP_S))

    def route(self) -> ForwardRoute:
        """Return the route of these requests."""
        return ForwardRoute(
            self.name,
            "model.example",
            f"/{self.name}/",
            [WeightedPool(POOL, 1)],
            streaming=True,
            timeout_s=self.deadline_s,
            objective_s=self.objective_s,
            priority=self.priority,
        )


@attrs.frozen
class PoolShape:
    """A pool of servers, its models and its demand.

    Attributes
    ----------
    popular_models : how many models are popular at a time.
    models_with_demand_in_turn : models that are popular at some time; the others are rare.
    adapters : declared adapters of every second of these models, by descending number.
    load_s, disk_load_s : load time of a model from the store, and from the server's own disk.
    """

    servers: int
    memory_bytes: int
    adapter_slots: int
    models: int
    popular_models: int
    models_with_demand_in_turn: int
    adapters: int
    load_s: float
    disk_load_s: float
    loads_per_s: float
    kinds: tuple[RequestKind, ...]
    slots: int = 64

    def model_names(self) -> list[str]:
        """Return the names of all models, those with demand in turn first."""
        return [f"m{number:03}" for number in range(self.models)]

    def adapter_counts(self) -> list[int]:
        """Return the number of adapters of each model with demand in turn."""
        weights = [
            popularity_weight(rank // 2) if rank % 2 == 0 else 0.0
            for rank in range(self.models_with_demand_in_turn)
        ]
        return [round(self.adapters * weight / sum(weights)) for weight in weights]

    def rare_models(self, replacements: int = 0, more_replacements: int = 0) -> range:
        """Return the numbers of the rare models that are declared.

        Parameters
        ----------
        replacements : how often rare models were replaced by others before.
        more_replacements : how often they will be replaced later, by models not declared yet.
        """
        first = self.models_with_demand_in_turn + replacements * REPLACED_MODELS
        return range(first, self.models - more_replacements * REPLACED_MODELS)

    def all_models(self) -> dict[str, EngineModel]:
        """Return the models that are declared at any time."""
        adapter_counts = self.adapter_counts()
        models = {}
        for number, name in enumerate(self.model_names()):
            is_small = number % SMALL_MODEL_INTERVAL == 0
            count = adapter_counts[number] if number < len(adapter_counts) else 0
            models[name] = EngineModel(
                SMALL_MODEL_BYTES if is_small else MODEL_BYTES,
                self.load_s * (SMALL_MODEL_LOAD_FRACTION if is_small else 1.0),
                tuple(f"a{adapter}" for adapter in range(count)),
                ADAPTER_BYTES,
            )
        return models

    def document(self, version: int, rare_models: range) -> ForwardingDocument:
        """Return a document that declares the pool with some of the rare models."""
        models = {
            name: model
            for number, (name, model) in enumerate(self.all_models().items())
            if number < self.models_with_demand_in_turn or number in rare_models
        }
        engine = Engine(
            self.slots, 100_000, self.memory_bytes, self.adapter_slots, self.loads_per_s, models
        )
        pools = {POOL: ForwardPool(POOL, engine=engine)}
        return ForwardingDocument(version=version, number=version, pools=pools)


def popularity_weight(rank: int) -> float:
    """Return the relative request rate of the model at a rank, 0 for the most popular."""
    return FIRST_MODEL_FACTOR if rank == 0 else float(rank**-POPULARITY_EXPONENT)


def _kinds(
    scale: float, rare_objective_s: float, rare_deadline_s: float
) -> tuple[RequestKind, ...]:
    """Return three kinds of requests: short and frequent, rare, and long ones with adapters."""
    popular, rare = Popularity.POPULAR, Popularity.RARE
    return (
        RequestKind("frequent", popular, 196.0 * scale, 0.1, 0.8, 5.0, 0.4, 1),
        RequestKind("rare", rare, 26.0 * scale, 0.0, rare_objective_s, rare_deadline_s, 0.4, 0),
        RequestKind("chat", popular, 58.0 * scale, 0.5, 0.6, 15.0, 1.8, 2),
    )


LARGE_POOL = PoolShape(
    servers=78,
    memory_bytes=220 * GIGABYTE,
    adapter_slots=5,
    models=496,
    popular_models=20,
    models_with_demand_in_turn=50,
    adapters=699,
    load_s=5.7,
    disk_load_s=0.8,
    loads_per_s=44.0,
    kinds=_kinds(1.0, 8.0, 20.0),
)
"""A pool in which a load takes longer than most callers wait, and adapters have few slots."""
MEDIUM_POOL = PoolShape(
    servers=70,
    memory_bytes=220 * GIGABYTE,
    adapter_slots=8,
    models=445,
    popular_models=18,
    models_with_demand_in_turn=45,
    adapters=658,
    load_s=4.3,
    disk_load_s=0.8,
    loads_per_s=40.0,
    kinds=_kinds(0.85, 6.0, 15.0),
)
"""A pool with shorter loads and more slots for adapters."""
POOLS = {"large": LARGE_POOL, "medium": MEDIUM_POOL}
