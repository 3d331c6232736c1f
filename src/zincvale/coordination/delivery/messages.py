"""Long polls and soft topics."""

from __future__ import annotations

import attrs

from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.messages import peer_message


@attrs.frozen
class TopicDelta:
    """A soft topic at `(epoch, version)`: whole when `base_version` is None."""

    topic: str
    epoch: int
    base_version: int | None
    version: int
    puts: dict[str, bytes]
    deletes: list[str]


@peer_message("topic.publish")
@attrs.frozen
class PublishTopic:
    """Change a soft topic under the fencing epoch of the publishing role.

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
    """Answer to `PublishTopic`: whether the epoch was accepted."""

    accepted: bool
    epoch: int
    version: int


@peer_message("topic.update")
@attrs.frozen
class TopicUpdate:
    """A topic's change on its way to the other cores."""

    delta: TopicDelta


@peer_message("topic.fetch")
@attrs.frozen
class FetchTopic:
    """Ask for a topic newer than what the sender holds."""

    topic: str
    epoch: int
    version: int


@peer_message("poll")
@attrs.frozen
class Poll:
    """Long poll: answered when anything is newer than what the poller holds."""

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
    isolated: bool = False
    """The sender does not hear a majority of the cores: poll another one."""
