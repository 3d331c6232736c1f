"""Decides which rows of the directory are published when.

Fields that decide routing (health, residency, address) are published without delay. A change of
load figures alone is delayed, as each node counts its own load and every row is sent to every node.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, encode_server_row
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.model.control_tables import ServerRow
from zincvale.model.identifiers import ServerId

LOAD_BYTES_PER_SECOND = 1_000
"""Bandwidth to each node that publications of load figures alone may use, over all servers."""
LOAD_INTERVAL_S = 2.0
"""Shortest interval between two publications of a row of which only load figures changed."""
PUBLICATION_TIMEOUT_S = 3.0
"""Time after which a publication without a response counts as failed."""
PAUSE_AFTER_FAILURE_S = 0.25
"""Pause before all rows are published again; it bounds the load on a core that refuses them."""


@attrs.frozen
class _SentRow:
    """A row as it was last published."""

    row: ServerRow
    content: bytes
    sent_at: float


class DirectoryPublication:
    """Publisher's side of the directory topic; one publication is in flight at a time.

    Parameters
    ----------
    epoch : fencing epoch of the role.
    is_urgent : whether a row's load is published without delay, as its server is being drained.
    """

    def __init__(self, epoch: int, is_urgent: Callable[[ServerRow], bool]) -> None:
        self._epoch = epoch
        self._is_urgent = is_urgent
        self._sent: dict[ServerId, _SentRow] = {}
        self._sent_bytes = 0
        self._dirty: set[ServerId] = set()
        self._delayed: set[ServerId] = set()
        """Rows of which only load figures changed; they wait until `_delayed_until`."""
        self._delayed_until = float("inf")
        self._is_full_due = True
        self._in_flight_since: float | None = None
        self._paused_until = float("-inf")

    def mark_dirty(self, server: ServerId) -> None:
        """Compare a server's row with the published one in the next publication."""
        self._dirty.add(server)

    def reconsider_delayed_rows(self) -> None:
        """Check the delayed rows in the next publication: other servers may be draining now."""
        self._dirty |= self._delayed

    def has_work(self, now: float) -> bool:
        """Whether `next_message` may return a message."""
        if self._in_flight_since is not None:
            return now - self._in_flight_since >= PUBLICATION_TIMEOUT_S
        if now < self._paused_until:
            return False
        return self._is_full_due or bool(self._dirty) or now >= self._delayed_until

    def on_accepted(self) -> None:
        """Record that the core accepted the publication in flight."""
        self._in_flight_since = None

    def on_failed(self, now: float) -> None:
        """Publish all rows again after a pause, as it is unknown which the core has stored."""
        self._in_flight_since = None
        self._is_full_due = True
        self._paused_until = now + PAUSE_AFTER_FAILURE_S

    def next_message(self, rows: Mapping[ServerId, ServerRow], now: float) -> PublishTopic | None:
        """Return the next publication from `rows`, the complete directory; None if none is due."""
        if not self.has_work(now):
            return None
        if self._in_flight_since is not None:
            self._in_flight_since = None
            self._is_full_due = True
        publish = self._full_message if self._is_full_due else self._delta_message
        message = publish(rows, now)
        if message is not None:
            self._in_flight_since = now
        return message

    def _full_message(self, rows: Mapping[ServerId, ServerRow], now: float) -> PublishTopic | None:
        self._sent = {}
        self._sent_bytes = 0
        self._dirty = set()
        self._set_delayed(set(), 0.0)
        for server, row in rows.items():
            self._record_sent(server, row, now)
        self._is_full_due = False
        puts: dict[str, bytes] = {server: sent.content for server, sent in self._sent.items()}
        return PublishTopic(DIRECTORY_TOPIC, self._epoch, puts, [], replace=True)

    def _delta_message(self, rows: Mapping[ServerId, ServerRow], now: float) -> PublishTopic | None:
        interval_s = max(LOAD_INTERVAL_S, self._sent_bytes / LOAD_BYTES_PER_SECOND)
        if now >= self._delayed_until:
            self._dirty |= self._delayed
            self._delayed = set()
        puts: dict[str, bytes] = {}
        deletes: list[str] = []
        delayed = self._delayed - self._dirty
        for server in sorted(self._dirty):
            row = rows.get(server)
            if row is None:
                if self._remove_sent(server):
                    deletes.append(server)
            elif self._is_due(server, row, interval_s, now):
                puts[server] = self._record_sent(server, row, now)
            elif row != self._sent[server].row:
                delayed.add(server)
        self._dirty = set()
        self._set_delayed(delayed, interval_s)
        if not puts and not deletes:
            return None
        return PublishTopic(DIRECTORY_TOPIC, self._epoch, puts, deletes)

    def _set_delayed(self, delayed: set[ServerId], interval_s: float) -> None:
        """Replace the delayed rows without extending the delay of those that stay."""
        added = delayed - self._delayed
        known_until = self._delayed_until if delayed & self._delayed else float("inf")
        added_until = min((self._sent[server].sent_at for server in added), default=float("inf"))
        self._delayed = delayed
        self._delayed_until = min(known_until, added_until + interval_s)

    def _is_due(self, server: ServerId, row: ServerRow, interval_s: float, now: float) -> bool:
        sent = self._sent.get(server)
        if sent is None:
            return True
        if row == sent.row:
            return False
        if not differs_in_load_alone(row, sent.row) or self._is_urgent(row):
            return True
        return now - sent.sent_at >= interval_s

    def _record_sent(self, server: ServerId, row: ServerRow, now: float) -> bytes:
        self._remove_sent(server)
        content = encode_server_row(row)
        self._sent[server] = _SentRow(row, content, now)
        self._sent_bytes += len(content)
        return content

    def _remove_sent(self, server: ServerId) -> bool:
        """Remove a server's published row; return whether there was one."""
        sent = self._sent.pop(server, None)
        if sent is None:
            return False
        self._sent_bytes -= len(sent.content)
        return True


def differs_in_load_alone(row: ServerRow, other: ServerRow) -> bool:
    """Whether two rows of one server are equal except for their load figures."""
    return attrs.evolve(row, running=other.running, used_bytes=other.used_bytes) == other
