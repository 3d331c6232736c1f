"""Facade of the data plane: what the program assembles and drives."""

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
    """The part of the daemon's settings that is read here."""

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
        """Advertised address to the address that is dialled instead."""
        ...


def _no_log(number: int, **fields: Any) -> None:
    """Drop a log line."""


class NodeService:
    """The request path of one node.

    Parameters
    ----------
    settings : member_id, zone and address_map are read.
    random : source of every random draw of the request path.
    clock : seconds on the suspend-aware monotonic clock.
    peers : for the dependencies that call other nodes; the request path itself calls none.
    claims, journal, spans : dependencies, see `inference.dependencies`.
    ready : whether the node holds a fresh configuration.
    log : takes a declared event number and fields.
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
        log: LogFunction = _no_log,
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
        """The Prometheus registry, for the program's own metrics."""
        return self._metrics.registry

    @property
    def active_requests(self) -> int:
        """Requests under way; a draining node may stop at zero."""
        return len(self.context.verdict_receivers)

    def http_routes(self) -> list[tuple[Any, ...]]:
        """Return tornado routing rules for the node's `api_address`.

        The last one takes every path; put rules with paths of their own before it.
        """
        shared = {"ingress": self.ingress}
        return [
            (r"/ready", ReadyHandler, shared),
            (r"/healthz", HealthHandler, {}),
            (r"/metrics", MetricsHandler, shared),
            (r"/.*", CallerConnections(self.ingress)),
        ]

    def apply_intent(self, intent: Intent) -> None:
        """Take a newer intent into force: nothing is sent against it from here on."""
        if not self.context.routing_state.apply_intent(intent):
            return
        for problem in self.context.scheduler.chain_problems():
            self.context.log(log_events.POLICY_UNKNOWN, problem=str(problem))
        self.context.pump()

    def apply_directory(self, directory: Directory) -> None:
        """Take a newer directory; exchanges with servers that went down are given up."""
        routing_state = self.context.routing_state
        now = self.context.clock()
        if not routing_state.apply_directory(directory, now):
            return
        for state in list(routing_state.servers.values()):
            if state.row.health is ServerHealth.DOWN and state.outstanding:
                for runner in self._runners():
                    runner.on_server_lost(state, now)
        self.context.pump()

    def apply_members(self, members: Members) -> None:
        """Take a newer member table."""
        self.context.routing_state.apply_members(members)

    def tick(self, now: float) -> None:
        """Look for unresponsive servers and pending requests; call it about ten times a second."""
        for runner in self._runners():
            runner.check_timeout(now)
        if self.context.scheduler.any_waiting():
            self.context.pump()

    def start_draining(self) -> None:
        """Turn unready (lame duck); requests under way and late comers are still served."""
        self.ingress.draining = True
        self.context.log(log_events.DRAINING, active=self.active_requests)

    def demand_report(self) -> DemandReport:
        """Return the demand this node saw, for the placement leader."""
        return self.context.scheduler.demand.report(self.member_id, self.context.clock())

    def on_urgent_demand(self, callback: Callable[[], None]) -> None:
        """Call `callback` when a demand report should not wait for its turn.

        That is once a request begins to wait for a load that the last report did not contain.
        """
        self.context.on_urgent_demand = callback

    def close(self) -> None:
        """Close every connection to back ends."""
        self.client.close()

    def _runners(self) -> list[RequestRunner]:
        return [
            receiver
            for receiver in self.context.verdict_receivers.values()
            if isinstance(receiver, RequestRunner)
        ]
