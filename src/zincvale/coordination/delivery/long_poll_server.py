"""Answers long polls: chosen values, members and soft topics, as differences where possible."""

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

LONGEST_SOFT_REST_S = 0.5


@attrs.frozen
class _PendingPoll:
    poll: Poll
    until: float


class LongPollServer:
    """Holds long polls until there is news, collected for a batching interval.

    News of durable keys goes out at once. Soft news (topics and members) comes often, and each
    piece of it costs an exchange with every poller; so that it takes a bounded part of this
    process, it rests after an answer for as long as the pollers answered then are allowed to cost.
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
        self._held: dict[str, _PendingPoll] = {}
        self._news_since: float | None = None
        self._soft_news_since: float | None = None
        self._soft_rest_until = 0.0
        self.members_source = ""
        self.topic_epochs_seen: dict[str, int] = {}
        """The newest epoch of each topic that any poller holds."""
        self.isolated = False
        """Whether this process hears no majority of the cores: pollers are sent elsewhere."""

    def poll(self, token: str, poll: Poll, now: float) -> list[Effect]:
        """Answer at once when there is news, else hold the poll."""
        for topic, position in poll.topics.items():
            if position.epoch > self.topic_epochs_seen.get(topic, 0):
                self.topic_epochs_seen[topic] = position.epoch
        answer = self._answer(poll)
        if answer is not None and self._may_rest(poll, answer, now):
            self.note_soft_news(now)
            answer = None
        if answer is None and self.isolated:
            answer = self._nothing()
        if answer is not None:
            return [Reply(token, answer)]
        self._held[token] = _PendingPoll(poll, now + self._timings.poll_hold_s)
        return []

    def abandon(self, token: str) -> None:
        """Forget a poll whose caller went away."""
        self._held.pop(token, None)

    def note_news(self, now: float) -> None:
        """A durable key moved, or something else that pollers must have soon."""
        if self._news_since is None:
            self._news_since = now

    def note_soft_news(self, now: float) -> None:
        """A topic or the members changed."""
        if self._soft_news_since is None:
            self._soft_news_since = now

    def answer_if_due(self, now: float) -> list[Effect]:
        """Answer polls with news once the batching interval is over."""
        return self.tick(now) if self._is_due(now) else []

    def tick(self, now: float) -> list[Effect]:
        """Answer polls with news once the batching interval is over, and those held long enough."""
        effects: list[Effect] = []
        is_due = self._is_due(now)
        answers: dict[_Position, PollResponse | None] = {}
        for token, held in list(self._held.items()):
            answer = self._answer_once(held.poll, answers) if is_due else None
            if answer is None and (now >= held.until or self.isolated):
                answer = self._nothing()
            if answer is not None:
                del self._held[token]
                effects.append(Reply(token, answer))
        if is_due:
            self._news_since = self._soft_news_since = None
            self._rest_soft_news(len(effects), now)
        return effects

    def _is_due(self, now: float) -> bool:
        batch_s = self._timings.delta_batch_s
        if self._news_since is not None and now - self._news_since >= batch_s:
            return True
        if self._soft_news_since is None or now < self._soft_rest_until:
            return False
        return now - self._soft_news_since >= batch_s

    def _rest_soft_news(self, answered: int, now: float) -> None:
        rate = self._timings.poll_answers_per_s
        if rate:
            self._soft_rest_until = now + min(answered / rate, LONGEST_SOFT_REST_S)

    def _may_rest(self, poll: Poll, answer: PollResponse, now: float) -> bool:
        """Whether this answer can wait for the others; a poller that knows nothing can not."""
        if answer.keys or now >= self._soft_rest_until:
            return False
        is_new = not poll.members_source or any(not each.epoch for each in poll.topics.values())
        return not is_new

    def _answer_once(
        self, poll: Poll, answers: dict[_Position, PollResponse | None]
    ) -> PollResponse | None:
        """Work out one answer for all pollers that hold the same."""
        position = _position_of(poll)
        if position not in answers:
            answers[position] = self._answer(poll)
        return answers[position]

    def _answer(self, poll: Poll) -> PollResponse | None:
        keys = [
            delta_message(key, self._values[key].since(version))
            for key, version in poll.keys.items()
            if key in self._values and self._values[key].version > version
        ]
        topics = self._topic_news(poll)
        members = self._member_news(poll)
        if not keys and not topics and members is None:
            return None
        return PollResponse(keys, topics, self.members_source, members, self.isolated)

    def _nothing(self) -> PollResponse:
        return PollResponse([], [], self.members_source, None, self.isolated)

    def _topic_news(self, poll: Poll) -> list[TopicDelta]:
        news = []
        for topic, position in poll.topics.items():
            delta = self._topics.since(topic, position.epoch, position.version)
            if delta is not None:
                news.append(delta)
        return news

    def _member_news(self, poll: Poll) -> TableDelta | None:
        if not self.members_source:
            return None
        if poll.members_source != self.members_source:
            whole = Delta(None, self._members.version, self._members.rows, [])
            return delta_message("members", whole)
        if self._members.version <= poll.members_version:
            return None
        return delta_message("members", self._members.since(poll.members_version))


def _position_of(poll: Poll) -> _Position:
    return (
        tuple(poll.keys.items()),
        poll.members_source,
        poll.members_version,
        tuple(poll.topics.items()),
    )


def delta_message(name: str, difference: Delta) -> TableDelta:
    """Return a difference as it travels."""
    return TableDelta(
        name, difference.base, difference.version, difference.puts, difference.deletes
    )


def delta_of(delta: TableDelta) -> Delta:
    """Return a travelled difference."""
    return Delta(delta.base_version, delta.version, delta.puts, delta.deletes)
