"""A prober apart from the directory's publisher: probes its share and reports what it saw.

Where servers are many, the publisher alone would spend its loop on probes. Every prober knows the
servers from the published directory and the probers from the member table, and takes its share by
rendezvous hash; nobody hands out assignments.
"""

from __future__ import annotations

import random

import attrs

from zincvale.controlplane.directory.events import ProbersChanged, ProbeServer
from zincvale.controlplane.directory.messages import ServerObservation, ServerObservations
from zincvale.controlplane.directory.probe_schedule import PROBE_TIMEOUT_S, ProbeSchedule
from zincvale.controlplane.directory.prober_assignment import assigned_to
from zincvale.model.identifiers import Address, MemberId, ServerId
from zincvale.model.machine import ClockJumped, Tick
from zincvale.model.view import Directory

REPORT_INTERVAL_S = 0.25
"""Observations are collected for this long before they are sent."""


@attrs.frozen
class DirectoryPublished:
    """Input: the directory as last published."""

    directory: Directory


@attrs.frozen
class ProbeAnswered:
    """Input: a server answered its probe with `body`, not read yet."""

    server: ServerId
    body: bytes
    asked_at: float


@attrs.frozen
class ProbeFailed:
    """Input: a probe failed; `refused` when nothing listens at the address."""

    server: ServerId
    why: str
    refused: bool
    asked_at: float


@attrs.frozen
class ReportObservations:
    """Effect: send `message` to the holder of the role `directory`; it may be lost."""

    message: ServerObservations


ProberInput = DirectoryPublished | ProbersChanged | ProbeAnswered | ProbeFailed | ClockJumped | Tick
ProberEffect = ProbeServer | ReportObservations


class ServerProber:
    """Probes this member's share of the servers."""

    def __init__(self, member: MemberId, random_source: random.Random) -> None:
        self._member = member
        self._schedule = ProbeSchedule(random_source)
        self._probers: tuple[MemberId, ...] = ()
        self._addresses: dict[ServerId, Address] = {}
        self._seen: dict[ServerId, ProbeAnswered | ProbeFailed] = {}
        self._report_at = 0.0

    def handle(self, event: ProberInput, now: float) -> list[ProberEffect]:
        """Apply one input and return what to do."""
        match event:
            case DirectoryPublished(directory):
                self._addresses = {row.server: row.address for row in directory.servers.values()}
                self._assign(now)
            case ProbersChanged(probers):
                self._probers = probers
                self._assign(now)
            case ProbeAnswered(server):
                self._schedule.answered(server, now)
                self._seen[server] = event
            case ProbeFailed(server):
                self._schedule.failed(server, now)
                self._seen[server] = event
            case ClockJumped():
                # What was seen before a freeze is too old to report.
                self._seen = {}
                self._schedule.restart(now)
            case Tick():
                return self._tick(now)
        return []

    def _assign(self, now: float) -> None:
        mine = assigned_to(self._member, self._addresses, self._probers)
        self._schedule.assign(mine, now)

    def _tick(self, now: float) -> list[ProberEffect]:
        for server in self._schedule.lost(now):
            self._schedule.failed(server, now)
        effects: list[ProberEffect] = [
            ProbeServer(server, self._addresses[server], PROBE_TIMEOUT_S)
            for server in self._schedule.due(now)
        ]
        if self._seen and now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL_S
            observations = [_observation(seen, now) for seen in self._seen.values()]
            self._seen = {}
            effects.append(ReportObservations(ServerObservations(observations)))
        return effects


def _observation(seen: ProbeAnswered | ProbeFailed, now: float) -> ServerObservation:
    age_s = now - seen.asked_at
    if isinstance(seen, ProbeAnswered):
        return ServerObservation(seen.server, seen.body, "", False, age_s)
    return ServerObservation(seen.server, b"", seen.why, seen.refused, age_s)
