"""Seeded world for claims: nodes, a faulty network, back ends that count what ran, and callers.

Virtual time only. The world checks what callers were promised, from what really ran.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from zincvale.dataplane.claims.events import (
    ClaimRequested,
    Confirmed,
    Decided,
    LiveMembersChanged,
    OutcomeReached,
    ReleaseRequested,
    RenewalRequested,
    ViewsReceived,
    WakeAt,
)
from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.claims.node_machine import ClaimsNode
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.inference.dependencies import ClaimGranted, RecordedOutcome
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.machine import Call, CallFailed, CallReceived, CallReplied, Reply, Tick
from zincvale.model.outcomes import Outcome

TICK_S = 0.05
LEASE_S = 2.0
ZONES = ("zone-a", "zone-b", "zone-c")


@attrs.define
class Profile:
    """How bad the world is."""

    loss: float = 0.02
    duplicate: float = 0.03
    slow: float = 0.05
    slow_s: float = 2.5
    fault_every_s: float = 1.0
    request_every_s: float = 0.25
    attempts: int = 4
    slow_dispatch: float = 0.15
    duration_s: float = 12.0
    fleet_restart: bool = False
    spread_s: float = 6.0
    faults: tuple[str, ...] = ("crash", "zone", "freeze", "cut", "isolate", "replace")


PROFILES = {
    "calm": Profile(loss=0.0, duplicate=0.0, slow=0.0, faults=(), duration_s=3.0),
    "mixed": Profile(),
    "views": Profile(
        faults=("replace", "replace", "replace", "freeze", "cut", "crash"),
        fault_every_s=0.8,
        slow=0.1,
    ),
    "restarts": Profile(
        faults=("crash", "zone", "crash", "freeze"),
        fault_every_s=0.5,
        request_every_s=0.12,
        slow=0.15,
    ),
    "lossy-restarts": Profile(
        faults=("crash", "zone", "crash"),
        fault_every_s=0.6,
        request_every_s=0.1,
        loss=0.35,
        slow=0.1,
    ),
    "lossy-views": Profile(
        faults=("replace", "replace", "crash"),
        fault_every_s=1.0,
        request_every_s=0.1,
        loss=0.3,
        slow=0.1,
    ),
    "fleet": Profile(
        faults=("freeze", "crash"),
        request_every_s=0.25,
        slow_dispatch=0.6,
        fleet_restart=True,
        attempts=8,
        spread_s=14.0,
        duration_s=16.0,
    ),
    "cuts": Profile(
        faults=("cut", "cut", "isolate", "freeze", "crash"),
        fault_every_s=0.3,
        request_every_s=0.12,
        attempts=6,
        slow=0.1,
        loss=0.1,
    ),
}


@attrs.define
class Node:
    """One node's process."""

    name: MemberId
    zone: str
    machine: ClaimsNode
    incarnation: str
    is_up: bool = True
    frozen_at: float = 0.0
    frozen_until: float = 0.0
    is_isolated: bool = False
    backlog: list[Callable[[], None]] = attrs.field(factory=list)


class SimulatedCluster:
    """Runs one seed."""

    releases_unknown = False
    """Mutation: give claims back whose request may have run."""

    def __init__(self, seed: int, profile: Profile | None = None, nodes: int = 8) -> None:
        self.random = Random(seed)
        self.profile = profile or Profile()
        self.timings = ClaimTimings()
        self.now = 100.0
        self.nodes: dict[MemberId, Node] = {}
        self.runs: Counter[str] = Counter()
        self.dispatches: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.answers: dict[str, set[bytes]] = {}
        self.decisions: list[tuple[str, object]] = []
        self.forgotten: set[str] = set()
        self.delays: dict[tuple[MemberId, MemberId], float] = {}
        self.fixed_fate: float | None = None
        self.fixed_dispatch_s: float | None = None
        self.trace: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tokens = itertools.count(1)
        self._on_token: dict[str, Callable[[object], None]] = {}
        self._cuts: set[tuple[MemberId, MemberId]] = set()
        self._node_numbers = itertools.count(1)
        self.views: list[ViewList] = []
        registered = {}
        for _ in range(nodes):
            node = self._new_node()
            registered[str(node.name)] = node.zone
        self.views.append(ViewList(1, registered))
        for node in self.nodes.values():
            self.start(node)

    # Time

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run_for(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # Nodes

    def _new_node(self) -> Node:
        number = next(self._node_numbers)
        zone = ZONES[(number - 1) % len(ZONES)]
        name = MemberId(f"node-{number}")
        node = Node(name, zone, None, "")  # type: ignore[arg-type]
        self.nodes[name] = node
        return node

    def add_node(self) -> Node:
        """Start a process that is not registered yet."""
        node = self._new_node()
        self.start(node)
        return node

    def start(self, node: Node) -> None:
        node.incarnation = f"i{next(self._tokens)}"
        node.is_up = True
        node.frozen_until = 0.0
        node.backlog = []
        node.machine = ClaimsNode(
            node.name, node.incarnation, Random(next(self._tokens)), self.timings, self.now
        )
        incarnation = node.incarnation
        self.at(self.random.random() * 0.3, lambda: self._poll_core(node, incarnation))
        self.at(self.random.random() * TICK_S, lambda: self._tick(node, incarnation))

    def crash(self, node: Node) -> None:
        self.trace.append(f"{self.now:.3f} crash {node.name}")
        node.is_up = False
        node.machine = None  # type: ignore[assignment]

    def freeze(self, node: Node, duration_s: float) -> None:
        self.trace.append(f"{self.now:.3f} freeze {node.name} {duration_s:.2f}")
        node.frozen_at = self.now
        node.frozen_until = self.now + duration_s
        self.at(duration_s, lambda: self._thaw(node))

    def _thaw(self, node: Node) -> None:
        if node.is_up and node.frozen_until <= self.now:
            backlog, node.backlog = node.backlog, []
            for action in backlog:
                action()

    def on_node(self, node: Node, incarnation: str, action: Callable[[], None]) -> None:
        """Run `action` in the process, after its freeze, unless it died."""
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until > self.now:
            node.backlog.append(lambda: self.on_node(node, incarnation, action))
            return
        action()

    def feed(self, node: Node, event: object) -> None:
        self._carry_out(node, node.machine.handle(event, self.now))  # type: ignore[arg-type]

    def _tick(self, node: Node, incarnation: str) -> None:
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until <= self.now:
            self.feed(node, Tick())
        self.at(TICK_S, lambda: self._tick(node, incarnation))

    def _poll_core(self, node: Node, incarnation: str) -> None:
        """The node hears of members and of registered nodes, unless cut off from the core."""
        if not node.is_up or node.incarnation != incarnation:
            return
        if not node.is_isolated and node.frozen_until <= self.now:
            live = {
                other.name: other.incarnation for other in self.nodes.values() if self.leases(other)
            }
            self.feed(node, LiveMembersChanged(live))
            self.feed(node, ViewsReceived(self.views[-4:]))
        self.at(0.2 + self.random.random() * 0.6, lambda: self._poll_core(node, incarnation))

    def leases(self, node: Node) -> bool:
        is_frozen = node.frozen_until > self.now and self.now > node.frozen_at + LEASE_S
        return node.is_up and not node.is_isolated and not is_frozen

    # Network

    def _carry_out(self, node: Node, effects: list) -> None:
        incarnation = node.incarnation
        for effect in effects:
            match effect:
                case Call():
                    self._call(node, effect)
                case Decided(token, decision):
                    self._on_token.pop(token)(decision)
                case Confirmed(token, is_confirmed):
                    self._on_token.pop(token)(is_confirmed)
                case WakeAt(at):
                    self.at(
                        max(0.0, at - self.now),
                        lambda: self.on_node(node, incarnation, lambda: self.feed(node, Tick())),
                    )

    def _call(self, node: Node, call: Call) -> None:
        other = self.nodes[call.to]
        incarnation = node.incarnation
        is_answered = [False]

        def finish(event: object) -> None:
            if not is_answered[0]:
                is_answered[0] = True
                self.on_node(node, incarnation, lambda: self.feed(node, event))

        if other is node:
            reply = self._serve(node, node.name, call.message)
            self.at(0.0, lambda: finish(CallReplied(call.token, reply)))
            return
        self.at(call.timeout_s, lambda: finish(CallFailed(call.token, "timeout")))
        for _ in range(2 if self.random.random() < self.profile.duplicate else 1):
            self._carry(node, other, lambda: self._arrive(node, other, call, finish))

    def _arrive(self, node: Node, other: Node, call: Call, finish: Callable) -> None:
        if not other.is_up:
            finish(CallFailed(call.token, "refused"))
            return

        def serve() -> None:
            reply = self._serve(other, node.name, call.message)
            self._carry(other, node, lambda: finish(CallReplied(call.token, reply)))

        self.on_node(other, other.incarnation, serve)

    def _serve(self, node: Node, sender: MemberId, message: object) -> object:
        token = f"serve-{next(self._tokens)}"
        self.served[type(message).__name__] += 1
        effects = node.machine.handle(CallReceived(sender, token, message), self.now)
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        self._carry_out(node, [effect for effect in effects if not isinstance(effect, Reply)])
        return replies[0].message

    def _carry(self, node: Node, other: Node, deliver: Callable[[], None]) -> None:
        if (node.name, other.name) in self._cuts or self.random.random() < self.profile.loss:
            return
        delay_s = 0.0005 + self.random.random() * 0.004
        if self.random.random() < self.profile.slow:
            delay_s = self.random.random() * self.profile.slow_s
        delay_s += self.delays.get((node.name, other.name), 0.0)
        self.at(delay_s, deliver)

    def cut(self, node: MemberId, *others: MemberId) -> None:
        """Lose every message between `node` and the others."""
        for other in others:
            self._cuts |= {(node, other), (other, node)}

    def mend(self) -> None:
        """Lose no more messages than the profile says."""
        self._cuts.clear()
        self.delays.clear()

    def mend_links(self, node: MemberId) -> None:
        """Lose no more messages from or to a node."""
        self._cuts = {link for link in self._cuts if node not in link}

    # Faults within what the group is made to survive

    def impaired(self) -> list[Node]:
        registered = self.views[-1].nodes
        return [
            node
            for node in self.nodes.values()
            if node.name in registered
            and (
                not node.is_up
                or node.is_isolated
                or node.frozen_until > self.now
                or not node.machine.readiness.may_vote
            )
        ]

    def survives_loss_of(self, nodes: list[Node]) -> bool:
        lost = {node.name: node for node in [*self.impaired(), *nodes]}
        return len(lost) <= 2 or len({node.zone for node in lost.values()}) == 1

    def fault(self) -> None:
        if not self.profile.faults:
            return
        kind = self.random.choice(self.profile.faults)
        node = self.random.choice(list(self.nodes.values()))
        if not node.is_up or node.frozen_until > self.now or node.is_isolated:
            return
        match kind:
            case "crash" if self.survives_loss_of([node]):
                self.crash(node)
                self.at(0.2 + self.random.random() * 3, lambda: self.start(node))
            case "zone":
                self._lose_zone(node.zone)
            case "freeze" if self.survives_loss_of([node]):
                self.freeze(node, self.random.choice((0.5, 2.5, 4.0)) * self.random.random() * 2)
            case "cut":
                self._cut(node)
            case "isolate" if self.survives_loss_of([node]):
                self._isolate(node)
            case "replace" if not self.impaired():
                self._replace(node)

    def _lose_zone(self, zone: str) -> None:
        lost = [node for node in self.nodes.values() if node.zone == zone and node.is_up]
        if not self.survives_loss_of(lost):
            return
        for node in lost:
            self.crash(node)
            self.at(0.2 + self.random.random() * 2, lambda node=node: self.start(node))

    def _cut(self, node: Node) -> None:
        other = self.random.choice(list(self.nodes.values()))
        pairs = {(node.name, other.name), (other.name, node.name)}
        if self.random.random() < 0.5:
            pairs = {(node.name, other.name)}
        self._cuts |= pairs
        self.at(self.random.random() * 3, lambda: self._cuts.difference_update(pairs))

    def _isolate(self, node: Node) -> None:
        others = self.nodes
        pairs = {(node.name, other) for other in others} | {(other, node.name) for other in others}
        self.trace.append(f"{self.now:.3f} isolate {node.name}")
        node.is_isolated = True
        self._cuts |= pairs

        def heal() -> None:
            node.is_isolated = False
            self._cuts.difference_update(pairs)

        self.at(self.random.random() * 5, heal)

    def _replace(self, node: Node) -> None:
        """Register new nodes in place of one, which may be lost, or of up to three."""
        registered = dict(self.views[-1].nodes)
        if node.name not in registered:
            return
        count = self.random.randint(1, 3)
        leaving = [node.name, *sorted(registered.keys() - {node.name})[: count - 1]]
        for name in leaving:
            del registered[name]
            new = self.add_node()
            registered[new.name] = new.zone
        self.views.append(ViewList(self.views[-1].version + 1, registered))
        self.trace.append(f"{self.now:.3f} view {self.views[-1].version}: {leaving} left")
        if count == 1 and self.random.random() < 0.5:
            self.crash(node)

    def restart_fleet(self) -> None:
        """Restart every node but one at once, which stays frozen meanwhile.

        What ran before may run again, and is not counted any more; what had not run must not run
        twice afterwards.
        """
        running = [node for node in self.nodes.values() if node.is_up]
        frozen = running.pop(self.random.randrange(len(running)))
        self.freeze(frozen, 9.0 + self.random.random() * 3)
        for node in running:
            self.crash(node)
        for node in self.nodes.values():
            if not node.is_up:
                self.start(node)
        self.forgotten = set(self.runs)

    # Request path and callers

    def attempt(
        self,
        node: Node,
        request_id: str,
        deadline_s: float = 6.0,
        then: Callable[[object], None] = lambda decision: None,
    ) -> None:
        """One caller's attempt through `node`."""
        if not node.is_up:
            return
        incarnation = node.incarnation
        self.on_node(
            node, incarnation, lambda: self._claim(node, RequestId(request_id), deadline_s, then)
        )

    def _claim(
        self, node: Node, request_id: RequestId, deadline_s: float, then: Callable[[object], None]
    ) -> None:
        token = f"claim-{next(self._tokens)}"
        incarnation = node.incarnation
        deadline_at = self.now + deadline_s

        def decided(decision: object) -> None:
            self.decisions.append((request_id, decision))
            then(decision)
            if isinstance(decision, RecordedOutcome) and decision.outcome is Outcome.ANSWERED:
                self.answers.setdefault(request_id, set()).add(decision.body)
            if isinstance(decision, ClaimGranted):
                self._dispatch_later(node, incarnation, request_id, deadline_at)

        self._on_token[token] = decided
        self.feed(node, ClaimRequested(token, request_id, "digest", deadline_at))

    def _dispatch_later(
        self, node: Node, incarnation: str, request_id: RequestId, deadline_at: float
    ) -> None:
        delay_s = self.random.random() * 0.005
        if self.random.random() < self.profile.slow_dispatch:
            delay_s = self.random.random() * 3
        if self.fixed_dispatch_s is not None:
            delay_s = self.fixed_dispatch_s
        self.at(
            delay_s,
            lambda: self.on_node(
                node, incarnation, lambda: self._dispatch(node, request_id, deadline_at)
            ),
        )

    def _dispatch(self, node: Node, request_id: RequestId, deadline_at: float) -> None:
        if not node.machine.may_dispatch(request_id, self.now):
            self._renew(node, request_id, deadline_at)
            return
        self.dispatches[request_id] += 1
        fate = self.random.random() if self.fixed_fate is None else self.fixed_fate
        incarnation = node.incarnation
        if fate < 0.25:
            self._after(node, incarnation, lambda: self._refused(node, request_id))
            return
        self.runs[request_id] += 1
        self.trace.append(f"{self.now:.3f} run {request_id} by {node.name}/{incarnation}")
        outcome = Outcome.ANSWERED if fate < 0.85 else Outcome.UNKNOWN
        body = f"{request_id} run {self.runs[request_id]}".encode()
        self._after(node, incarnation, lambda: self._ended(node, request_id, outcome, body))

    def _renew(self, node: Node, request_id: RequestId, deadline_at: float) -> None:
        token = f"renew-{next(self._tokens)}"
        incarnation = node.incarnation

        def renewed(is_confirmed: object) -> None:
            if is_confirmed:
                self._dispatch_later(node, incarnation, request_id, deadline_at)
            else:
                self._refused(node, request_id)

        self._on_token[token] = renewed
        self.feed(node, RenewalRequested(token, request_id, max(deadline_at, self.now + 1)))

    def _after(self, node: Node, incarnation: str, action: Callable[[], None]) -> None:
        delay_s = self.random.random() * (2.0 if self.random.random() < 0.1 else 0.05)
        self.at(delay_s, lambda: self.on_node(node, incarnation, action))

    def _refused(self, node: Node, request_id: RequestId) -> None:
        token = f"release-{next(self._tokens)}"
        self._on_token[token] = lambda confirmed: None
        self.feed(node, ReleaseRequested(token, request_id))

    def _ended(self, node: Node, request_id: RequestId, outcome: Outcome, body: bytes) -> None:
        if outcome is Outcome.UNKNOWN and self.releases_unknown:
            self._refused(node, request_id)
            return
        token = f"record-{next(self._tokens)}"
        self._on_token[token] = lambda confirmed: None
        if outcome is Outcome.ANSWERED:
            self.answers.setdefault(request_id, set()).add(body)
        self.feed(node, OutcomeReached(token, request_id, outcome, 200, {}, body))

    # A whole run

    def play(self) -> None:
        """Start, let callers and faults loose, heal, and let everything settle."""
        self.run_for(self.timings.quarantine_s + 1.0)
        end = self.now + self.profile.duration_s
        fleet_restart_at = self.now + 3.0
        numbers = itertools.count(1)
        while self.now < end:
            if self.profile.fleet_restart and not self.forgotten and self.now >= fleet_restart_at:
                self.restart_fleet()
            if self.random.random() < TICK_S / self.profile.request_every_s:
                self._new_request(f"request-{next(numbers)}")
            if self.random.random() < TICK_S / self.profile.fault_every_s:
                self.fault()
            self.run_for(TICK_S)
        self.run_for(8.0)

    def _new_request(self, request_id: str) -> None:
        spread_s = self.random.choice((0.003, 0.3, self.profile.spread_s))
        for _ in range(self.random.randint(1, self.profile.attempts)):
            self.at(
                self.random.random() * spread_s,
                lambda: self.attempt(self.random.choice(list(self.nodes.values())), request_id),
            )

    def violations(self) -> list[str]:
        """The requests that ran twice, or were answered in two ways."""
        found = [name for name, count in self.runs.items() if count > 1]
        found += [name for name, seen in self.answers.items() if len(seen) > 1]
        return sorted(set(found) - self.forgotten)
