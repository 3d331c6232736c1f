"""Explores the interleavings of a small register with two owners and three replicas.

Messages are delivered in any order. A message that is not delivered represents a lost one. The
effect of a message on an actor depends only on the message and the state of the actor, so it is
computed once and cached. A state that was already reached is not explored again.
"""

from __future__ import annotations

import pickle
import random
from collections.abc import Iterator
from typing import Any

import attrs
from returns.result import Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.change_messages import ProposeChange
from zincvale.coordination.registers.messages import Accept, Prepare
from zincvale.coordination.registers.owner import NewlyChosen, RegisterOwner
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication.replica_config import ReplicaConfig, replica_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send, Write

KEY = "k"
REPLICAS = ("r1", "r2", "r3")
OWNERS = ("a", "b")
CONFIG = ReplicaConfig([replica_id(replica, "disk") for replica in REPLICAS])
START = "start"


def append_text(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    return Success([RowChange("text", rows.get("text", b"") + change)])


@attrs.frozen
class InFlightMessage:
    """A message that was sent and is not delivered yet."""

    sender: str
    receiver: str
    message: int
    """Index into the explorer's table of distinct messages."""


@attrs.frozen
class SystemState:
    """State of the whole system; it contains indices into the explorer's tables to hash cheaply."""

    actors: tuple[int, ...]
    in_flight: frozenset[InFlightMessage]
    chosen: frozenset[tuple[int, bytes]]
    starts_left: tuple[int, ...]


@attrs.frozen
class StepResult:
    """Result of one input to an actor: its new state, the messages sent and the values chosen."""

    actor: int
    sent: frozenset[InFlightMessage]
    chosen: frozenset[tuple[int, bytes]]


class Explorer:
    """Explores a system of two owners with one change each and three empty replicas."""

    def __init__(self) -> None:
        self._names = [*OWNERS, *REPLICAS]
        self._actors: list[bytes] = []
        self._actor_index: dict[str, int] = {}
        self._messages: list[Any] = []
        self._message_index: dict[str, int] = {}
        self._steps: dict[tuple[int, str, int], StepResult] = {}

    def initial_state(self, starts: tuple[int, ...]) -> SystemState:
        """Return the initial state; `starts` limits how often each owner may take a new epoch."""
        actors = [self._new_owner(name) for name in OWNERS]
        actors += [RegisterReplica(RecoveredState("disk"), Timings()) for _ in REPLICAS]
        return SystemState(
            tuple(
                self._intern_actor(name, actor)
                for name, actor in zip(self._names, actors, strict=True)
            ),
            frozenset(),
            frozenset(),
            starts,
        )

    def explore(self, starts: tuple[int, ...], limit: int) -> int:
        """Visit reachable states up to `limit` and return the number of visited states."""
        state = self.initial_state(starts)
        seen = {state}
        pending = [state]
        while pending and len(seen) < limit:
            for after in self._successors(pending.pop()):
                if after not in seen:
                    seen.add(after)
                    pending.append(after)
        return len(seen)

    def walk_randomly(self, starts: tuple[int, ...], random_source: random.Random) -> int:
        """Take random steps until none is possible and return the number of chosen versions."""
        state = self.initial_state(starts)
        while True:
            successors = list(self._successors(state))
            if not successors:
                return len(state.chosen)
            state = random_source.choice(successors)

    def _new_owner(self, name: str) -> RegisterOwner:
        owner = RegisterOwner(KEY, f"{name}/1", append_text, Timings())
        owner.submit(name, ProposeChange(KEY, f"order-{name}", None, name.encode()), 0.0)
        return owner

    def _successors(self, state: SystemState) -> Iterator[SystemState]:
        for index, left in enumerate(state.starts_left):
            if left:
                starts_left = tuple(
                    count - (owner_index == index)
                    for owner_index, count in enumerate(state.starts_left)
                )
                step = self._step(state.actors[index], self._names[index], "", -1)
                yield self._apply(state, index, step, None, starts_left)
        for in_flight in state.in_flight:
            index = self._names.index(in_flight.receiver)
            step = self._step(
                state.actors[index], in_flight.receiver, in_flight.sender, in_flight.message
            )
            yield self._apply(state, index, step, in_flight, state.starts_left)

    def _apply(
        self,
        state: SystemState,
        index: int,
        step: StepResult,
        delivered: InFlightMessage | None,
        starts: tuple[int, ...],
    ) -> SystemState:
        actors = (*state.actors[:index], step.actor, *state.actors[index + 1 :])
        in_flight = (state.in_flight - {delivered} if delivered else state.in_flight) | step.sent
        chosen = state.chosen | step.chosen
        if step.chosen:
            _check_chosen(chosen)
        return SystemState(actors, in_flight, chosen, starts)

    def _step(self, actor: int, name: str, sender: str, message: int) -> StepResult:
        result = self._steps.get((actor, sender, message))
        if result is None:
            result = self._compute_step(actor, name, sender, message)
            self._steps[(actor, sender, message)] = result
        return result

    def _compute_step(self, actor: int, name: str, sender: str, message: int) -> StepResult:
        machine = pickle.loads(self._actors[actor])
        if message < 0:
            effects = machine.start(CONFIG, CONFIG, CONFIG.replicas, 0.0)
        elif name in OWNERS:
            effects = machine.handle(MemberId(sender), self._messages[message], 0.0)
        else:
            effects = _deliver_to_replica(machine, sender, self._messages[message])
        chosen = _take_chosen(machine) if name in OWNERS else frozenset()
        sent = frozenset(
            self._intern_message(name, effect) for effect in effects if isinstance(effect, Send)
        )
        return StepResult(self._intern_actor(name, machine), sent, chosen)

    def _intern_message(self, sender: str, effect: Send) -> InFlightMessage:
        text = repr(effect.message)
        if text not in self._message_index:
            self._message_index[text] = len(self._messages)
            self._messages.append(effect.message)
        return InFlightMessage(sender, str(effect.to), self._message_index[text])

    def _intern_actor(self, name: str, machine: Any) -> int:
        state = _owner_state(machine) if name in OWNERS else repr(machine.state(KEY))
        text = f"{name} {state}"
        if text not in self._actor_index:
            self._actor_index[text] = len(self._actors)
            self._actors.append(pickle.dumps(machine))
        return self._actor_index[text]


def _deliver_to_replica(replica: RegisterReplica, sender: str, message: object) -> list[Effect]:
    assert isinstance(message, Prepare | Accept)
    effects = replica.handle(MemberId(sender), message, KEY)
    for effect in list(effects):
        if isinstance(effect, Write):
            effects += replica.handle_written(effect.token, "", 0.0)
    return effects


def _owner_state(owner: RegisterOwner) -> str:
    flight = owner._in_flight
    in_flight = (flight.record.position, sorted(flight.acknowledged)) if flight else None
    promises = sorted((name, repr(update)) for name, update in owner._promises.items())
    numbers = (owner._highest_number, sorted(owner._replicas_with_record), len(owner._queue))
    return repr((owner.phase, owner.epoch, promises, owner.record, in_flight, numbers))


def _take_chosen(owner: RegisterOwner) -> frozenset[tuple[int, bytes]]:
    outcomes, owner.outcomes = owner.outcomes, []
    return frozenset(
        (outcome.record.position.version, outcome.record.rows.get("text", b""))
        for outcome in outcomes
        if isinstance(outcome, NewlyChosen)
    )


def _check_chosen(chosen: frozenset[tuple[int, bytes]]) -> None:
    """Check that each version has one chosen text and that each text extends the earlier ones."""
    ordered = sorted(chosen)
    for (version, text), (later_version, later_text) in zip(ordered, ordered[1:], strict=False):
        assert version != later_version, f"version {version} is {text!r} and {later_text!r}"
        assert later_text.startswith(text), f"{later_text!r} lost {text!r}"
