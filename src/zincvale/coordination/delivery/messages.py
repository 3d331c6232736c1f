"""Messages of long polls and ephemeral topics; positional Avro."""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.messages import peer_message


@attrs.frozen
class TopicDelta:
    """An ephemeral topic at `(epoch, version)`: the full table when `base_version` is None."""

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
    """A change of a topic, sent to the other cores."""

    delta: TopicDelta


@peer_message("topic.fetch")
@attrs.frozen
class FetchTopic:
    """Requests what is newer than the sender's position in a topic."""

    topic: str
    epoch: int
    version: int


@peer_message("poll")
@attrs.frozen
class Poll:
    """Long poll: gets a response when anything is newer than what the poller has applied.

    `members_source` names the core whose member table `members_version` counts; empty for none.
    """

    keys: dict[str, int]
    members_source: str
    members_version: int
    topics: dict[str, TopicPosition]


@peer_message("poll.answer")
@attrs.frozen
class PollResponse:
    """What is newer; `members_source` names whose member table it is."""

    keys: list[TableDelta]
    topics: list[TopicDelta]
    members_source: str
    members: TableDelta | None
    is_isolated: bool = False
    """The sender does not hear a majority of the cores: poll another one."""
