"""The list of deliberate mistakes; see `mutations`."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import attrs

Patch = Callable[[], contextlib.AbstractContextManager[Any]]


@attrs.frozen
class Mutation:
    """One mistake.

    Attributes
    ----------
    name : short name.
    mistake : what the mutated code does wrong.
    apply : patches it in, and out again.
    """

    name: str
    mistake: str
    apply: Patch


MUTATIONS: dict[str, Mutation] = {}


def mutation(name: str, mistake: str) -> Callable[[Patch], Patch]:
    """Register the context manager below."""

    def register(apply: Patch) -> Patch:
        MUTATIONS[name] = Mutation(name, mistake, apply)
        return apply

    return register
