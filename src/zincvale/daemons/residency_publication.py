"""The leader's half of the topic `residency`: tells nodes what changed of the servers' holdings."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import orjson

from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.residency_rows import RESIDENCY_TOPIC
from zincvale.model.identifiers import ServerId


class ResidencyPublication:
    """Rows that were published under one lease, and servers whose row may have changed since.

    Parameters
    ----------
    servers : returns placement's table of servers.
    publish : publishes a change of the topic.
    """

    def __init__(
        self,
        servers: Callable[[], Mapping[ServerId, ServerState]],
        publish: Callable[[PublishTopic], None],
    ) -> None:
        self._servers = servers
        self._publish = publish
        self._touched: set[ServerId] = set()
        self._published: dict[str, bytes] = {}

    def touch(self, servers: Iterable[ServerId]) -> None:
        """Note servers whose holdings may have changed."""
        self._touched.update(servers)

    def restart(self) -> None:
        """Publish everything again: a new lease begins."""
        self._published = {}
        self._touched.update(self._servers())

    def publish_changes(self, epoch: int) -> None:
        """Publish what changed since the last call, under the lease of `epoch`."""
        touched, self._touched = self._touched, set()
        puts: dict[str, bytes] = {}
        deletes: list[str] = []
        for server in touched:
            state = self._servers().get(server)
            if state is None:
                if self._published.pop(server, None) is not None:
                    deletes.append(server)
                continue
            row = encode_residency(state)
            if self._published.get(server) != row:
                self._published[server] = puts[server] = row
        if puts or deletes:
            self._publish(PublishTopic(RESIDENCY_TOPIC, epoch, puts, deletes))


def encode_residency(server: ServerState) -> bytes:
    """Return the row of a server in placement's table: what requests may be sent for.

    What is about to be unloaded is left out as soon as that is planned.
    """
    held: dict[str, list[str]] = {ItemKind.MODEL.value: [], ItemKind.ADAPTER.value: []}
    for key, replica in server.replicas.items():
        kind, _, name = key.partition("/")
        if replica.state is ReplicaState.LOADED and not replica.draining:
            held[kind].append(name)
    return orjson.dumps(
        {
            "incarnation": server.incarnation,
            "models": sorted(held[ItemKind.MODEL.value]),
            "adapters": sorted(held[ItemKind.ADAPTER.value]),
        }
    )
