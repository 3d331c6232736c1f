"""The load file: who calls, how often, and how demand changes during a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import read_yaml


@dataclass
class Between(Checked):
    """A whole number drawn evenly from `least` to `most`."""

    least: int
    most: int


@dataclass
class CallerSpec(Checked):
    """One kind of caller: an open-loop Poisson stream of requests or of conversations."""

    name: str
    route: str
    rate_per_second: float
    models: list[str] = field(default_factory=list)
    """Models requested; empty means all that the route allows."""
    prompt_words: Between = field(default_factory=lambda: Between(20, 60))
    shared_prefix_words: int = 0
    """Leading words that all prompts of this caller for one model share."""
    max_tokens: Between = field(default_factory=lambda: Between(16, 48))
    adapter_share: float = 0.5
    """Share of requests that name an adapter, where the model has any."""
    turns: Between = field(default_factory=lambda: Between(1, 1))
    """Requests of one conversation; each prompt repeats the earlier prompts and responses."""
    think_s: float = 1.0
    keys: int = 5000
    """Distinct keys of a lookup caller."""
    first_byte_timeout_s: float = 6.0
    idle_timeout_s: float = 3.0
    """A stream that is idle for longer counts as broken."""
    max_attempts: int = 6
    lost_answer_share: float = 0.0
    """Share of requests whose full response is lost on the last hop: the caller requests it again
    with the same id."""
    hang_up_share: float = 0.0
    """Share of streamed requests whose caller hangs up after some chunks and never returns."""
    duplicate_share: float = 0.0
    """Share of requests without a stream that are sent twice at once, to two nodes, with one id."""
    read_bytes_per_second: int = 0
    """How fast the caller reads; 0 means as fast as it can."""


@dataclass
class Crowd(Checked):
    """More requests for a while: the rate of the named callers times `factor`."""

    start_s: float
    seconds: float
    factor: float
    callers: list[str] = field(default_factory=list)
    """Empty means all."""

    def factor_at(self, caller: str, at_s: float) -> float:
        """Return what the crowd does to a caller's rate at a time of the run."""
        concerned = not self.callers or caller in self.callers
        if concerned and self.start_s <= at_s < self.start_s + self.seconds:
            return self.factor
        return 1.0


@dataclass
class RareModels(Checked):
    """For a while, the least popular models are requested together."""

    start_s: float
    seconds: float
    caller: str
    rate_per_second: float
    tail_share: float = 0.5
    """Share of the models, from the least popular on."""


@dataclass
class Popularity(Checked):
    """How demand spreads over models: Zipf over a seeded order that may change."""

    zipf_exponent: float = 1.1
    shifts_at_s: list[float] = field(default_factory=list)
    """Each draws a new order."""


@dataclass
class LoadSpec(Checked):
    """A load file."""

    callers: list[CallerSpec]
    popularity: Popularity = field(default_factory=Popularity)
    crowds: list[Crowd] = field(default_factory=list)
    rare_models: list[RareModels] = field(default_factory=list)

    def caller(self, name: str) -> CallerSpec:
        """Return the caller `name`; raises `InvalidInputError`."""
        for caller in self.callers:
            if caller.name == name:
                return caller
        known = ", ".join(caller.name for caller in self.callers)
        raise InvalidInputError(f"load: no caller {name!r}", f"name one of {known}")


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
