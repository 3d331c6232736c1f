"""Publishes a topic for the leader of a singleton role, under its fencing epoch."""

from __future__ import annotations

from zincvale.coordination.delivery.messages import PublishTopic
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.process import Process, ProcessKind

TOPIC = "directory"
PUBLISH_INTERVAL_S = 0.5
"""Interval between two publications."""


class RolePublisher:
    """Publishes one row from whichever core leads the role, so that nodes see its epoch."""

    def __init__(self, cluster: Cluster, role: str) -> None:
        self._cluster = cluster
        self._simulation = cluster.simulation
        self._role = role
        self._count = 0

    def start(self) -> None:
        """Schedule the periodic publications."""
        self._simulation.schedule(self._simulation.now + PUBLISH_INTERVAL_S, self._publish)

    def _publish(self) -> None:
        self._simulation.schedule(self._simulation.now + PUBLISH_INTERVAL_S, self._publish)
        for process in list(self._simulation.processes.values()):
            if process.kind is ProcessKind.CORE and not process.is_frozen:
                self._publish_from(process)

    def _publish_from(self, process: Process) -> None:
        state = process.machine.role(self._role, process.local(self._simulation.now))
        if not state.is_leader:
            return
        self._count += 1
        puts = {"row": f"{self._count}".encode()}
        message = PublishTopic(TOPIC, state.epoch, puts, [])
        self._simulation.call_local(process, message, lambda _reply: None)
