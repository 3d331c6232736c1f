"""The facade of forwarding: the interface that a daemon assembles and drives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from random import Random

import attrs
import orjson

from zincvale.dataplane.forwarding.caller_server import CallerHandle, CallerServer
from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.dataplane.forwarding.dialect import ForwardingDialect
from zincvale.dataplane.forwarding.forwarded_request import ForwardedRequest
from zincvale.dataplane.forwarding.lease_watch import LEASE_WAIT_S, LeaseWatch
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.policies import PolicyChain, make_scorers
from zincvale.dataplane.forwarding.routing_state import FleetLimits, RoutingState
from zincvale.dataplane.forwarding.servers import Residency
from zincvale.dataplane.inference.dependencies import Spans
from zincvale.dataplane.messages import DemandReport
from zincvale.model.control_tables import Directory, Members
from zincvale.model.forwarding import ForwardingDocument, ForwardRoute
from zincvale.model.identifiers import MemberId, ServerId, ZoneName
from zincvale.transport.server_client import ServerClient

NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503
NO_DOCUMENT_RETRY_AFTER_S = 0.5
STOPPING_RETRY_AFTER_S = 0.1
NO_LEASE_RETRY_AFTER_S = 0.3
"""`Retry-After` of a node that may lack a newer document: about half a renewal interval."""
NEW_STREAMS_ALLOWED_S = 3.0
"""A draining node begins streams only within this time after its stop signal: later ones might
outlive the process."""
NEW_REQUESTS_ALLOWED_S = 5.5
"""A draining node begins other requests only within this time after its stop signal."""
ESTIMATES_TRUSTED_S = 3.0
"""Time after the stop signal in which a request may begin whose own limit exceeds the process."""
LONGEST_RESPONSE_FACTOR = 1.5
"""Safety factor on the longest recent response time of a route, since one node sees few of the
route's requests."""
CONFIGURATION_WAIT_S = 1.5
"""How long a node that has started and has no configuration yet defers a request."""


@attrs.frozen
class ForwardingConfig:
    """The part of a node's settings that concerns forwarding.

    Attributes
    ----------
    policies : names of scorers; when empty, the default scorers are used.
    address_map : maps advertised addresses of servers to the addresses to connect to instead.
    """

    member: MemberId
    zone: ZoneName
    fleet_limits: FleetLimits = FleetLimits()
    policies: Sequence[str] = ()
    address_map: Mapping[str, str] | None = None


class ForwardingService:
    """The forwarding path of one node.

    Parameters
    ----------
    dialect : reads and writes the headers of callers and servers.
    clock : returns the present time in seconds.
    on_urgent : called when the demand should be reported at once.
    lease_watch : observes this node's lease.
    """

    def __init__(
        self,
        config: ForwardingConfig,
        dialect: ForwardingDialect,
        *,
        spans: Spans,
        random: Random,
        clock: Callable[[], float],
        on_urgent: Callable[[], None],
        lease_watch: LeaseWatch | None = None,
    ) -> None:
        self._member = config.member
        self._clock = clock
        self.is_draining = False
        self._refuses_new_requests = False
        self._draining_since = 0.0
        self._process_ends_at = 0.0
        self._deferred: dict[_DeferredRequest, None] = {}
        self._lease_watch = lease_watch or LeaseWatch(lambda: True)
        self.context = ForwardingContext(
            routing=RoutingState(config.zone, config.member, config.fleet_limits),
            chain=PolicyChain(make_scorers(config.policies)),
            client=ServerClient(clock, config.address_map),
            dialect=dialect,
            spans=spans,
            random=random,
            clock=clock,
            on_urgent=on_urgent,
        )

    @property
    def routing(self) -> RoutingState:
        """The node's tables."""
        return self.context.routing

    @property
    def active_requests(self) -> int:
        """How many requests are in flight."""
        return len(self.context.active_requests)

    def caller_server(self) -> CallerServer:
        """Return a delegate through which tornado's HTTP server passes on callers' requests."""
        return CallerServer(self)

    def now(self) -> float:
        """Return the present time on the node's clock, in seconds."""
        return self._clock()

    def handle_request(self, incoming: IncomingRequest, sink: CallerSink) -> CallerHandle | None:
        """Begin a request or respond to it at once; returns None when nothing is left to cancel."""
        if self._refuses_new_requests:
            _reply(sink, UNAVAILABLE, "this node is about to stop", STOPPING_RETRY_AFTER_S)
            return None
        deferred = _DeferredRequest(self, incoming, sink)
        loop = asyncio.get_running_loop()
        if not self.routing.is_configured:
            deferred.timer = loop.call_later(CONFIGURATION_WAIT_S, deferred.give_up)
        elif self._lease_watch.should_wait(self._clock()):
            deferred.timer = loop.call_later(LEASE_WAIT_S, deferred.begin)
        else:
            return self.begin_request(incoming, sink)
        self._deferred[deferred] = None
        return deferred

    def forget_deferred(self, deferred: _DeferredRequest) -> None:
        """Forget a deferred request that was begun, refused or given up by its caller."""
        self._deferred.pop(deferred, None)

    def begin_deferred(self) -> None:
        """Begin the deferred requests once there is a configuration and the wait for a lease ends.

        A node that starts receives its first configuration soon, and one whose lease lapsed for a
        moment the newest.
        """
        if not self._deferred or not self.routing.is_configured:
            return
        if self._lease_watch.should_wait(self._clock()):
            return
        for request in list(self._deferred):
            request.begin()

    def begin_request(self, incoming: IncomingRequest, sink: CallerSink) -> ForwardedRequest | None:
        """Begin a request under the current document, or respond to it at once."""
        document = self.routing.document
        self._lease_watch.record_request(document.version, self._clock())
        headers = {name.lower(): value for name, value in incoming.headers}
        path = incoming.target.partition("?")[0]
        route = self.routing.routes.find(headers.get("host", ""), path)
        if route is None:
            self._deny(sink, NOT_FOUND, "no route takes this host and path")
            return None
        if incoming.body is not None and len(incoming.body) > document.limits.max_body_bytes:
            self._deny(sink, TOO_LARGE, "the body is larger than the limit")
            return None
        facts = self.context.dialect.caller_facts(headers)
        if self._may_outlive_process(route, facts.deadline_s):
            _reply(sink, UNAVAILABLE, "this node is about to stop", STOPPING_RETRY_AFTER_S)
            return None
        request = ForwardedRequest(self.context, route, facts, incoming, sink)
        request.begin()
        return request

    def _deny(self, sink: CallerSink, status: int, problem: str) -> None:
        """Respond that the document does not allow a request, which its caller will not retry.

        Without a lease, a newer document that allows the request may be in force already, so the
        caller is asked to retry instead.
        """
        if self._lease_watch.has_lease():
            _reply(sink, status, problem)
        else:
            _reply(
                sink,
                UNAVAILABLE,
                f"{problem}, by a document that may be outdated",
                NO_LEASE_RETRY_AFTER_S,
            )

    # --- stopping -------------------------------------------------------------------------

    def start_draining(self, not_before: float, limit_s: float) -> None:
        """Become unready; requests are accepted only while they can end before the process exits.

        Parameters
        ----------
        not_before : the earliest time at which the process can have received its stop signal.
        limit_s : the process exits at most this long after its stop signal.
        """
        self.is_draining = True
        self._draining_since = not_before
        self._process_ends_at = not_before + limit_s

    def refuse_new_requests(self) -> None:
        """Refuse deferred and further requests: the node gives up its lease and must not serve."""
        self._refuses_new_requests = True
        self.refuse_pending()

    def refuse_pending(self) -> None:
        """End the wait of every deferred or pending request; those that never ran are refused, so
        that their callers may retry at another node."""
        for deferred in list(self._deferred):
            deferred.give_up()
        for pending in self.context.pending.remove_all():
            pending.on_expired(pending.reason, STOPPING_RETRY_AFTER_S)

    def _may_outlive_process(self, route: ForwardRoute, deadline_s: float | None) -> bool:
        """Whether the response to a new request might not end before the process exits.

        At first, recent response times of the route are trusted. Later, when callers have long been
        told to go elsewhere, the request's own time limit must end before the process as well.
        """
        if not self.is_draining:
            return False
        now = self._clock()
        draining_s = now - self._draining_since
        allowed_s = NEW_STREAMS_ALLOWED_S if route.streaming else NEW_REQUESTS_ALLOWED_S
        if draining_s >= allowed_s:
            return True
        limit_s = route.timeout_s if deadline_s is None else min(route.timeout_s, deadline_s)
        if draining_s >= ESTIMATES_TRUSTED_S and now + limit_s >= self._process_ends_at:
            return True
        longest_s = self.context.response_times.longest_s(route.name, now)
        return now + longest_s * LONGEST_RESPONSE_FACTOR >= self._process_ends_at

    # --- updates from the control plane ---------------------------------------------------

    def apply_document(self, document: ForwardingDocument) -> None:
        """Apply a newer document; it applies to requests that begin or are sent afterwards."""
        self.context.response_times.keep_only(document.routes)
        if self.routing.apply_document(document, self._clock()):
            self.context.dispatch_pending()
            self.begin_deferred()

    def apply_directory(self, directory: Directory) -> None:
        """Apply a newer directory."""
        self.routing.apply_directory(directory, self._clock())
        rows = self.routing.servers.values()
        self.context.client.keep_only(
            {(state.row.address, state.row.incarnation) for state in rows}
        )
        self.context.dispatch_pending()
        self.begin_deferred()

    def apply_residencies(self, residencies: Mapping[ServerId, Residency]) -> None:
        """Apply the residencies that the placement leader published."""
        self.routing.apply_residencies(residencies)
        self.context.dispatch_pending()

    def apply_members(self, members: Members) -> None:
        """Apply a newer member table."""
        self.routing.apply_members(members)

    def demand_report(self) -> DemandReport:
        """Return the demand on this node since the last report, for the placement leader."""
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
    """A request that waits for this node's configuration or lease."""

    def __init__(
        self, service: ForwardingService, incoming: IncomingRequest, sink: CallerSink
    ) -> None:
        self._service = service
        self._incoming = incoming
        self._sink = sink
        self._is_pending = True
        self.timer: asyncio.TimerHandle | None = None
        self._begun: ForwardedRequest | None = None

    def begin(self) -> None:
        """Begin the request, unless it has begun or was refused."""
        if self._end_wait():
            self._begun = self._service.begin_request(self._incoming, self._sink)

    def give_up(self) -> None:
        """Refuse the request, which never ran; the caller may retry."""
        if self._end_wait():
            problem = "no configuration is known yet"
            _reply(self._sink, UNAVAILABLE, problem, NO_DOCUMENT_RETRY_AFTER_S)

    def on_caller_disconnected(self) -> None:
        """Drop the request, or end it if it has begun: the caller closed its connection."""
        self._end_wait()
        if self._begun is not None:
            self._begun.on_caller_disconnected()

    def _end_wait(self) -> bool:
        """End the wait and return whether it had not ended; the service keeps no body longer."""
        was_pending, self._is_pending = self._is_pending, False
        if self.timer is not None:
            self.timer.cancel()
        self._service.forget_deferred(self)
        return was_pending
