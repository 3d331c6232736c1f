"""Signals of a daemon process."""

from __future__ import annotations

import signal
from types import SimpleNamespace
from unittest import mock

import testtools
from tornado.ioloop import IOLoop

from zincvale.daemons.process import DaemonProcess, Drain

LAST_RAN_AT = 100.0
THAWED_AT = 101.5


class StopTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_a_second_signal_does_not_begin_the_stop_again(self) -> None:
        driver = SimpleNamespace(
            start=lambda: None, stop=lambda: None, last_ran_at=LAST_RAN_AT, peers=None
        )
        settings = SimpleNamespace(role="node", zone="z", api_address="", peer_address="")
        process = DaemonProcess(settings, None, driver, None, None, None, clock=lambda: THAWED_AT)
        began: list[float] = []
        checks = iter((False, False, True))

        def signal_twice() -> None:
            signal.raise_signal(signal.SIGTERM)
            IOLoop.current().add_callback(signal.raise_signal, signal.SIGINT)

        with (
            mock.patch("zincvale.daemons.process._tune_garbage_collector"),
            mock.patch("zincvale.daemons.process.log"),
            mock.patch("zincvale.daemons.process.DRAIN_CHECK_INTERVAL_S", 0.0),
        ):
            IOLoop.current().add_callback(signal_twice)
            process.run(Drain(began.append, lambda: next(checks, True), 7.0))
        self.assertEqual([LAST_RAN_AT], began)

    def test_a_stop_signalled_during_a_freeze_counts_from_before_the_freeze(self) -> None:
        driver = SimpleNamespace(
            start=lambda: None, stop=lambda: None, last_ran_at=LAST_RAN_AT, peers=None
        )
        settings = SimpleNamespace(role="node", zone="z", api_address="", peer_address="")
        process = DaemonProcess(settings, None, driver, None, None, None, clock=lambda: THAWED_AT)
        began: list[float] = []

        def thaw() -> None:
            signal.raise_signal(signal.SIGTERM)
            # The first turn of the loop reads the clock before the stop begins.
            driver.last_ran_at = THAWED_AT

        with (
            mock.patch("zincvale.daemons.process._tune_garbage_collector"),
            mock.patch("zincvale.daemons.process.log"),
        ):
            IOLoop.current().add_callback(thaw)
            process.run(Drain(began.append, lambda: True, 7.0))
        self.assertEqual([LAST_RAN_AT], began)
