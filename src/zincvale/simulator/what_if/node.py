"""A data-plane node in virtual time: its own tables, scheduler and requests."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from zincvale.dataplane.inference.context import QUEUE_CHECK_INTERVAL_S
from zincvale.dataplane.inference.events import NoServer, Refusal, ServerChosen, Started
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.inference.routing_state import NodeShare, RoutingState, ServerState
from zincvale.dataplane.inference.scheduler import Scheduler
from zincvale.dataplane.inference.verdicts import Placed, Queued, Rejected, Verdict
from zincvale.dataplane.messages import DemandReport
from zincvale.dataplane.policies.base import Blocked
from zincvale.dataplane.resilience.exchange_evidence import ExchangeReport
from zincvale.model.control_tables import Directory, Intent, Members, ServerHealth
from zincvale.model.identifiers import MemberId, RouteName, ServerId, ZoneName
from zincvale.model.outcomes import Outcome
from zincvale.model.resources import RouteSpec
from zincvale.simulator.what_if.claims import ClaimTable
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.request import CallerSide, VirtualRequest
from zincvale.simulator.what_if.servers import VirtualServer
from zincvale.simulator.what_if.timings import Timings

IDLE_QUEUE_CHECK_INTERVAL_S = 0.2
"""Interval of the queue checks while every queued request waits for a table update."""

RequestObserver = Callable[[VirtualRequest, Outcome, str], None]


@attrs.define
class IncrementalRoutingState(RoutingState):
    """A `RoutingState` that recomputes only what an update changes; the resulting tables are equal.

    The node's share of a server is computed once per member table. A directory with the same
    servers in the same pools updates only the rows that differ.
    """

    _shares: dict[ServerId, NodeShare] = attrs.field(factory=dict)

    def apply_members(self, members: Members) -> bool:
        """Apply a newer member table."""
        self._shares.clear()
        return RoutingState.apply_members(self, members)

    def apply_directory(self, directory: Directory, now: float) -> bool:
        """Apply a newer directory; return whether it was applied."""
        known = self.directory
        if (directory.epoch, directory.version) < (known.epoch, known.version):
            return False
        if not self._has_same_servers(directory):
            return RoutingState.apply_directory(self, directory, now)
        for server, row in directory.servers.items():
            # A cold server without models starts its ramp again with every directory.
            is_empty = row.health is ServerHealth.COLD and not row.models
            if is_empty or row is not known.servers[server]:
                self._configure(self._merged_state(row, now, False))
        self.directory = directory
        return True

    def _has_same_servers(self, directory: Directory) -> bool:
        known = self.directory.servers
        if not known or known.keys() != directory.servers.keys():
            return False
        return all(row.pool == known[server].pool for server, row in directory.servers.items())

    def _share_of(self, server: ServerId) -> NodeShare:
        share = self._shares.get(server)
        if share is None:
            share = self._shares[server] = RoutingState._share_of(self, server)
        return share


class ObservableScheduler(Scheduler):
    """A `Scheduler` that reports whether all queued requests wait for a table update."""

    def all_wait_for_tables(self) -> bool:
        """Whether no queued request waits for a busy server: only a table update can place one."""
        return not any(
            waiting.blocked is Blocked.BUSY
            for queue in self._queues.values()
            if len(queue)
            for waiting in queue
        )


class VirtualNode:
    """One data-plane node.

    Parameters
    ----------
    member, zone : the node's name and zone.
    clock : virtual time.
    timings : modelled delays.
    servers : all back ends, by name.
    claims : claims and journaled streams of all nodes.
    random : source of the random choices of the routing policies.
    observe : called at the end of each request.
    """

    def __init__(
        self,
        member: MemberId,
        zone: ZoneName,
        clock: VirtualClock,
        timings: Timings,
        servers: dict[ServerId, VirtualServer],
        claims: ClaimTable,
        random: Random,
        observe: RequestObserver,
    ) -> None:
        self.member = member
        self.zone = zone
        self.clock = clock
        self.timings = timings
        self.servers = servers
        self.claims = claims
        self.observe = observe
        self.is_up = True
        self.requests: dict[int, VirtualRequest] = {}
        self.on_urgent_demand: Callable[[VirtualNode], None] | None = None
        self._random = random
        self._last_token = 0
        self._is_queue_check_scheduled = False
        self._reset()

    @property
    def is_ready(self) -> bool:
        """Whether the node answers the platform's poll as ready."""
        has_intent = self.is_up and self.routing_state.intent.version > 0
        return has_intent and not self.routing_state.zone_evacuated(self.zone)

    def begin(self, request: CallerRequest, route: RouteSpec, caller: CallerSide) -> VirtualRequest:
        """Admit or refuse a caller's request and start it."""
        self._last_token += 1
        token = self._last_token
        pool = self.routing_state.pool_of(route)
        virtual_request = VirtualRequest(self, RequestMachine(request, route), pool, caller, token)
        self.requests[token] = virtual_request
        refused = self.scheduler.admit(request, route, token, self.clock.now)
        refusal = None
        if isinstance(refused, Rejected):
            refusal = Refusal(refused.reason, refused.problem, retry_after_s=refused.retry_after_s)
        else:
            virtual_request.is_admitted = True
        virtual_request.start_deadline(request.deadline_at - self.clock.now)
        virtual_request.feed(Started(refusal))
        return virtual_request

    def route_at(self, path: str) -> tuple[RouteName, RouteSpec] | None:
        """Return the route declared for a path, or None."""
        return self.routing_state.route_by_path.get(path)

    # Tables of the control plane.

    def apply_intent(self, intent: Intent) -> None:
        """Apply a newer intent."""
        if self.is_up and self.routing_state.apply_intent(intent):
            self.process_queues()

    def apply_directory(self, directory: Directory) -> None:
        """Apply a newer directory."""
        if self.is_up and self.routing_state.apply_directory(directory, self.clock.now):
            self.process_queues()

    def apply_members(self, members: Members) -> None:
        """Apply a newer member table."""
        if self.is_up:
            self.routing_state.apply_members(members)

    def demand_report(self) -> DemandReport:
        """Return the demand since the last report."""
        return self.scheduler.demand.report(self.member, self.clock.now)

    # Crash and start of the process.

    def crash(self) -> None:
        """End the process: every connection breaks and the open requests are lost."""
        if not self.is_up:
            return
        self.is_up = False
        requests, self.requests = self.requests, {}
        for request in requests.values():
            request.on_node_lost()

    def start(self) -> None:
        """Start the process again with empty tables."""
        self._reset()
        self.is_up = True

    def _reset(self) -> None:
        self.routing_state = IncrementalRoutingState(self.zone, self.member)
        self.scheduler = ObservableScheduler(self.routing_state, self._random)

    # Verdicts of the scheduler.

    def deliver(self, verdicts: list[Verdict]) -> None:
        """Apply each verdict to its request, if that is still open."""
        for verdict in verdicts:
            request = self.requests.get(verdict.token)
            if request is not None:
                self._deliver_verdict(request, verdict)
        self._schedule_queue_check()
        demand = self.scheduler.demand
        if demand.urgent and self.on_urgent_demand is not None:
            demand.urgent = False
            self.on_urgent_demand(self)

    def _deliver_verdict(self, request: VirtualRequest, verdict: Verdict) -> None:
        match verdict:
            case Placed(_, server, _, _):
                request.on_placed(server)
                request.feed(ServerChosen(server.row.server))
            case Queued(_, blocked, _):
                request.on_queued(blocked is Blocked.NOT_RESIDENT)
            case Rejected(_, reason, retry_after_s, problem):
                request.feed(NoServer(Refusal(reason, problem, retry_after_s=retry_after_s)))

    def finish_exchange(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> None:
        """Release a server's slot and place the requests that waited for it."""
        _, verdicts = self.scheduler.finish_exchange(request, server, report)
        if verdicts:
            self.deliver(verdicts)

    def process_queues(self) -> None:
        """Place queued requests and expire those whose deadline has passed."""
        if self.is_up and self.scheduler.any_waiting():
            self.deliver(self.scheduler.process_queues(self.clock.now))

    def _schedule_queue_check(self) -> None:
        if self._is_queue_check_scheduled or not self.scheduler.any_waiting():
            return
        self._is_queue_check_scheduled = True
        # Until the next table update only deadlines can pass: rarer checks hardly change results.
        waits_for_tables = self.scheduler.all_wait_for_tables()
        interval_s = IDLE_QUEUE_CHECK_INTERVAL_S if waits_for_tables else QUEUE_CHECK_INTERVAL_S
        self.clock.call_later(interval_s, self._on_queue_check)

    def _on_queue_check(self) -> None:
        self._is_queue_check_scheduled = False
        self.process_queues()
