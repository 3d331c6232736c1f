"""Simulated cluster for claims: nodes, a faulty network, back ends that count runs, and callers.

It runs in virtual time from a seed. It checks the guarantees for callers against the runs that the
back ends counted.
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
class SimulationProfile:
    """Workload and faults of one simulation.

    Attributes
    ----------
    loss, duplicate, slow : probability that a message is lost, is sent twice, or is delayed by up
        to `max_slow_delay_s`.
    fault_interval_s, request_interval_s : mean time between two faults, or two new requests.
    max_attempts : limit of the attempts at one request, which start within up to
        `max_attempt_spread_s`.
    slow_dispatch : probability that a dispatch is delayed by up to 3 s after its grant.
    restarts_fleet : whether all nodes but one restart at once, 3 s after the workload starts.
    faults : kinds of faults, of which `inject_fault` chooses one at random.
    """

    loss: float = 0.02
    duplicate: float = 0.03
    slow: float = 0.05
    max_slow_delay_s: float = 2.5
    fault_interval_s: float = 1.0
    request_interval_s: float = 0.25
    max_attempts: int = 4
    slow_dispatch: float = 0.15
    duration_s: float = 12.0
    restarts_fleet: bool = False
    max_attempt_spread_s: float = 6.0
    faults: tuple[str, ...] = ("crash", "zone", "freeze", "cut", "isolate", "replace")


PROFILES = {
    "calm": SimulationProfile(loss=0.0, duplicate=0.0, slow=0.0, faults=(), duration_s=3.0),
    "mixed": SimulationProfile(),
    "views": SimulationProfile(
        faults=("replace", "replace", "replace", "freeze", "cut", "crash"),
        fault_interval_s=0.8,
        slow=0.1,
    ),
    "restarts": SimulationProfile(
        faults=("crash", "zone", "crash", "freeze"),
        fault_interval_s=0.5,
        request_interval_s=0.12,
        slow=0.15,
    ),
    "lossy-restarts": SimulationProfile(
        faults=("crash", "zone", "crash"),
        fault_interval_s=0.6,
        request_interval_s=0.1,
        loss=0.35,
        slow=0.1,
    ),
    "lossy-views": SimulationProfile(
        faults=("replace", "replace", "crash"),
        fault_interval_s=1.0,
        request_interval_s=0.1,
        loss=0.3,
        slow=0.1,
    ),
    "fleet": SimulationProfile(
        faults=("freeze", "crash"),
        request_interval_s=0.25,
        slow_dispatch=0.6,
        restarts_fleet=True,
        max_attempts=8,
        max_attempt_spread_s=14.0,
        duration_s=16.0,
    ),
    "cuts": SimulationProfile(
        faults=("cut", "cut", "isolate", "freeze", "crash"),
        fault_interval_s=0.3,
        request_interval_s=0.12,
        max_attempts=6,
        slow=0.1,
        loss=0.1,
    ),
}


@attrs.define
class Node:
    """One node and its current process."""

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
    """Simulates one cluster with one seed."""

    releases_unknown = False
    """Whether claims with an unknown outcome are released; only a mutation sets it."""

    def __init__(self, seed: int, profile: SimulationProfile | None = None, nodes: int = 8) -> None:
        self.random = Random(seed)
        self.profile = profile or SimulationProfile()
        self.timings = ClaimTimings()
        self.now = 100.0
        self.nodes: dict[MemberId, Node] = {}
        self.runs: Counter[str] = Counter()
        self.dispatches: Counter[str] = Counter()
        self.served_calls: Counter[str] = Counter()
        self.response_bodies: dict[str, set[bytes]] = {}
        self.decisions: list[tuple[str, object]] = []
        self.excluded_requests: set[str] = set()
        self.link_delays: dict[tuple[MemberId, MemberId], float] = {}
        self.fixed_outcome_draw: float | None = None
        self.fixed_dispatch_delay_s: float | None = None
        self.trace: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tokens = itertools.count(1)
        self._on_token: dict[str, Callable[[object], None]] = {}
        self._down_links: set[tuple[MemberId, MemberId]] = set()
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

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
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
        """Start a node that is not registered yet, and return it."""
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
        self.schedule(self.random.random() * 0.3, lambda: self._poll_core(node, incarnation))
        self.schedule(self.random.random() * TICK_S, lambda: self._tick(node, incarnation))

    def crash(self, node: Node) -> None:
        self.trace.append(f"{self.now:.3f} crash {node.name}")
        node.is_up = False
        node.machine = None  # type: ignore[assignment]

    def freeze(self, node: Node, duration_s: float) -> None:
        self.trace.append(f"{self.now:.3f} freeze {node.name} {duration_s:.2f}")
        node.frozen_at = self.now
        node.frozen_until = self.now + duration_s
        self.schedule(duration_s, lambda: self._thaw(node))

    def _thaw(self, node: Node) -> None:
        if node.is_up and node.frozen_until <= self.now:
            backlog, node.backlog = node.backlog, []
            for action in backlog:
                action()

    def run_on_node(self, node: Node, incarnation: str, action: Callable[[], None]) -> None:
        """Run `action` in the process, after its freeze, unless it crashed."""
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until > self.now:
            node.backlog.append(lambda: self.run_on_node(node, incarnation, action))
            return
        action()

    def handle_input(self, node: Node, event: object) -> None:
        self._carry_out(node, node.machine.handle(event, self.now))  # type: ignore[arg-type]

    def _tick(self, node: Node, incarnation: str) -> None:
        if not node.is_up or node.incarnation != incarnation:
            return
        if node.frozen_until <= self.now:
            self.handle_input(node, Tick())
        self.schedule(TICK_S, lambda: self._tick(node, incarnation))

    def _poll_core(self, node: Node, incarnation: str) -> None:
        """Give the node the live members and registered nodes, unless it cannot reach the core."""
        if not node.is_up or node.incarnation != incarnation:
            return
        if not node.is_isolated and node.frozen_until <= self.now:
            live = {
                other.name: other.incarnation
                for other in self.nodes.values()
                if self.has_lease(other)
            }
            self.handle_input(node, LiveMembersChanged(live))
            self.handle_input(node, ViewsReceived(self.views[-4:]))
        self.schedule(0.2 + self.random.random() * 0.6, lambda: self._poll_core(node, incarnation))

    def has_lease(self, node: Node) -> bool:
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
                    self.schedule(
                        max(0.0, at - self.now),
                        lambda: self.run_on_node(
                            node, incarnation, lambda: self.handle_input(node, Tick())
                        ),
                    )

    def _call(self, node: Node, call: Call) -> None:
        other = self.nodes[call.to]
        incarnation = node.incarnation
        is_finished = [False]

        def finish(event: object) -> None:
            if not is_finished[0]:
                is_finished[0] = True
                self.run_on_node(node, incarnation, lambda: self.handle_input(node, event))

        if other is node:
            reply = self._serve(node, node.name, call.message)
            self.schedule(0.0, lambda: finish(CallReplied(call.token, reply)))
            return
        self.schedule(call.timeout_s, lambda: finish(CallFailed(call.token, "timeout")))
        for _ in range(2 if self.random.random() < self.profile.duplicate else 1):
            self._transmit(node, other, lambda: self._arrive(node, other, call, finish))

    def _arrive(self, node: Node, other: Node, call: Call, finish: Callable) -> None:
        if not other.is_up:
            finish(CallFailed(call.token, "refused"))
            return

        def serve() -> None:
            reply = self._serve(other, node.name, call.message)
            self._transmit(other, node, lambda: finish(CallReplied(call.token, reply)))

        self.run_on_node(other, other.incarnation, serve)

    def _serve(self, node: Node, sender: MemberId, message: object) -> object:
        token = f"serve-{next(self._tokens)}"
        self.served_calls[type(message).__name__] += 1
        effects = node.machine.handle(CallReceived(sender, token, message), self.now)
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        self._carry_out(node, [effect for effect in effects if not isinstance(effect, Reply)])
        return replies[0].message

    def _transmit(self, node: Node, other: Node, deliver: Callable[[], None]) -> None:
        if (node.name, other.name) in self._down_links or self.random.random() < self.profile.loss:
            return
        delay_s = 0.0005 + self.random.random() * 0.004
        if self.random.random() < self.profile.slow:
            delay_s = self.random.random() * self.profile.max_slow_delay_s
        delay_s += self.link_delays.get((node.name, other.name), 0.0)
        self.schedule(delay_s, deliver)

    def cut_links(self, node: MemberId, *others: MemberId) -> None:
        """Lose every message between `node` and the others, in both directions."""
        for other in others:
            self._down_links |= {(node, other), (other, node)}

    def restore_links(self) -> None:
        """Restore all cut links and remove all extra delays."""
        self._down_links.clear()
        self.link_delays.clear()

    def restore_links_of(self, node: MemberId) -> None:
        """Restore all cut links from and to a node."""
        self._down_links = {link for link in self._down_links if node not in link}

    # Faults that a group of voters tolerates

    def impaired_nodes(self) -> list[Node]:
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

    def tolerates_loss_of(self, nodes: list[Node]) -> bool:
        lost = {node.name: node for node in [*self.impaired_nodes(), *nodes]}
        return len(lost) <= 2 or len({node.zone for node in lost.values()}) == 1

    def inject_fault(self) -> None:
        if not self.profile.faults:
            return
        kind = self.random.choice(self.profile.faults)
        node = self.random.choice(list(self.nodes.values()))
        if not node.is_up or node.frozen_until > self.now or node.is_isolated:
            return
        match kind:
            case "crash" if self.tolerates_loss_of([node]):
                self.crash(node)
                self.schedule(0.2 + self.random.random() * 3, lambda: self.start(node))
            case "zone":
                self._crash_zone(node.zone)
            case "freeze" if self.tolerates_loss_of([node]):
                self.freeze(node, self.random.choice((0.5, 2.5, 4.0)) * self.random.random() * 2)
            case "cut":
                self._cut(node)
            case "isolate" if self.tolerates_loss_of([node]):
                self._isolate(node)
            case "replace" if not self.impaired_nodes():
                self._replace(node)

    def _crash_zone(self, zone: str) -> None:
        lost = [node for node in self.nodes.values() if node.zone == zone and node.is_up]
        if not self.tolerates_loss_of(lost):
            return
        for node in lost:
            self.crash(node)
            self.schedule(0.2 + self.random.random() * 2, lambda node=node: self.start(node))

    def _cut(self, node: Node) -> None:
        other = self.random.choice(list(self.nodes.values()))
        links = {(node.name, other.name), (other.name, node.name)}
        if self.random.random() < 0.5:
            links = {(node.name, other.name)}
        self._down_links |= links
        self.schedule(self.random.random() * 3, lambda: self._down_links.difference_update(links))

    def _isolate(self, node: Node) -> None:
        others = self.nodes
        links = {(node.name, other) for other in others} | {(other, node.name) for other in others}
        self.trace.append(f"{self.now:.3f} isolate {node.name}")
        node.is_isolated = True
        self._down_links |= links

        def reconnect() -> None:
            node.is_isolated = False
            self._down_links.difference_update(links)

        self.schedule(self.random.random() * 5, reconnect)

    def _replace(self, node: Node) -> None:
        """Register new nodes in place of up to three; a single one may also crash."""
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
        """Restart all nodes at once except one, which is frozen meanwhile.

        Requests that ran before may run again and are excluded from the check; all others must not
        run twice afterwards.
        """
        running = [node for node in self.nodes.values() if node.is_up]
        frozen = running.pop(self.random.randrange(len(running)))
        self.freeze(frozen, 9.0 + self.random.random() * 3)
        for node in running:
            self.crash(node)
        for node in self.nodes.values():
            if not node.is_up:
                self.start(node)
        self.excluded_requests = set(self.runs)

    # Request path and callers

    def send_request(
        self,
        node: Node,
        request_id: str,
        deadline_s: float = 6.0,
        on_decision: Callable[[object], None] = lambda decision: None,
    ) -> None:
        """Send a request, or a resend of it, to `node` as its ingress node."""
        if not node.is_up:
            return
        incarnation = node.incarnation
        self.run_on_node(
            node,
            incarnation,
            lambda: self._claim(node, RequestId(request_id), deadline_s, on_decision),
        )

    def _claim(
        self,
        node: Node,
        request_id: RequestId,
        deadline_s: float,
        on_decision: Callable[[object], None],
    ) -> None:
        token = f"claim-{next(self._tokens)}"
        incarnation = node.incarnation
        deadline_at = self.now + deadline_s

        def on_decided(decision: object) -> None:
            self.decisions.append((request_id, decision))
            on_decision(decision)
            if isinstance(decision, RecordedOutcome) and decision.outcome is Outcome.ANSWERED:
                self.response_bodies.setdefault(request_id, set()).add(decision.body)
            if isinstance(decision, ClaimGranted):
                self._dispatch_later(node, incarnation, request_id, deadline_at)

        self._on_token[token] = on_decided
        self.handle_input(node, ClaimRequested(token, request_id, "digest", deadline_at))

    def _dispatch_later(
        self, node: Node, incarnation: str, request_id: RequestId, deadline_at: float
    ) -> None:
        delay_s = self.random.random() * 0.005
        if self.random.random() < self.profile.slow_dispatch:
            delay_s = self.random.random() * 3
        if self.fixed_dispatch_delay_s is not None:
            delay_s = self.fixed_dispatch_delay_s
        self.schedule(
            delay_s,
            lambda: self.run_on_node(
                node, incarnation, lambda: self._dispatch(node, request_id, deadline_at)
            ),
        )

    def _dispatch(self, node: Node, request_id: RequestId, deadline_at: float) -> None:
        if not node.machine.may_dispatch(request_id, self.now):
            self._renew(node, request_id, deadline_at)
            return
        self.dispatches[request_id] += 1
        outcome_draw = (
            self.random.random() if self.fixed_outcome_draw is None else self.fixed_outcome_draw
        )
        incarnation = node.incarnation
        if outcome_draw < 0.25:
            self._run_later(node, incarnation, lambda: self._release(node, request_id))
            return
        self.runs[request_id] += 1
        self.trace.append(f"{self.now:.3f} run {request_id} by {node.name}/{incarnation}")
        outcome = Outcome.ANSWERED if outcome_draw < 0.85 else Outcome.UNKNOWN
        body = f"{request_id} run {self.runs[request_id]}".encode()
        self._run_later(
            node, incarnation, lambda: self._report_outcome(node, request_id, outcome, body)
        )

    def _renew(self, node: Node, request_id: RequestId, deadline_at: float) -> None:
        token = f"renew-{next(self._tokens)}"
        incarnation = node.incarnation

        def on_renewed(is_confirmed: object) -> None:
            if is_confirmed:
                self._dispatch_later(node, incarnation, request_id, deadline_at)
            else:
                self._release(node, request_id)

        self._on_token[token] = on_renewed
        self.handle_input(node, RenewalRequested(token, request_id, max(deadline_at, self.now + 1)))

    def _run_later(self, node: Node, incarnation: str, action: Callable[[], None]) -> None:
        delay_s = self.random.random() * (2.0 if self.random.random() < 0.1 else 0.05)
        self.schedule(delay_s, lambda: self.run_on_node(node, incarnation, action))

    def _release(self, node: Node, request_id: RequestId) -> None:
        token = f"release-{next(self._tokens)}"
        self._on_token[token] = lambda confirmed: None
        self.handle_input(node, ReleaseRequested(token, request_id))

    def _report_outcome(
        self, node: Node, request_id: RequestId, outcome: Outcome, body: bytes
    ) -> None:
        if outcome is Outcome.UNKNOWN and self.releases_unknown:
            self._release(node, request_id)
            return
        token = f"record-{next(self._tokens)}"
        self._on_token[token] = lambda confirmed: None
        if outcome is Outcome.ANSWERED:
            self.response_bodies.setdefault(request_id, set()).add(body)
        self.handle_input(node, OutcomeReached(token, request_id, outcome, 200, {}, body))

    # Complete simulations

    def run_workload(self) -> None:
        """Wait for the voters, generate requests and faults, then let all requests finish."""
        self.run_for(self.timings.quarantine_s + 1.0)
        end = self.now + self.profile.duration_s
        fleet_restart_at = self.now + 3.0
        numbers = itertools.count(1)
        while self.now < end:
            if (
                self.profile.restarts_fleet
                and not self.excluded_requests
                and self.now >= fleet_restart_at
            ):
                self.restart_fleet()
            if self.random.random() < TICK_S / self.profile.request_interval_s:
                self._send_new_request(f"request-{next(numbers)}")
            if self.random.random() < TICK_S / self.profile.fault_interval_s:
                self.inject_fault()
            self.run_for(TICK_S)
        self.run_for(8.0)

    def _send_new_request(self, request_id: str) -> None:
        spread_s = self.random.choice((0.003, 0.3, self.profile.max_attempt_spread_s))
        for _ in range(self.random.randint(1, self.profile.max_attempts)):
            self.schedule(
                self.random.random() * spread_s,
                lambda: self.send_request(
                    self.random.choice(list(self.nodes.values())), request_id
                ),
            )

    def violations(self) -> list[str]:
        """Return the requests that ran twice or had two different responses."""
        found = [name for name, count in self.runs.items() if count > 1]
        found += [name for name, seen in self.response_bodies.items() if len(seen) > 1]
        return sorted(set(found) - self.excluded_requests)
