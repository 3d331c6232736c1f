"""Hollow nodes: many nodes in one process that speak the real control protocol to real cores.

Each hollow node has its own identity, driver and coordination machine, and uses real connections.
It serves no callers and listens on no port, so that cores cannot call back and peers cannot relay.

Commands are lines on standard input (`status`, `stop`); `status` prints one line of JSON.
"""

from __future__ import annotations

import json
import random
import resource
import sys
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop, PeriodicCallback

from zincvale.controlplane.intent.row_codec import IntentDecoder
from zincvale.coordination.config import NodeConfig
from zincvale.coordination.node.machine import NodeMachine
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import Tick
from zincvale.runtime.clock import suspend_aware_now
from zincvale.runtime.driver import MachineDriver
from zincvale.transport.peer_client import PeerClient, PeerIdentity, make_connections
from zincvale.transport.server_client import ServerClient

MAX_SECONDS = 600.0
"""Time after which the process stops by itself, if nothing has stopped it before."""
HOLLOW_TICK_MS = 100
"""Interval between two ticks of each hollow node."""
ZONES = ("zone-a", "zone-b", "zone-c")
UNUSED_PORT = 9
"""Port in the addresses of hollow nodes, on which nothing listens."""


class HollowNode:
    """The coordination of one node, without a request path."""

    def __init__(
        self, number: int, cluster_id: str, seeds: list[str], connections: ServerClient
    ) -> None:
        member = MemberId(f"hollow-{number}")
        incarnation = f"{number:08x}"
        address = Address(f"127.200.{number // 250}.{number % 250 + 1}:{UNUSED_PORT}")
        config = NodeConfig(
            cluster_id=cluster_id,
            member=member,
            incarnation=incarnation,
            zone=ZoneName(ZONES[number % len(ZONES)]),
            region="region-1",
            api_address=address,
            peer_address=address,
            seeds=tuple(Address(seed) for seed in seeds),
        )
        self.machine = NodeMachine(config, random.Random(number), suspend_aware_now())
        self.driver = MachineDriver(
            self.machine, member, suspend_aware_now, None, _no_reply, self._after_input
        )
        self.peers = PeerClient(
            PeerIdentity(cluster_id, member, incarnation),
            self.machine.address_of,
            {},
            self._deliver,
            lambda _member, _reachable, _reason: None,
            connections,
        )
        self.driver.peers = self.peers
        self.changes_seen = 0

    def tick(self) -> None:
        """Submit one tick to the machine."""
        self.driver.submit(Tick())

    def _deliver(self, sender: MemberId, messages: list[Any]) -> None:
        for message in self.driver.submit_messages(sender, messages):
            self.peers.send(sender, message)

    def _after_input(self) -> None:
        changes = self.machine.take_changes()
        self.changes_seen += len(changes.keys)


class HollowNodeGroup:
    """All hollow nodes of this process; their ticks are spread evenly over the tick interval."""

    def __init__(self, first: int, count: int, cluster_id: str, seeds: list[str]) -> None:
        connections = make_connections()
        self.nodes = [
            HollowNode(number, cluster_id, seeds, connections)
            for number in range(first, first + count)
        ]
        self.intent = IntentDecoder()
        self._slices = 10
        self._next_slice = 0
        self._ticker = PeriodicCallback(self._tick, HOLLOW_TICK_MS / self._slices)

    def start(self) -> None:
        """Start the ticks."""
        self._ticker.start()

    def status(self) -> dict[str, Any]:
        """Return readiness, versions, processor time, memory and traffic of all nodes."""
        now = suspend_aware_now()
        versions = [node.machine.intent().version for node in self.nodes]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        traffic = [node.peers.traffic for node in self.nodes]
        return {
            "nodes": len(self.nodes),
            "ready": sum(node.machine.ready(now) for node in self.nodes),
            "lowest_version": min(versions),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "max_rss_kib": usage.ru_maxrss,
            "exchanges": sum(each.exchanges for each in traffic),
            "sent_bytes": sum(each.sent_bytes for each in traffic),
            "received_bytes": sum(each.received_bytes for each in traffic),
            "clock": now,
        }

    def _tick(self) -> None:
        for node in self.nodes[self._next_slice :: self._slices]:
            node.tick()
        self._next_slice = (self._next_slice + 1) % self._slices


def _no_reply(_token: str, _message: Any) -> bool:
    return False


def _make_command_handler(group: HollowNodeGroup, loop: IOLoop) -> Callable[[Any, int], None]:
    def on_input(_source: Any, _events: int) -> None:
        line = sys.stdin.readline().strip()
        if line == "status":
            print(json.dumps(group.status()), flush=True)
        else:
            loop.stop()

    return on_input


def main(first: str, count: str, cluster_id: str, *seeds: str) -> None:
    """Run until `stop` is read, until standard input ends, or until `MAX_SECONDS` have passed."""
    group = HollowNodeGroup(int(first), int(count), cluster_id, list(seeds))
    loop = IOLoop.current()
    group.start()
    loop.add_handler(sys.stdin.fileno(), _make_command_handler(group, loop), IOLoop.READ)
    loop.call_later(MAX_SECONDS, loop.stop)
    loop.start()


if __name__ == "__main__":
    main(*sys.argv[1:])
