"""The registry of mutations; see `mutations`."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import attrs

from zincvale.coordination.config import ReadinessRule

Patch = Callable[[], contextlib.AbstractContextManager[Any]]
"""Returns a context manager that applies a mutation for its duration."""


@attrs.frozen
class Mutation:
    """A deliberate defect in the daemons' code.

    Attributes
    ----------
    name : short name.
    defect : what the mutated code does wrong.
    apply : returns a context manager that applies the mutation.
    readiness : the rule of the clusters in which it is a defect.
    """

    name: str
    defect: str
    apply: Patch
    readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE


MUTATIONS: dict[str, Mutation] = {}


def mutation(
    name: str, defect: str, readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
) -> Callable[[Patch], Patch]:
    """Return a decorator that registers a context manager as a mutation."""

    def register(apply: Patch) -> Patch:
        MUTATIONS[name] = Mutation(name, defect, apply, readiness)
        return apply

    return register
