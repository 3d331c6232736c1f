"""Facade of forwarding: what the program assembles and drives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random

import attrs
import orjson

from zincvale.dataplane.forwarding.caller_server import CallerHandle, CallerServer
from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.forwarded_request import ForwardedRequest
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.policies import PolicyChain, Scorer, scorers_named
from zincvale.dataplane.forwarding.routing_state import FleetLimits, RoutingState
from zincvale.dataplane.forwarding.servers import Residency
from zincvale.dataplane.inference.dependencies import Spans
from zincvale.dataplane.messages import DemandReport
from zincvale.model.forwarding import ForwardingDocument, ForwardRoute
from zincvale.model.identifiers import MemberId, ServerId, ZoneName
from zincvale.model.view import Directory, Members
from zincvale.transport.server_client import ServerClient

NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503
NO_DOCUMENT_RETRY_AFTER_S = 0.5
STOPPING_RETRY_AFTER_S = 0.1
NEW_STREAMS_ALLOWED_S = 3.0
"""How long after it was asked to stop a node begins streams."""
NEW_REQUESTS_ALLOWED_S = 5.5
CONFIGURATION_WAIT_S = 1.5
"""A started node that knows no configuration holds a request for so long."""


class ForwardingService:
    """The forwarding path of one node.

    Parameters
    ----------
    dialect : names on the wire of callers and servers.
    on_urgent : called when demand should be reported at once.
    policies : names of scorers; none means the default chain.
    """

    def __init__(
        self,
        member: MemberId,
        zone: ZoneName,
        fleet_limits: FleetLimits,
        dialect: ForwardingDialect,
        spans: Spans,
        random: Random,
        clock: Callable[[], float],
        on_urgent: Callable[[], None],
        address_map: Mapping[str, str] | None = None,
        policies: list[str] | None = None,
    ) -> None:
        self._member = member
        self._clock = clock
        self.is_draining = False
        self._draining_since = 0.0
        self._deferred: list[_DeferredRequest] = []
        scorers: list[Scorer] = scorers_named(policies or [])
        self.context = ForwardingContext(
            RoutingState(zone, member, fleet_limits),
            PolicyChain(scorers),
            ServerClient(clock, address_map),
            dialect,
            spans,
            random,
            clock,
            on_urgent,
        )

    @property
    def routing(self) -> RoutingState:
        """The node's tables."""
        return self.context.routing

    @property
    def active_requests(self) -> int:
        """Requests under way."""
        return len(self.context.active)

    def callers(self) -> CallerServer:
        """Return what an HTTP server hands callers' requests to."""
        return CallerServer(self)

    def now(self) -> float:
        """The node's clock, in seconds."""
        return self._clock()

    def take(self, incoming: IncomingRequest, sink: CallerSink) -> CallerHandle | None:
        """Begin a request, or answer it at once."""
        if self.routing.document.number == 0 or not self.routing.has_directory:
            return self._defer(incoming, sink)
        return self.begin_request(incoming, sink)

    def _defer(self, incoming: IncomingRequest, sink: CallerSink) -> CallerHandle:
        """Keep a request for the short time in which a started node learns what is in force."""
        held = _DeferredRequest(self, incoming, sink)
        self._deferred.append(held)
        asyncio.get_running_loop().call_later(CONFIGURATION_WAIT_S, held.give_up)
        return held

    def _begin_deferred(self) -> None:
        if self.routing.document.number == 0 or not self.routing.has_directory:
            return
        held, self._deferred = self._deferred, []
        for each in held:
            each.release()

    def begin_request(self, incoming: IncomingRequest, sink: CallerSink) -> ForwardedRequest | None:
        """Begin a request by the document in force, or respond to it at once."""
        document = self.routing.document
        headers = {name.lower(): value for name, value in incoming.headers}
        path = incoming.target.partition("?")[0]
        route = self.routing.routes.find(headers.get("host", ""), path)
        if route is None:
            _reply(sink, NOT_FOUND, "no route takes this host and path")
            return None
        if incoming.body is not None and len(incoming.body) > document.limits.max_body_bytes:
            _reply(sink, TOO_LARGE, "the body is larger than the limit")
            return None
        if self._is_too_late(route):
            _reply(sink, UNAVAILABLE, "this node is about to stop", STOPPING_RETRY_AFTER_S)
            return None
        facts = self.context.dialect.caller_facts(headers)
        request = ForwardedRequest(self.context, route, facts, incoming, sink)
        request.begin()
        return request

    # --- stopping -------------------------------------------------------------------------

    def start_draining(self) -> None:
        """Turn unready; requests are taken on while they can be answered before the end."""
        self.is_draining = True
        self._draining_since = self._clock()

    def reject_pending(self) -> None:
        """Tell every caller whose request never left to come back, elsewhere."""
        for held in list(self._deferred):
            held.give_up()
        for pending in self.context.pending.remove_all():
            pending.on_expired(pending.reason, STOPPING_RETRY_AFTER_S)

    def _is_too_late(self, route: ForwardRoute) -> bool:
        """Whether an answer might not be over before the process ends."""
        if not self.is_draining:
            return False
        allowed_s = NEW_STREAMS_ALLOWED_S if route.streaming else NEW_REQUESTS_ALLOWED_S
        return self._clock() - self._draining_since >= allowed_s

    # --- news from control ----------------------------------------------------------------

    def apply_document(self, document: ForwardingDocument) -> None:
        """Take a newer document into force: nothing is sent against it from here on."""
        if self.routing.apply_document(document, self._clock()):
            self.context.dispatch_pending()
            self._begin_deferred()

    def apply_directory(self, directory: Directory) -> None:
        """Take a newer directory."""
        self.routing.apply_directory(directory, self._clock())
        rows = self.routing.servers.values()
        self.context.client.keep_only(
            {(state.row.address, state.row.incarnation) for state in rows}
        )
        self.context.dispatch_pending()
        self._begin_deferred()

    def apply_residencies(self, residencies: Mapping[ServerId, Residency]) -> None:
        """Take what the placement leader knows of the servers' memory."""
        self.routing.apply_residencies(residencies)
        self.context.dispatch_pending()

    def apply_members(self, members: Members) -> None:
        """Take a newer member table."""
        self.routing.apply_members(members)

    def demand_report(self) -> DemandReport:
        """Return the demand this node saw, for the placement leader."""
        report = self.context.demand.report(self._member, self._clock())
        return attrs.evolve(report, unreachable=self.context.take_unreachable())

    def close(self) -> None:
        """Close every connection to servers."""
        self.context.client.close()


def _reply(sink: CallerSink, status: int, problem: str, retry_after_s: float | None = None) -> None:
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    sink.respond(status, headers, orjson.dumps({"problem": problem}))


class _DeferredRequest:
    """A request that came before this node knew what is in force."""

    def __init__(
        self, service: ForwardingService, incoming: IncomingRequest, sink: CallerSink
    ) -> None:
        self._service = service
        self._incoming = incoming
        self._sink = sink
        self._is_waiting = True
        self._begun: ForwardedRequest | None = None

    def release(self) -> None:
        """Begin the request: what it needs is known now."""
        if self._is_waiting:
            self._is_waiting = False
            self._begun = self._service.begin_request(self._incoming, self._sink)

    def give_up(self) -> None:
        """Tell the caller to come back."""
        if self._is_waiting:
            self._is_waiting = False
            problem = "no configuration is known yet"
            _reply(self._sink, UNAVAILABLE, problem, NO_DOCUMENT_RETRY_AFTER_S)

    def on_caller_disconnected(self) -> None:
        """The caller closed its connection."""
        self._is_waiting = False
        if self._begun is not None:
            self._begun.on_caller_disconnected()
