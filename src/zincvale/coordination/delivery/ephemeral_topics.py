"""Soft topics: tables that a role's holder publishes and that are rebuilt from their sources.

The epoch is the fencing epoch of the publishing role; older epochs are refused.
"""

from __future__ import annotations

from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import PublishTopic, TopicDelta
from zincvale.coordination.delivery.versioned_table import Delta, VersionedTable

LEADERLESS_PREFIX = "listed-"
"""Topics of this prefix are published without a role: their epochs fence nothing."""


class EphemeralTopics:
    """Every topic this process knows."""

    def __init__(self) -> None:
        self._tables: dict[str, VersionedTable] = {}
        self._epochs: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the topics with rows."""
        return sorted(self._tables)

    def newest_epoch(self) -> int:
        """Return the newest fencing epoch of any topic."""
        return max(
            (
                epoch
                for topic, epoch in self._epochs.items()
                if not topic.startswith(LEADERLESS_PREFIX)
            ),
            default=0,
        )

    def view(self, topic: str) -> TopicView:
        """Return a topic as last published."""
        table = self._tables.get(topic)
        if table is None:
            return TopicView()
        return TopicView(self._epochs[topic], table.version, table.rows)

    def position(self, topic: str) -> tuple[int, int]:
        """Return the epoch and version held of a topic."""
        table = self._tables.get(topic)
        return (self._epochs[topic], table.version) if table else (0, 0)

    def publish(self, publication: PublishTopic) -> TopicDelta | None:
        """Apply a publication of this process; None when its epoch is old."""
        topic = publication.topic
        epoch, version = self.position(topic)
        if publication.epoch < epoch:
            return None
        whole = publication.epoch > epoch or publication.replace
        delta = TopicDelta(
            topic=topic,
            epoch=publication.epoch,
            base_version=None if whole else version,
            version=version + 1,
            puts=publication.puts,
            deletes=[] if whole else publication.deletes,
        )
        self.apply(delta)
        return delta

    def apply(self, delta: TopicDelta) -> bool:
        """Apply a change that was sent here; False when its base is not held."""
        epoch, version = self.position(delta.topic)
        if (delta.epoch, delta.version) <= (epoch, version):
            return True
        if delta.base_version is not None and delta.epoch != epoch:
            return False
        table = self._tables.setdefault(delta.topic, VersionedTable())
        difference = Delta(delta.base_version, delta.version, delta.puts, delta.deletes)
        if not table.apply(difference):
            return False
        self._epochs[delta.topic] = delta.epoch
        return True

    def since(self, topic: str, epoch: int, version: int) -> TopicDelta | None:
        """Return what leads a holder of `(epoch, version)` to the newest, or None without news."""
        table = self._tables.get(topic)
        if table is None:
            return None
        own_epoch = self._epochs[topic]
        if (own_epoch, table.version) <= (epoch, version):
            return None
        if epoch == own_epoch:
            difference = table.since(version)
        else:
            difference = Delta(None, table.version, table.rows, [])
        return TopicDelta(
            topic,
            own_epoch,
            difference.base,
            difference.version,
            difference.puts,
            difference.deletes,
        )
