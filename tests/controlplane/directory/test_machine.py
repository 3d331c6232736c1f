"""The directory machine: candidates, probes, incarnations, publications and the row codec."""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.approval import verify
from tests.controlplane.directory.directory_driver import DirectoryDriver, listed, status
from zincvale.controlplane.directory.events import (
    DirectoryRoleLost,
    DrainingMarked,
    IntentChanged,
    PassiveFailureObserved,
    PlatformListFailed,
    ProbersChanged,
    ProbeServer,
    Published,
    PublishFailed,
    PublishRows,
    ServerReported,
    StatusObserved,
)
from zincvale.controlplane.directory.prober_assignment import assigned_to
from zincvale.controlplane.directory.row_codec import (
    DirectoryDecoder,
    decode_server_row,
    encode_server_row,
)
from zincvale.controlplane.directory.tracked_servers import RESPONDING_RETENTION_S
from zincvale.model.control_tables import Intent, ServerHealth
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ClockJumped
from zincvale.model.resources import ServerSpec

S1 = ServerId("s1")


def settled_driver() -> DirectoryDriver:
    """Return a publisher that has probed and published one ready server."""
    driver = DirectoryDriver()
    driver.gain_role()
    driver.tick()
    driver.list_servers(listed("s1"))
    driver.tick()
    driver.respond("s1", models=["base-1"])
    driver.feed(Published(True))
    driver.lines.clear()
    return driver


class DirectoryTranscriptTest(testtools.TestCase):
    def test_a_server_from_listing_to_removal(self) -> None:
        driver = DirectoryDriver()
        driver.note("a new publisher waits for the first probe of every listed server")
        driver.gain_role(epoch=3)
        driver.tick()
        driver.list_servers(listed("s1"), listed("s2", 8001, "zone-b"))
        driver.tick()
        driver.respond("s1", models=["base-1"], running=1)
        driver.fail("s2", refused=True)
        driver.feed(Published(True))
        driver.note("one timeout does not change the health, the second does")
        driver.tick(1.2)
        driver.fail("s1")
        driver.tick(0.25)
        driver.fail("s1")
        driver.feed(Published(True))
        driver.note("the server returns as a new incarnation, cold and empty")
        driver.tick(0.65)
        driver.respond("s1", incarnation="i2", health=ServerHealth.COLD)
        driver.feed(Published(True))
        driver.note("the platform lists the server at another address")
        driver.list_servers(listed("s1", 8005), listed("s2", 8001, "zone-b"))
        driver.tick()
        driver.feed(Published(True))
        driver.respond("s1", incarnation="i3")
        driver.feed(Published(True))
        driver.note("another server responds at its address")
        driver.feed(StatusObserved(S1, status("s7"), driver.now))
        driver.feed(Published(True))
        driver.note("the server left the list while it was down")
        driver.list_servers(listed("s2", 8001, "zone-b"))
        driver.tick(5.05)
        verify(self, "directory_life", driver.transcript())

    def test_a_new_publisher_keeps_the_published_rows_until_it_has_probed(self) -> None:
        driver = settled_driver()
        successor = DirectoryDriver(seed=2)
        successor.note("the successor keeps what was published until it has probed")
        successor.gain_role(epoch=2, rows=dict(driver.published))
        successor.tick()
        successor.feed(PlatformListFailed("timeout"))
        successor.respond("s1", models=["base-1"], running=2)
        successor.note("without a list it publishes after the limit on the first probes")
        successor.tick(3.0)
        successor.feed(PublishFailed("no answer"))
        successor.note("after a publication without response all rows are published again")
        successor.tick(0.3)
        successor.feed(Published(True))
        successor.note("a refused publication as well: only losing the role ends publishing")
        successor.fail("s1", refused=True)
        successor.feed(Published(False))
        successor.tick(0.3)
        successor.feed(DirectoryRoleLost())
        successor.tick(5.0)
        verify(self, "directory_change_of_publisher", successor.transcript())


class ProbeTest(testtools.TestCase):
    def test_probes_of_a_down_server_back_off_and_never_stop(self) -> None:
        driver = settled_driver()
        sent_at = []
        for _ in range(1_200):
            for effect in driver.tick():
                if isinstance(effect, ProbeServer):
                    sent_at.append(driver.now)
                    driver.fail("s1")
        gaps = [later - earlier for earlier, later in zip(sent_at, sent_at[1:], strict=False)]
        self.assertLess(gaps[0], 0.4)
        self.assertTrue(all(gap < 4.9 for gap in gaps))
        self.assertTrue(all(gap > 3.1 for gap in gaps[6:]))

    def test_a_passive_failure_triggers_an_immediate_probe(self) -> None:
        driver = settled_driver()
        driver.feed(PassiveFailureObserved(S1))
        self.assertEqual([S1], [e.server for e in driver.tick() if isinstance(e, ProbeServer)])

    def test_one_probe_is_in_flight_and_a_lost_one_counts_as_failed(self) -> None:
        driver = settled_driver()
        probes = [e for e in driver.tick(3.0) if isinstance(e, ProbeServer)]
        self.assertEqual(1, len(probes))
        driver.tick(3.0)
        self.assertEqual("down", driver.health("s1"))

    def test_a_late_status_older_than_the_newest_is_dropped(self) -> None:
        driver = settled_driver()
        driver.tick(1.5)
        late = StatusObserved(S1, status("s1", "i0"), driver.now - 2.0)
        self.assertEqual([], driver.feed(late))
        self.assertEqual("i1", driver.machine.rows()[S1].incarnation)

    def test_after_a_process_pause_every_server_is_probed_at_once(self) -> None:
        driver = settled_driver()
        driver.tick(1.5)
        driver.feed(ClockJumped(20.0))
        self.assertEqual(1, len([e for e in driver.tick() if isinstance(e, ProbeServer)]))
        self.assertEqual(ServerHealth.READY, driver.machine.rows()[S1].health)

    def test_observations_are_reported_with_the_request_time(self) -> None:
        driver = settled_driver()
        effects = driver.respond("s1", models=["base-1"])
        reports = [effect for effect in effects if isinstance(effect, ServerReported)]
        self.assertEqual([driver.now], [report.requested_at for report in reports])

    def test_only_the_own_share_is_probed_until_another_prober_stops_reporting(self) -> None:
        driver = DirectoryDriver()
        probers = (MemberId("core-1"), MemberId("core-2"))
        driver.feed(ProbersChanged(probers))
        driver.gain_role()
        names = [f"s{number}" for number in range(20)]
        driver.list_servers(*[listed(name, 8000 + n) for n, name in enumerate(names)])
        servers = [ServerId(name) for name in names]
        assigned = assigned_to(MemberId("core-1"), servers, probers)
        first = {e.server for e in driver.tick() if isinstance(e, ProbeServer)}
        self.assertEqual(set(assigned), first)
        self.assertTrue(0 < len(assigned) < len(names))
        driver.tick(7.1)
        self.assertEqual(set(servers), set(driver.machine._table._schedule.servers()))


class PublicationTest(testtools.TestCase):
    def test_changes_of_load_alone_are_published_at_a_limited_rate(self) -> None:
        driver = settled_driver()
        publications = 0
        for step in range(200):
            effects = driver.respond("s1", models=["base-1"], running=step % 4) + driver.tick()
            if any(isinstance(effect, PublishRows) for effect in effects):
                publications += 1
                driver.feed(Published(True))
        self.assertTrue(4 <= publications <= 6, publications)

    def test_load_of_a_draining_server_is_published_at_once(self) -> None:
        driver = settled_driver()
        driver.feed(IntentChanged(Intent(1, servers={S1: ServerSpec(drained=True)})))
        driver.respond("s1", models=["base-1"], running=1)
        self.assertEqual(1, len([e for e in driver.tick() if isinstance(e, PublishRows)]))

    def test_draining_marks_are_published_at_once_and_fenced(self) -> None:
        driver = settled_driver()
        names = frozenset({"base-1"})
        effects = driver.feed(DrainingMarked(S1, names, epoch=5))
        self.assertEqual(1, len(effects))
        self.assertEqual([], driver.feed(DrainingMarked(S1, frozenset(), epoch=4)))
        self.assertEqual(names, driver.machine.rows()[S1].closing)

    def test_a_new_incarnation_clears_the_draining_marks(self) -> None:
        driver = settled_driver()
        driver.feed(DrainingMarked(S1, frozenset({"base-1"}), epoch=5))
        driver.respond("s1", incarnation="i2")
        self.assertEqual(frozenset(), driver.machine.rows()[S1].closing)

    def test_a_delisted_server_that_responds_is_retained_for_a_limited_time(self) -> None:
        driver = settled_driver()
        driver.list_servers()
        driver.now += RESPONDING_RETENTION_S - 1.0
        driver.respond("s1", models=["base-1"])
        driver.tick()
        self.assertIn(S1, driver.machine.rows())
        driver.tick(1.0)
        self.assertNotIn(S1, driver.machine.rows())

    def test_without_the_role_there_are_no_effects(self) -> None:
        driver = DirectoryDriver()
        driver.list_servers(listed("s1"))
        driver.respond("s1")
        self.assertEqual([], driver.tick(5.0))


class RowCodecTest(testtools.TestCase):
    def test_a_row_is_unchanged_by_encoding_and_decoding(self) -> None:
        driver = settled_driver()
        row = attrs.evolve(
            driver.machine.rows()[S1], loading=frozenset({"a"}), closing=frozenset({"b"})
        )
        self.assertEqual(row, decode_server_row("s1", encode_server_row(row)))

    def test_an_unreadable_row_keeps_the_last_directory(self) -> None:
        decoder = DirectoryDecoder()
        known = decoder.update(1, 1, settled_driver().published)
        self.assertRaises(InvalidInputError, decoder.update, 1, 2, {"s1": b"{}"})
        self.assertIs(known, decoder.directory)

    def test_unchanged_rows_are_not_decoded_again(self) -> None:
        decoder = DirectoryDecoder()
        rows = settled_driver().published
        first = decoder.update(1, 1, rows).servers[S1]
        self.assertIs(first, decoder.update(1, 2, dict(rows)).servers[S1])
