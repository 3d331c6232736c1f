"""The state that all requests of one forwarding node share."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from zincvale.dataplane.demand import DemandKey, DemandTable
from zincvale.dataplane.forwarding.dialect import ForwardingDialect, Prompt
from zincvale.dataplane.forwarding.pending_requests import (
    LOAD_REASONS,
    PendingRequestQueue,
    ServerRequirements,
)
from zincvale.dataplane.forwarding.policies import (
    NoServerReason,
    PolicyChain,
    RoutingQuery,
    ServerChoice,
)
from zincvale.dataplane.forwarding.request_events import RequestOutcome
from zincvale.dataplane.forwarding.response_times import ResponseTimes
from zincvale.dataplane.forwarding.routing_state import RoutingState
from zincvale.dataplane.forwarding.servers import adapter_name
from zincvale.dataplane.inference.dependencies import Spans
from zincvale.model.forwarding import ForwardRoute
from zincvale.model.identifiers import AdapterName, ModelName, PoolName, ServerId
from zincvale.transport.server_client import ServerClient

OnUrgent = Callable[[], None]


class ForwardingContext:
    """Tables, policies, pending requests, connections and counters of one node.

    Parameters
    ----------
    on_urgent : called when demand should be reported at once: a request waits for a load that no
        other request waits for, such a wait ended, or a server became unreachable.
    """

    def __init__(
        self,
        *,
        routing: RoutingState,
        chain: PolicyChain,
        client: ServerClient,
        dialect: ForwardingDialect,
        spans: Spans,
        random: Random,
        clock: Callable[[], float],
        on_urgent: OnUrgent,
    ) -> None:
        self.routing = routing
        self.client = client
        self.dialect = dialect
        self.spans = spans
        self.clock = clock
        self.pending = PendingRequestQueue(routing.pool)
        self.demand = DemandTable()
        self.active_requests: set[object] = set()
        self.response_times = ResponseTimes()
        self.outcome_counts: Counter[RequestOutcome] = Counter()
        self._unreachable: set[ServerId] = set()
        self._chain = chain
        self._random = random
        self._on_urgent = on_urgent
        self._dispatch_timer: asyncio.TimerHandle | None = None

    def draw_pool(self, route: ForwardRoute) -> str:
        """Draw the pool of one request at random, by the route's weights."""
        if len(route.split) == 1:
            return route.split[0].pool
        weights = [share.weight for share in route.split]
        return self._random.choices(route.split, weights)[0].pool

    def choose(self, requirements: ServerRequirements) -> ServerChoice | NoServerReason:
        """Return the server for a request, or the reason why there is none now."""
        return self._chain.choose(
            RoutingQuery(
                requirements.route,
                requirements.pool,
                requirements.prompt,
                self.routing,
                requirements.excluded,
                self.clock(),
            )
        )

    def try_spend_retry(self, pool: str, now: float) -> bool:
        """Spend one retry of the pool's budget; returns False when the budget is spent."""
        return self.routing.retry_budget(pool).take(self.routing.node_count, now)

    # --- waiting --------------------------------------------------------------------------

    def dispatch_pending(self) -> None:
        """Try to assign a server to every pending request, and schedule the next try."""
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None
        if not len(self.pending):
            return
        now = self.clock()
        self.pending.dispatch(self.choose, now)
        next_expiry = self.pending.next_expiry()
        if next_expiry is not None:
            self._dispatch_after(min(max(0.0, next_expiry - now), PENDING_POLL_INTERVAL_S))

    def schedule_dispatch(self) -> None:
        """Try the pending requests again in the next iteration of the event loop."""
        if len(self.pending):
            self._dispatch_after(0.0)

    def _dispatch_after(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._dispatch_timer is not None:
            if self._dispatch_timer.when() <= loop.time() + delay_s:
                return
            self._dispatch_timer.cancel()
        self._dispatch_timer = loop.call_later(delay_s, self.dispatch_pending)

    # --- demand ---------------------------------------------------------------------------

    def record_request(self, pool: str, prompt: Prompt | None) -> None:
        """Count a request in the demand that is reported to placement."""
        if prompt is not None:
            self.demand.on_request(_demand_key(pool, prompt))

    def record_waiting(
        self, pool: str, prompt: Prompt | None, reason: NoServerReason, change: int
    ) -> None:
        """Count a request that begins (`change` is 1) or stops (-1) waiting for a load."""
        if change > 0:
            self.schedule_dispatch()
        if prompt is None or reason not in LOAD_REASONS:
            return
        key = _demand_key(pool, prompt)
        self.demand.on_waiting(key, change)
        if self.demand.urgent or (change < 0 and not self.demand.waiting(key)):
            # The end of the last wait is urgent too: replicas are added for pending requests.
            self._on_urgent()

    def on_unreachable(self, server: ServerId) -> None:
        """Record a server that failed, and have it reported to the placement leader at once."""
        if server not in self._unreachable:
            self._unreachable.add(server)
            self._on_urgent()

    def take_unreachable(self) -> list[str]:
        """Return and forget the servers that failed since the last report."""
        failed, self._unreachable = self._unreachable, set()
        return sorted(failed)

    def record_sent(self, pool: str, prompt: Prompt | None, server: ServerId) -> None:
        """Count a request that runs at a server."""
        if prompt is not None:
            self.demand.on_dispatched(_demand_key(pool, prompt), server)

    def record_end(self, pool: str, prompt: Prompt | None, server: ServerId) -> None:
        """Count a request that no longer runs at a server."""
        if prompt is not None:
            self.demand.on_ended(_demand_key(pool, prompt), server, prompt.output_tokens)


PENDING_POLL_INTERVAL_S = 0.1
"""The interval at which pending requests are tried again while no event arrives: back-off and slow
start end by time alone."""


def _demand_key(pool: str, prompt: Prompt) -> DemandKey:
    adapter = AdapterName(adapter_name(prompt.model, prompt.adapter)) if prompt.adapter else None
    return DemandKey(PoolName(pool), ModelName(prompt.model), adapter)
