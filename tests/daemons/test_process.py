"""How a daemon process handles stop signals."""

from __future__ import annotations

import signal
from types import SimpleNamespace
from unittest import mock

import testtools
from tornado.ioloop import IOLoop

from zincvale.daemons.process import DaemonProcess, Drain

LAST_RAN_AT = 100.0
THAWED_AT = 101.5


class StopSignalTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        signal_mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, signal_mask)

    def test_a_second_stop_signal_does_not_restart_the_drain(self) -> None:
        driver = SimpleNamespace(
            start=lambda: None, stop=lambda: None, last_ran_at=LAST_RAN_AT, peers=None
        )
        settings = SimpleNamespace(role="node", zone="z", api_address="", peer_address="")
        process = DaemonProcess(
            settings, None, driver, None, None, None, None, clock=lambda: THAWED_AT
        )
        begin_times: list[float] = []
        checks = iter((False, False, True))

        def send_two_signals() -> None:
            signal.raise_signal(signal.SIGTERM)
            IOLoop.current().add_callback(signal.raise_signal, signal.SIGINT)

        with (
            mock.patch("zincvale.daemons.process._tune_garbage_collector"),
            mock.patch("zincvale.daemons.process.log"),
            mock.patch("zincvale.daemons.process.DRAIN_CHECK_INTERVAL_S", 0.0),
        ):
            IOLoop.current().add_callback(send_two_signals)
            process.run(Drain(begin_times.append, lambda: next(checks, True), 7.0))
        self.assertEqual([LAST_RAN_AT], begin_times)

    def test_a_stop_signalled_during_a_freeze_counts_from_the_last_time_before_it(self) -> None:
        driver = SimpleNamespace(
            start=lambda: None, stop=lambda: None, last_ran_at=LAST_RAN_AT, peers=None
        )
        settings = SimpleNamespace(role="node", zone="z", api_address="", peer_address="")
        process = DaemonProcess(
            settings, None, driver, None, None, None, None, clock=lambda: THAWED_AT
        )
        begin_times: list[float] = []

        def signal_at_thaw() -> None:
            signal.raise_signal(signal.SIGTERM)
            # The first iteration of the event loop reads the clock before the drain begins.
            driver.last_ran_at = THAWED_AT

        with (
            mock.patch("zincvale.daemons.process._tune_garbage_collector"),
            mock.patch("zincvale.daemons.process.log"),
        ):
            IOLoop.current().add_callback(signal_at_thaw)
            process.run(Drain(begin_times.append, lambda: True, 7.0))
        self.assertEqual([LAST_RAN_AT], begin_times)
