"""Probers other than the publisher: their shares, reports and effect on the directory."""

from __future__ import annotations

import random

import testtools

from tests.controlplane.directory.directory_driver import (
    TICK_S,
    DirectoryDriver,
    listed,
    status_body,
)
from tests.controlplane.fake_view import directory, server
from zincvale.controlplane.directory.backend_status import read_server_status
from zincvale.controlplane.directory.events import (
    ProbersChanged,
    ProbeServer,
    StatusFailed,
    StatusObserved,
)
from zincvale.controlplane.directory.prober_assignment import probers_of
from zincvale.controlplane.directory.server_prober import (
    DirectoryPublished,
    ProbeFailed,
    ProberEffect,
    ProbeSucceeded,
    ReportObservations,
    ServerProber,
)
from zincvale.model.control_tables import ServerHealth
from zincvale.model.identifiers import MemberId, ServerId
from zincvale.model.machine import ClockJumped, Tick

PROBERS = tuple(MemberId(f"core-{number}") for number in range(1, 4))
SERVERS = [ServerId(f"s{number}") for number in range(60)]


def prober(member: MemberId) -> ServerProber:
    """Return a prober that knows the servers and the other probers."""
    machine = ServerProber(member, random.Random(3))
    machine.handle(ProbersChanged(PROBERS), 0.0)
    machine.handle(DirectoryPublished(directory(*[server(name) for name in SERVERS])), 0.0)
    return machine


def probed(effects: list[ProberEffect]) -> list[ServerId]:
    """Return the servers that are probed by `effects`."""
    return [effect.server for effect in effects if isinstance(effect, ProbeServer)]


class ShareTest(testtools.TestCase):
    def test_every_server_is_probed_by_exactly_one_prober(self) -> None:
        shares = [probed(prober(member).handle(Tick(), 0.0)) for member in PROBERS]
        self.assertEqual(sorted(SERVERS), sorted(sum(shares, [])))
        self.assertTrue(all(len(share) > 10 for share in shares))

    def test_only_the_share_of_a_leaving_prober_is_reassigned(self) -> None:
        for name in SERVERS:
            before = probers_of(name, PROBERS)
            after = probers_of(name, PROBERS[:2])
            if before[0] in PROBERS[:2]:
                self.assertEqual(before, after)

    def test_a_removed_server_is_no_longer_probed(self) -> None:
        machine = prober(PROBERS[0])
        machine.handle(DirectoryPublished(directory()), 0.0)
        self.assertEqual([], machine.handle(Tick(), 0.0))


class ReportTest(testtools.TestCase):
    def test_observations_are_batched_and_contain_their_age(self) -> None:
        machine = prober(PROBERS[0])
        first, second = probed(machine.handle(Tick(), 10.0))[:2]
        machine.handle(ProbeSucceeded(first, status_body(first), 10.0), 10.02)
        machine.handle(ProbeFailed(second, "timeout", False, 10.0), 10.03)
        reports = [
            effect
            for effect in machine.handle(Tick(), 10.05)
            if isinstance(effect, ReportObservations)
        ]
        seen = reports[0].message.observations
        self.assertEqual([(first, ""), (second, "timeout")], [(o.server, o.why) for o in seen])
        self.assertAlmostEqual(0.05, seen[0].age_s, places=6)
        self.assertEqual(status_body(first), seen[0].status)

    def test_observations_from_before_a_process_pause_are_not_reported(self) -> None:
        machine = prober(PROBERS[0])
        first = probed(machine.handle(Tick(), 10.0))[0]
        machine.handle(ProbeSucceeded(first, status_body(first), 10.0), 10.01)
        machine.handle(ClockJumped(20.0), 30.0)
        effects = machine.handle(Tick(), 30.0)
        self.assertIn(first, probed(effects))
        self.assertEqual([], [e for e in effects if isinstance(e, ReportObservations)])

    def test_a_lost_probe_is_sent_again(self) -> None:
        machine = prober(PROBERS[0])
        first = probed(machine.handle(Tick(), 10.0))[0]
        later = [machine.handle(Tick(), 10.0 + TICK_S * step) for step in range(1, 60)]
        self.assertIn(first, [name for effects in later for name in probed(effects)])

    def test_reported_observations_determine_the_published_health(self) -> None:
        publisher = DirectoryDriver()
        publisher.feed(ProbersChanged(PROBERS))
        publisher.gain_role()
        remote = next(name for name in SERVERS if probers_of(name, PROBERS)[0] != PROBERS[0])
        publisher.list_servers(listed(remote))
        publisher.tick()
        status = read_server_status(status_body(remote, running=2))
        publisher.feed(StatusObserved(remote, status, publisher.now - 0.2))
        publisher.tick()
        self.assertEqual("ready", publisher.health(remote))
        publisher.feed(StatusFailed(remote, "refused", True, publisher.now))
        self.assertEqual(ServerHealth.DOWN, publisher.machine.rows()[remote].health)
