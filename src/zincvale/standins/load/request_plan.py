"""Content and expected response of each request, from seeded draws. Performs no I/O."""

from __future__ import annotations

import random
from typing import Any

import attrs

from zincvale.model.checked import read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import (
    SPEC_BY_KIND,
    AdapterSpec,
    Document,
    ModelSpec,
    PoolKind,
    PoolSpec,
    RouteSpec,
)
from zincvale.standins.generation import GenerationKey, full_response, lookup_value, token_text
from zincvale.standins.load.arrivals import Arrival
from zincvale.standins.load.popularity import ModelPopularity
from zincvale.standins.load.spec import Between, CallerSpec, LoadSpec


@attrs.frozen
class Plan:
    """One request, ready to send.

    Attributes
    ----------
    base_id : request id of the first attempt, from which new ids are derived.
    body : JSON body of the request.
    expected : tokens of the correct response; for a lookup, only its value.
    """

    base_id: str
    caller: CallerSpec
    route: str
    path: str
    deadline_s: float
    stream: bool
    at_most_once: bool
    model: str
    adapter: str
    prompt: str
    body: dict[str, Any]
    expected: list[str]
    discards_response: bool = False
    """Whether the caller discards the first complete response and requests it again."""
    hang_up_after_chunks: int = 0
    """Number of chunks after which the caller hangs up; 0 means never."""
    is_duplicated: bool = False
    """Whether the first attempt is sent to two nodes at once."""


@attrs.frozen
class Conversation:
    """The turns of one arrival; `prompts` and `max_tokens` have one item for each turn."""

    arrival: Arrival
    caller: CallerSpec
    model: str
    adapter: str
    prompts: list[str]
    max_tokens: list[int]


class Planner:
    """Creates the requests of arrivals.

    Parameters
    ----------
    spec : the load to generate.
    documents : the resources of the deployment.
    seed : seed of all random draws.
    """

    def __init__(self, spec: LoadSpec, documents: list[Document], seed: int) -> None:
        self._spec = spec
        self._seed = seed
        self._tables = _ResourceTables(documents)
        self._prefixes: dict[tuple[str, str], str] = {}
        self._popularity = {
            caller.name: self._popularity_of(caller)
            for caller in spec.callers
            if not self._is_lookup(caller)
        }

    def conversation(self, arrival: Arrival) -> Conversation:
        """Draw the model, prompts and response limits of the turns of an arrival."""
        caller = self._spec.caller(arrival.caller)
        source = random.Random(f"{self._seed}/request/{caller.name}/{arrival.number}")
        if self._is_lookup(caller):
            key = f"{caller.name}-key-{source.randrange(caller.keys)}"
            return Conversation(arrival, caller, "", "", [key], [0])
        popularity = self._popularity[caller.name]
        choice = popularity.choose(source, arrival.at_s, caller.adapter_share, arrival.tail_share)
        turns = _draw_int(source, caller.turns)
        prompts = [
            random_words(source, _draw_int(source, caller.prompt_words)) for _ in range(turns)
        ]
        prompts[0] = self._shared_prefix(caller, choice.model) + prompts[0]
        max_tokens = [_draw_int(source, caller.max_tokens) for _ in range(turns)]
        return Conversation(arrival, caller, choice.model, choice.adapter, prompts, max_tokens)

    def plan(self, conversation: Conversation, turn: int, history: str) -> Plan:
        """Return the request of `turn` (from 0); `history` is all earlier prompts and responses."""
        caller = conversation.caller
        route = self._tables.route(caller.route)
        base_id = f"{caller.name}-{self._seed}-{conversation.arrival.number}-{turn + 1}"
        prompt = history + conversation.prompts[turn]
        if self._is_lookup(caller):
            body: dict[str, Any] = {"key": prompt}
            expected = [lookup_value(prompt)]
        else:
            body = {
                "model": conversation.model,
                "adapter": conversation.adapter or None,
                "prompt": prompt,
                "max_tokens": conversation.max_tokens[turn],
                "stream": route.stream,
            }
            expected = full_response(
                GenerationKey(
                    conversation.model,
                    conversation.adapter,
                    prompt,
                    conversation.max_tokens[turn],
                )
            )
        faults = _draw_caller_faults(base_id, caller, route.stream)
        return Plan(
            base_id=base_id,
            caller=caller,
            route=caller.route,
            path=route.path,
            deadline_s=route.deadline_ms / 1000.0,
            stream=route.stream,
            at_most_once=route.at_most_once,
            model=conversation.model,
            adapter=conversation.adapter,
            prompt=prompt,
            body=body,
            expected=expected,
            discards_response=faults.discards_response,
            hang_up_after_chunks=faults.hang_up_after_chunks,
            is_duplicated=faults.is_duplicated,
        )

    def _is_lookup(self, caller: CallerSpec) -> bool:
        pool = self._tables.pool(self._tables.route(caller.route).pool)
        return pool.kind is PoolKind.LOOKUP

    def _popularity_of(self, caller: CallerSpec) -> ModelPopularity:
        models = caller.models or self._tables.models_of(caller.route)
        if not models:
            raise InvalidInputError(
                f"caller {caller.name}: route {caller.route} has no models",
                "declare models of its pool in intent.yaml",
            )
        return ModelPopularity(
            models,
            self._tables.adapters_by_model,
            self._spec.popularity,
            f"{self._seed}/{caller.name}",
        )

    def _shared_prefix(self, caller: CallerSpec, model: str) -> str:
        prefix = self._prefixes.get((caller.name, model))
        if prefix is None:
            source = random.Random(f"prefix/{caller.name}/{model}")
            prefix = random_words(source, caller.shared_prefix_words)
            self._prefixes[(caller.name, model)] = prefix
        return prefix


class _ResourceTables:
    """The resources that callers need, indexed by name."""

    def __init__(self, documents: list[Document]) -> None:
        self._routes: dict[str, RouteSpec] = {}
        self._pools: dict[str, PoolSpec] = {}
        self._models: dict[str, ModelSpec] = {}
        self.adapters_by_model: dict[str, list[str]] = {}
        for document in documents:
            self._add(document)

    def route(self, name: str) -> RouteSpec:
        """Return a route; raises `InvalidInputError` if it does not exist."""
        if name not in self._routes:
            known = ", ".join(sorted(self._routes))
            raise InvalidInputError(f"load: unknown route {name!r}", f"use one of {known}")
        return self._routes[name]

    def pool(self, name: str) -> PoolSpec:
        """Return a pool; raises `InvalidInputError` if it does not exist."""
        if name not in self._pools:
            raise InvalidInputError(f"unknown pool {name!r}", "declare the pool in intent.yaml")
        return self._pools[name]

    def models_of(self, route_name: str) -> list[str]:
        """Return the models that requests on a route may name."""
        route = self.route(route_name)
        if route.models:
            return list(route.models)
        return [name for name, model in self._models.items() if model.pool == route.pool]

    def _add(self, document: Document) -> None:
        spec_type = SPEC_BY_KIND.get(document.kind)
        if spec_type is None:
            return
        spec = read_checked(spec_type, document.spec, f"{document.kind} {document.name}: spec")
        if isinstance(spec, RouteSpec):
            self._routes[document.name] = spec
        elif isinstance(spec, PoolSpec):
            self._pools[document.name] = spec
        elif isinstance(spec, ModelSpec):
            self._models[document.name] = spec
        elif isinstance(spec, AdapterSpec):
            self.adapters_by_model.setdefault(spec.base_model, []).append(document.name)


@attrs.frozen
class _CallerFaults:
    """Faults on the side of the caller for one request; the fields are described in `Plan`."""

    discards_response: bool
    hang_up_after_chunks: int
    is_duplicated: bool


def _draw_caller_faults(base_id: str, caller: CallerSpec, stream: bool) -> _CallerFaults:
    """Draw the faults on the side of the caller for one request.

    Every share is drawn for every request, even if it cannot apply, so that a change of one share
    does not change the other draws.
    """
    source = random.Random(f"mishaps/{base_id}")
    discards_response = source.random() < caller.lost_answer_share
    hangs_up = source.random() < caller.hang_up_share
    is_duplicated = source.random() < caller.duplicate_share
    hang_up_after_chunks = source.randint(1, caller.max_tokens.least)
    return _CallerFaults(
        discards_response=discards_response,
        hang_up_after_chunks=hang_up_after_chunks if hangs_up and stream else 0,
        is_duplicated=is_duplicated and not stream,
    )


def random_words(source: random.Random, count: int) -> str:
    """Return `count` random words, each followed by a space."""
    seed = source.getrandbits(64)
    return "".join(token_text(seed, index) for index in range(1, count + 1))


def _draw_int(source: random.Random, between: Between) -> int:
    return source.randint(between.least, between.most)
