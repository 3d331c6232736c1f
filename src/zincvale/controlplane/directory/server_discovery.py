"""The directory of servers from a list that an external system maintains, without a leader.

Any number of cores may read the list safely, so no lease is needed: one core reads and publishes,
and each other core starts to read when no read was announced to it for a time that grows with its
rank. Of two readers, the one with the newer publication remains.

Epochs of publications are made unique by the reader's name; they are not fencing epochs. They grow
with the wall clock, so that a publication made after a restart of all cores is newer than the rows
that nodes still store. If the clock was set back, the cores notice it by the epochs that nodes send
with their polls.

Times are in seconds on the process's clock.
"""

from __future__ import annotations

import attrs
import xxhash

from zincvale.controlplane import log_events
from zincvale.controlplane.directory.messages import ListRead
from zincvale.controlplane.directory.row_codec import (
    LISTED_TOPIC,
    decode_server_row,
    encode_server_row,
)
from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.errors import InvalidInputError
from zincvale.model.forwarding import ForwardingDocument
from zincvale.model.identifiers import (
    AdapterName,
    Address,
    MemberId,
    ModelName,
    PoolName,
    ServerId,
    ZoneName,
)
from zincvale.model.machine import Log
from zincvale.model.resources import PoolKind

READ_INTERVAL_S = 0.8
"""Interval between two reads of the list by the reader."""
READER_TIMEOUT_S = 1.3
"""Time since the last known read after which the core of rank 0 becomes a reader.

A core that has just started and knows of no read yet does not wait for it. With a value below
`READ_INTERVAL_S`, a second core would read as well."""
RANK_DELAY_S = 0.4
"""Additional delay for each rank, so that announcements of lower ranks arrive first."""
THROTTLED_PAUSE_S = 1.0
"""Pause after the external system rejected a read by its rate limit."""
EMPTY_READS_UNTIL_ACCEPTED = 3
"""Number of empty reads in a row after which the list counts as empty; fewer count as a fault."""
EPOCH_NAME_BITS = 20
"""Number of low bits of an epoch that are a hash of the reader's name: they distinguish two readers
that start with the same count. With fewer bits, equal epochs of two readers are more likely."""


@attrs.frozen
class ListedServer:
    """One server of the external list."""

    server: ServerId
    address: Address
    pool: PoolName
    zone: ZoneName
    draining: bool = False
    cold_remaining_s: float = 0.0
    slots: int = 0
    models: frozenset[ModelName] = frozenset()
    adapters: frozenset[AdapterName] = frozenset()
    """Adapters, each as `MODEL/ADAPTER`."""


# Effects of the discovery machine


@attrs.frozen
class FetchList:
    """Effect: read the complete list; `on_list_read` or `on_list_failed` follows."""


@attrs.frozen
class AnnounceRead:
    """Effect: announce to the other cores that the list was read."""

    message: ListRead


@attrs.frozen
class PublishServers:
    """Effect: publish `message` at the local core; `on_publication_refused` follows a refusal."""

    message: PublishTopic


@attrs.frozen
class ServersObserved:
    """Effect: report all rows as last observed.

    Attributes
    ----------
    removed : servers that were in the previous observation but not in this one.
    requested_at : lower bound of the time at which the rows were taken.
    """

    rows: tuple[ServerRow, ...]
    removed: tuple[ServerId, ...]
    requested_at: float


Effect = FetchList | AnnounceRead | PublishServers | ServersObserved | Log


class ServerDiscovery:
    """State machine of one core that reads the list or follows another core's publications.

    Parameters
    ----------
    name : unique name of this process.
    lag_s : longest time by which the list may lag behind the state of the servers.
    """

    def __init__(self, name: str, lag_s: float, now: float) -> None:
        self._name_bits = xxhash.xxh3_64_intdigest(name.encode()) >> (64 - EPOCH_NAME_BITS)
        self._lag_s = lag_s
        self._document = ForwardingDocument()
        self._listed: dict[ServerId, ListedServer] = {}
        self._rows: dict[ServerId, ServerRow] = {}
        self._published: dict[str, bytes] = {}
        self._known_epoch = 0
        self._own_epoch = 0
        self._last_read_at = now
        self._read_due_at = now
        self._is_reading = False
        self._empty_reads = 0

    @property
    def rows(self) -> dict[ServerId, ServerRow]:
        """Rows of the servers as last observed."""
        return self._rows

    @property
    def is_reader(self) -> bool:
        """Whether this process made the newest known publication."""
        return self._own_epoch != 0 and self._own_epoch == self._known_epoch

    # --- inputs ---------------------------------------------------------------------------

    def on_document_changed(self, document: ForwardingDocument, now: float) -> list[Effect]:
        """Apply a newer document, which declares the engines of the pools."""
        self._document = document
        if not self.is_reader:
            return []
        return self._update_servers(list(self._listed.values()), now - self._lag_s)

    def on_published(self, view: TopicView, now: float) -> list[Effect]:
        """Apply the publication of another core."""
        if view.epoch <= self._known_epoch and view.epoch != 0 and self.is_reader:
            return []
        if view.epoch < self._known_epoch or view.epoch == self._own_epoch:
            return []
        if view.epoch > self._known_epoch:
            self._known_epoch = view.epoch
        self._last_read_at = now
        rows = {}
        for server, content in view.rows.items():
            try:
                rows[ServerId(server)] = decode_server_row(server, content)
            except InvalidInputError:
                # A row of another release: the next read of the list restores it.
                continue
        removed = tuple(server for server in self._rows if server not in rows)
        self._rows = rows
        self._published = dict(view.rows)
        requested_at = now - self._lag_s - READ_INTERVAL_S - READER_TIMEOUT_S
        return [ServersObserved(tuple(rows.values()), removed, requested_at)]

    def on_read_announced(self, message: ListRead, now: float) -> None:
        """Handle the announcement that another core read the list."""
        if message.epoch >= self._known_epoch:
            self._known_epoch = message.epoch
            self._last_read_at = now

    def on_list_read(
        self, servers: list[ListedServer], requested_at: float, now: float, wall_s: float
    ) -> list[Effect]:
        """Apply a complete read that began at `requested_at`; `wall_s` is the wall-clock time."""
        self._is_reading = False
        self._read_due_at = now + READ_INTERVAL_S
        if not servers and self._listed:
            self._empty_reads += 1
            if self._empty_reads < EMPTY_READS_UNTIL_ACCEPTED:
                return []
        self._empty_reads = 0
        if not self.is_reader:
            self._begin_epoch(wall_s)
        effects = self._update_servers(servers, requested_at - self._lag_s)
        return [*effects, AnnounceRead(ListRead(self._own_epoch))]

    def on_list_failed(self, why: str, now: float, *, is_throttled: bool) -> list[Effect]:
        """Handle a failed read; `is_throttled` if a rate limit rejected it."""
        self._is_reading = False
        self._read_due_at = now + (THROTTLED_PAUSE_S if is_throttled else READ_INTERVAL_S / 2)
        return [Log(log_events.PLATFORM_LIST_FAILED, {"why": why})]

    def on_publication_refused(self, known_epoch: int) -> None:
        """Stop being the reader: the local core has a newer publication of another core."""
        self._known_epoch = max(self._known_epoch, known_epoch)
        self._own_epoch = 0

    def on_stored_epoch(self, epoch: int) -> None:
        """Handle the epoch that a node stores; it may come from before this process started."""
        if epoch > self._known_epoch:
            self._known_epoch = epoch

    def tick(self, rank: int, now: float) -> list[Effect]:
        """Read the list if this core is the reader or must take over from one.

        Parameters
        ----------
        rank : 0 for the preferred reader; the others take over in the order of their ranks.
        """
        if self._is_reading or now < self._read_due_at:
            return []
        delay_s = RANK_DELAY_S * rank + (READER_TIMEOUT_S if self._known_epoch else 0.0)
        if not self.is_reader and now - self._last_read_at < delay_s:
            return []
        self._is_reading = True
        return [FetchList()]

    # --- publication ----------------------------------------------------------------------

    def _begin_epoch(self, wall_s: float) -> None:
        count = max((self._known_epoch >> EPOCH_NAME_BITS) + 1, int(wall_s))
        self._own_epoch = (count << EPOCH_NAME_BITS) | self._name_bits
        self._known_epoch = self._own_epoch
        self._published = {}

    def _update_servers(self, servers: list[ListedServer], requested_at: float) -> list[Effect]:
        """Replace the servers; return their observation and, if rows changed, a publication."""
        self._listed = {server.server: server for server in servers}
        rows = {server.server: self._server_row(server) for server in servers}
        removed = tuple(server for server in self._rows if server not in rows)
        self._rows = rows
        effects: list[Effect] = [ServersObserved(tuple(rows.values()), removed, requested_at)]
        message = self._take_publication()
        if message is not None:
            effects.append(PublishServers(message))
        return effects

    def _take_publication(self) -> PublishTopic | None:
        """Return a publication of the changed rows, at first of all rows; None if none changed."""
        encoded = {str(server): encode_server_row(row) for server, row in self._rows.items()}
        puts = {row: value for row, value in encoded.items() if self._published.get(row) != value}
        deletes = [row for row in self._published if row not in encoded]
        is_first = not self._published
        self._published = encoded
        if not puts and not deletes and not is_first:
            return None
        return PublishTopic(
            LISTED_TOPIC, self._own_epoch, encoded if is_first else puts, deletes, replace=is_first
        )

    def _server_row(self, listed: ListedServer) -> ServerRow:
        pool = self._document.pools.get(listed.pool)
        engine = pool.engine if pool is not None else None
        return ServerRow(
            server=listed.server,
            address=listed.address,
            pool=listed.pool,
            zone=listed.zone,
            kind=PoolKind.LOOKUP if engine is None else PoolKind.LANGUAGE_MODEL,
            health=ServerHealth.READY,
            incarnation=str(listed.server),
            memory_bytes=0 if engine is None else engine.memory_bytes,
            models=listed.models,
            adapters=listed.adapters,
            max_running=listed.slots,
            draining=listed.draining,
            cold_remaining_s=self._cold_remaining_s(listed),
        )

    def _cold_remaining_s(self, listed: ListedServer) -> float:
        """Return the slow-start time as first observed: the published row then stays the same."""
        if listed.cold_remaining_s <= 0:
            return 0.0
        known = self._rows.get(listed.server)
        if known is not None and known.cold_remaining_s >= listed.cold_remaining_s:
            return known.cold_remaining_s
        return listed.cold_remaining_s


def reader_rank(own: MemberId, leader: MemberId | None, cores: list[MemberId]) -> int:
    """Return this core's rank as a reader: 0 for the leader of placement, then by member id."""
    others = sorted(core for core in cores if core != leader)
    if own == leader or own not in others:
        return 0
    return others.index(own) + (1 if leader is not None else 0)
