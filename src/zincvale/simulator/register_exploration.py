"""Model checking of a register with 3 replicas and 2 proposers over the orders of its events.

The events are deliveries of messages, starts of proposers, and restarts and crashes of replicas. A
message that is never delivered represents a lost one, so losses and delays need no events of their
own. A replica may restart at any moment with what its disk holds. A state that was visited before
is not explored again. The step of an actor depends only on its own state and the event, so each
step is computed once.

Checked in every state: a version has one value, a later version extends it, no order is applied
twice, and the newest chosen version is on the disks of a majority.
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
from zincvale.coordination.registers.epochs import Position
from zincvale.coordination.registers.messages import Accepted, BaseVersionMissing, Promise
from zincvale.coordination.registers.owner import NewlyChosen, OwnerPhase, RegisterOwner
from zincvale.coordination.registers.record_codec import StoredKeyState, decode_chain
from zincvale.coordination.registers.recovered_state import RecoveredKey, RecoveredState
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication.replica_config import ReplicaConfig, replica_id
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send, Write

KEY = "k"
DISK = "disk"
PROPOSERS = ("a", "b")
REPLICAS = ("r1", "r2", "r3")
ACTOR_NAMES = (*PROPOSERS, *REPLICAS)
"""Names of the actors by index: the proposers first."""
CONFIG = ReplicaConfig([replica_id(replica, DISK) for replica in REPLICAS])
ORDERS = {"a": ("A",), "b": ("B", "A")}
"""The orders that each proposer submits; `b` resends the order of `a`."""
MAJORITY = len(REPLICAS) // 2 + 1
START = -1
"""Event: a proposer tries to become the owner of the key."""
RESTART = -2
"""Event: a replica restarts from its disk."""
CRASH = -3
"""Event `CRASH - i`: message `i` is delivered and the receiver crashes while handling it."""


@attrs.frozen
class Chosen:
    """A version that a proposer learned to be chosen, and its text."""

    position: Position
    text: bytes


@attrs.frozen
class InFlightMessage:
    """A message in flight: indices of its sender, its receiver and its content."""

    sender: int
    receiver: int
    message: int


@attrs.frozen
class ModelState:
    """A state of the whole model, as indices into the explorer's tables.

    Attributes
    ----------
    actors : state of each actor.
    flights : messages in flight.
    chosen : set of the versions that were chosen so far.
    starts_left : number of remaining starts of each proposer.
    """

    actors: tuple[int, ...]
    flights: tuple[int, ...]
    chosen: int
    starts_left: tuple[int, ...]


@attrs.frozen
class _Step:
    """The result of an event at an actor: its next state, sent messages and chosen versions."""

    actor: int
    sent: tuple[int, ...]
    chosen: tuple[Chosen, ...]


@attrs.define
class _Replica:
    """A replica and the files on its disk."""

    machine: RegisterReplica
    files: list[bytes] = attrs.field(factory=list)
    last_file: int = 0

    def restart(self) -> None:
        """Restart the replica with the state that is on its disk."""
        keys = {KEY: RecoveredKey(list(self.files), self.last_file)} if self.files else {}
        self.machine = RegisterReplica(RecoveredState(DISK, keys), Timings())

    def durable(self) -> StoredKeyState:
        """Return the state that is stored on the disk."""
        return decode_chain(self.files) if self.files else StoredKeyState()

    def handle_and_crash(self, sender: str, message: Any) -> list[Effect]:
        """Handle a request, restart before its write is durable, and return the messages sent.

        Without a write the result is empty: a delivery followed by a restart covers that case.
        """
        effects = self.machine.handle(MemberId(sender), message, KEY)
        self.restart()
        is_writing = any(isinstance(effect, Write) for effect in effects)
        return [each for each in effects if isinstance(each, Send)] if is_writing else []

    def handle(self, sender: str, message: Any) -> list[Effect]:
        """Handle a request and complete its write."""
        effects = list(self.machine.handle(MemberId(sender), message, KEY))
        for effect in list(effects):
            if isinstance(effect, Write):
                if effect.content[:1] == b"S":
                    self.files = []
                self.files.append(effect.content)
                self.last_file = effect.version
                effects += self.machine.handle_written(effect.token, "", 0.0)
        return effects


@attrs.define
class Exploration:
    """The result of an exploration.

    Attributes
    ----------
    states : number of distinct states visited.
    transitions : number of events executed.
    depth : largest number of events from the first state.
    is_complete : whether every reachable state was visited.
    chosen : largest number of versions chosen in one state.
    problem : description of the first violation; empty if there was none.
    """

    states: int = 0
    transitions: int = 0
    depth: int = 0
    is_complete: bool = False
    chosen: int = 0
    problem: str = ""


class Explorer:
    """Explores the states of one register."""

    def __init__(self) -> None:
        self._actors: list[bytes] = []
        self._durable_positions: list[Position] = []
        self._proposer_progress: list[Any] = []
        self._index_by_actor: dict[str, int] = {}
        self._messages: list[Any] = []
        self._index_by_message: dict[str, int] = {}
        self._flights: list[InFlightMessage] = []
        self._index_by_flight: dict[InFlightMessage, int] = {}
        self._chosen: list[frozenset[Chosen]] = [frozenset()]
        self._index_by_chosen: dict[frozenset[Chosen], int] = {frozenset(): 0}
        self._steps: dict[tuple[int, int, int], _Step] = {}

    def explore(self, starts: tuple[int, ...], limit: int) -> Exploration:
        """Visit the states depth first, at most `limit` of them."""
        found = Exploration()
        first = self._first_state(starts)
        seen = {first}
        pending = [(first, 0)]
        while pending and len(seen) < limit:
            state, depth = pending.pop()
            found.depth = max(found.depth, depth)
            for successor in self._successors(state):
                found.transitions += 1
                if successor in seen:
                    continue
                found.problem = self._find_problem(successor)
                if found.problem:
                    return self._finish(found, seen)
                seen.add(successor)
                pending.append((successor, depth + 1))
        found.is_complete = not pending
        return self._finish(found, seen)

    def walk(self, starts: tuple[int, ...], walks: int, seed: int) -> Exploration:
        """Perform random walks, each of which ends when no event is possible."""
        found = Exploration()
        source = random.Random(seed)
        for _ in range(walks):
            state = self._first_state(starts)
            depth = 0
            while successors := list(self._successors(state)):
                state = source.choice(successors)
                depth += 1
                found.problem = self._find_problem(state)
                if found.problem:
                    return self._finish(found, set())
            found.transitions += depth
            found.depth = max(found.depth, depth)
        return self._finish(found, set())

    def _finish(self, found: Exploration, seen: set[ModelState]) -> Exploration:
        found.states = len(seen)
        found.chosen = max(len({each.position for each in chosen}) for chosen in self._chosen)
        return found

    # --- steps ----------------------------------------------------------------------------

    def _first_state(self, starts: tuple[int, ...]) -> ModelState:
        actors: list[Any] = [self._proposer(name) for name in PROPOSERS]
        actors += [_Replica(RegisterReplica(RecoveredState(DISK), Timings())) for _ in REPLICAS]
        indices = tuple(
            self._intern_actor(actor_index, each) for actor_index, each in enumerate(actors)
        )
        return ModelState(indices, (), 0, starts)

    def _proposer(self, name: str) -> RegisterOwner:
        owner = RegisterOwner(KEY, f"{name}/1", _append_to_text, Timings())
        for order in ORDERS[name]:
            change = ProposeChange(KEY, f"order-{order}", None, order.encode())
            owner.submit(f"{name}:{order}", change, 0.0)
        return owner

    def _successors(self, state: ModelState) -> Iterator[ModelState]:
        for actor_index, left in enumerate(state.starts_left):
            if left:
                starts = tuple(
                    each - (at == actor_index) for at, each in enumerate(state.starts_left)
                )
                step = self._step(state, actor_index, START)
                yield self._apply(state, actor_index, step, None, starts)
        for actor_index in range(len(PROPOSERS), len(ACTOR_NAMES)):
            step = self._step(state, actor_index, RESTART)
            if step.actor != state.actors[actor_index]:
                yield self._apply(state, actor_index, step, None, state.starts_left)
        for index in state.flights:
            actor_index = self._flights[index].receiver
            step = self._step(state, actor_index, index)
            yield self._apply(state, actor_index, step, index, state.starts_left)
            if actor_index >= len(PROPOSERS):
                crashed = self._step(state, actor_index, -index + CRASH)
                if crashed.sent:
                    yield self._apply(state, actor_index, crashed, index, state.starts_left)

    def _apply(
        self,
        state: ModelState,
        actor_index: int,
        step: _Step,
        delivered: int | None,
        starts: tuple[int, ...],
    ) -> ModelState:
        actors = (*state.actors[:actor_index], step.actor, *state.actors[actor_index + 1 :])
        flights = set(state.flights) | set(step.sent)
        if delivered is not None and delivered not in step.sent:
            flights.discard(delivered)
        relevant = sorted(each for each in flights if not self._is_obsolete(each, actors, starts))
        chosen = state.chosen
        if step.chosen:
            chosen = self._intern_chosen(self._chosen[chosen] | frozenset(step.chosen))
        return ModelState(actors, tuple(relevant), chosen, starts)

    def _is_obsolete(self, index: int, actors: tuple[int, ...], starts: tuple[int, ...]) -> bool:
        """Whether a message can no longer have an effect on its receiver, whatever happens."""
        flight = self._flights[index]
        if flight.receiver >= len(PROPOSERS):
            return False
        epoch, is_following = self._proposer_progress[actors[flight.receiver]]
        if is_following and not starts[flight.receiver]:
            return True
        match self._messages[flight.message]:
            case Promise(_, _, answered, _) | BaseVersionMissing(_, answered):
                return bool(answered < epoch)
            case Accepted(_, _, position):
                return bool(position.epoch < epoch)
        return False

    def _step(self, state: ModelState, actor_index: int, event: int) -> _Step:
        key = (state.actors[actor_index], actor_index, event)
        step = self._steps.get(key)
        if step is None:
            step = self._compute_step(state.actors[actor_index], actor_index, event)
            self._steps[key] = step
        return step

    def _compute_step(self, actor: int, actor_index: int, event: int) -> _Step:
        machine = pickle.loads(self._actors[actor])
        effects: list[Effect] = []
        if event == RESTART:
            machine.restart()
        elif event == START:
            effects = machine.start(CONFIG, CONFIG, CONFIG.replicas, 0.0)
        else:
            flight = self._flights[event if event >= 0 else CRASH - event]
            message = self._messages[flight.message]
            sender = ACTOR_NAMES[flight.sender]
            if event < 0:
                effects = machine.handle_and_crash(sender, message)
            elif actor_index < len(PROPOSERS):
                effects = machine.handle(MemberId(sender), message, 0.0)
            else:
                effects = machine.handle(sender, message)
        chosen = _drain_chosen(machine) if actor_index < len(PROPOSERS) else ()
        sent = [
            self._intern_flight(actor_index, effect)
            for effect in effects
            if isinstance(effect, Send)
        ]
        return _Step(self._intern_actor(actor_index, machine), tuple(sent), chosen)

    # --- tables ---------------------------------------------------------------------------

    def _intern_flight(self, sender: int, effect: Send) -> int:
        text = repr(effect.message)
        if text not in self._index_by_message:
            self._index_by_message[text] = len(self._messages)
            self._messages.append(effect.message)
        flight = InFlightMessage(
            sender, ACTOR_NAMES.index(str(effect.to)), self._index_by_message[text]
        )
        if flight not in self._index_by_flight:
            self._index_by_flight[flight] = len(self._flights)
            self._flights.append(flight)
        return self._index_by_flight[flight]

    def _intern_chosen(self, chosen: frozenset[Chosen]) -> int:
        if chosen not in self._index_by_chosen:
            self._index_by_chosen[chosen] = len(self._chosen)
            self._chosen.append(chosen)
        return self._index_by_chosen[chosen]

    def _intern_actor(self, actor_index: int, machine: Any) -> int:
        is_proposer = actor_index < len(PROPOSERS)
        state = _proposer_text(machine) if is_proposer else _replica_text(machine)
        text = f"{actor_index} {state}"
        if text not in self._index_by_actor:
            self._index_by_actor[text] = len(self._actors)
            self._actors.append(pickle.dumps(machine))
            self._durable_positions.append(
                Position() if is_proposer else machine.durable().record.position
            )
            progress = (
                (machine.epoch, machine.phase is OwnerPhase.FOLLOWING) if is_proposer else None
            )
            self._proposer_progress.append(progress)
        return self._index_by_actor[text]

    # --- checks ---------------------------------------------------------------------------

    def _find_problem(self, state: ModelState) -> str:
        chosen = sorted(self._chosen[state.chosen], key=lambda each: each.position)
        for one, later in zip(chosen, chosen[1:], strict=False):
            if one.position.version == later.position.version and one.text != later.text:
                return f"version {one.position.version} is {one.text!r} and {later.text!r}"
            if not later.text.startswith(one.text):
                return f"{later.text!r} at {later.position} lost {one.text!r} at {one.position}"
        for each in chosen:
            if len(set(each.text)) != len(each.text):
                return f"an order was applied twice: {each.text!r}"
        if chosen:
            newest = chosen[-1].position
            durable_at = [
                at for at in state.actors[len(PROPOSERS) :] if self._durable_positions[at] >= newest
            ]
            if len(durable_at) < MAJORITY:
                return f"{newest} was chosen and is on {len(durable_at)} disks"
        return ""


def explore_register(starts: tuple[int, ...], limit: int) -> Exploration:
    """Explore a register; each proposer may start as many times as `starts` says for it."""
    return Explorer().explore(starts, limit)


def walk_register(starts: tuple[int, ...], walks: int, seed: int) -> Exploration:
    """Walk through a register at random, which reaches deeper than a bounded exploration."""
    return Explorer().walk(starts, walks, seed)


def _append_to_text(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    return Success([RowChange("text", rows.get("text", b"") + change)])


def _drain_chosen(owner: RegisterOwner) -> tuple[Chosen, ...]:
    outcomes, owner.outcomes = owner.outcomes, []
    return tuple(
        Chosen(outcome.record.position, outcome.record.rows.get("text", b""))
        for outcome in outcomes
        if isinstance(outcome, NewlyChosen)
    )


def _proposer_text(owner: RegisterOwner) -> str:
    flight = owner._in_flight
    in_flight = (flight.record.position, sorted(flight.acknowledged)) if flight else None
    promises = sorted((name, repr(update)) for name, update in owner._promises.items())
    numbers = (owner._highest_number, sorted(owner._replicas_with_record), len(owner._queue))
    return repr((owner.phase, owner.epoch, promises, owner.record, in_flight, numbers))


def _replica_text(replica: _Replica) -> str:
    return f"{replica.machine.state(KEY)!r} {replica.durable()!r}"
