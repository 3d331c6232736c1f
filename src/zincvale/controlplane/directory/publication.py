"""Which rows are published when.

What decides routing (health, residency, address) goes out at once. Load figures alone go out now
and then: each node watches its own load, and every row is sent to every node.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from zincvale.controlplane.directory.row_codec import DIRECTORY_TOPIC, encode_server_row
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.model.identifiers import ServerId
from zincvale.model.view import ServerRow

LOAD_BYTES_PER_SECOND = 1_000
"""What load figures alone may cost each node, over all servers."""
LOAD_INTERVAL_S = 2.0
"""Shortest time between two publications of a row whose load alone changed."""
RESEND_S = 3.0
"""A publication without an answer for this long counts as failed."""
PAUSE_AFTER_FAILURE_S = 0.25


@attrs.frozen
class _SentRow:
    row: ServerRow
    content: bytes
    sent_at: float


class DirectoryPublication:
    """Publisher's side of the directory topic; one publication is in flight at a time.

    Parameters
    ----------
    epoch : fencing epoch of the role.
    is_urgent : whether a row's load matters at once, because its server is being drained.
    """

    def __init__(self, epoch: int, is_urgent: Callable[[ServerRow], bool]) -> None:
        self._epoch = epoch
        self._is_urgent = is_urgent
        self._sent: dict[ServerId, _SentRow] = {}
        self._sent_bytes = 0
        self._touched: set[ServerId] = set()
        self._waiting: set[ServerId] = set()
        """Rows whose load alone changed, until `_waiting_until`."""
        self._waiting_until = float("inf")
        self._whole = True
        self._in_flight_since: float | None = None
        self._paused_until = float("-inf")

    def touch(self, server: ServerId) -> None:
        """Look at a server's row with the next publication."""
        self._touched.add(server)

    def reconsider(self) -> None:
        """Look at the waiting rows again: other servers are being drained now."""
        self._touched |= self._waiting

    def has_work(self, now: float) -> bool:
        """Whether `next` may have something to publish."""
        if self._in_flight_since is not None:
            return now - self._in_flight_since >= RESEND_S
        if now < self._paused_until:
            return False
        return self._whole or bool(self._touched) or now >= self._waiting_until

    def answered(self) -> None:
        """Take note that the core took the publication in flight."""
        self._in_flight_since = None

    def failed(self, now: float) -> None:
        """Publish everything again after a pause: nobody knows what the core holds."""
        self._in_flight_since = None
        self._whole = True
        self._paused_until = now + PAUSE_AFTER_FAILURE_S

    def next(self, rows: Mapping[ServerId, ServerRow], now: float) -> PublishTopic | None:
        """Return what is to be published of `rows`, the whole directory, or None."""
        if not self.has_work(now):
            return None
        if self._in_flight_since is not None:
            self._in_flight_since = None
            self._whole = True
        publish = self._publish_whole if self._whole else self._publish_touched
        message = publish(rows, now)
        if message is not None:
            self._in_flight_since = now
        return message

    def _publish_whole(self, rows: Mapping[ServerId, ServerRow], now: float) -> PublishTopic | None:
        self._sent = {}
        self._sent_bytes = 0
        self._touched = set()
        self._wait_for(set(), 0.0)
        for server, row in rows.items():
            self._remember(server, row, now)
        self._whole = False
        puts: dict[str, bytes] = {server: sent.content for server, sent in self._sent.items()}
        return PublishTopic(DIRECTORY_TOPIC, self._epoch, puts, [], replace=True)

    def _publish_touched(
        self, rows: Mapping[ServerId, ServerRow], now: float
    ) -> PublishTopic | None:
        interval_s = max(LOAD_INTERVAL_S, self._sent_bytes / LOAD_BYTES_PER_SECOND)
        if now >= self._waiting_until:
            self._touched |= self._waiting
            self._waiting = set()
        puts: dict[str, bytes] = {}
        deletes: list[str] = []
        waiting = self._waiting - self._touched
        for server in sorted(self._touched):
            row = rows.get(server)
            if row is None:
                if self._forget(server):
                    deletes.append(server)
            elif self._is_due(server, row, interval_s, now):
                puts[server] = self._remember(server, row, now)
            elif row != self._sent[server].row:
                waiting.add(server)
        self._touched = set()
        self._wait_for(waiting, interval_s)
        if not puts and not deletes:
            return None
        return PublishTopic(DIRECTORY_TOPIC, self._epoch, puts, deletes)

    def _wait_for(self, waiting: set[ServerId], interval_s: float) -> None:
        added = waiting - self._waiting
        known_until = self._waiting_until if waiting & self._waiting else float("inf")
        added_until = min((self._sent[server].sent_at for server in added), default=float("inf"))
        self._waiting = waiting
        self._waiting_until = min(known_until, added_until + interval_s)

    def _is_due(self, server: ServerId, row: ServerRow, interval_s: float, now: float) -> bool:
        sent = self._sent.get(server)
        if sent is None:
            return True
        if row == sent.row:
            return False
        if not differs_in_load_alone(row, sent.row) or self._is_urgent(row):
            return True
        return now - sent.sent_at >= interval_s

    def _remember(self, server: ServerId, row: ServerRow, now: float) -> bytes:
        self._forget(server)
        content = encode_server_row(row)
        self._sent[server] = _SentRow(row, content, now)
        self._sent_bytes += len(content)
        return content

    def _forget(self, server: ServerId) -> bool:
        sent = self._sent.pop(server, None)
        if sent is None:
            return False
        self._sent_bytes -= len(sent.content)
        return True


def differs_in_load_alone(row: ServerRow, other: ServerRow) -> bool:
    """Whether two rows of one server are equal but for load figures."""
    return attrs.evolve(row, running=other.running, used_bytes=other.used_bytes) == other
