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

IDLE_PUMP_INTERVAL_S = 0.2
"""How often queues are checked in which every request waits for a table update."""

Observer = Callable[[VirtualRequest, Outcome, str], None]


@attrs.define
class IncrementalRoutingState(RoutingState):
    """A `RoutingState` that recomputes only what an update changes; its tables are the same.

    Nodes are ranked for a server once per member table, and a directory with the known servers in
    their known pools touches the rows that differ.
    """

    _shares: dict[ServerId, NodeShare] = attrs.field(factory=dict)

    def apply_members(self, members: Members) -> bool:
        """Take a newer member table."""
        self._shares.clear()
        return RoutingState.apply_members(self, members)

    def apply_directory(self, directory: Directory, now: float) -> bool:
        """Take a newer directory."""
        known = self.directory
        if (directory.epoch, directory.version) < (known.epoch, known.version):
            return False
        if not self._has_same_servers(directory):
            return RoutingState.apply_directory(self, directory, now)
        for server, row in directory.servers.items():
            # The ramp of a server without any model begins anew with each sight of it.
            empty = row.health is ServerHealth.COLD and not row.models
            if empty or row is not known.servers[server]:
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
    """A `Scheduler` that reports whether time alone can unblock a pending request."""

    def all_wait_for_tables(self) -> bool:
        """Whether every request waits for a load or a server: a table update pumps at once."""
        return not any(
            waiting.blocked is Blocked.BUSY
            for queue in self._queues.values()
            if len(queue)
            for waiting in queue
        )


class VirtualNode:
    """One node.

    Parameters
    ----------
    member, zone : which node this is.
    clock : virtual time.
    timings : modelled delays.
    servers : every back end, by name.
    claims : claims and streams of all nodes.
    random : draws of the routing policies.
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
        observe: Observer,
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
        self._tokens = 0
        self._pump_scheduled = False
        self._make_empty()

    @property
    def ready(self) -> bool:
        """Whether the platform's poll finds the node ready."""
        fresh = self.is_up and self.world.intent.version > 0
        return fresh and not self.world.zone_evacuated(self.zone)

    def begin(self, request: CallerRequest, route: RouteSpec, caller: CallerSide) -> VirtualRequest:
        """Take a caller's request."""
        self._tokens += 1
        token = self._tokens
        pool = self.world.pool_of(route)
        runner = VirtualRequest(self, RequestMachine(request, route), pool, caller, token)
        self.requests[token] = runner
        refused = self.scheduler.admit(request, route, token, self.clock.now)
        refusal = None
        if isinstance(refused, Rejected):
            refusal = Refusal(refused.reason, refused.problem, retry_after_s=refused.retry_after_s)
        else:
            runner.is_admitted = True
        runner.start_deadline(request.deadline_at - self.clock.now)
        runner.feed(Started(refusal))
        return runner

    def route_at(self, path: str) -> tuple[RouteName, RouteSpec] | None:
        """Return the route of a path, None when none is declared."""
        return self.world.route_by_path.get(path)

    # tables

    def apply_intent(self, intent: Intent) -> None:
        """Take a newer intent into force."""
        if self.is_up and self.world.apply_intent(intent):
            self.pump()

    def apply_directory(self, directory: Directory) -> None:
        """Take a newer directory."""
        if self.is_up and self.world.apply_directory(directory, self.clock.now):
            self.pump()

    def apply_members(self, members: Members) -> None:
        """Take a newer member table."""
        if self.is_up:
            self.world.apply_members(members)

    def demand_report(self) -> DemandReport:
        """Return the demand since the last report."""
        return self.scheduler.demand.report(self.member, self.clock.now)

    # the process

    def crash(self) -> None:
        """End the process: every connection breaks, nothing is remembered."""
        if not self.is_up:
            return
        self.is_up = False
        requests, self.requests = self.requests, {}
        for request in requests.values():
            request.on_node_lost()

    def start(self) -> None:
        """Start the process again with empty tables."""
        self._make_empty()
        self.is_up = True

    def _make_empty(self) -> None:
        self.world = IncrementalRoutingState(self.zone, self.member)
        self.scheduler = ObservableScheduler(self.world, self._random)

    # verdicts

    def deliver(self, verdicts: list[Verdict]) -> None:
        """Hand verdicts to the requests they are about."""
        for verdict in verdicts:
            request = self.requests.get(verdict.token)
            if request is not None:
                self._deliver_one(request, verdict)
        self._schedule_pump()
        demand = self.scheduler.demand
        if demand.urgent and self.on_urgent_demand is not None:
            demand.urgent = False
            self.on_urgent_demand(self)

    def _deliver_one(self, request: VirtualRequest, verdict: Verdict) -> None:
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
        """Release a server's slot and serve who waited for it."""
        _, verdicts = self.scheduler.finish_exchange(request, server, report)
        if verdicts:
            self.deliver(verdicts)

    def pump(self) -> None:
        """Serve and expire the queues."""
        if self.is_up and self.scheduler.any_waiting():
            self.deliver(self.scheduler.process_queues(self.clock.now))

    def _schedule_pump(self) -> None:
        if self._pump_scheduled or not self.scheduler.any_waiting():
            return
        self._pump_scheduled = True
        # Only deadlines pass meanwhile, so that looking less often changes next to nothing.
        idle = self.scheduler.all_wait_for_tables()
        interval_s = IDLE_PUMP_INTERVAL_S if idle else QUEUE_CHECK_INTERVAL_S
        self.clock.call_later(interval_s, self._pump_due)

    def _pump_due(self) -> None:
        self._pump_scheduled = False
        self.pump()
