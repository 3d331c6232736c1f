"""Which models on servers the leader publishes as resident, and when."""

from __future__ import annotations

import testtools

from tests.controlplane.placement.driver import make_row
from zincvale.controlplane.placement.items import model_key
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.daemons.forwarding_node import TOPICS
from zincvale.daemons.residency_publisher import ResidencyPublisher
from zincvale.daemons.residency_row_codec import RESIDENCY_TOPIC, ResidencyDecoder
from zincvale.model.identifiers import ServerId

SERVER = ServerId("s1")


def make_server(**replicas: Replica) -> ServerState:
    """Return placement's state of a server with these replicas."""
    row = make_row(SERVER)
    state = ServerState(row.server, row.address, row.pool, row.zone, row.incarnation)
    for name, replica in replicas.items():
        state.replicas[model_key(name)] = replica
    return state


def loaded_replica(draining: bool = False) -> Replica:
    """Return a loaded replica; with `draining`, one that is about to be unloaded."""
    return Replica(ReplicaState.LOADED, 1, 0, 0.0, draining=draining)


class ResidencyPublisherTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers: dict[ServerId, ServerState] = {}
        self.published: list[PublishTopic] = []
        self.publisher = ResidencyPublisher(lambda: self.servers, self.published.append)

    def published_models(self) -> frozenset[str]:
        """Publish the changes; return the models that nodes regard as resident on the server."""
        self.publisher.mark_changed((SERVER,))
        self.publisher.publish_changes(1)
        rows: dict[str, bytes] = {}
        for message in self.published:
            rows.update(message.puts)
        return ResidencyDecoder().update(rows)[SERVER].models

    def test_a_replica_is_omitted_as_soon_as_its_unload_is_planned(self) -> None:
        self.servers[SERVER] = make_server(a=loaded_replica(), b=loaded_replica())
        self.assertEqual(frozenset({"a", "b"}), self.published_models())
        self.servers[SERVER].replicas[model_key("b")].draining = True
        self.assertEqual(frozenset({"a"}), self.published_models())

    def test_a_replica_is_published_again_when_its_unload_is_cancelled(self) -> None:
        self.servers[SERVER] = make_server(a=loaded_replica(draining=True))
        self.assertEqual(frozenset(), self.published_models())
        self.servers[SERVER].replicas[model_key("a")].draining = False
        self.assertEqual(frozenset({"a"}), self.published_models())

    def test_an_unchanged_residency_is_not_published_again(self) -> None:
        self.servers[SERVER] = make_server(a=loaded_replica())
        self.published_models()
        self.published_models()
        self.assertEqual(1, len(self.published))

    def test_nodes_follow_the_residency_topic_and_not_the_topic_of_moves(self) -> None:
        self.assertIn(RESIDENCY_TOPIC, TOPICS)
        self.assertNotIn("moves", TOPICS)
