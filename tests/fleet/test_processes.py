"""The process table with real child processes, which wait or end with a given exit code."""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path

import testtools

from zincvale.fleet.processes import Command, ProcessTable, find_marked

MODULE = "tests.fleet.waiting_process"


class ProcessTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.mark = f"test-{self.id()}"
        self.table = ProcessTable(self.mark, Path(folder.name))
        self.addCleanup(self.table.end_all)

    def test_a_frozen_process_is_ended_and_no_process_remains(self) -> None:
        process = self.table.start(Command("one", MODULE))
        self.assertEqual(1, len(find_marked(self.mark)))
        self.table.freeze("one")
        self.table.end_all()
        self.assertFalse(process.is_running)
        self.assertEqual([], self.table.remaining_processes())
        self.assertEqual([], self.table.unexpected_ends())

    def test_a_killed_process_can_be_started_again(self) -> None:
        first = self.table.start(Command("one", MODULE))
        self.assertRaises(ValueError, self.table.start, Command("one", MODULE))
        self.table.kill("one")
        self.assertEqual(-signal.SIGKILL, first.popen.poll())
        second = self.table.start(Command("one", MODULE))
        self.assertEqual({"one": second.popen.pid}, self.table.pids())

    def test_a_process_that_ends_by_itself_is_reported_once(self) -> None:
        process = self.table.start(Command("one", MODULE, ("3",)))
        process.popen.wait()
        (ended,) = self.table.unexpected_ends()
        self.assertEqual(("one", 3), (ended.name, ended.exit_code))
        self.assertEqual([], self.table.unexpected_ends())

    def test_a_process_that_ends_without_an_error_is_not_reported(self) -> None:
        process = self.table.start(Command("one", MODULE, ("0",)))
        process.popen.wait()
        self.assertEqual([], self.table.unexpected_ends())
