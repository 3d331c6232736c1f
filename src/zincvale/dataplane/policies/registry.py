"""Makes policies by name; `module:Class` names the class of a third party."""

from __future__ import annotations

import importlib

from zincvale.dataplane.policies.base import Filter, Policy, Scorer
from zincvale.dataplane.policies.baselines import (
    LeastConnectionsScorer,
    RandomScorer,
    RoundRobinScorer,
)
from zincvale.dataplane.policies.filters import (
    CapacityFilter,
    DrainFilter,
    EjectionFilter,
    ExcludedFilter,
    HealthFilter,
    ResidencyFilter,
    ZoneFilter,
)
from zincvale.dataplane.policies.prefix_affinity import PrefixAffinityScorer
from zincvale.dataplane.policies.scorers import (
    LeastOutstandingScorer,
    SlowStartScorer,
    ZonePreferenceScorer,
)
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import PoolKind

_BUILT_IN: dict[str, type[Policy]] = {
    policy.name: policy
    for policy in (
        ZoneFilter,
        DrainFilter,
        HealthFilter,
        EjectionFilter,
        ResidencyFilter,
        ExcludedFilter,
        CapacityFilter,
        LeastOutstandingScorer,
        PrefixAffinityScorer,
        ZonePreferenceScorer,
        SlowStartScorer,
        RoundRobinScorer,
        LeastConnectionsScorer,
        RandomScorer,
    )
}

ALWAYS_FIRST = ("zone", "drain", "health", "residency", "ejection", "excluded")
"""Filters that come first in every pool: a pool cannot override what operators declared."""
ALWAYS_LAST = ("capacity",)
DEFAULT_SCORERS = {
    PoolKind.LANGUAGE_MODEL: (
        "least-outstanding",
        "prefix-affinity",
        "zone-preference",
        "slow-start",
    ),
    PoolKind.LOOKUP: ("least-outstanding", "zone-preference", "slow-start"),
}


def policy_names() -> list[str]:
    """Return the names of the built-in policies."""
    return sorted(_BUILT_IN)


def make_policy(name: str) -> Policy:
    """Return a new policy; raises `InvalidInputError` when no policy has this name."""
    policy_class = _BUILT_IN.get(name) or _load_class(name)
    return policy_class()


def policy_names_of(kind: PoolKind, declared: list[str]) -> list[str]:
    """Return a pool's chain: the mandatory filters around the declared or default policies."""
    names = list(declared) or list(DEFAULT_SCORERS[kind])
    first = [name for name in ALWAYS_FIRST if name != "residency" or _has_models(kind)]
    middle = [name for name in names if name not in ALWAYS_FIRST and name not in ALWAYS_LAST]
    return [*first, *middle, *ALWAYS_LAST]


def _has_models(kind: PoolKind) -> bool:
    return kind is PoolKind.LANGUAGE_MODEL


def _load_class(name: str) -> type[Policy]:
    module_name, separator, class_name = name.partition(":")
    if not separator:
        raise InvalidInputError(
            f"policy {name!r} is not known",
            f"use one of {', '.join(policy_names())}, or module:Class",
        )
    try:
        found = getattr(importlib.import_module(module_name), class_name)
    except (ImportError, AttributeError) as error:
        raise InvalidInputError(
            f"policy {name!r} cannot be loaded: {error}", "install its module on every node"
        ) from error
    if not isinstance(found, type) or not issubclass(found, (Filter, Scorer)):
        raise InvalidInputError(
            f"policy {name!r} is not a Filter or Scorer",
            "derive it from Filter or Scorer of policies.base",
        )
    return found
