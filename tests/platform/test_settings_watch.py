"""Seeds that change while a process runs."""

from __future__ import annotations

import testtools

from zincvale.model.errors import InvalidInputError
from zincvale.platform.settings_watch import SettingsWatch


class SettingsWatchTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.changed_at = 1
        self.seeds: tuple[str, ...] | None = ("10.0.0.1:7000",)
        self.used: list[tuple[str, ...]] = []
        self.watch = SettingsWatch(lambda: self.changed_at, self.load, self.used.append)

    def load(self) -> tuple[str, ...]:
        if self.seeds is None:
            raise InvalidInputError("half a file", "write it whole")
        return self.seeds

    def test_nothing_is_read_while_the_file_stays(self) -> None:
        self.watch.poll()
        self.assertEqual([], self.used)

    def test_a_changed_file_is_read_once(self) -> None:
        self.changed_at, self.seeds = 2, ("10.0.0.2:7000",)
        self.watch.poll()
        self.watch.poll()
        self.assertEqual([("10.0.0.2:7000",)], self.used)

    def test_a_signal_reads_it_at_any_time(self) -> None:
        self.watch.reload()
        self.assertEqual([("10.0.0.1:7000",)], self.used)

    def test_a_file_that_cannot_be_read_changes_nothing_and_is_read_when_it_is_complete(
        self,
    ) -> None:
        self.changed_at, self.seeds = 2, None
        self.watch.poll()
        self.assertEqual([], self.used)
        self.changed_at, self.seeds = 3, ("10.0.0.3:7000",)
        self.watch.poll()
        self.assertEqual([("10.0.0.3:7000",)], self.used)
