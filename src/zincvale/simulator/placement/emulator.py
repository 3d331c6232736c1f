"""Runs placement policies against an emulated fleet in virtual time, to measure them.

Deterministic: time advances in fixed steps and randomness is seeded. A policy sees the fleet and
orders loads and unloads; its measure is how many requests had to wait for a load. Transfers share
the bandwidth of a store and of a server's network.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Iterable
from typing import Protocol

import attrs
import numpy

from zincvale.simulator.placement.fleet import (
    Arrival,
    EmulatedReplica,
    EmulatedServer,
    Fleet,
    FleetEvent,
    FleetEventKind,
    JournalRow,
    Request,
)

STEP_S = 0.1
"""Step of virtual time. Runs with different steps have different outcomes and can't be compared."""
MAX_REQUEST_WAIT_S = 30.0
"""Longest wait of a request; after it the request is dropped and counted as expired."""


@attrs.frozen
class Outcome:
    """The measured result of one run.

    Attributes
    ----------
    requests : all counted requests.
    missed : requests that had to wait because no replica was ready.
    expired : requests dropped after `MAX_REQUEST_WAIT_S`.
    interrupted : requests that were running on a server when it crashed.
    wait_mean_s, wait_p50_s, wait_p99_s : waits for a replica or a free slot, over all requests.
    missed_wait_p99_s : 99th percentile of the waits of missed requests.
    pulled_bytes : bytes that stores delivered.
    loads, unloads : loads started and unloads done.
    """

    requests: int
    missed: int
    expired: int
    interrupted: int
    wait_mean_s: float
    wait_p50_s: float
    wait_p99_s: float
    missed_wait_p99_s: float
    pulled_bytes: float
    loads: int
    unloads: int

    @property
    def served_without_load_wait(self) -> float:
        """Fraction of the requests that were not missed."""
        return 1.0 - self.missed / max(self.requests, 1)


class Policy(Protocol):
    """A placement policy."""

    def step(self, fleet: Fleet, now: float) -> None:
        """Give orders for the state of the fleet; called once per step, after the arrivals."""
        ...


class Emulator:
    """Runs one policy through one scenario.

    Parameters
    ----------
    fleet : the fleet, empty at the start.
    arrivals : requests in order of time.
    events : crashes, returns and drains of servers, in order of time.
    """

    def __init__(
        self, fleet: Fleet, arrivals: Iterable[Arrival], events: Iterable[FleetEvent]
    ) -> None:
        self.fleet = fleet
        self._arrivals = deque(arrivals)
        self._events = deque(events)
        self._finishing: list[tuple[float, int, Request]] = []
        self._start_numbers = itertools.count()
        self._waits: list[float] = []
        self._missed_waits: list[float] = []
        self._requests = 0
        self._missed = 0
        self._expired = 0
        self._interrupted = 0
        self._pulled_bytes = 0.0

    def run(self, policy: Policy, seconds: float, measured_from: float = 0.0) -> Outcome:
        """Run for `seconds` of virtual time; requests before `measured_from` are not counted."""
        pulled_before = 0.0
        rows_before = 0
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            if now < measured_from:
                pulled_before = self._pulled_bytes
                rows_before = len(self.fleet.journal)
            self._step(policy, now, measured=now >= measured_from)
        return self._outcome(pulled_before, rows_before)

    def _step(self, policy: Policy, now: float, *, measured: bool) -> None:
        fleet = self.fleet
        fleet.now = now
        self._apply_events(now)
        self._transfer()
        self._finish(now)
        self._arrive(now, measured=measured)
        policy.step(fleet, now)
        self._dispatch(now)

    def _apply_events(self, now: float) -> None:
        while self._events and self._events[0].at <= now:
            event = self._events.popleft()
            server = self.fleet.servers[event.server]
            match event.kind:
                case FleetEventKind.CRASH:
                    self._crash(server)
                case FleetEventKind.RETURN_COLD:
                    server.is_up = True
                    server.up_since = now
                case FleetEventKind.DRAIN:
                    server.drained = True
                case FleetEventKind.UNDRAIN:
                    server.drained = False
            self.fleet.journal.append(JournalRow(now, event.kind.value, event.server, ""))

    def _crash(self, server: EmulatedServer) -> None:
        self._interrupted += server.running
        server.is_up = False
        server.incarnation += 1
        server.replicas.clear()
        server.draining = frozenset()
        server.running = 0
        server.running_by_pair.clear()

    def _transfer(self) -> None:
        """Transfer the bytes of one step; pulls share the rates of a store and a server."""
        pulls: dict[str, list[tuple[EmulatedServer, str, EmulatedReplica]]] = {}
        per_server: dict[str, int] = {}
        for server in self.fleet.servers.values():
            for name, replica in server.replicas.items():
                if not replica.is_ready:
                    store = self.fleet.items[name].store
                    pulls.setdefault(store, []).append((server, name, replica))
                    per_server[server.spec.name] = per_server.get(server.spec.name, 0) + 1
        for store, store_pulls in pulls.items():
            store_share = self.fleet.stores[store].bytes_per_second / len(store_pulls)
            for server, name, replica in store_pulls:
                server_share = server.spec.pull_bytes_per_second / per_server[server.spec.name]
                moved = min(min(store_share, server_share) * STEP_S, replica.left_bytes)
                replica.left_bytes -= moved
                self._pulled_bytes += moved
                if replica.is_ready:
                    self.fleet.journal.append(
                        JournalRow(
                            self.fleet.now,
                            "loaded",
                            server.spec.name,
                            name,
                            replica.item_bytes,
                            store,
                        )
                    )

    def _finish(self, now: float) -> None:
        while self._finishing and self._finishing[0][0] <= now:
            _, _, request = heapq.heappop(self._finishing)
            server = self.fleet.servers[request.server]
            if server.incarnation != request.incarnation:
                continue
            server.running -= 1
            pair = (request.arrival.model, request.arrival.adapter)
            server.running_by_pair[pair] -= 1

    def _arrive(self, now: float, *, measured: bool) -> None:
        fleet = self.fleet
        while self._arrivals and self._arrivals[0].at <= now:
            arrival = self._arrivals.popleft()
            key = (arrival.model, arrival.adapter)
            fleet.arrived[key] = fleet.arrived.get(key, 0) + 1
            request = Request(arrival, measured)
            if not fleet.ready_servers(*key):
                request.missed = True
            if measured:
                self._requests += 1
            fleet.waiting.setdefault(key, deque()).append(request)
            if not request.missed:
                self._dispatch_queue(key, now)

    def _dispatch(self, now: float) -> None:
        for key in list(self.fleet.waiting):
            self._dispatch_queue(key, now)

    def _dispatch_queue(self, key: tuple[str, str], now: float) -> None:
        queue = self.fleet.waiting[key]
        ready = self.fleet.ready_servers(*key)
        if not ready:
            for request in queue:
                request.missed = True
        while queue and ready:
            server = min(ready, key=lambda server: server.running)
            if server.running >= server.spec.max_running:
                break
            self._start(queue.popleft(), server, now)
        while queue and now - queue[0].arrival.at > MAX_REQUEST_WAIT_S:
            request = queue.popleft()
            self._expired += request.measured
            self._record_wait(request, MAX_REQUEST_WAIT_S)
        if not queue:
            del self.fleet.waiting[key]

    def _start(self, request: Request, server: EmulatedServer, now: float) -> None:
        request.server = server.spec.name
        request.incarnation = server.incarnation
        server.running += 1
        pair = (request.arrival.model, request.arrival.adapter)
        server.running_by_pair[pair] = server.running_by_pair.get(pair, 0) + 1
        for name in filter(None, pair):
            server.replicas[name].used_at = now
        self._record_wait(request, max(now - request.arrival.at, 0.0))
        ends_at = now + request.arrival.service_s
        heapq.heappush(self._finishing, (ends_at, next(self._start_numbers), request))

    def _record_wait(self, request: Request, wait_s: float) -> None:
        if not request.measured:
            return
        self._waits.append(wait_s)
        if request.missed:
            self._missed += 1
            self._missed_waits.append(wait_s)

    def _outcome(self, pulled_before: float, rows_before: int) -> Outcome:
        waits = numpy.array(self._waits or [0.0])
        missed = numpy.array(self._missed_waits or [0.0])
        rows = self.fleet.journal[rows_before:]
        return Outcome(
            requests=self._requests,
            missed=self._missed,
            expired=self._expired,
            interrupted=self._interrupted,
            wait_mean_s=float(waits.mean()),
            wait_p50_s=float(numpy.percentile(waits, 50)),
            wait_p99_s=float(numpy.percentile(waits, 99)),
            missed_wait_p99_s=float(numpy.percentile(missed, 99)),
            pulled_bytes=self._pulled_bytes - pulled_before,
            loads=sum(row.event == "load-start" for row in rows),
            unloads=sum(row.event == "unloaded" for row in rows),
        )
