"""State of the platform: a lagging server list, and the readiness of nodes.

Performs no I/O; time is passed in.
"""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.standins.settings import ListedServer, PolledNode


class LaggingList:
    """A server list that shows its state of `lag_s` seconds ago.

    Parameters
    ----------
    lag_s : delay until a change becomes visible.
    servers : the initial list, which is visible immediately.
    """

    def __init__(self, lag_s: float, servers: list[ListedServer]) -> None:
        self._lag_s = lag_s
        self._current = {row.server: row for row in servers}
        self._changes: deque[tuple[float, dict[str, ListedServer]]] = deque()
        self._visible = dict(self._current)

    def put(self, row: ListedServer, now: float) -> None:
        """Add or replace a server."""
        self._current[row.server] = row
        self._changes.append((now, dict(self._current)))

    def remove(self, server: str, now: float) -> None:
        """Remove a server."""
        self._current.pop(server, None)
        self._changes.append((now, dict(self._current)))

    def visible(self, now: float) -> list[ListedServer]:
        """Return the list as it was `lag_s` seconds ago, sorted by server name."""
        while self._changes and self._changes[0][0] + self._lag_s <= now:
            _, self._visible = self._changes.popleft()
        return [self._visible[name] for name in sorted(self._visible)]


@attrs.define
class _NodeRow:
    address: str
    ready: bool = False
    failed_polls: int = 0


class NodeReadiness:
    """Which nodes are ready, according to polls, and thus handed out to callers.

    Parameters
    ----------
    nodes : the nodes to poll.
    unready_after_polls : consecutive failed polls after which a node is unready.
    """

    def __init__(self, nodes: list[PolledNode], unready_after_polls: int) -> None:
        self._unready_after_polls = unready_after_polls
        self._rows = {row.node: _NodeRow(row.address) for row in nodes}

    def put(self, row: PolledNode) -> None:
        """Add or replace a node; it is unready until a poll succeeds."""
        self._rows[row.node] = _NodeRow(row.address)

    def remove(self, node: str) -> None:
        """Remove a node, so that it is no longer polled."""
        self._rows.pop(node, None)

    def addresses(self) -> dict[str, str]:
        """Return the address of each polled node."""
        return {node: row.address for node, row in self._rows.items()}

    def record_poll(self, node: str, ok: bool) -> bool | None:
        """Record the result of one poll; return the new readiness when it changed."""
        row = self._rows.get(node)
        if row is None:
            return None
        row.failed_polls = 0 if ok else row.failed_polls + 1
        ready = ok or (row.ready and row.failed_polls < self._unready_after_polls)
        if ready == row.ready:
            return None
        row.ready = ready
        return ready

    def ready_nodes(self) -> list[PolledNode]:
        """Return the nodes that are handed out to callers."""
        return [PolledNode(node, row.address) for node, row in self._rows.items() if row.ready]
