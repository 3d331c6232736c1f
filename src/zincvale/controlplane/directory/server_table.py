"""Table of the servers that the directory's publisher knows, and the systems that change it.

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
    ServerForgotten,
    ServerReported,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.probe_schedule import PROBE_TIMEOUT_S, ProbeSchedule
from zincvale.controlplane.directory.prober_assignment import assigned_to
from zincvale.controlplane.directory.publication import differs_in_load_alone
from zincvale.controlplane.directory.server_entries import (
    ServerEntry,
    entry_of,
    is_overdue,
    new_entry,
    take_failure,
    take_listing,
    take_status,
)
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import Log
from zincvale.model.view import ServerRow

UNHEARD_S = 6.0
"""A server that its prober says nothing of for this long is probed by the publisher."""
UNHEARD_LOOK_S = 1.0
"""How often the publisher looks for such servers."""


@attrs.frozen
class TableChange:
    """What an input did to the table.

    Attributes
    ----------
    touched : servers whose rows may have changed.
    urgent : whether routing depends on the change.
    """

    effects: list[DirectoryEffect] = attrs.field(factory=list)
    touched: list[ServerId] = attrs.field(factory=list)
    urgent: bool = False


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
        self._entries = {row.server: entry_of(row, now) for row in rows}
        self._schedule = ProbeSchedule(random_source)
        self._vanished: dict[ServerId, None] = {}
        self._unheard_look_at = now
        self._closing_epoch = 0

    def __len__(self) -> int:
        return len(self._entries)

    def rows(self) -> dict[ServerId, ServerRow]:
        """Return every row."""
        return {server: entry.row for server, entry in self._entries.items()}

    def all_probed(self) -> bool:
        """Whether every server was probed at least once."""
        return all(entry.probed for entry in self._entries.values())

    def assign(self, probers: tuple[MemberId, ...], now: float) -> None:
        """Probe this process's share; without probers, every server."""
        mine = assigned_to(self._member, self._entries, probers or (self._member,))
        self._schedule.assign(mine, now)

    def hasten(self, server: ServerId, now: float) -> None:
        """Probe a server at the next tick."""
        self._schedule.hasten(server, now)

    def restart_probes(self, now: float) -> None:
        """Probe every server at once, as after a freeze."""
        self._schedule.restart(now)

    def take_list(self, rows: list[PlatformServer], now: float) -> TableChange:
        """Apply the platform's list."""
        listed = {row.server: row for row in rows}
        effects: list[DirectoryEffect] = []
        for server, row in listed.items():
            entry = self._entries.get(server)
            if entry is None:
                self._entries[server] = new_entry(row, now)
                effects.append(_log(log_events.SERVER_ADDED, server, address=row.address))
            elif take_listing(entry, row, now):
                # Forget the probe in flight: it asked the old address.
                self._schedule.remove(server)
        for server in listed:
            self._vanished.pop(server, None)
        for server, entry in self._entries.items():
            if server not in listed and entry.vanished_at is None:
                entry.vanished_at = now
                self._vanished[server] = None
                effects.append(_log(log_events.SERVER_DELISTED, server))
        return TableChange(effects, list(listed))

    def take_status(self, event: StatusObserved, now: float) -> TableChange:
        """Apply an answered probe; one that was asked before the newest known is dropped."""
        entry = self._entries.get(event.server)
        if entry is None or event.asked_at < entry.asked_at:
            return TableChange()
        if event.status.server != event.server:
            return self._take_mistaken(event, entry, now)
        before = entry.row
        take_status(entry, event.status, event.asked_at, now)
        self._schedule.answered(event.server, now)
        effects: list[DirectoryEffect] = []
        if before.incarnation and before.incarnation != entry.row.incarnation:
            fields = {"incarnation": entry.row.incarnation}
            effects.append(_log(log_events.SERVER_RETURNED, event.server, **fields))
        effects += _health_log(before, entry.row, "answered")
        effects.append(ServerReported(entry.row, event.asked_at, event.status.unloading))
        return _change(effects, before, entry.row)

    def take_failure(self, event: StatusFailed, now: float) -> TableChange:
        """Apply a failed probe."""
        entry = self._entries.get(event.server)
        if entry is None or event.asked_at < entry.asked_at:
            return TableChange()
        return self._fail(entry, event.why, event.refused, now)

    def give_up_lost_probes(self, now: float) -> list[TableChange]:
        """Count probes without any result as failed."""
        return [
            self._fail(self._entries[server], "the probe got no result", False, now)
            for server in self._schedule.lost(now)
        ]

    def mark_closing(self, event: DrainingMarked) -> TableChange:
        """Apply the placement controller's mark; marks of older epochs are dropped."""
        entry = self._entries.get(event.server)
        if entry is None or event.epoch < self._closing_epoch:
            return TableChange()
        self._closing_epoch = event.epoch
        before = entry.row
        entry.row = attrs.evolve(entry.row, closing=event.names)
        return _change([], before, entry.row)

    def forget_overdue(self, now: float) -> TableChange:
        """Remove servers that left the platform's list long enough ago."""
        overdue = [server for server in self._vanished if is_overdue(self._entries[server], now)]
        effects: list[DirectoryEffect] = []
        for server in overdue:
            del self._entries[server], self._vanished[server]
            self._schedule.remove(server)
            effects += [_log(log_events.SERVER_REMOVED, server), ServerForgotten(server)]
        return TableChange(effects, overdue, urgent=bool(overdue))

    def due_probes(self, now: float) -> list[DirectoryEffect]:
        """Return the probes to send now, also of servers whose own prober is silent."""
        if now >= self._unheard_look_at:
            self._unheard_look_at = now + UNHEARD_LOOK_S
            for server, entry in self._entries.items():
                if now - entry.heard_at > UNHEARD_S:
                    self._schedule.add(server, now)
        return [
            ProbeServer(server, self._entries[server].row.address, PROBE_TIMEOUT_S)
            for server in self._schedule.due(now)
        ]

    def _take_mistaken(self, event: StatusObserved, entry: ServerEntry, now: float) -> TableChange:
        answered_as = event.status.server
        change = self._fail(entry, f"{answered_as} answers at its address", True, now)
        mistaken = _log(log_events.SERVER_IDENTITY_MISMATCH, event.server, answered_as=answered_as)
        return attrs.evolve(change, effects=[mistaken, *change.effects])

    def _fail(self, entry: ServerEntry, why: str, refused: bool, now: float) -> TableChange:
        before = entry.row
        take_failure(entry, refused, now)
        self._schedule.failed(before.server, now)
        effects = _health_log(before, entry.row, why)
        if entry.row != before:
            effects.append(ServerReported(entry.row, now))
        return _change(effects, before, entry.row)


def _change(effects: list[DirectoryEffect], before: ServerRow, after: ServerRow) -> TableChange:
    if before == after:
        return TableChange(effects)
    return TableChange(effects, [after.server], not differs_in_load_alone(before, after))


def _log(number: int, server: ServerId, **fields: object) -> Log:
    return Log(number, {"server": server, **fields})


def _health_log(before: ServerRow, after: ServerRow, why: str) -> list[DirectoryEffect]:
    if before.health is after.health:
        return []
    fields = {"before": before.health.value, "after": after.health.value, "why": why}
    return [_log(log_events.SERVER_HEALTH_CHANGED, after.server, **fields)]
