"""Facade of the native request path, which a daemon assembles and drives."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from zincvale.dataplane import log_events
from zincvale.dataplane.http.handlers import (
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
)
from zincvale.dataplane.inference.caller_connection import CallerConnections
from zincvale.dataplane.inference.context import LogFunction, NodeContext
from zincvale.dataplane.inference.dependencies import Claims, Spans, StreamJournal
from zincvale.dataplane.inference.ingress import RequestIngress
from zincvale.dataplane.inference.routing_state import RoutingState
from zincvale.dataplane.inference.runner import RequestRunner
from zincvale.dataplane.inference.scheduler import Scheduler
from zincvale.dataplane.messages import DemandReport
from zincvale.dataplane.metrics import Metrics
from zincvale.model.control_tables import Directory, Intent, Members, ServerHealth
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.transport.curl_client import CurlClient
from zincvale.transport.peer import PeerCaller


class NodeSettings(Protocol):
    """The part of the daemon's settings that the request path reads."""

    @property
    def member_id(self) -> str:
        """The node's identifier."""
        ...

    @property
    def zone(self) -> str:
        """The node's zone."""
        ...

    @property
    def address_map(self) -> dict[str, str]:
        """Maps an advertised address to the address that is dialled instead."""
        ...


def _discard_log(number: int, **fields: Any) -> None:
    """Discard a log event."""


class NodeService:
    """The request path of one node.

    Parameters
    ----------
    settings : member_id, zone and address_map are read.
    random : source of all randomness of the request path.
    clock : seconds on the suspend-aware monotonic clock.
    peers : client for calls to other nodes, used only by the dependencies.
    claims, journal, spans : dependencies of the request path, see `inference.dependencies`.
    ready : whether the node holds a fresh configuration.
    log : called with the number of a declared log event and its fields.
    """

    def __init__(
        self,
        settings: NodeSettings,
        random: Random,
        clock: Callable[[], float],
        peers: PeerCaller,
        claims: Claims,
        journal: StreamJournal,
        spans: Spans,
        ready: Callable[[], bool],
        log: LogFunction = _discard_log,
    ) -> None:
        self.member_id = MemberId(settings.member_id)
        self.address_map: dict[str, str] = dict(settings.address_map)
        self.peers = peers
        routing_state = RoutingState(ZoneName(settings.zone), self.member_id)
        self.client = CurlClient(self.address_map)
        self._metrics = Metrics()
        self.context = NodeContext(
            routing_state=routing_state,
            scheduler=Scheduler(routing_state, random),
            client=self.client,
            claims=claims,
            journal=journal,
            spans=spans,
            metrics=self._metrics,
            clock=clock,
            ready=ready,
            log=log,
        )
        self.ingress = RequestIngress(self.context, random)

    @property
    def metrics(self) -> Any:
        """The Prometheus registry, to which the daemon adds its own metrics."""
        return self._metrics.registry

    @property
    def active_requests(self) -> int:
        """Number of requests in progress; a draining node may stop at zero."""
        return len(self.context.verdict_receivers)

    def http_routes(self) -> list[tuple[Any, ...]]:
        """Return tornado routing rules for the node's `api_address`.

        The last rule matches every path, so rules for other paths must come before it.
        """
        shared = {"ingress": self.ingress}
        return [
            (r"/ready", ReadyHandler, shared),
            (r"/healthz", HealthHandler, {}),
            (r"/metrics", MetricsHandler, shared),
            (r"/.*", CallerConnections(self.ingress)),
        ]

    def apply_intent(self, intent: Intent) -> None:
        """Apply a newer intent; from then on nothing is sent that it does not permit."""
        if not self.context.routing_state.apply_intent(intent):
            return
        for problem in self.context.scheduler.chain_problems():
            self.context.log(log_events.POLICY_UNKNOWN, problem=str(problem))
        self.context.process_queues()

    def apply_directory(self, directory: Directory) -> None:
        """Apply a newer directory, and give up exchanges with servers that went down."""
        routing_state = self.context.routing_state
        now = self.context.clock()
        if not routing_state.apply_directory(directory, now):
            return
        for state in list(routing_state.servers.values()):
            if state.row.health is ServerHealth.DOWN and state.outstanding:
                for runner in self._runners():
                    runner.on_server_down(state, now)
        self.context.process_queues()

    def apply_members(self, members: Members) -> None:
        """Apply a newer member table."""
        self.context.routing_state.apply_members(members)

    def tick(self, now: float) -> None:
        """Check for stream timeouts and process the queues; called about ten times a second."""
        for runner in self._runners():
            runner.check_timeout(now)
        if self.context.scheduler.any_waiting():
            self.context.process_queues()

    def start_draining(self) -> None:
        """Become unready (lame duck); requests in progress and new ones are still served."""
        self.ingress.is_draining = True
        self.context.log(log_events.DRAINING, active=self.active_requests)

    def demand_report(self) -> DemandReport:
        """Return the demand that this node observed, for the placement leader."""
        return self.context.scheduler.demand.report(self.member_id, self.context.clock())

    def on_urgent_demand(self, callback: Callable[[], None]) -> None:
        """Register `callback`, called when the next demand report should be sent at once.

        That is when a request begins to wait for a load that the last report did not contain.
        """
        self.context.on_urgent_demand = callback

    def close(self) -> None:
        """Close all connections to back ends."""
        self.client.close()

    def _runners(self) -> list[RequestRunner]:
        return [
            receiver
            for receiver in self.context.verdict_receivers.values()
            if isinstance(receiver, RequestRunner)
        ]
