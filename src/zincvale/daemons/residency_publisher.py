"""Publishes the topic `residency`: models and adapters for which servers may get requests.

Only the placement leader publishes; `residency_row_codec` decodes the rows at the nodes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import orjson

from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC
from zincvale.model.identifiers import ServerId


class ResidencyPublisher:
    """Stores the rows published under one lease, and the servers whose row may have changed since.

    Parameters
    ----------
    servers : returns placement's state of each server.
    publish : publishes a change of the topic.
    """

    def __init__(
        self,
        servers: Callable[[], Mapping[ServerId, ServerState]],
        publish: Callable[[PublishTopic], None],
    ) -> None:
        self._servers = servers
        self._publish = publish
        self._changed: set[ServerId] = set()
        self._published: dict[str, bytes] = {}

    def mark_changed(self, servers: Iterable[ServerId]) -> None:
        """Mark servers whose replicas may have changed."""
        self._changed.update(servers)

    def restart(self) -> None:
        """Discard the published rows, so that a new lease publishes every row again."""
        self._published = {}
        self._changed.update(self._servers())

    def publish_changes(self, epoch: int) -> None:
        """Publish the rows that changed since the last call, under the lease of `epoch`."""
        changed, self._changed = self._changed, set()
        puts: dict[str, bytes] = {}
        deletes: list[str] = []
        for server in changed:
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
    """Return a server's row: the loaded models and adapters, sorted.

    A draining replica is left out as soon as its unload is planned.
    """
    names_by_kind: dict[str, list[str]] = {ItemKind.MODEL.value: [], ItemKind.ADAPTER.value: []}
    for key, replica in server.replicas.items():
        kind, _, name = key.partition("/")
        if replica.state is ReplicaState.LOADED and not replica.draining:
            names_by_kind[kind].append(name)
    return orjson.dumps(
        {
            "incarnation": server.incarnation,
            "models": sorted(names_by_kind[ItemKind.MODEL.value]),
            "adapters": sorted(names_by_kind[ItemKind.ADAPTER.value]),
        }
    )
