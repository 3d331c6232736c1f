"""Reloading of the seeds while a process runs."""

from __future__ import annotations

import testtools

from zincvale.model.errors import InvalidInputError
from zincvale.platform.settings_watch import SettingsWatch


class SettingsWatchTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.modified_at = 1
        self.seeds: tuple[str, ...] | None = ("10.0.0.1:7000",)
        self.used: list[tuple[str, ...]] = []
        self.watch = self.watch_of_file_from(1)

    def watch_of_file_from(self, loaded_modified_at: int) -> SettingsWatch:
        return SettingsWatch(
            lambda: self.modified_at, self.load, self.used.append, loaded_modified_at
        )

    def load(self) -> tuple[str, ...]:
        if self.seeds is None:
            raise InvalidInputError("the file is incomplete", "write the complete file")
        return self.seeds

    def test_an_unchanged_file_is_not_reloaded(self) -> None:
        self.watch.poll()
        self.assertEqual([], self.used)

    def test_a_changed_file_is_reloaded_once(self) -> None:
        self.modified_at, self.seeds = 2, ("10.0.0.2:7000",)
        self.watch.poll()
        self.watch.poll()
        self.assertEqual([("10.0.0.2:7000",)], self.used)

    def test_a_signal_reloads_an_unchanged_file(self) -> None:
        self.watch.reload()
        self.assertEqual([("10.0.0.1:7000",)], self.used)

    def test_an_unreadable_file_keeps_the_seeds_until_a_readable_one_is_written(
        self,
    ) -> None:
        self.modified_at, self.seeds = 2, None
        self.watch.poll()
        self.assertEqual([], self.used)
        self.modified_at, self.seeds = 3, ("10.0.0.3:7000",)
        self.watch.poll()
        self.assertEqual([("10.0.0.3:7000",)], self.used)

    def test_a_file_that_changed_while_the_process_started_is_reloaded(self) -> None:
        self.modified_at, self.seeds = 2, ("10.0.0.2:7000",)
        self.watch_of_file_from(1).poll()
        self.assertEqual([("10.0.0.2:7000",)], self.used)
