"""Ephemeral topics: tables that the leader of a role publishes.

They are replicated only in the memory of the cores. If all cores fail, they are lost, and the
leader publishes them again.

The epoch of a topic is the fencing epoch of the publishing role. A publication with an older epoch
is refused, because a former leader that does not know yet that its term has ended would overwrite
its successor's rows.
"""

from __future__ import annotations

from zincvale.coordination.changes import TopicView
from zincvale.coordination.delivery.messages import PublishTopic, TopicDelta
from zincvale.coordination.delivery.versioned_table import Delta, VersionedTable

LEADERLESS_PREFIX = "listed-"
"""Prefix of topics that are published without a role; their epochs are not fencing epochs."""


class EphemeralTopics:
    """All topics that this process knows."""

    def __init__(self) -> None:
        self._tables: dict[str, VersionedTable] = {}
        self._epochs: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the names of the topics that were published, sorted."""
        return sorted(self._tables)

    def newest_epoch(self) -> int:
        """Return the newest fencing epoch of any topic; 0 without one."""
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
        """Apply a publication and return its delta; None if its epoch is outdated."""
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
        """Apply a received delta; return False if its base version is missing here.

        A delta that is not newer than the topic here is ignored, and the result is True.
        """
        epoch, version = self.position(delta.topic)
        if (delta.epoch, delta.version) <= (epoch, version):
            return True
        if delta.base_version is not None and delta.epoch != epoch:
            return False
        table = self._tables.setdefault(delta.topic, VersionedTable())
        table_delta = Delta(delta.base_version, delta.version, delta.puts, delta.deletes)
        if not table.apply(table_delta):
            return False
        self._epochs[delta.topic] = delta.epoch
        return True

    def since(self, topic: str, epoch: int, version: int) -> TopicDelta | None:
        """Return the delta from `(epoch, version)` to the newest version; None if there is none."""
        table = self._tables.get(topic)
        if table is None:
            return None
        own_epoch = self._epochs[topic]
        if (own_epoch, table.version) <= (epoch, version):
            return None
        if epoch == own_epoch:
            table_delta = table.since(version)
        else:
            table_delta = table.full()
        return TopicDelta(
            topic,
            own_epoch,
            table_delta.base,
            table_delta.version,
            table_delta.puts,
            table_delta.deletes,
        )
