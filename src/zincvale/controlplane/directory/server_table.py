"""Table of the servers that the directory's publisher knows, and the operations that change it.

Each operation returns which rows may have changed and whether routing depends on the change, so
that the publisher examines only those rows.
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
"""Time without a result from its prober after which the publisher probes a server."""
UNREPORTED_CHECK_INTERVAL_S = 1.0
"""Interval at which the publisher searches for servers without results."""


@attrs.frozen
class TableChange:
    """The result of an operation on the table.

    Attributes
    ----------
    dirty : servers whose rows may differ from the published ones.
    is_urgent : whether routing depends on the change.
    """

    effects: list[DirectoryEffect] = attrs.field(factory=list)
    dirty: list[ServerId] = attrs.field(factory=list)
    is_urgent: bool = False


class ServerTable:
    """Servers by id, with the schedule of the probes that this process makes.

    Parameters
    ----------
    member : this process.
    random_source : draws the jitter of probes.
    rows : rows that an earlier publisher published.
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
        """Probe the share of this process; every server if `probers` is empty."""
        assigned = assigned_to(self._member, self._servers, probers or (self._member,))
        self._schedule.assign(assigned, now)

    def probe_soon(self, server: ServerId, now: float) -> None:
        """Probe a server at the next tick."""
        self._schedule.probe_soon(server, now)

    def restart_probes(self, now: float) -> None:
        """Make every assigned server due for a probe, as after a pause of the process."""
        self._schedule.restart(now)

    def apply_platform_list(self, rows: list[PlatformServer], now: float) -> TableChange:
        """Apply the platform's list."""
        listed = {row.server: row for row in rows}
        effects: list[DirectoryEffect] = []
        for server, row in listed.items():
            tracked = self._servers.get(server)
            if tracked is None:
                self._servers[server] = new_candidate(row, now)
                effects.append(_server_log(log_events.SERVER_ADDED, server, address=row.address))
            elif apply_listing(tracked, row, now):
                # Forget the probe in flight, which was sent to the old address.
                self._schedule.remove(server)
        for server in listed:
            self._delisted.pop(server, None)
        for server, tracked in self._servers.items():
            if server not in listed and tracked.delisted_at is None:
                tracked.delisted_at = now
                self._delisted[server] = None
                effects.append(_server_log(log_events.SERVER_DELISTED, server))
        return TableChange(effects, list(listed))

    def apply_status(self, event: StatusObserved, now: float) -> TableChange:
        """Apply a successful probe; drop one that was sent before the newest applied status."""
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
            effects.append(_server_log(log_events.SERVER_RETURNED, event.server, **fields))
        effects += _health_logs(before, tracked.row, "answered")
        effects.append(ServerReported(tracked.row, event.requested_at, event.status.unloading))
        return _table_change(effects, before, tracked.row)

    def apply_failure(self, event: StatusFailed, now: float) -> TableChange:
        """Apply a failed probe; drop one that was sent before the newest applied status."""
        tracked = self._servers.get(event.server)
        if tracked is None or event.requested_at < tracked.requested_at:
            return TableChange()
        return self._record_failure(tracked, event.why, now, refused=event.refused)

    def fail_overdue_probes(self, now: float) -> list[TableChange]:
        """Apply a failure for each probe that got no result in time."""
        return [
            self._record_failure(
                self._servers[server], "the probe got no result", now, refused=False
            )
            for server in self._schedule.overdue(now)
        ]

    def mark_draining(self, event: DrainingMarked) -> TableChange:
        """Apply the names that placement drains on a server; drop those of an older epoch."""
        tracked = self._servers.get(event.server)
        if tracked is None or event.epoch < self._draining_epoch:
            return TableChange()
        self._draining_epoch = event.epoch
        before = tracked.row
        tracked.row = attrs.evolve(tracked.row, closing=event.names)
        return _table_change([], before, tracked.row)

    def remove_overdue(self, now: float) -> TableChange:
        """Remove servers whose retention after leaving the platform's list has ended."""
        overdue = [
            server for server in self._delisted if is_due_for_removal(self._servers[server], now)
        ]
        effects: list[DirectoryEffect] = []
        for server in overdue:
            del self._servers[server], self._delisted[server]
            self._schedule.remove(server)
            effects += [_server_log(log_events.SERVER_REMOVED, server), ServerRemoved(server)]
        return TableChange(effects, overdue, is_urgent=bool(overdue))

    def due_probes(self, now: float) -> list[DirectoryEffect]:
        """Return the probes to send now, also for servers whose assigned prober reports nothing."""
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
        change = self._record_failure(
            tracked, f"{answered_as} responds at its address", now, refused=True
        )
        mismatch = _server_log(
            log_events.SERVER_IDENTITY_MISMATCH, event.server, answered_as=answered_as
        )
        return attrs.evolve(change, effects=[mismatch, *change.effects])

    def _record_failure(
        self, tracked: TrackedServer, why: str, now: float, *, refused: bool
    ) -> TableChange:
        before = tracked.row
        apply_failure(tracked, now, refused=refused)
        self._schedule.on_failure(before.server, now)
        effects = _health_logs(before, tracked.row, why)
        if tracked.row != before:
            effects.append(ServerReported(tracked.row, now))
        return _table_change(effects, before, tracked.row)


def _table_change(
    effects: list[DirectoryEffect], before: ServerRow, after: ServerRow
) -> TableChange:
    if before == after:
        return TableChange(effects)
    is_urgent = not differs_in_load_alone(before, after)
    return TableChange(effects, [after.server], is_urgent=is_urgent)


def _server_log(number: int, server: ServerId, **fields: object) -> Log:
    return Log(number, {"server": server, **fields})


def _health_logs(before: ServerRow, after: ServerRow, why: str) -> list[DirectoryEffect]:
    if before.health is after.health:
        return []
    fields = {"before": before.health.value, "after": after.health.value, "why": why}
    return [_server_log(log_events.SERVER_HEALTH_CHANGED, after.server, **fields)]
