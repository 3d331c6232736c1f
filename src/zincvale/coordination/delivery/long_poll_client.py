"""The node's long poll: one call at a time, for everything it follows.

It goes to a core; while no core answers, to a peer, which answers from what it holds itself.
"""

from __future__ import annotations

import random

from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import NodeConfig
from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.long_poll_server import delta_of
from zincvale.coordination.delivery.messages import Poll, PollResponse
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call

POLL_PREFIX = "poll:"
RETRY_S = 0.2
LONGEST_BEHIND_S = 3.2
"""Each poll that is given up for another core doubles the patience with the next one: a large
answer takes long over a slow link, and polls given up while it comes would fill the link."""
ISOLATED_RETRY_S = 1.0


class LongPollClient:
    """Keeps the node's tables up to date; versions never go backwards."""

    def __init__(
        self, config: NodeConfig, keys: tuple[str, ...], random_source: random.Random
    ) -> None:
        self._config = config
        self._random = random_source
        self._token = ""
        self._count = 0
        self._host: MemberId | None = None
        self._retry_at = 0.0
        self._behind_since: float | None = None
        self._behind_patience_s = RETRY_S
        self.values = {key: VersionedTable() for key in keys}
        self.members = VersionedTable()
        self.members_source = ""
        self.topics = EphemeralTopics()
        self.notes = ChangeNotifications()

    def applied_versions(self) -> dict[str, int]:
        """Return the versions held of the durable keys."""
        return {key: table.version for key, table in self.values.items()}

    def tick(self, hosts: list[MemberId], now: float) -> list[Call]:
        """Start a poll when none is under way."""
        if self._token or now < self._retry_at or not hosts:
            return []
        if self._host not in hosts:
            self._host = self._random.choice(hosts)
        self._count += 1
        self._token = f"{POLL_PREFIX}{self._count}"
        poll = Poll(
            keys=self.applied_versions(),
            members_source=self.members_source,
            members_version=self.members.version,
            topics={
                topic: TopicPosition(*self.topics.position(topic)) for topic in self._config.topics
            },
        )
        return [Call(self._host, self._token, poll, self._config.timings.poll_timeout_s)]

    def handle_answer(self, token: str, answer: PollResponse, now: float) -> bool:
        """Apply an answer; whether a durable key moved forward."""
        if token != self._token:
            return False
        self._token = ""
        if answer.isolated:
            self._leave_host(now + ISOLATED_RETRY_S)
        moved = [delta.name for delta in answer.keys if self._apply_key(delta)]
        for topic_delta in answer.topics:
            if self.topics.apply(topic_delta):
                self.notes.topics.add(topic_delta.topic)
        if answer.members is not None:
            self._apply_members(answer.members_source, answer.members)
        self.notes.keys.update(moved)
        return bool(moved)

    def handle_failure(self, token: str, now: float) -> None:
        """Try another host soon."""
        if token == self._token:
            self._token = ""
            self._leave_host(now + RETRY_S)

    def note_newest(self, host: MemberId, newest: dict[str, int], now: float) -> None:
        """A core knows newer versions: when the poll does not bring them soon, poll there."""
        if all(table.version >= newest.get(key, 0) for key, table in self.values.items()):
            self._behind_since = None
            self._behind_patience_s = RETRY_S
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= self._behind_patience_s and host != self._host:
            self._behind_patience_s = min(LONGEST_BEHIND_S, 2.0 * self._behind_patience_s)
            self.restart(host)

    def leave_silent_host(self, hosts: list[MemberId]) -> None:
        """Give up a poll at a host that no longer answers anything else."""
        if self._token and self._host not in hosts and hosts:
            self.restart(None)

    def restart(self, host: MemberId | None) -> None:
        """Start a new poll at once; the answer of the old one is ignored."""
        self._token = ""
        self._host = host
        self._retry_at = 0.0
        self._behind_since = None

    def _leave_host(self, retry_at: float) -> None:
        self._host = None
        self._retry_at = retry_at

    def _apply_key(self, delta: TableDelta) -> bool:
        table = self.values.get(delta.name)
        if table is None or delta.version <= table.version:
            return False
        return table.apply(delta_of(delta))

    def _apply_members(self, source: str, delta: TableDelta) -> None:
        if source != self.members_source and delta.base_version is not None:
            return
        if self.members.apply(delta_of(delta)):
            self.members_source = source
            self.notes.members = True
