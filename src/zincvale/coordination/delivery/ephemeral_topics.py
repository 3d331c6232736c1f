"""Ephemeral topics: tables that the leader of a role publishes, rebuilt from their source.

They are replicated to the cores' memory only and are lost with all cores.

The epoch is the fencing epoch of the publishing role. A publication under an older epoch is
refused: a former leader that does not know yet that its term is over would overwrite its
successor's rows.
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
        """Return the epoch and version of a topic; (0, 0) when it was never published."""
        table = self._tables.get(topic)
        return (self._epochs[topic], table.version) if table else (0, 0)

    def publish(self, publication: PublishTopic) -> TopicDelta | None:
        """Apply a publication of this process; None when its epoch is old."""
        topic = publication.topic
        epoch, version = self.position(topic)
        if publication.epoch < epoch:
            return None
        is_full = publication.epoch > epoch or publication.replace
        delta = TopicDelta(
            topic=topic,
            epoch=publication.epoch,
            base_version=None if is_full else version,
            version=version + 1,
            puts=publication.puts,
            deletes=[] if is_full else publication.deletes,
        )
        self.apply(delta)
        return delta

    def apply(self, delta: TopicDelta) -> bool:
        """Apply a received change; return False when its base is missing here.

        A change that was overtaken counts as applied.
        """
        epoch, version = self.position(delta.topic)
        if (delta.epoch, delta.version) <= (epoch, version):
            return True
        if delta.base_version is not None and delta.epoch != epoch:
            return False
        table = self._tables.setdefault(delta.topic, VersionedTable())
        changes = Delta(delta.base_version, delta.version, delta.puts, delta.deletes)
        if not table.apply(changes):
            return False
        self._epochs[delta.topic] = delta.epoch
        return True

    def since(self, topic: str, epoch: int, version: int) -> TopicDelta | None:
        """Return what leads a reader at `(epoch, version)` to the newest, or None."""
        table = self._tables.get(topic)
        if table is None:
            return None
        own_epoch = self._epochs[topic]
        if (own_epoch, table.version) <= (epoch, version):
            return None
        if epoch == own_epoch:
            changes = table.since(version)
        else:
            changes = table.full()
        return TopicDelta(
            topic,
            own_epoch,
            changes.base,
            changes.version,
            changes.puts,
            changes.deletes,
        )
