"""Messages of long polls and ephemeral topics.

They are encoded as positional Avro: the order and the types of the fields are the wire format.
"""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.messages import peer_message


@attrs.frozen
class TopicDelta:
    """The changes of an ephemeral topic from `base_version` to `(epoch, version)`.

    It carries the full table if `base_version` is None.
    """

    topic: str
    epoch: int
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("topic.publish")
@attrs.frozen
class PublishTopic:
    """Changes an ephemeral topic under the fencing epoch of the publishing role.

    The first publication under a new epoch, or with `replace`, replaces all rows.
    """

    topic: str
    epoch: int
    puts: dict[str, bytes]
    deletes: list[str]
    replace: bool = False


@peer_message("topic.published")
@attrs.frozen
class TopicPublished:
    """Response to `PublishTopic`: whether the epoch was accepted, and the topic's position."""

    accepted: bool
    epoch: int
    version: int


@peer_message("topic.update")
@attrs.frozen
class TopicUpdate:
    """A delta of a topic, sent by a core to the other cores."""

    delta: TopicDelta


@peer_message("topic.fetch")
@attrs.frozen
class FetchTopic:
    """Requests the delta from the sender's position in a topic to the newest version."""

    topic: str
    epoch: int
    version: int


@peer_message("poll")
@attrs.frozen
class Poll:
    """Long poll: gets a response when a table is newer than the version that the poller has.

    `members_source` identifies the process whose member table `members_version` refers to; it is
    empty if the poller has no member table.
    """

    keys: dict[str, int]
    members_source: str
    members_version: int
    topics: dict[str, TopicPosition]


@peer_message("poll.answer")
@attrs.frozen
class PollResponse:
    """The deltas of newer tables; `members_source` identifies whose member table it is."""

    keys: list[TableDelta]
    topics: list[TopicDelta]
    members_source: str
    members: TableDelta | None
    is_isolated: bool = False
    """Whether the sender hears no majority of the cores, so that another host should be polled."""
