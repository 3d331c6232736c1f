"""Progress of drains and evacuations, as the control API returns it."""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.api.api_driver import ApiDriver, set_resource
from tests.controlplane.approval import verify
from tests.controlplane.fake_view import FakeView, directory, server
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import MemberId

NODE_1, NODE_2 = MemberId("node-1"), MemberId("node-2")


class DrainProgressTest(testtools.TestCase):
    def test_a_drain_is_done_after_all_nodes_applied_it_and_the_server_is_idle(self) -> None:
        driver = ApiDriver(FakeView(applied={NODE_1: 7, NODE_2: 7}))
        busy = server("s1", running=3)
        driver.view.observed = directory(busy, server("s2", "zone-b"))
        driver.note("a drain is declared; one node has not applied it yet")
        set_resource(driver, "Server/s1", {"drained": True})
        driver.view.applied[NODE_1] = 8
        driver.tick(0.1)
        driver.send("GET", "/v1/servers/s1")
        driver.note("all nodes applied it; three requests are still running")
        driver.view.applied[NODE_2] = 8
        driver.tick(0.1)
        driver.send("GET", "/v1/servers/s1")
        driver.note("idle according to the last probe, which may be older than the drain")
        driver.view.observed = directory(attrs.evolve(busy, running=0), server("s2", "zone-b"))
        driver.tick(0.1)
        driver.send("GET", "/v1/servers/s1")
        driver.note("idle for longer than a probe interval; a later change does not reset it")
        set_resource(driver, "Pool/chat", {"max_queue": 7})
        driver.tick(2.5)
        driver.send("GET", "/v1/servers/s1")
        driver.note("back in service")
        set_resource(driver, "Server/s1", {"drained": False})
        driver.tick(0.1)
        driver.send("GET", "/v1/servers/s1")
        verify(self, "drain", driver.transcript())

    def test_an_evacuation_is_done_when_no_server_of_the_zone_runs_requests(self) -> None:
        driver = ApiDriver(FakeView(applied={NODE_1: 8, NODE_2: 8}))
        set_resource(driver, "Zone/zone-a", {"evacuated": True})
        driver.view.observed = directory(server("s1"), server("s4", running=1))
        driver.note("two servers in the zone, one runs a request")
        driver.tick(0.1)
        driver.tick(2.5)
        driver.send("GET", "/v1/zones/zone-a")
        driver.send("GET", "/v1/servers/s4")
        driver.note("the server that ran a request goes down")
        down = server("s4", running=1, health=ServerHealth.DOWN)
        driver.view.observed = directory(server("s1"), down)
        driver.tick(0.1)
        driver.tick(2.5)
        driver.send("GET", "/v1/zones/zone-a")
        driver.send("GET", "/v1/pools/chat")
        verify(self, "evacuation", driver.transcript())
