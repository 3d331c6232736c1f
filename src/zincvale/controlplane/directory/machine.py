"""The server directory as a pure machine, run by the process that publishes it.

The platform's list lags: it only adds candidates. Probes decide health; a server that answers as
another incarnation is taken as it describes itself, cold and empty. The table is published on a
soft topic under the role's fencing epoch. A new publisher starts from what its predecessor
published and publishes nothing until it has probed every server once, so that a change of holder
never empties the nodes' directory.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from zincvale.controlplane import log_events
from zincvale.controlplane.directory.events import (
    DirectoryEffect,
    DirectoryInput,
    DirectoryRoleLost,
    DirectoryRoleTaken,
    DrainingMarked,
    FetchPlatformList,
    IntentChanged,
    PassiveFailureNoted,
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
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ClockJumped, Log, Tick
from zincvale.model.resources import ServerSpec, ZoneSpec
from zincvale.model.view import Intent, ServerRow

LIST_INTERVAL_S = 2.0
LIST_TIMEOUT_S = 2.0
SETTLE_LIMIT_S = 3.0
"""Longest wait of a new publisher for the first probe of every server."""

_OPEN_ZONE = ZoneSpec()
_UNDRAINED = ServerSpec()


class DirectoryMachine:
    """Keeps and publishes the directory while this process holds the role.

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
        self._settle_until = 0.0
        self._list_due_at = 0.0
        self._listed = False

    @property
    def active(self) -> bool:
        """Whether this process publishes."""
        return self._publication is not None

    def rows(self) -> dict[ServerId, ServerRow]:
        """Return the directory as this process knows it."""
        return self._table.rows()

    def handle(self, event: DirectoryInput, now: float) -> list[DirectoryEffect]:
        """Apply one input and return what to do."""
        match event:
            case DirectoryRoleTaken(epoch, published):
                return self._take_role(epoch, published, now)
            case IntentChanged(intent):
                self._intent = intent
                if self._publication is not None:
                    self._publication.reconsider()
            case ProbersChanged(probers):
                self._probers = probers
                self._table.assign(probers, now)
            case _ if self._publication is not None:
                return self._handle_active(event, self._publication, now)
        return []

    def _handle_active(
        self, event: DirectoryInput, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        match event:
            case DirectoryRoleLost():
                return self._drop_role()
            case PlatformListed(rows):
                self._listed = True
                change = self._table.take_list(rows, now)
                self._table.assign(self._probers, now)
                return self._follow(change, publication, now)
            case PlatformListFailed(why):
                return [Log(log_events.PLATFORM_LIST_FAILED, {"why": why})]
            case StatusObserved():
                return self._follow(self._table.take_status(event, now), publication, now)
            case StatusFailed():
                return self._follow(self._table.take_failure(event, now), publication, now)
            case DrainingMarked():
                return self._follow(self._table.mark_closing(event), publication, now)
            case PassiveFailureNoted(server):
                self._table.hasten(server, now)
            case Published(accepted):
                return self._handle_published(accepted, publication, now)
            case PublishFailed(why):
                return self._handle_unpublished(why, publication, now)
            case ClockJumped():
                self._table.restart_probes(now)
            case Tick():
                return self._tick(publication, now)
        return []

    # --- role ---------------------------------------------------------------------------------

    def _take_role(self, epoch: int, published: TopicView, now: float) -> list[DirectoryEffect]:
        self._publication = DirectoryPublication(epoch, self._out_of_service)
        self._table = ServerTable(self._member, self._random, _readable_rows(published), now)
        self._table.assign(self._probers, now)
        self._settle_until = now + SETTLE_LIMIT_S
        self._list_due_at = now
        self._listed = False
        fields = {"epoch": epoch, "servers": len(self._table)}
        return [Log(log_events.DIRECTORY_STARTED, fields)]

    def _drop_role(self) -> list[DirectoryEffect]:
        self._publication = None
        self._table = ServerTable(self._member, self._random)
        return [Log(log_events.DIRECTORY_STOPPED, {})]

    def _out_of_service(self, row: ServerRow) -> bool:
        drained = self._intent.servers.get(row.server, _UNDRAINED).drained
        return drained or self._intent.zones.get(row.zone, _OPEN_ZONE).evacuated

    # --- each tick ----------------------------------------------------------------------------

    def _tick(self, publication: DirectoryPublication, now: float) -> list[DirectoryEffect]:
        effects = self._fetch_list(now)
        for change in [*self._table.give_up_lost_probes(now), self._table.forget_overdue(now)]:
            effects += self._follow(change, publication, now)
        effects += self._table.due_probes(now)
        return effects + self._publish(publication, now)

    def _fetch_list(self, now: float) -> list[DirectoryEffect]:
        if now < self._list_due_at:
            return []
        self._list_due_at = now + LIST_INTERVAL_S
        return [FetchPlatformList(LIST_TIMEOUT_S)]

    # --- publication --------------------------------------------------------------------------

    def _follow(
        self, change: TableChange, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        """Return a change's effects, with a publication where routing depends on it."""
        for server in change.touched:
            publication.touch(server)
        if not change.urgent:
            return change.effects
        return change.effects + self._publish(publication, now)

    def _publish(self, publication: DirectoryPublication, now: float) -> list[DirectoryEffect]:
        if not publication.has_work(now) or not self._settled(now):
            return []
        message = publication.next(self.rows(), now)
        return [] if message is None else [PublishRows(message)]

    def _settled(self, now: float) -> bool:
        if now >= self._settle_until:
            return len(self._table) > 0 or self._listed
        if self._listed and self._table.all_probed():
            self._settle_until = now
            return True
        return False

    def _handle_published(
        self, accepted: bool, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        if accepted:
            publication.answered()
            return self._publish(publication, now)
        # The lease did not cover the moment, or another epoch publishes. Which of the two is told
        # by the role alone: it ends by `DirectoryRoleLost`, never by a guess made here.
        return self._handle_unpublished("refused", publication, now)

    def _handle_unpublished(
        self, why: str, publication: DirectoryPublication, now: float
    ) -> list[DirectoryEffect]:
        publication.failed(now)
        return [Log(log_events.PUBLICATION_FAILED, {"why": why})]


def _readable_rows(published: TopicView) -> Iterator[ServerRow]:
    for server, content in published.rows.items():
        try:
            yield decode_server_row(server, content)
        except InvalidInputError:
            # A row of another release: the platform's list and a probe bring it back.
            continue
