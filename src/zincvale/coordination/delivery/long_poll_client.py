"""The node's long poll: one call at a time, for all tables that the node follows.

The call goes to a core. While no core responds, it goes to a peer, which responds from its own
tables.

Races that are handled here:

- The response of an abandoned call may arrive later. It is ignored, because its token is outdated.
- A delta is applied only to the version that it starts from.
- Each core counts the versions of its member table separately. A delta of the member table is
  therefore ignored if it comes from another source than the table that is known here.
"""

from __future__ import annotations

import random

from zincvale.coordination import log_events
from zincvale.coordination.changes import ChangeNotifications
from zincvale.coordination.config import NodeConfig
from zincvale.coordination.core.messages import TopicPosition
from zincvale.coordination.delivery.ephemeral_topics import EphemeralTopics
from zincvale.coordination.delivery.long_poll_server import delta_from_message
from zincvale.coordination.delivery.messages import Poll, PollResponse
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.registers.messages import TableDelta
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call, Log

POLL_TOKEN_PREFIX = "poll:"
RETRY_DELAY_S = 0.2
"""Delay before another host is polled after a failure, in seconds. It is also the first lag that is
tolerated before a lagging poll is abandoned."""
MAX_TOLERATED_LAG_S = 3.2
"""Maximum time that a poll may lag before it is abandoned for another core, in seconds. The
tolerated lag doubles with each abandoned poll: a large response takes long over a slow link, and
responses of abandoned polls would saturate the link."""
ISOLATED_RETRY_DELAY_S = 1.0
"""Delay before the next poll after a host reported that it hears no majority of the cores, in
seconds."""
ISOLATED_HOST_BACKOFF_S = 3.0
"""How long a host that hears no majority of the cores is polled only if there is no other host, in
seconds."""


class LongPollClient:
    """Keeps the node's tables up to date; durable keys and topics never return to older versions.

    Parameters
    ----------
    keys : the durable keys to follow; the topics to follow are in `config`.
    """

    def __init__(
        self, config: NodeConfig, keys: tuple[str, ...], random_source: random.Random
    ) -> None:
        self._config = config
        self._random = random_source
        self._token = ""
        self._call_count = 0
        self._called_at = 0.0
        self._logs: list[Log] = []
        self._host: MemberId | None = None
        self._is_host_fixed = False
        """Whether the next poll goes to `_host` even if it is not among the preferred hosts."""
        self._isolated_hosts_until: dict[MemberId, float] = {}
        self._retry_at = 0.0
        self._lagging_since: float | None = None
        self._tolerated_lag_s = RETRY_DELAY_S
        self.values = {key: VersionedTable() for key in keys}
        self.members = VersionedTable()
        self.members_source = ""
        self.topics = EphemeralTopics()
        self.notifications = ChangeNotifications()

    def applied_versions(self) -> dict[str, int]:
        """Return the applied version of each durable key."""
        return {key: table.version for key, table in self.values.items()}

    def tick(self, hosts: list[MemberId], now: float) -> list[Call]:
        """Return the call of a new poll to one of `hosts`, unless one is in progress or delayed."""
        if self._token or now < self._retry_at or not hosts:
            return []
        if self._host is None or (self._host not in hosts and not self._is_host_fixed):
            self._host = self._random.choice(hosts)
        self._is_host_fixed = False
        self._call_count += 1
        self._token = f"{POLL_TOKEN_PREFIX}{self._call_count}"
        self._called_at = now
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
            self._back_off_from_host(now)
        changed_keys = [delta.name for delta in response.keys if self._apply_key(delta)]
        for topic_delta in response.topics:
            if self.topics.apply(topic_delta):
                self.notifications.topics.add(topic_delta.topic)
        if response.members is not None:
            self._apply_members(response.members_source, response.members)
        self.notifications.keys.update(changed_keys)
        return bool(changed_keys)

    def handle_failure(self, token: str, now: float) -> None:
        """Poll another host after a delay, because the call `token` failed."""
        if token == self._token:
            self._token = ""
            self._drop_host(now + RETRY_DELAY_S)

    def on_newest_versions(
        self, host: MemberId, newest_versions: dict[str, int], now: float
    ) -> None:
        """Poll `host` instead if it knows newer versions and the poll in progress lags too long."""
        if all(table.version >= newest_versions.get(key, 0) for key, table in self.values.items()):
            self._lagging_since = None
            self._tolerated_lag_s = RETRY_DELAY_S
            return
        if self._lagging_since is None:
            self._lagging_since = now
        elif now - self._lagging_since >= self._tolerated_lag_s and host != self._host:
            self._tolerated_lag_s = min(MAX_TOLERATED_LAG_S, 2.0 * self._tolerated_lag_s)
            self._log_abandoned("it lags behind the newest known version", now)
            self.restart(host)

    def abandon_unresponsive_host(self, hosts: list[MemberId], now: float) -> None:
        """Abandon a poll in progress whose host is not among the responsive `hosts`."""
        if self._token and self._host not in hosts and hosts:
            self._log_abandoned("its host is unresponsive", now)
            self.restart(None)

    def without_isolated_hosts(self, hosts: list[MemberId], now: float) -> list[MemberId]:
        """Return the hosts that did not recently report that they hear no majority of the cores.

        If all of them did, all are returned.
        """
        usable = [host for host in hosts if now >= self._isolated_hosts_until.get(host, now)]
        return usable or hosts

    def restart(self, host: MemberId | None) -> None:
        """Start a new poll at the next tick; the response of the poll in progress is ignored.

        It goes to `host`, or to a host chosen then if `host` is None.
        """
        self._token = ""
        self._host = host
        self._is_host_fixed = host is not None
        self._retry_at = 0.0
        self._lagging_since = None

    def take_logs(self) -> list[Log]:
        """Remove and return the log events of abandoned polls."""
        logs, self._logs = self._logs, []
        return logs

    def _log_abandoned(self, reason: str, now: float) -> None:
        if self._token:
            pending_s = round(now - self._called_at, 3)
            fields = {"host": self._host, "reason": reason, "pending_s": pending_s}
            self._logs.append(Log(log_events.POLL_ABANDONED, fields))

    def _back_off_from_host(self, now: float) -> None:
        if self._host is not None:
            self._isolated_hosts_until[self._host] = now + ISOLATED_HOST_BACKOFF_S
        self._drop_host(now + ISOLATED_RETRY_DELAY_S)

    def _drop_host(self, retry_at: float) -> None:
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
            self.notifications.members = True
