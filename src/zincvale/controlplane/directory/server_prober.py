"""A prober other than the directory's publisher: probes its share and reports the results.

With many servers, probes would take up the event loop of a single publisher. Every prober knows the
servers from the published directory and the probers from the member table, and computes its share
by rendezvous hashing; no member distributes assignments.
"""

from __future__ import annotations

import random

import attrs

from zincvale.controlplane.directory.events import ProbersChanged, ProbeServer
from zincvale.controlplane.directory.messages import ServerObservation, ServerObservations
from zincvale.controlplane.directory.probe_schedule import PROBE_TIMEOUT_S, ProbeSchedule
from zincvale.controlplane.directory.prober_assignment import assigned_to
from zincvale.model.control_tables import Directory
from zincvale.model.identifiers import Address, MemberId, ServerId
from zincvale.model.machine import ClockJumped, Tick

REPORT_INTERVAL_S = 0.25
"""Shortest interval between two reports; observations are collected in between."""


@attrs.frozen
class DirectoryPublished:
    """Input: a newer directory was published."""

    directory: Directory


@attrs.frozen
class ProbeSucceeded:
    """Input: a server responded to its probe with `body`, which is not decoded."""

    server: ServerId
    body: bytes
    requested_at: float


@attrs.frozen
class ProbeFailed:
    """Input: a probe failed; `refused` if no connection was made."""

    server: ServerId
    why: str
    refused: bool
    requested_at: float


@attrs.frozen
class ReportObservations:
    """Effect: send `message` to the leader of the role `directory`; the message may be lost."""

    message: ServerObservations


ProberInput = (
    DirectoryPublished | ProbersChanged | ProbeSucceeded | ProbeFailed | ClockJumped | Tick
)
ProberEffect = ProbeServer | ReportObservations


class ServerProber:
    """Probes this member's share of the servers."""

    def __init__(self, member: MemberId, random_source: random.Random) -> None:
        self._member = member
        self._schedule = ProbeSchedule(random_source)
        self._probers: tuple[MemberId, ...] = ()
        self._addresses: dict[ServerId, Address] = {}
        self._results: dict[ServerId, ProbeSucceeded | ProbeFailed] = {}
        self._report_at = 0.0

    def handle(self, event: ProberInput, now: float) -> list[ProberEffect]:
        """Apply one input and return its effects."""
        match event:
            case DirectoryPublished(directory):
                self._addresses = {row.server: row.address for row in directory.servers.values()}
                self._assign(now)
            case ProbersChanged(probers):
                self._probers = probers
                self._assign(now)
            case ProbeSucceeded(server):
                self._schedule.on_success(server, now)
                self._results[server] = event
            case ProbeFailed(server):
                self._schedule.on_failure(server, now)
                self._results[server] = event
            case ClockJumped():
                # Results from before a pause of the process are too old to report.
                self._results = {}
                self._schedule.restart(now)
            case Tick():
                return self._tick(now)
        return []

    def _assign(self, now: float) -> None:
        assigned = assigned_to(self._member, self._addresses, self._probers)
        self._schedule.assign(assigned, now)

    def _tick(self, now: float) -> list[ProberEffect]:
        for server in self._schedule.overdue(now):
            self._schedule.on_failure(server, now)
        effects: list[ProberEffect] = [
            ProbeServer(server, self._addresses[server], PROBE_TIMEOUT_S)
            for server in self._schedule.due(now)
        ]
        if self._results and now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL_S
            observations = [_observation(result, now) for result in self._results.values()]
            self._results = {}
            effects.append(ReportObservations(ServerObservations(observations)))
        return effects


def _observation(result: ProbeSucceeded | ProbeFailed, now: float) -> ServerObservation:
    age_s = now - result.requested_at
    if isinstance(result, ProbeSucceeded):
        return ServerObservation(result.server, result.body, why="", refused=False, age_s=age_s)
    return ServerObservation(result.server, b"", result.why, result.refused, age_s)
