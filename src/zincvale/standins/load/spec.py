"""The load file: the callers, their request rates, and how demand changes during a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import read_yaml


@dataclass
class Between(Checked):
    """Range of an integer that is drawn uniformly, from `least` to `most` inclusive."""

    least: int
    most: int


@dataclass
class CallerSpec(Checked):
    """One kind of caller: an open-loop Poisson stream of requests or of conversations."""

    name: str
    route: str
    rate_per_second: float
    models: list[str] = field(default_factory=list)
    """Models that requests name; empty means all that the route allows."""
    prompt_words: Between = field(default_factory=lambda: Between(20, 60))
    shared_prefix_words: int = 0
    """Number of leading words that all prompts of the caller for one model share."""
    max_tokens: Between = field(default_factory=lambda: Between(16, 48))
    adapter_share: float = 0.5
    """Fraction of requests that name an adapter, among those for a model with adapters."""
    turns: Between = field(default_factory=lambda: Between(1, 1))
    """Number of requests in a conversation; a prompt repeats the earlier prompts and responses."""
    think_s: float = 1.0
    keys: int = 5000
    """Number of distinct keys that a lookup caller requests."""
    first_byte_timeout_s: float = 6.0
    idle_timeout_s: float = 3.0
    """A stream that sends nothing for longer than this counts as broken."""
    max_attempts: int = 6
    lost_answer_share: float = 0.0
    """Fraction of requests whose complete response is lost on the last hop, so that the caller
    requests it again with the same id."""
    hang_up_share: float = 0.0
    """Fraction of streamed requests whose caller hangs up after some chunks and does not retry."""
    duplicate_share: float = 0.0
    """Fraction of non-streamed requests that are sent to two nodes at once, with the same id."""
    read_bytes_per_second: int = 0
    """Rate at which the caller reads responses; 0 means no limit."""


@dataclass
class Crowd(Checked):
    """A temporary surge that multiplies the request rate of the named callers by `factor`."""

    start_s: float
    seconds: float
    factor: float
    callers: list[str] = field(default_factory=list)
    """Names of the affected callers; empty means all."""

    def factor_at(self, caller: str, at_s: float) -> float:
        """Return the factor that the surge applies to the rate of a caller at a time of the run."""
        is_affected = not self.callers or caller in self.callers
        if is_affected and self.start_s <= at_s < self.start_s + self.seconds:
            return self.factor
        return 1.0


@dataclass
class RareModels(Checked):
    """A temporary burst of additional requests for the least popular models."""

    start_s: float
    seconds: float
    caller: str
    rate_per_second: float
    tail_share: float = 0.5
    """Fraction of the models that the burst requests, counted from the least popular."""


@dataclass
class Popularity(Checked):
    """Distribution of requests over models: Zipf over a seeded random order that may change."""

    zipf_exponent: float = 1.1
    shifts_at_s: list[float] = field(default_factory=list)
    """Times at which a new random order of the models takes effect."""


@dataclass
class LoadSpec(Checked):
    """Content of a load file."""

    callers: list[CallerSpec]
    popularity: Popularity = field(default_factory=Popularity)
    crowds: list[Crowd] = field(default_factory=list)
    rare_models: list[RareModels] = field(default_factory=list)

    def caller(self, name: str) -> CallerSpec:
        """Return the caller `name`; raises `InvalidInputError` if it does not exist."""
        for caller in self.callers:
            if caller.name == name:
                return caller
        known = ", ".join(caller.name for caller in self.callers)
        raise InvalidInputError(f"load: unknown caller {name!r}", f"use one of {known}")


def load_load_spec(path: str | Path) -> LoadSpec:
    """Return the checked load file at `path`; raises `InvalidInputError`."""
    spec = read_checked(LoadSpec, read_yaml(Path(path)), str(path))
    for crowd in spec.crowds:
        for name in crowd.callers:
            spec.caller(name)
    for burst in spec.rare_models:
        spec.caller(burst.caller)
    for caller in spec.callers:
        _check_caller(caller, str(path))
    return spec


def _check_caller(caller: CallerSpec, where: str) -> None:
    for name in ("prompt_words", "max_tokens", "turns"):
        between: Between = getattr(caller, name)
        if not 1 <= between.least <= between.most:
            raise InvalidInputError(
                f"{where}: caller {caller.name}: {name} is {between.least}..{between.most}",
                "write 1 <= least <= most",
            )
    if caller.rate_per_second < 0:
        raise InvalidInputError(
            f"{where}: caller {caller.name}: rate_per_second is negative", "write 0 or more"
        )
