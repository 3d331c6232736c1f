"""Many tracing services on a virtual clock and network, for measurements and tests of tracing.

Nothing here reads a clock or opens a socket: `run_until` advances the time, messages take `DELAY_S`
and may be lost, and members crash, restart, join and leave. Every run is determined by its seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import attrs

from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import Address, MemberId, TraceId, ZoneName
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.service import TracingService

TICK_S = 0.25
DELAY_S = 0.002
"""Time from sending a message to its delivery."""
DETECTION_S = 2.0
"""Time from a crash until the other members learn that the lease has expired."""
WALL_START_S = 1_750_000_000.0
"""Wall clock time at virtual time 0."""


@attrs.define(eq=False)
class TracingFleet:
    """A fleet of tracing services, and the virtual network between them.

    Attributes
    ----------
    loss : fraction of messages that are lost.
    leaving : members that are stopping and take no more requests.
    transform_message : function applied to every message between sending and delivery.
    """

    seed: int
    config: TracingConfig = attrs.field(factory=TracingConfig)
    loss: float = 0.0
    now: float = 1000.0
    services: dict[MemberId, TracingService] = attrs.field(factory=dict)
    incarnations: dict[MemberId, int] = attrs.field(factory=dict)
    leaving: set[MemberId] = attrs.field(factory=set)
    lost_messages: int = 0
    transform_message: Callable[[Any], Any] = lambda message: message
    _random: random.Random = attrs.field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _event_count: int = 0
    _membership_version: int = 0

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def start(self, count: int) -> None:
        """Start `count` nodes and deliver the member table to them."""
        for number in range(1, count + 1):
            self._start_service(MemberId(f"node-{number}"))
        self.publish_members()

    def join(self, member: MemberId) -> None:
        """Start another node, or restart a crashed one with an empty memory."""
        self._start_service(member)
        self.publish_members()

    def crash(self, member: MemberId) -> None:
        """Crash a node, with the loss of its traces; the others learn of it `DETECTION_S` later."""
        del self.services[member]
        self.run_at(self.now + DETECTION_S, self.publish_members)

    def leave(self, member: MemberId, drain_s: float) -> None:
        """Stop a node gracefully: it hands over its traces and is removed after `drain_s`."""
        self.services[member].leave()
        self.leaving.add(member)
        self.run_at(self.now + drain_s, lambda: self._remove(member))

    def publish_members(self) -> None:
        """Deliver the member table to every node."""
        self._membership_version += 1
        rows = {member: self._row(member) for member in self.services}
        members = Members(self._membership_version, rows)
        for service in list(self.services.values()):
            service.apply_members(members)

    def run_at(self, time: float, action: Callable[[], None]) -> None:
        """Run `action` at a virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, action))

    def run_until(self, end: float) -> None:
        """Advance virtual time to `end` and run the actions that are due."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def pick_service(self) -> TracingService:
        """Return a randomly drawn service that takes requests."""
        return self.services[self._random.choice(sorted(set(self.services) - self.leaving))]

    def is_retained_anywhere(self, trace_id: TraceId) -> bool:
        """Return whether a live member has retained the trace."""
        return any(service.store.get(trace_id) for service in self.services.values())

    def _start_service(self, member: MemberId) -> None:
        incarnation = self.incarnations.get(member, 0) + 1
        self.incarnations[member] = incarnation
        service = TracingService(
            member,
            random.Random(f"{self.seed}/{member}/{incarnation}"),
            lambda: self.now,
            lambda: WALL_START_S + self.now,
            lambda to, message: self._send_if_running(service, to, message),
            self.config,
        )
        self.services[member] = service
        self.run_at(self.now + TICK_S * self._random.random(), lambda: self._tick(member, service))

    def _remove(self, member: MemberId) -> None:
        self.services.pop(member, None)
        self.publish_members()

    def _row(self, member: MemberId) -> MemberRow:
        return MemberRow(
            member,
            Role.NODE,
            ZoneName("zone-1"),
            Address("127.0.0.1:1"),
            Address("127.0.0.1:2"),
            str(self.incarnations[member]),
        )

    def _tick(self, member: MemberId, service: TracingService) -> None:
        if self.services.get(member) is not service:
            return
        service.tick(self.now)
        self.run_at(self.now + TICK_S, lambda: self._tick(member, service))

    def _send_if_running(self, service: TracingService, to: MemberId, message: Any) -> None:
        # Requests of a crashed node still end in this process, but it must send no messages.
        if self.services.get(service.member_id) is service:
            self._send(service.member_id, to, message)

    def _send(self, sender: MemberId, to: MemberId, message: Any) -> None:
        if self._random.random() < self.loss:
            self.lost_messages += 1
            return
        transformed = self.transform_message(message)
        self.run_at(self.now + DELAY_S, lambda: self._deliver(sender, to, transformed))

    def _deliver(self, sender: MemberId, to: MemberId, message: Any) -> None:
        service = self.services.get(to)
        if service is None:
            return
        reply = service.handle_message(sender, message)
        if reply is not None:
            self._send(to, sender, reply)


@attrs.define
class RequestMix:
    """Error rate and duration of the traced requests."""

    error_share: float = 0.01
    duration_s: float = 0.05
    late_child_share: float = 0.0


def trace_request(
    fleet: TracingFleet, service: TracingService, mix: RequestMix, source: random.Random
) -> tuple[TraceId, bool]:
    """Start one request with a hold and a dispatch; it ends `duration_s` later.

    Returns its trace identifier and whether it fails.
    """
    is_error = source.random() < mix.error_share
    request_id = f"r-{source.getrandbits(48):012x}"
    root = service.recorder.start("request", attributes={"route": "quotes"})
    root.set("request_id", request_id)
    dispatch = service.recorder.start("dispatch", root.context)
    dispatch.event("policy", policy="least-outstanding-tokens", reason="3 of 4 kept", kept=3)

    def finish() -> None:
        dispatch.set("server", "server-1")
        if is_error:
            dispatch.error("connection reset")
        dispatch.end()
        root.set("outcome", "unknown" if is_error else "answered")
        root.end()

    fleet.run_at(fleet.now + mix.duration_s, finish)
    return root.context.trace_id, is_error
