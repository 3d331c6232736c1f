"""The kinds of faults, and the fields of each in a fault file."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from zincvale.fleet.relay_links import HEALED, Connecting, LinkState, Passing
from zincvale.model.checked import Checked
from zincvale.standins.behaviours import Behaviour


@dataclass(kw_only=True)
class Fault(Checked):
    """Fields that every fault has.

    `for_s` is the duration; 0 means that the fault is not lifted automatically.
    """

    at_s: float
    kind: str
    for_s: float = 0.0


@dataclass(kw_only=True)
class TargetedFault(Fault):
    """A fault on processes, servers or zones.

    `pick` is the number of targets drawn from the selected ones with the run's seed; 0 takes all.
    `named` gives the choice a name, which later faults select as `@NAME`. `stagger_s` is the time
    between the faults of successive targets.
    """

    target: str
    pick: int = 0
    named: str = ""
    stagger_s: float = 0.0


@dataclass(kw_only=True)
class Kill(TargetedFault):
    """Kill processes; with `for_s` they are started again after it."""


@dataclass(kw_only=True)
class Restart(TargetedFault):
    """Kill processes and start them again after `down_s` with the same disk."""

    down_s: float = 0.2


@dataclass(kw_only=True)
class Freeze(TargetedFault):
    """Suspend processes, as on a suspended machine."""


@dataclass(kw_only=True)
class PowerLoss(TargetedFault):
    """Kill processes right after the next acknowledged change; start them after `down_s`."""

    down_s: float = 1.0


@dataclass(kw_only=True)
class DiskFull(TargetedFault):
    """Make the data folders of cores full."""


@dataclass(kw_only=True)
class DiskLost(TargetedFault):
    """Kill cores, empty their data folders, and start them after `down_s` at the same address."""

    down_s: float = 0.5


@dataclass(kw_only=True)
class Replace(TargetedFault):
    """Kill machines or servers for good; empty ones at new addresses replace them."""


@dataclass(kw_only=True)
class LinkFault(Fault):
    """A fault on the links between groups; each group is a list of selectors.

    A single group is separated from everything that is not in it.
    """

    groups: list[list[str]]

    def state(self) -> LinkState:
        """Return what the fault does to links from an earlier to a later group."""
        return HEALED

    def reverse_state(self) -> LinkState:
        """Return what the fault does to links from a later to an earlier group."""
        return self.state()


@dataclass(kw_only=True)
class Cut(LinkFault):
    """Cut the links between the groups.

    `how`: `lost` (packets vanish, both ways), `refused` (connections are reset), `one-way` (the
    first group cannot call the others, they can call it), `replies-lost` (requests of the first
    group arrive, the responses do not).
    """

    how: str = "lost"

    def __post_init__(self) -> None:
        """Raise `ValueError` for an unknown value of `how`."""
        if self.how not in _CUT_STATES:
            raise ValueError(f"how is {self.how!r}, not one of {', '.join(_CUT_STATES)}")

    def state(self) -> LinkState:
        """Return the state of links from the first group."""
        return _CUT_STATES[self.how][0]

    def reverse_state(self) -> LinkState:
        """Return the state of links to the first group."""
        return _CUT_STATES[self.how][1]


@dataclass(kw_only=True)
class Delay(LinkFault):
    """Delay the bytes between the groups."""

    delay_ms: float
    jitter_ms: float = 0.0

    def state(self) -> LinkState:
        """Return the delayed state."""
        return LinkState(delay_s=self.delay_ms / 1000, jitter_s=self.jitter_ms / 1000)


@dataclass(kw_only=True)
class Slow(LinkFault):
    """Limit the rate of the links between the groups."""

    bytes_per_second: float

    def state(self) -> LinkState:
        """Return the slowed state."""
        return LinkState(bytes_per_second=self.bytes_per_second)


@dataclass(kw_only=True)
class Heal(Fault):
    """Lift every cut, delay and rate limit."""


@dataclass(kw_only=True)
class Apply(Fault):
    """An operator applies resources as a change in merge mode."""

    resources: list[dict[str, Any]]


@dataclass(kw_only=True)
class ChangeBurst(Fault):
    """An operator applies `count` small changes, one after the other."""

    count: int = 20
    pause_s: float = 0.0


@dataclass(kw_only=True)
class RacingChanges(Fault):
    """Two operators send different changes on the same version at the same time."""

    rounds: int = 1


@dataclass(kw_only=True)
class LostAcknowledgement(Fault):
    """An operator disconnects before the response, and resends the same order after `pause_s`.

    `changes_between` other changes are applied before the order is sent again.
    """

    pause_s: float = 0.5
    changes_between: int = 0


@dataclass(kw_only=True)
class InvalidChange(Fault):
    """An operator sends invalid changes: dangling references, wrong types, unknown names."""


@dataclass(kw_only=True)
class Drain(TargetedFault):
    """Declare servers drained; with `for_s` the drain is undone after it."""


@dataclass(kw_only=True)
class Evacuate(TargetedFault):
    """Declare zones evacuated; with `for_s` the evacuation is undone after it."""


@dataclass(kw_only=True)
class SwitchBehaviour(TargetedFault):
    """Make back ends misbehave (`zincvale.standins.behaviours`)."""

    behaviour: Behaviour


@dataclass(kw_only=True)
class CrowdFault(Fault):
    """Multiply the request rate of the named callers, or of all when none is named, by `factor`."""

    factor: float = 10.0
    callers: list[str] = field(default_factory=list)


@dataclass(kw_only=True)
class PopularityShiftFault(Fault):
    """Change which models are popular with the callers from then on."""


@dataclass(kw_only=True)
class RareModelsFault(Fault):
    """One kind of caller requests many of the least popular models at once."""

    caller: str
    rate_per_second: float
    tail_share: float = 0.5


FAULT_BY_KIND: dict[str, type[Fault]] = {
    "kill": Kill,
    "restart": Restart,
    "freeze": Freeze,
    "power-loss": PowerLoss,
    "disk-full": DiskFull,
    "disk-lost": DiskLost,
    "replace": Replace,
    "cut": Cut,
    "delay": Delay,
    "slow": Slow,
    "heal": Heal,
    "apply": Apply,
    "change-burst": ChangeBurst,
    "racing-changes": RacingChanges,
    "lost-acknowledgement": LostAcknowledgement,
    "invalid-change": InvalidChange,
    "drain": Drain,
    "evacuate": Evacuate,
    "behaviour": SwitchBehaviour,
    "crowd": CrowdFault,
    "popularity": PopularityShiftFault,
    "rare-models": RareModelsFault,
}

_LOST = LinkState(connecting=Connecting.IGNORE, request=Passing.HOLD, reply=Passing.HOLD)
_CUT_STATES: dict[str, tuple[LinkState, LinkState]] = {
    "lost": (_LOST, _LOST),
    "refused": (LinkState(connecting=Connecting.REFUSE), LinkState(connecting=Connecting.REFUSE)),
    "one-way": (_LOST, HEALED),
    "replies-lost": (LinkState(reply=Passing.HOLD), HEALED),
}
