"""The script of the operators: which changes they send, when, and how."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import attrs

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import read_yaml

NUMBER_PLACEHOLDER = "$n"


class Base(enum.Enum):
    """The version that a change names as the one on which it was built."""

    CURRENT = "current"
    NONE = "none"
    STALE = "stale"
    """One version before the current one; the change must be rejected with a conflict."""


@dataclass
class ScriptedChange(Checked):
    """One change, or a burst of `repeat` changes of the same shape."""

    at_s: float
    resources: list[dict[str, Any]]
    """Documents with `kind`, `name` and `spec`; `$n` stands for the number in the burst."""
    name: str = "change"
    mode: str = "merge"
    base: Base = Base.NONE
    repeat: int = 1
    every_s: float = 0.1
    lost_acknowledgements: int = 0
    """How many successful responses are treated as lost; each time the same order is sent again."""
    resend_after_s: list[float] = field(default_factory=list)
    """Delays after which a finished order is sent again, each counted from the last send."""
    rebuild_on_conflict: bool = False
    """Whether the change is rebuilt on the current version after a conflict."""


@dataclass
class ScriptedRace(Checked):
    """Changes built on the same version and sent at the same moment to different cores."""

    at_s: float
    changes: list[list[dict[str, Any]]]
    """The resources that each contender of the race changes."""
    name: str = "race"
    mode: str = "merge"
    repeat: int = 1
    every_s: float = 1.0


@dataclass
class OperatorScript(Checked):
    """A file of timed changes and races."""

    changes: list[ScriptedChange] = field(default_factory=list)
    races: list[ScriptedRace] = field(default_factory=list)
    observe_interval_s: float = 0.5
    """Interval at which each core is asked for its version; 0 disables this."""
    give_up_s: float = 30.0
    """How long an order without a final response is sent again."""


@attrs.frozen
class Order:
    """One change to send.

    Attributes
    ----------
    order_id : idempotency key, the same for every resend.
    contender : index of the change among those of its race; 0 outside a race.
    """

    at_s: float
    order_id: str
    name: str
    mode: str
    base: Base
    resources: list[dict[str, Any]]
    contender: int = 0
    race: str = ""
    lost_acknowledgements: int = 0
    resend_after_s: tuple[float, ...] = ()
    rebuild_on_conflict: bool = False


def load_script(path: str | Path) -> OperatorScript:
    """Return the checked script at `path`; raises `InvalidInputError`."""
    script = read_checked(OperatorScript, read_yaml(Path(path)), str(path))
    scripted: list[ScriptedChange | ScriptedRace] = [*script.changes, *script.races]
    for item in scripted:
        if item.mode not in ("merge", "replace"):
            raise InvalidInputError(
                f"{path}: {item.name}: mode is {item.mode!r}", "write `merge` or `replace`"
            )
    return script


def orders(script: OperatorScript, seed: int) -> list[Order]:
    """Return the orders of a script, sorted by time; order ids are unique for a seed."""
    planned = []
    for index, change in enumerate(script.changes):
        planned += _change_orders(change, f"{change.name}-{seed}-c{index}")
    for index, race in enumerate(script.races):
        planned += _race_orders(race, f"{race.name}-{seed}-r{index}")
    return sorted(planned, key=lambda order: (order.at_s, order.order_id))


def _change_orders(change: ScriptedChange, prefix: str) -> list[Order]:
    return [
        Order(
            at_s=change.at_s + number * change.every_s,
            order_id=f"{prefix}-{number + 1}",
            name=change.name,
            mode=change.mode,
            base=change.base,
            resources=_with_number(change.resources, number + 1),
            lost_acknowledgements=change.lost_acknowledgements,
            resend_after_s=tuple(change.resend_after_s),
            rebuild_on_conflict=change.rebuild_on_conflict,
        )
        for number in range(change.repeat)
    ]


def _race_orders(race: ScriptedRace, prefix: str) -> list[Order]:
    return [
        Order(
            at_s=race.at_s + number * race.every_s,
            order_id=f"{prefix}-{number + 1}-{contender + 1}",
            name=race.name,
            mode=race.mode,
            base=Base.CURRENT,
            resources=_with_number(resources, number + 1),
            contender=contender,
            race=f"{prefix}-{number + 1}",
        )
        for number in range(race.repeat)
        for contender, resources in enumerate(race.changes)
    ]


def _with_number(value: Any, number: int) -> Any:
    if isinstance(value, dict):
        return {key: _with_number(item, number) for key, item in value.items()}
    if isinstance(value, list):
        return [_with_number(item, number) for item in value]
    if value == NUMBER_PLACEHOLDER:
        return number
    if isinstance(value, str):
        return value.replace(NUMBER_PLACEHOLDER, str(number))
    return value
