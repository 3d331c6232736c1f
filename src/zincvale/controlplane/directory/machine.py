"""The server directory as a pure state machine, run by the process that publishes it.

The platform's list lags behind, so it only adds candidates; probes decide their health. When a
server responds as another incarnation, its new status replaces all that was known of it. The table
is published on an ephemeral topic under the role's fencing epoch. A new publisher starts from the
rows that its predecessor published and publishes nothing until it has probed every server once, so
that a change of leader never empties the nodes' directory.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from zincvale.controlplane import log_events
from zincvale.controlplane.directory.events import (
    DirectoryEffect,
    DirectoryInput,
    DirectoryRoleGained,
    DirectoryRoleLost,
    DrainingMarked,
    FetchPlatformList,
    IntentChanged,
    PassiveFailureObserved,
    PlatformListed,
    PlatformListFailed,
    ProbersChanged,
    Published,
    PublishFailed,
    PublishRows,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.publication import DirectoryPublication
from zincvale.controlplane.directory.row_codec import decode_server_row
from zincvale.controlplane.directory.server_table import ServerTable, TableChange
from zincvale.coordination.changes import TopicView
from zincvale.model.control_tables import Intent, ServerRow
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ClockJumped, Log, Tick
from zincvale.model.resources import ServerSpec, ZoneSpec

LIST_INTERVAL_S = 2.0
"""Interval between two reads of the platform's list."""
LIST_TIMEOUT_S = 2.0
"""Timeout of a read of the platform's list."""
FIRST_PROBES_TIMEOUT_S = 3.0
"""Longest time for which a new publisher waits for the first probe of every server.

Without this limit a single server whose probes get no result would delay the whole directory.
"""

_OPEN_ZONE = ZoneSpec()
_UNDRAINED = ServerSpec()


class DirectoryMachine:
    """Maintains and publishes the directory while this process leads the role `directory`.

    Parameters
    ----------
    member : this process.
    random_source : draws the jitter of probes.
    """

    def __init__(self, member: MemberId, random_source: random.Random) -> None:
        self._member = member
        self._random = random_source
        self._intent = Intent()
        self._probers: tuple[MemberId, ...] = ()
        self._table = ServerTable(member, random_source)
        self._publication: DirectoryPublication | None = None
        self._first_probes_until = 0.0
        self._list_due_at = 0.0
        self._has_list = False

    @property
    def is_active(self) -> bool:
        """Whether this process is the publisher."""
        return self._publication is not None

    def rows(self) -> dict[ServerId, ServerRow]:
        """Return the directory as this process knows it."""
        return self._table.rows()

    def handle(self, event: DirectoryInput, now: float) -> list[DirectoryEffect]:
        """Apply one input and return its effects."""
        match event:
            case DirectoryRoleGained(epoch, published):
                return self._start_publishing(epoch, published, now)
            case IntentChanged(intent):
                self._intent = intent
                if self._publication is not None:
                    self._publication.reconsider_delayed_rows()
            case ProbersChanged(probers):
                self._probers = probers
                self._table.assign(probers, now)
            case _ if self._publication is not None:
                return self._handle_active(event, self._publication, now)
        return []

    def _handle_active(
        self, event: DirectoryInput, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        change = self._observe(event, now)
        if change is not None:
            return self._apply_change(change, publication, now)
        match event:
            case DirectoryRoleLost():
                return self._stop_publishing()
            case PlatformListFailed(why):
                return [Log(log_events.PLATFORM_LIST_FAILED, {"why": why})]
            case PassiveFailureObserved(server):
                self._table.probe_soon(server, now)
            case Published(accepted):
                return self._on_published(publication, now, accepted=accepted)
            case PublishFailed(why):
                return self._on_publish_failed(why, publication, now)
            case ClockJumped():
                self._table.restart_probes(now)
            case Tick():
                return self._tick(publication, now)
        return []

    def _observe(self, event: DirectoryInput, now: float) -> TableChange | None:
        """Apply an observation of servers to the table; return None for any other input."""
        match event:
            case PlatformListed(rows):
                self._has_list = True
                change = self._table.apply_platform_list(rows, now)
                self._table.assign(self._probers, now)
                return change
            case StatusObserved():
                return self._table.apply_status(event, now)
            case StatusFailed():
                return self._table.apply_failure(event, now)
            case DrainingMarked():
                return self._table.mark_draining(event)
        return None

    # --- role ---------------------------------------------------------------------------------

    def _start_publishing(
        self, epoch: int, published: TopicView, now: float
    ) -> list[DirectoryEffect]:
        self._publication = DirectoryPublication(epoch, self._out_of_service)
        self._table = ServerTable(self._member, self._random, _readable_rows(published), now)
        self._table.assign(self._probers, now)
        self._first_probes_until = now + FIRST_PROBES_TIMEOUT_S
        self._list_due_at = now
        self._has_list = False
        fields = {"epoch": epoch, "servers": len(self._table)}
        return [Log(log_events.DIRECTORY_STARTED, fields)]

    def _stop_publishing(self) -> list[DirectoryEffect]:
        self._publication = None
        self._table = ServerTable(self._member, self._random)
        return [Log(log_events.DIRECTORY_STOPPED, {})]

    def _out_of_service(self, row: ServerRow) -> bool:
        drained = self._intent.servers.get(row.server, _UNDRAINED).drained
        return drained or self._intent.zones.get(row.zone, _OPEN_ZONE).evacuated

    # --- each tick ----------------------------------------------------------------------------

    def _tick(self, publication: DirectoryPublication, now: float) -> list[DirectoryEffect]:
        effects = self._fetch_list(now)
        for change in [*self._table.fail_overdue_probes(now), self._table.remove_overdue(now)]:
            effects += self._apply_change(change, publication, now)
        effects += self._table.due_probes(now)
        return effects + self._publish(publication, now)

    def _fetch_list(self, now: float) -> list[DirectoryEffect]:
        if now < self._list_due_at:
            return []
        self._list_due_at = now + LIST_INTERVAL_S
        return [FetchPlatformList(LIST_TIMEOUT_S)]

    # --- publication --------------------------------------------------------------------------

    def _apply_change(
        self, change: TableChange, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        """Mark the changed rows; return the effects, with a publication if the change is urgent."""
        for server in change.dirty:
            publication.mark_dirty(server)
        if not change.is_urgent:
            return change.effects
        return change.effects + self._publish(publication, now)

    def _publish(self, publication: DirectoryPublication, now: float) -> list[DirectoryEffect]:
        if not publication.has_work(now) or not self._may_publish(now):
            return []
        message = publication.next_message(self.rows(), now)
        return [] if message is None else [PublishRows(message)]

    def _may_publish(self, now: float) -> bool:
        """Whether every server was probed once or the time limit for that has passed."""
        if now >= self._first_probes_until:
            return len(self._table) > 0 or self._has_list
        if self._has_list and self._table.all_probed():
            self._first_probes_until = now
            return True
        return False

    def _on_published(
        self, publication: DirectoryPublication, now: float, *, accepted: bool
    ) -> list[DirectoryEffect]:
        if accepted:
            publication.on_accepted()
            return self._publish(publication, now)
        # Either the lease was not valid at that time, or a newer epoch publishes. Nothing here can
        # tell which; this process stops publishing only on `DirectoryRoleLost`.
        return self._on_publish_failed("refused", publication, now)

    def _on_publish_failed(
        self, why: str, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        publication.on_failed(now)
        return [Log(log_events.PUBLICATION_FAILED, {"why": why})]


def _readable_rows(published: TopicView) -> Iterator[ServerRow]:
    for server, content in published.rows.items():
        try:
            yield decode_server_row(server, content)
        except InvalidInputError:
            # A row of another release: the platform's list and a probe will restore it.
            continue
