"""The node's long poll: one call at a time, for everything it follows.

It goes to a core; while no core responds, to a peer, which responds from its own tables.

Races that are guarded here: the response of a call that was given up is ignored by its token; a
delta applies only to the version it starts from; a delta of members from another source than the
known one is not applied, since versions of the member table count per core.
"""

from __future__ import annotations

import random

from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import NodeConfig
from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.long_poll_server import delta_from_message
from zincvale.coordination.delivery.messages import Poll, PollResponse
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call

POLL_PREFIX = "poll:"
RETRY_S = 0.2
"""Before another host is polled after a failure, and the first wait when a poll lags."""
MAX_BEHIND_S = 3.2
"""Bound of the wait before a lagging poll is given up for another core. Each one that is given up
doubles the wait: a large response takes long over a slow link, and polls that are given up while it
arrives would fill the link."""
ISOLATED_RETRY_S = 1.0
"""Before the next poll when the host said that it hears no majority of the cores."""
ISOLATED_AVOIDED_S = 3.0
"""So long such a host is polled only if there is no other one."""


class LongPollClient:
    """Keeps the node's tables up to date; versions never go backwards.

    Parameters
    ----------
    keys : the durable keys to follow; the topics are in `config`.
    """

    def __init__(
        self, config: NodeConfig, keys: tuple[str, ...], random_source: random.Random
    ) -> None:
        self._config = config
        self._random = random_source
        self._token = ""
        self._count = 0
        self._host: MemberId | None = None
        self._is_directed = False
        """The next poll goes to `_host`, whichever hosts are preferred."""
        self._isolated_until: dict[MemberId, float] = {}
        self._retry_at = 0.0
        self._behind_since: float | None = None
        self._max_behind_s = RETRY_S
        self.values = {key: VersionedTable() for key in keys}
        self.members = VersionedTable()
        self.members_source = ""
        self.topics = EphemeralTopics()
        self.notes = ChangeNotifications()

    def applied_versions(self) -> dict[str, int]:
        """Return the applied version of each durable key."""
        return {key: table.version for key, table in self.values.items()}

    def tick(self, hosts: list[MemberId], now: float) -> list[Call]:
        """Return the call of a new poll, to one of `hosts`, when none is under way."""
        if self._token or now < self._retry_at or not hosts:
            return []
        if self._host is None or (self._host not in hosts and not self._is_directed):
            self._host = self._random.choice(hosts)
        self._is_directed = False
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
        return [Call(self._host, self._token, poll, self._config.timings.poll_call_timeout_s)]

    def handle_response(self, token: str, response: PollResponse, now: float) -> bool:
        """Apply a response; return whether a durable key changed."""
        if token != self._token:
            return False
        self._token = ""
        if response.is_isolated:
            self._avoid_host(now)
        moved = [delta.name for delta in response.keys if self._apply_key(delta)]
        for topic_delta in response.topics:
            if self.topics.apply(topic_delta):
                self.notes.topics.add(topic_delta.topic)
        if response.members is not None:
            self._apply_members(response.members_source, response.members)
        self.notes.keys.update(moved)
        return bool(moved)

    def handle_failure(self, token: str, now: float) -> None:
        """Try another host soon."""
        if token == self._token:
            self._token = ""
            self._leave_host(now + RETRY_S)

    def on_newest_versions(self, host: MemberId, newest: dict[str, int], now: float) -> None:
        """Poll `host`, which knows newer versions, if the poll under way brings none soon."""
        if all(table.version >= newest.get(key, 0) for key, table in self.values.items()):
            self._behind_since = None
            self._max_behind_s = RETRY_S
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= self._max_behind_s and host != self._host:
            self._max_behind_s = min(MAX_BEHIND_S, 2.0 * self._max_behind_s)
            self.restart(host)

    def leave_unresponsive_host(self, hosts: list[MemberId]) -> None:
        """Give up a poll at a host that no longer responds to anything else."""
        if self._token and self._host not in hosts and hosts:
            self.restart(None)

    def without_isolated(self, hosts: list[MemberId], now: float) -> list[MemberId]:
        """Return the hosts that did not lately say that they hear no majority; all if all did."""
        usable = [host for host in hosts if now >= self._isolated_until.get(host, now)]
        return usable or hosts

    def restart(self, host: MemberId | None) -> None:
        """Start a new poll with the next tick; the response of the old one is ignored."""
        self._token = ""
        self._host = host
        self._is_directed = host is not None
        self._retry_at = 0.0
        self._behind_since = None

    def _avoid_host(self, now: float) -> None:
        if self._host is not None:
            self._isolated_until[self._host] = now + ISOLATED_AVOIDED_S
        self._leave_host(now + ISOLATED_RETRY_S)

    def _leave_host(self, retry_at: float) -> None:
        self._host = None
        self._retry_at = retry_at

    def _apply_key(self, delta: TableDelta) -> bool:
        table = self.values.get(delta.name)
        if table is None or delta.version <= table.version:
            return False
        return table.apply(delta_from_message(delta))

    def _apply_members(self, source: str, delta: TableDelta) -> None:
        if source != self.members_source and delta.base_version is not None:
            return
        if self.members.apply(delta_from_message(delta)):
            self.members_source = source
            self.notes.members = True
