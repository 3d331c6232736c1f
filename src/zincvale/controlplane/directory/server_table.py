"""Table of the servers that the directory's publisher knows, and what changes it.

Each change tells which rows it touched and whether routing depends on it, so that the publisher
looks at those rows alone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from zincvale.controlplane import log_events
from zincvale.controlplane.directory.backend_status import PlatformServer
from zincvale.controlplane.directory.events import (
    DirectoryEffect,
    DrainingMarked,
    ProbeServer,
    ServerRemoved,
    ServerReported,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.probe_schedule import PROBE_TIMEOUT_S, ProbeSchedule
from zincvale.controlplane.directory.prober_assignment import assigned_to
from zincvale.controlplane.directory.publication import differs_in_load_alone
from zincvale.controlplane.directory.tracked_servers import (
    TrackedServer,
    apply_failure,
    apply_listing,
    apply_status,
    is_due_for_removal,
    new_candidate,
    restored_server,
)
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import Log

UNREPORTED_TIMEOUT_S = 6.0
"""A server without a result of its prober for this long is probed by the publisher."""
UNREPORTED_CHECK_INTERVAL_S = 1.0
"""How often the publisher looks for such servers."""


@attrs.frozen
class TableChange:
    """What an input did to the table.

    Attributes
    ----------
    touched : servers whose rows may have changed.
    is_urgent : whether routing depends on the change.
    """

    effects: list[DirectoryEffect] = attrs.field(factory=list)
    touched: list[ServerId] = attrs.field(factory=list)
    is_urgent: bool = False


class ServerTable:
    """Servers by id, with the schedule of the probes that this process makes.

    Parameters
    ----------
    member : this process.
    random_source : draws the jitter of probes.
    rows : what an earlier publisher left.
    """

    def __init__(
        self,
        member: MemberId,
        random_source: random.Random,
        rows: Iterable[ServerRow] = (),
        now: float = 0.0,
    ) -> None:
        self._member = member
        self._servers = {row.server: restored_server(row, now) for row in rows}
        self._schedule = ProbeSchedule(random_source)
        self._delisted: dict[ServerId, None] = {}
        self._unreported_check_at = now
        self._draining_epoch = 0

    def __len__(self) -> int:
        """Return the number of servers."""
        return len(self._servers)

    def rows(self) -> dict[ServerId, ServerRow]:
        """Return every row."""
        return {server: tracked.row for server, tracked in self._servers.items()}

    def all_probed(self) -> bool:
        """Whether every server was probed at least once."""
        return all(tracked.is_probed for tracked in self._servers.values())

    def assign(self, probers: tuple[MemberId, ...], now: float) -> None:
        """Probe this process's share; without probers, every server."""
        mine = assigned_to(self._member, self._servers, probers or (self._member,))
        self._schedule.assign(mine, now)

    def probe_soon(self, server: ServerId, now: float) -> None:
        """Probe a server at the next tick."""
        self._schedule.probe_soon(server, now)

    def restart_probes(self, now: float) -> None:
        """Probe every server at once, as after a freeze."""
        self._schedule.restart(now)

    def apply_platform_list(self, rows: list[PlatformServer], now: float) -> TableChange:
        """Apply the platform's list."""
        listed = {row.server: row for row in rows}
        effects: list[DirectoryEffect] = []
        for server, row in listed.items():
            tracked = self._servers.get(server)
            if tracked is None:
                self._servers[server] = new_candidate(row, now)
                effects.append(_log(log_events.SERVER_ADDED, server, address=row.address))
            elif apply_listing(tracked, row, now):
                # Forget the probe in flight: it went to the old address.
                self._schedule.remove(server)
        for server in listed:
            self._delisted.pop(server, None)
        for server, tracked in self._servers.items():
            if server not in listed and tracked.delisted_at is None:
                tracked.delisted_at = now
                self._delisted[server] = None
                effects.append(_log(log_events.SERVER_DELISTED, server))
        return TableChange(effects, list(listed))

    def apply_status(self, event: StatusObserved, now: float) -> TableChange:
        """Apply a successful probe; one requested before the newest known is dropped."""
        tracked = self._servers.get(event.server)
        if tracked is None or event.requested_at < tracked.requested_at:
            return TableChange()
        if event.status.server != event.server:
            return self._fail_identity_mismatch(event, tracked, now)
        before = tracked.row
        apply_status(tracked, event.status, event.requested_at, now)
        self._schedule.on_success(event.server, now)
        effects: list[DirectoryEffect] = []
        if before.incarnation and before.incarnation != tracked.row.incarnation:
            fields = {"incarnation": tracked.row.incarnation}
            effects.append(_log(log_events.SERVER_RETURNED, event.server, **fields))
        effects += _health_log(before, tracked.row, "answered")
        effects.append(ServerReported(tracked.row, event.requested_at, event.status.unloading))
        return _change(effects, before, tracked.row)

    def apply_failure(self, event: StatusFailed, now: float) -> TableChange:
        """Apply a failed probe."""
        tracked = self._servers.get(event.server)
        if tracked is None or event.requested_at < tracked.requested_at:
            return TableChange()
        return self._fail(tracked, event.why, now, refused=event.refused)

    def fail_overdue_probes(self, now: float) -> list[TableChange]:
        """Count probes without a result in time as failed."""
        return [
            self._fail(self._servers[server], "the probe got no result", now, refused=False)
            for server in self._schedule.overdue(now)
        ]

    def mark_draining(self, event: DrainingMarked) -> TableChange:
        """Apply the models that placement drains on a server; older epochs are dropped."""
        tracked = self._servers.get(event.server)
        if tracked is None or event.epoch < self._draining_epoch:
            return TableChange()
        self._draining_epoch = event.epoch
        before = tracked.row
        tracked.row = attrs.evolve(tracked.row, closing=event.names)
        return _change([], before, tracked.row)

    def remove_overdue(self, now: float) -> TableChange:
        """Remove servers that left the platform's list long enough ago."""
        overdue = [
            server for server in self._delisted if is_due_for_removal(self._servers[server], now)
        ]
        effects: list[DirectoryEffect] = []
        for server in overdue:
            del self._servers[server], self._delisted[server]
            self._schedule.remove(server)
            effects += [_log(log_events.SERVER_REMOVED, server), ServerRemoved(server)]
        return TableChange(effects, overdue, is_urgent=bool(overdue))

    def due_probes(self, now: float) -> list[DirectoryEffect]:
        """Return the probes to send now, also of servers whose own prober is unresponsive."""
        if now >= self._unreported_check_at:
            self._unreported_check_at = now + UNREPORTED_CHECK_INTERVAL_S
            for server, tracked in self._servers.items():
                if now - tracked.last_result_at > UNREPORTED_TIMEOUT_S:
                    self._schedule.add(server, now)
        return [
            ProbeServer(server, self._servers[server].row.address, PROBE_TIMEOUT_S)
            for server in self._schedule.due(now)
        ]

    def _fail_identity_mismatch(
        self, event: StatusObserved, tracked: TrackedServer, now: float
    ) -> TableChange:
        answered_as = event.status.server
        change = self._fail(tracked, f"{answered_as} answers at its address", now, refused=True)
        mismatch = _log(log_events.SERVER_IDENTITY_MISMATCH, event.server, answered_as=answered_as)
        return attrs.evolve(change, effects=[mismatch, *change.effects])

    def _fail(self, tracked: TrackedServer, why: str, now: float, *, refused: bool) -> TableChange:
        before = tracked.row
        apply_failure(tracked, now, refused=refused)
        self._schedule.on_failure(before.server, now)
        effects = _health_log(before, tracked.row, why)
        if tracked.row != before:
            effects.append(ServerReported(tracked.row, now))
        return _change(effects, before, tracked.row)


def _change(effects: list[DirectoryEffect], before: ServerRow, after: ServerRow) -> TableChange:
    if before == after:
        return TableChange(effects)
    is_urgent = not differs_in_load_alone(before, after)
    return TableChange(effects, [after.server], is_urgent=is_urgent)


def _log(number: int, server: ServerId, **fields: object) -> Log:
    return Log(number, {"server": server, **fields})


def _health_log(before: ServerRow, after: ServerRow, why: str) -> list[DirectoryEffect]:
    if before.health is after.health:
        return []
    fields = {"before": before.health.value, "after": after.health.value, "why": why}
    return [_log(log_events.SERVER_HEALTH_CHANGED, after.server, **fields)]
