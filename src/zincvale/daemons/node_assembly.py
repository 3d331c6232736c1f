"""The assembly of a node process, independent of the formats of its callers and servers.

`NodeAssembly` holds the parts that all deployments share: the coordination machine, the process
around it, tracing and the periodic tick. `NodeDaemon` (native) and `ForwardingNode` (forwarding by
documents) add their services and implement `NodeEventHandler`.
"""

from __future__ import annotations

import random
from typing import Protocol

import attrs
from tornado.ioloop import PeriodicCallback

from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import NodeConfig, ReadinessRule, Timings
from zincvale.coordination.node.machine import NodeMachine
from zincvale.daemons.process import Drain, build_process
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import ShutdownRequested
from zincvale.runtime.clock import suspend_aware_now, wall_now
from zincvale.runtime.incarnation import new_incarnation
from zincvale.runtime.logs import log
from zincvale.runtime.settings import DaemonSettings
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.service import TracingService

MACHINE_TICK_MS = 100
"""Interval between two ticks of the coordination machine. It may delay a lease renewal, due every
600 ms, by this much; a shorter one would cost an idle node more processor time."""

LEAVE_S = 0.1
"""How long a node that has given up its lease still runs, so that the cores learn it."""


@attrs.frozen(kw_only=True)
class NodeOptions:
    """What differs between the nodes of native and forwarding deployments, besides their services.

    Attributes
    ----------
    topics : ephemeral topics that the node follows.
    services_tick_ms : interval between two ticks of the services.
    timings : durations of the coordination machine.
    readiness : when the nodes of this deployment are ready.
    tracing : tunables of tracing.
    """

    topics: tuple[str, ...]
    services_tick_ms: float
    timings: Timings = attrs.field(factory=Timings)
    readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    tracing: TracingConfig = attrs.field(factory=TracingConfig)


class NodeEventHandler(Protocol):
    """How a deployment's node reacts to changes of control state and to the passage of time."""

    def on_changes(self, changes: ChangeNotifications) -> None:
        """Apply delivered changes before the next message is sent.

        The messages that the machine has just asked to send confirm the delivered versions. They
        leave in a later iteration of the event loop, so that no version is confirmed before it is
        applied here.
        """
        ...

    def on_tick(self, now: float) -> None:
        """Handle the tick that comes every `services_tick_ms`."""
        ...


class NodeAssembly:
    """The parts of every node process; it owns the periodic tick.

    Parameters
    ----------
    handler : called with changes and ticks, but not before `run` is called or the peer address is
        bound.
    """

    def __init__(
        self, settings: DaemonSettings, options: NodeOptions, handler: NodeEventHandler
    ) -> None:
        self.incarnation = new_incarnation()
        self.clock = suspend_aware_now
        self.random = random.Random(self.incarnation)
        self.member = MemberId(settings.member_id)
        self.zone = ZoneName(settings.zone)
        self._handler = handler
        self._left_at: float | None = None
        self._leave_by = float("inf")
        """Until when the node drains at most."""
        self.machine = NodeMachine(
            node_config(settings, self.incarnation, options), self.random, self.clock()
        )
        self.process = build_process(
            settings,
            self.incarnation,
            self.machine,
            self.clock,
            None,
            self.machine.address_of,
            self._after_input,
            MACHINE_TICK_MS,
        )
        self.tracing = TracingService(
            self.member,
            self.random,
            self.clock,
            wall_now,
            self.process.peers.send,
            options.tracing,
            log,
        )
        self.process.router.add_service("tracing", self.tracing.handle_message)
        self._ticker = PeriodicCallback(self._tick, options.services_tick_ms)

    def run(self, drain: Drain) -> None:
        """Serve until SIGTERM or SIGINT, then drain and give up the lease."""
        self._ticker.start()
        self.process.run(self._drain_and_leave(drain))
        self._ticker.stop()

    def _drain_and_leave(self, drain: Drain) -> Drain:
        """Return a drain that also gives up the lease, when `drain` is done or at its limit."""

        def begin(not_before: float) -> None:
            self._leave_by = self.clock() + drain.limit_s
            drain.begin(not_before)

        return Drain(begin, lambda: self._has_left(drain), drain.limit_s + LEAVE_S)

    def _has_left(self, drain: Drain) -> bool:
        """Whether the drain is over and the cores have had time to learn it."""
        if self._left_at is None:
            if not drain.is_done() and self.clock() < self._leave_by:
                return False
            drain.end()
            self._left_at = self.clock()
            self.process.driver.submit(ShutdownRequested())
        return self.clock() - self._left_at >= LEAVE_S

    def _after_input(self) -> None:
        self._handler.on_changes(self.machine.take_changes())

    def _tick(self) -> None:
        self._handler.on_tick(self.clock())


def node_config(settings: DaemonSettings, incarnation: str, options: NodeOptions) -> NodeConfig:
    """Return the configuration of a node's coordination machine."""
    return NodeConfig(
        cluster_id=settings.cluster_id,
        member=MemberId(settings.member_id),
        incarnation=incarnation,
        zone=ZoneName(settings.zone),
        region=settings.region,
        api_address=Address(settings.api_address),
        peer_address=Address(settings.peer_address),
        seeds=tuple(Address(seed) for seed in settings.seeds),
        topics=options.topics,
        readiness=options.readiness,
        timings=options.timings,
    )
