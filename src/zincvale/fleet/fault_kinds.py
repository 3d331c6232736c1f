"""The kinds of faults: what a fault file may say of each."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from zincvale.fleet.relay_links import HEALED, Connecting, LinkState, Passing
from zincvale.model.checked import Checked
from zincvale.standins.behaviours import Behaviour


@dataclass(kw_only=True)
class Fault(Checked):
    """What every fault has.

    `for_s` 0 means that the fault is not lifted by itself.
    """

    at_s: float
    kind: str
    for_s: float = 0.0


@dataclass(kw_only=True)
class TargetedFault(Fault):
    """A fault on processes, servers or zones.

    `pick` draws so many of the selected ones by the run's seed; 0 takes all. `named` remembers the
    choice for later faults, as `@NAME`. `stagger_s` lets the targets follow one after the other.
    """

    target: str
    pick: int = 0
    named: str = ""
    stagger_s: float = 0.0


@dataclass(kw_only=True)
class Kill(TargetedFault):
    """End processes at once; with `for_s` they are started again after it."""


@dataclass(kw_only=True)
class Restart(TargetedFault):
    """End processes at once and start them again after `down_s`, with the same disk."""

    down_s: float = 0.2


@dataclass(kw_only=True)
class Freeze(TargetedFault):
    """Stop processes where they stand, as a suspended machine does."""


@dataclass(kw_only=True)
class PowerLoss(TargetedFault):
    """End processes right after the next acknowledged change, and start them after `down_s`."""

    down_s: float = 1.0


@dataclass(kw_only=True)
class DiskFull(TargetedFault):
    """Leave no room in the data folders of cores."""


@dataclass(kw_only=True)
class DiskLost(TargetedFault):
    """End cores, empty their data folders, and start them after `down_s` at the same address."""

    down_s: float = 0.5


@dataclass(kw_only=True)
class Replace(TargetedFault):
    """End cores for good; empty ones at new addresses take their place."""


@dataclass(kw_only=True)
class LinkFault(Fault):
    """A fault on the links between groups; each group is a list of selectors.

    One group stands against all that is in no group.
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
    """No way between the groups.

    `how`: `lost` (packets vanish, both ways), `refused` (connections are reset), `one-way` (the
    first group cannot call the others, they can call it), `replies-lost` (what the first group asks
    arrives, the responses do not).
    """

    how: str = "lost"

    def __post_init__(self) -> None:
        """Refuse an unknown way of cutting."""
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
    """Bytes between the groups take longer."""

    delay_ms: float
    jitter_ms: float = 0.0

    def state(self) -> LinkState:
        """Return the delayed state."""
        return LinkState(delay_s=self.delay_ms / 1000, jitter_s=self.jitter_ms / 1000)


@dataclass(kw_only=True)
class Slow(LinkFault):
    """Links between the groups carry fewer bytes."""

    bytes_per_second: float

    def state(self) -> LinkState:
        """Return the slowed state."""
        return LinkState(bytes_per_second=self.bytes_per_second)


@dataclass(kw_only=True)
class Heal(Fault):
    """Lift every cut, delay and slowness."""


@dataclass(kw_only=True)
class Apply(Fault):
    """An operator applies resources as a merge."""

    resources: list[dict[str, Any]]


@dataclass(kw_only=True)
class ChangeBurst(Fault):
    """An operator applies `count` small changes, one after the other."""

    count: int = 20
    pause_s: float = 0.0


@dataclass(kw_only=True)
class RacingChanges(Fault):
    """Two operators send different changes on the same version at the same moment."""

    rounds: int = 1


@dataclass(kw_only=True)
class LostAcknowledgement(Fault):
    """An operator hangs up before the response, and sends the same order again after `pause_s`.

    `changes_between` other changes are applied before it is sent again.
    """

    pause_s: float = 0.5
    changes_between: int = 0


@dataclass(kw_only=True)
class InvalidChange(Fault):
    """An operator sends changes that must be refused: dangling, mistyped, unknown."""


@dataclass(kw_only=True)
class Drain(TargetedFault):
    """Declare servers drained; with `for_s` they are taken back after it."""


@dataclass(kw_only=True)
class Evacuate(TargetedFault):
    """Declare zones evacuated; with `for_s` they are taken back after it."""


@dataclass(kw_only=True)
class SwitchBehaviour(TargetedFault):
    """Make back ends misbehave (`zincvale.standins.behaviours`)."""

    behaviour: Behaviour


@dataclass(kw_only=True)
class CrowdComes(Fault):
    """Callers come `factor` times as often; the named ones, or all when none is named."""

    factor: float = 10.0
    callers: list[str] = field(default_factory=list)


@dataclass(kw_only=True)
class PopularityShifts(Fault):
    """Callers want other models than before, from then on."""


@dataclass(kw_only=True)
class RareModelsWanted(Fault):
    """The least popular models are wanted all together by one kind of caller."""

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
    "crowd": CrowdComes,
    "popularity": PopularityShifts,
    "rare-models": RareModelsWanted,
}

_LOST = LinkState(connecting=Connecting.IGNORE, request=Passing.HOLD, reply=Passing.HOLD)
_CUT_STATES: dict[str, tuple[LinkState, LinkState]] = {
    "lost": (_LOST, _LOST),
    "refused": (LinkState(connecting=Connecting.REFUSE), LinkState(connecting=Connecting.REFUSE)),
    "one-way": (_LOST, HEALED),
    "replies-lost": (LinkState(reply=Passing.HOLD), HEALED),
}
