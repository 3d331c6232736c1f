"""Computes the state of every relayed link from the faults in force; without I/O."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.fleet.fault_kinds import LinkFault
from zincvale.fleet.fault_plan import Step
from zincvale.fleet.link_plan import PlannedLink
from zincvale.fleet.relay_links import RESET, Connecting, LinkState, Passing


@attrs.define
class NetworkState:
    """The link faults in force and the processes that are down.

    A link to a process that is down refuses connections, as the process's own address would. If the
    relay accepted them, a caller could not tell that its request was certainly not processed.
    """

    links: list[PlannedLink]
    _in_force: dict[int, Step] = attrs.field(factory=dict)
    _down: set[str] = attrs.field(factory=set)
    _sent_states: dict[str, LinkState] = attrs.field(factory=dict)

    def begin(self, step: Step) -> None:
        """Put a link fault in force."""
        self._in_force[step.fault_id] = step

    def end(self, fault_id: int) -> None:
        """Lift a link fault."""
        self._in_force.pop(fault_id, None)

    def heal(self) -> list[Step]:
        """Lift every link fault, and return them."""
        lifted = list(self._in_force.values())
        self._in_force.clear()
        return lifted

    def set_down(self, name: str, *, is_down: bool) -> None:
        """Record whether a process is down."""
        if is_down:
            self._down.add(name)
        else:
            self._down.discard(name)

    def take_changes(self) -> dict[str, LinkState]:
        """Return the new state of every link whose state has changed since the last call."""
        changed: dict[str, LinkState] = {}
        for planned in self.links:
            state = self._state_of(planned)
            if state != self._sent_states.get(planned.link.name, LinkState()):
                changed[planned.link.name] = state
                self._sent_states[planned.link.name] = state
        return changed

    def isolated(self, cores: Iterable[str]) -> list[str]:
        """Return the cores that cannot exchange messages with a majority of the cores."""
        all_cores = list(cores)
        isolated_cores = []
        for core in all_cores:
            others = [other for other in all_cores if other != core]
            reached = 1 + sum(self._can_exchange_messages(core, other) for other in others)
            if reached <= len(all_cores) // 2:
                isolated_cores.append(core)
        return isolated_cores

    def _can_exchange_messages(self, one: str, other: str) -> bool:
        for planned in self.links:
            if {planned.source, planned.target} == {one, other}:
                state = self._state_under_faults(planned)
                if state.connecting is not Connecting.ACCEPT or state.reply is Passing.HOLD:
                    return False
        return True

    def _state_of(self, planned: PlannedLink) -> LinkState:
        state = self._state_under_faults(planned)
        if planned.target in self._down and state.connecting is Connecting.ACCEPT:
            return RESET
        return state

    def _state_under_faults(self, planned: PlannedLink) -> LinkState:
        state = LinkState()
        for step in self._in_force.values():
            state = _combined_state(state, _state_under_fault(step, planned))
        return state


def _state_under_fault(step: Step, planned: PlannedLink) -> LinkState:
    assert isinstance(step.fault, LinkFault)
    source_group = _group_index(step, planned.source)
    target_group = _group_index(step, planned.target)
    if source_group is None or target_group is None or source_group == target_group:
        return LinkState()
    return step.fault.state() if source_group < target_group else step.fault.reverse_state()


def _group_index(step: Step, name: str) -> int | None:
    for index, group in enumerate(step.groups):
        if name in group:
            return index
    return None


def _combined_state(one: LinkState, other: LinkState) -> LinkState:
    rates = [rate for rate in (one.bytes_per_second, other.bytes_per_second) if rate]
    return LinkState(
        connecting=max(one.connecting, other.connecting, key=_SEVERITY.index),
        request=_hold_if_any(one.request, other.request),
        reply=_hold_if_any(one.reply, other.reply),
        delay_s=one.delay_s + other.delay_s,
        jitter_s=one.jitter_s + other.jitter_s,
        bytes_per_second=min(rates, default=0.0),
    )


def _hold_if_any(one: Passing, other: Passing) -> Passing:
    return Passing.HOLD if Passing.HOLD in (one, other) else Passing.PASS


_SEVERITY = [Connecting.ACCEPT, Connecting.REFUSE, Connecting.IGNORE]
