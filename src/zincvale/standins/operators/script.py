"""The script of the operators: which changes they send, when, and how. Pure."""

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
    """Which version a change names as the one it was built on."""

    CURRENT = "current"
    NONE = "none"
    STALE = "stale"
    """One version too old: must lose."""


@dataclass
class ScriptedChange(Checked):
    """One change, or a burst of `repeat` changes of the same shape."""

    at_s: float
    resources: list[dict[str, Any]]
    """Documents `kind`, `name`, `spec`; the text `$n` becomes the number in the burst."""
    name: str = "change"
    mode: str = "merge"
    base: Base = Base.NONE
    repeat: int = 1
    every_s: float = 0.1
    lost_acknowledgements: int = 0
    """So many responses are discarded unread, and the same order is sent again each time."""
    resend_after_s: list[float] = field(default_factory=list)
    """The complete order is sent again so many seconds after it was acknowledged."""
    rebuild_on_conflict: bool = False
    """After a conflict, rebuild the change on the current version."""


@dataclass
class ScriptedRace(Checked):
    """Changes built on the same version and sent at the same moment to different cores."""

    at_s: float
    changes: list[list[dict[str, Any]]]
    """The resources of each contender."""
    name: str = "race"
    mode: str = "merge"
    repeat: int = 1
    every_s: float = 1.0


@dataclass
class OperatorScript(Checked):
    """A file of timed changes."""

    changes: list[ScriptedChange] = field(default_factory=list)
    races: list[ScriptedRace] = field(default_factory=list)
    observe_interval_s: float = 0.5
    """How often each core is asked for its version; 0 asks never."""
    give_up_s: float = 30.0
    """An order without a final response is sent again for so long."""


@attrs.frozen
class Order:
    """One change to send.

    Attributes
    ----------
    order_id : idempotency key; the same for every resend.
    contender : index among the changes of a race, or 0.
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
    timed: list[ScriptedChange | ScriptedRace] = [*script.changes, *script.races]
    for item in timed:
        if item.mode not in ("merge", "replace"):
            raise InvalidInputError(
                f"{path}: {item.name}: mode is {item.mode!r}", "write `merge` or `replace`"
            )
    return script


def orders(script: OperatorScript, seed: int) -> list[Order]:
    """Return every order of a script by time; order ids are unique within a seed."""
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
            resources=_numbered(change.resources, number + 1),
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
            resources=_numbered(resources, number + 1),
            contender=contender,
            race=f"{prefix}-{number + 1}",
        )
        for number in range(race.repeat)
        for contender, resources in enumerate(race.changes)
    ]


def _numbered(value: Any, number: int) -> Any:
    if isinstance(value, dict):
        return {key: _numbered(item, number) for key, item in value.items()}
    if isinstance(value, list):
        return [_numbered(item, number) for item in value]
    if value == NUMBER_PLACEHOLDER:
        return number
    if isinstance(value, str):
        return value.replace(NUMBER_PLACEHOLDER, str(number))
    return value
