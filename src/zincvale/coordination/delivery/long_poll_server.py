"""Responds to long polls with chosen values, members and ephemeral topics, as deltas if possible.

It runs at cores, and at nodes for peers that reach no core.
"""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from zincvale.coordination.config import Timings
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.messages import Poll, PollResponse, TopicDelta
from zincvale.coordination.delivery.versioned_table import Delta, VersionedTable
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.machine import Effect, Reply

_Position = tuple[Hashable, ...]

MAX_EPHEMERAL_PAUSE_S = 0.5
"""Maximum pause after a batch of responses, in seconds: how much the pause may delay an ephemeral
update."""


@attrs.frozen
class _PendingPoll:
    """A poll without a response yet; it gets an empty one at `respond_by`."""

    poll: Poll
    respond_by: float


class LongPollServer:
    """Keeps long polls pending until there is an update; updates are batched for `delta_batch_s`.

    Updates of durable keys are sent after the batching interval. Ephemeral updates (topics and
    members) are frequent, and each costs an exchange with every poller. To limit their share of
    this process's time, they pause after a batch, for its number of responses divided by
    `ephemeral_responses_per_s`.
    """

    def __init__(
        self,
        timings: Timings,
        values: dict[str, VersionedTable],
        members: VersionedTable,
        topics: EphemeralTopics,
    ) -> None:
        self._timings = timings
        self._values = values
        self._members = members
        self._topics = topics
        self._pending: dict[str, _PendingPoll] = {}
        self._updated_since: float | None = None
        self._ephemeral_updated_since: float | None = None
        self._ephemeral_pause_until = 0.0
        self.members_source = ""
        self.topic_epochs_seen: dict[str, int] = {}
        """The newest epoch that any poller has applied, by topic."""
        self.is_isolated = False
        """Whether this process hears no majority of the cores; polls then get an immediate response
        that says so, and pollers choose another host."""

    def poll(self, token: str, poll: Poll, now: float) -> list[Effect]:
        """Respond immediately if there is an update, else keep the poll pending."""
        for topic, position in poll.topics.items():
            if position.epoch > self.topic_epochs_seen.get(topic, 0):
                self.topic_epochs_seen[topic] = position.epoch
        response = self._response(poll)
        if response is not None and self._may_defer(poll, response, now):
            self.on_ephemeral_update(now)
            response = None
        if response is None and self.is_isolated:
            response = self._empty_response()
        if response is not None:
            return [Reply(token, response)]
        self._pending[token] = _PendingPoll(poll, now + self._timings.long_poll_timeout_s)
        return []

    def abandon(self, token: str) -> None:
        """Remove a poll whose caller closed its connection."""
        self._pending.pop(token, None)

    def on_update(self, now: float) -> None:
        """Record that a durable key changed, or another table that pollers need promptly."""
        if self._updated_since is None:
            self._updated_since = now

    def on_ephemeral_update(self, now: float) -> None:
        """Record that a topic or the member table changed."""
        if self._ephemeral_updated_since is None:
            self._ephemeral_updated_since = now

    def respond_if_due(self, now: float) -> list[Effect]:
        """Respond to polls that have updates, once the batching interval has passed."""
        return self.tick(now) if self._is_due(now) else []

    def tick(self, now: float) -> list[Effect]:
        """Respond as `respond_if_due` does; also send an empty response to overdue polls."""
        effects: list[Effect] = []
        is_due = self._is_due(now)
        responses: dict[_Position, PollResponse | None] = {}
        for token, pending in list(self._pending.items()):
            response = self._shared_response(pending.poll, responses) if is_due else None
            if response is None and (now >= pending.respond_by or self.is_isolated):
                response = self._empty_response()
            if response is not None:
                del self._pending[token]
                effects.append(Reply(token, response))
        if is_due:
            self._updated_since = self._ephemeral_updated_since = None
            self._pause_ephemeral_updates(len(effects), now)
        return effects

    def _is_due(self, now: float) -> bool:
        batch_s = self._timings.delta_batch_s
        if self._updated_since is not None and now - self._updated_since >= batch_s:
            return True
        if self._ephemeral_updated_since is None or now < self._ephemeral_pause_until:
            return False
        return now - self._ephemeral_updated_since >= batch_s

    def _pause_ephemeral_updates(self, response_count: int, now: float) -> None:
        rate = self._timings.ephemeral_responses_per_s
        if rate:
            self._ephemeral_pause_until = now + min(response_count / rate, MAX_EPHEMERAL_PAUSE_S)

    def _may_defer(self, poll: Poll, response: PollResponse, now: float) -> bool:
        """Whether the response can wait for the pause to end.

        It cannot if it carries durable keys, or if the poller has no member table or lacks a topic.
        """
        if response.keys or now >= self._ephemeral_pause_until:
            return False
        is_new = not poll.members_source or any(
            not position.epoch for position in poll.topics.values()
        )
        return not is_new

    def _shared_response(
        self, poll: Poll, responses: dict[_Position, PollResponse | None]
    ) -> PollResponse | None:
        """Return the response to a poll; polls with the same position share one."""
        position = _position_of(poll)
        if position not in responses:
            responses[position] = self._response(poll)
        return responses[position]

    def _response(self, poll: Poll) -> PollResponse | None:
        keys = [
            delta_message(key, self._values[key].since(version))
            for key, version in poll.keys.items()
            if key in self._values and self._values[key].version > version
        ]
        topics = self._topic_updates(poll)
        members = self._member_update(poll)
        if not keys and not topics and members is None:
            return None
        return PollResponse(keys, topics, self.members_source, members, self.is_isolated)

    def _empty_response(self) -> PollResponse:
        return PollResponse([], [], self.members_source, None, self.is_isolated)

    def _topic_updates(self, poll: Poll) -> list[TopicDelta]:
        updates = []
        for topic, position in poll.topics.items():
            delta = self._topics.since(topic, position.epoch, position.version)
            if delta is not None:
                updates.append(delta)
        return updates

    def _member_update(self, poll: Poll) -> TableDelta | None:
        if not self.members_source:
            return None
        if poll.members_source != self.members_source:
            return delta_message("members", self._members.full())
        if self._members.version <= poll.members_version:
            return None
        return delta_message("members", self._members.since(poll.members_version))


def _position_of(poll: Poll) -> _Position:
    """Return the versions that a poller has applied, as a dictionary key."""
    return (
        tuple(poll.keys.items()),
        poll.members_source,
        poll.members_version,
        tuple(poll.topics.items()),
    )


def delta_message(name: str, delta: Delta) -> TableDelta:
    """Return the message for a delta of the table `name`."""
    return TableDelta(name, delta.base, delta.version, delta.puts, delta.deletes)


def delta_from_message(delta: TableDelta) -> Delta:
    """Return the delta that a message carries."""
    return Delta(delta.base_version, delta.version, delta.puts, delta.deletes)
