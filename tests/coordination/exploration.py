"""Every interleaving of a small register: owners, replicas, and messages in any order or never.

A message that is never delivered stands for a lost one. An actor's step depends on its own state
and the message alone, so each step is worked out once and looked up afterwards; states that were
reached before are not explored again.
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
class Flying:
    """A message on its way."""

    sender: str
    receiver: str
    message: int
    """Index into the explorer's table of distinct messages."""


@attrs.frozen
class World:
    """Everything at one moment: indices into the explorer's tables, so that it hashes cheaply."""

    actors: tuple[int, ...]
    flying: frozenset[Flying]
    chosen: frozenset[tuple[int, bytes]]
    starts_left: tuple[int, ...]


@attrs.frozen
class Step:
    """What one input does to an actor."""

    actor: int
    sent: frozenset[Flying]
    chosen: frozenset[tuple[int, bytes]]


class Explorer:
    """Explores from two owners with one change each to three empty replicas."""

    def __init__(self) -> None:
        self._names = [*OWNERS, *REPLICAS]
        self._actors: list[bytes] = []
        self._actor_index: dict[str, int] = {}
        self._messages: list[Any] = []
        self._message_index: dict[str, int] = {}
        self._steps: dict[tuple[int, str, int], Step] = {}

    def first_world(self, starts: tuple[int, ...]) -> World:
        """Return the beginning; each owner may try to take the key so many times."""
        actors = [self._owner(name) for name in OWNERS]
        actors += [RegisterReplica(RecoveredState("disk"), Timings()) for _ in REPLICAS]
        return World(
            tuple(
                self._intern_actor(name, each)
                for name, each in zip(self._names, actors, strict=True)
            ),
            frozenset(),
            frozenset(),
            starts,
        )

    def explore(self, starts: tuple[int, ...], limit: int) -> int:
        """Visit every state, up to `limit`; return how many there were."""
        world = self.first_world(starts)
        seen = {world}
        pending = [world]
        while pending and len(seen) < limit:
            for after in self._successors(pending.pop()):
                if after not in seen:
                    seen.add(after)
                    pending.append(after)
        return len(seen)

    def walk(self, starts: tuple[int, ...], random_source: random.Random) -> int:
        """Take random steps until none is left; return the number of chosen versions."""
        world = self.first_world(starts)
        while True:
            successors = list(self._successors(world))
            if not successors:
                return len(world.chosen)
            world = random_source.choice(successors)

    def _owner(self, name: str) -> RegisterOwner:
        owner = RegisterOwner(KEY, f"{name}/1", append_text, Timings())
        owner.submit(name, ProposeChange(KEY, f"order-{name}", None, name.encode()), 0.0)
        return owner

    def _successors(self, world: World) -> Iterator[World]:
        for index, left in enumerate(world.starts_left):
            if left:
                starts_left = tuple(
                    each - (place == index) for place, each in enumerate(world.starts_left)
                )
                step = self._step(world.actors[index], self._names[index], "", -1)
                yield self._apply(world, index, step, None, starts_left)
        for flying in world.flying:
            index = self._names.index(flying.receiver)
            step = self._step(world.actors[index], flying.receiver, flying.sender, flying.message)
            yield self._apply(world, index, step, flying, world.starts_left)

    def _apply(
        self, world: World, index: int, step: Step, taken: Flying | None, starts: tuple[int, ...]
    ) -> World:
        actors = (*world.actors[:index], step.actor, *world.actors[index + 1 :])
        flying = (world.flying - {taken} if taken else world.flying) | step.sent
        chosen = world.chosen | step.chosen
        if step.chosen:
            _check_chosen(chosen)
        return World(actors, flying, chosen, starts)

    def _step(self, actor: int, name: str, sender: str, message: int) -> Step:
        known = self._steps.get((actor, sender, message))
        if known is None:
            known = self._work_out(actor, name, sender, message)
            self._steps[(actor, sender, message)] = known
        return known

    def _work_out(self, actor: int, name: str, sender: str, message: int) -> Step:
        machine = pickle.loads(self._actors[actor])
        if message < 0:
            effects = machine.start(CONFIG, CONFIG, CONFIG.replicas, 0.0)
        elif name in OWNERS:
            effects = machine.handle(MemberId(sender), self._messages[message], 0.0)
        else:
            effects = _to_replica(machine, sender, self._messages[message])
        chosen = _chosen(machine) if name in OWNERS else frozenset()
        sent = frozenset(self._fly(name, effect) for effect in effects if isinstance(effect, Send))
        return Step(self._intern_actor(name, machine), sent, chosen)

    def _fly(self, sender: str, effect: Send) -> Flying:
        text = repr(effect.message)
        if text not in self._message_index:
            self._message_index[text] = len(self._messages)
            self._messages.append(effect.message)
        return Flying(sender, str(effect.to), self._message_index[text])

    def _intern_actor(self, name: str, machine: Any) -> int:
        state = _owner_state(machine) if name in OWNERS else repr(machine.state(KEY))
        text = f"{name} {state}"
        if text not in self._actor_index:
            self._actor_index[text] = len(self._actors)
            self._actors.append(pickle.dumps(machine))
        return self._actor_index[text]


def _to_replica(replica: RegisterReplica, sender: str, message: object) -> list[Effect]:
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


def _chosen(owner: RegisterOwner) -> frozenset[tuple[int, bytes]]:
    outcomes, owner.outcomes = owner.outcomes, []
    return frozenset(
        (outcome.record.position.version, outcome.record.rows.get("text", b""))
        for outcome in outcomes
        if isinstance(outcome, NewlyChosen)
    )


def _check_chosen(chosen: frozenset[tuple[int, bytes]]) -> None:
    """Every version was chosen with one text, and each text continues the earlier ones."""
    ordered = sorted(chosen)
    for (version, text), (later_version, later_text) in zip(ordered, ordered[1:], strict=False):
        assert version != later_version, f"version {version} is {text!r} and {later_text!r}"
        assert later_text.startswith(text), f"{later_text!r} lost {text!r}"
