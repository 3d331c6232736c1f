"""Simulated nodes and callers: requests wait for loads, are refused, retried or abandoned.

Which requests wait, for how long, and what demand a node reports, is decided by the code of real
nodes. Which server takes a request is simplified: the one with the fewest running requests.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.native_dialect import NativeDialect
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.pending_requests import PendingRequest, ServerRequirements
from zincvale.dataplane.forwarding.policies import (
    NoServerReason,
    PolicyChain,
    RoutingQuery,
    ServerChoice,
)
from zincvale.dataplane.forwarding.routing_state import RoutingState
from zincvale.dataplane.forwarding.servers import Residency, ServerState
from zincvale.dataplane.messages import DemandReport
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import MemberId, ServerId, ZoneName
from zincvale.simulator.serving.arrivals import Arrival
from zincvale.simulator.serving.engines import EngineServer
from zincvale.simulator.serving.outcome import DayOutcome
from zincvale.simulator.serving.shapes import POOL
from zincvale.simulator.virtual_loop import VirtualLoop
from zincvale.tracing.recorder.no_spans import NoSpans
from zincvale.transport.server_client import ServerClient

RETRIES = 1
"""How often a caller retries a refused request."""
MAX_RETRY_DELAY_FRACTION = 1 / 3
"""Callers honour `Retry-After` up to this fraction of the time until their deadline."""
DEMAND_INTERVAL_S = 0.5
"""Interval between two demand reports of a node."""


class PublishedResidency:
    """The residency that the nodes know, with an index by model and adapter."""

    def __init__(self) -> None:
        self._names: dict[ServerId, frozenset[str]] = {}
        self._holders: dict[str, dict[ServerId, None]] = {}

    def update(self, server: ServerId, names: frozenset[str]) -> None:
        """Replace the models and adapters that one server is known to hold."""
        known = self._names.get(server, frozenset())
        self._names[server] = names
        for name in sorted(known - names):
            del self._holders[name][server]
        for name in sorted(names - known):
            self._holders.setdefault(name, {})[server] = None

    def holders(self, name: str) -> tuple[ServerId, ...]:
        """Return the servers that are known to hold a model or adapter."""
        return tuple(self._holders.get(name, ()))


class ResidentServers(PolicyChain):
    """Chooses the server with the fewest running requests among those that hold what is needed."""

    def __init__(
        self, engines: Mapping[ServerId, EngineServer], residency: PublishedResidency
    ) -> None:
        super().__init__([])
        self._engines = engines
        self._residency = residency
        self._states = {
            name: ServerState(engine.listed_row(), Residency(name, frozenset(), frozenset()))
            for name, engine in engines.items()
        }

    def choose(self, query: RoutingQuery) -> ServerChoice | NoServerReason:
        """Return the server to send the request to, or the reason why there is none."""
        prompt = query.prompt
        assert prompt is not None
        name = f"{prompt.model}/{prompt.adapter}" if prompt.adapter else prompt.model
        resident = [
            self._engines[server]
            for server in self._residency.holders(name)
            if self._engines[server].has_resident(prompt.model, prompt.adapter)
        ]
        if not resident:
            is_adapter_missing = prompt.adapter and self._residency.holders(prompt.model)
            return NoServerReason.NO_ADAPTER if is_adapter_missing else NoServerReason.NOT_RESIDENT
        free = [engine for engine in resident if engine.has_free_slot()]
        if not free:
            return NoServerReason.BUSY
        engine = min(free, key=lambda engine: engine.running_requests)
        return ServerChoice(self._states[engine.name], 0)


class ServingNode:
    """One node: the real queue of pending requests and demand table before simulated servers."""

    def __init__(
        self,
        name: str,
        zone: ZoneName,
        loop: VirtualLoop,
        document: ForwardingDocument,
        chain: ResidentServers,
        report_demand: Callable[[DemandReport], None],
    ) -> None:
        self.zone = zone
        self._member = MemberId(name)
        self._loop = loop
        self._report_to = report_demand
        self._is_report_scheduled = False
        self.context = ForwardingContext(
            routing=RoutingState(zone, self._member),
            chain=chain,
            client=ServerClient(loop.time),
            dialect=NativeDialect(),
            spans=NoSpans(),
            random=random.Random(0),
            clock=loop.time,
            on_urgent=self._schedule_report,
        )
        self.apply_document(document)

    def apply_document(self, document: ForwardingDocument) -> None:
        """Apply a newer document."""
        self.context.routing.apply_document(document, self._loop.time())

    def start(self, offset_s: float) -> None:
        """Begin to report demand at regular intervals."""
        self._loop.call_later(offset_s, self._report_regularly)

    def _report_regularly(self) -> None:
        self._loop.call_later(DEMAND_INTERVAL_S, self._report_regularly)
        self._report()

    def _schedule_report(self) -> None:
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            self._loop.call_soon(self._report)

    def _report(self) -> None:
        self._is_report_scheduled = False
        self._report_to(self.context.demand.report(self._member, self._loop.time()))


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller, with its retries, until it is served, refused or abandoned."""

    arrival: Arrival
    engines: Mapping[ServerId, EngineServer]
    draw_node: Callable[[], ServingNode]
    loop: VirtualLoop
    outcome: DayOutcome
    _retries_left: int = RETRIES
    _node: ServingNode | None = None
    _pending: PendingRequest | None = None
    _reason: NoServerReason | None = None

    @property
    def _name(self) -> str:
        arrival = self.arrival
        return f"{arrival.model}/{arrival.adapter}" if arrival.adapter else arrival.model

    def begin(self) -> None:
        """Send the request, and leave when the caller's patience ends."""
        self.outcome.record_asked(self._name, self.loop.time())
        self.loop.call_later(self.arrival.kind.patience_s, self._abandon)
        self._attempt()

    def _attempt(self) -> None:
        node = self._node = self.draw_node()
        prompt = Prompt(self.arrival.model, self.arrival.adapter)
        requirements = ServerRequirements(
            self.arrival.kind.route(), POOL, prompt, frozenset(), self._deadline_at()
        )
        node.context.record_request(POOL, prompt)
        choice = node.context.choose(requirements)
        if isinstance(choice, ServerChoice):
            self._run(choice)
            return
        queue = node.context.pending
        self._reason = choice
        self._pending = queue.add(
            requirements, choice, self._on_server_found, self._on_expired, self.loop.time()
        )
        if self._pending is None:
            self._refused(queue.retry_after_s(choice, requirements))
            return
        node.context.record_waiting(POOL, prompt, choice, 1)

    def _deadline_at(self) -> float:
        return self.arrival.at + self.arrival.kind.deadline_s

    def _on_server_found(self, choice: ServerChoice) -> None:
        self._stop_waiting()
        self._run(choice)

    def _on_expired(self, _reason: NoServerReason, retry_after_s: float) -> None:
        self._stop_waiting()
        self._refused(retry_after_s)

    def _stop_waiting(self) -> None:
        if self._pending is None or self._node is None or self._reason is None:
            return
        self._pending = None
        prompt = Prompt(self.arrival.model, self.arrival.adapter)
        self._node.context.record_waiting(POOL, prompt, self._reason, -1)

    def _abandon(self) -> None:
        if self._pending is not None and self._node is not None:
            self._node.context.pending.remove(self._pending)
            self._stop_waiting()
        self._retries_left = 0

    def _refused(self, retry_after_s: float) -> None:
        if not self._retries_left:
            return
        self._retries_left -= 1
        left_s = self._deadline_at() - self.loop.time()
        self.loop.call_later(min(retry_after_s, left_s * MAX_RETRY_DELAY_FRACTION), self._retry)

    def _retry(self) -> None:
        if self.loop.time() < self.arrival.at + self.arrival.kind.patience_s:
            self._attempt()

    def _run(self, choice: ServerChoice) -> None:
        node = self._node
        assert node is not None
        arrival, now = self.arrival, self.loop.time()
        self._retries_left = 0
        prompt = Prompt(arrival.model, arrival.adapter)
        server = choice.server.server
        node.context.record_sent(POOL, prompt, server)
        is_late = now > arrival.at + arrival.kind.objective_s
        self.outcome.record_served(self._name, now, is_late=is_late)

        def end() -> None:
            node.context.record_end(POOL, prompt, server)
            node.context.schedule_dispatch()

        self.engines[server].run_request(arrival.model, arrival.adapter, arrival.service_s, end)
