"""Signals that reach a daemon between its start and its event loop."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
import testtools

from tests.soak.layout import Network
from tests.soak.machines import child_environment, reset_hangup
from tests.soak.settings_file import write_settings
from zincvale.runtime import log_events

REPOSITORY = Path(__file__).resolve().parents[2]
FIRST_SEEDS, LATER_SEEDS = ("127.0.0.1:8146",), ("127.0.0.2:8146",)


class HangupDuringStartTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        network = Network()
        self.addCleanup(network.close)
        self.machine = network.machine(0, "zone-a", has_disk=True)
        self.list_address = network.list_address

    def settings(self, role: str, seeds: tuple[str, ...]) -> Path:
        path = self.folder / f"{seeds[0]}.toml"
        disk = self.folder / "disk"
        disk.mkdir(exist_ok=True)
        write_settings(path, self.machine, role, seeds, self.list_address, disk, bootstrap=False)
        return path

    def start(self, role: str, settings: Path) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, "-OO", "-S", str(REPOSITORY / "deploy" / "start.py"), role],
            cwd=REPOSITORY,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            env=child_environment(settings),
            preexec_fn=reset_hangup,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def numbers_logged_until_reload(self, process: subprocess.Popen[bytes]) -> list[int]:
        """Return the numbers of the events up to a reload, or up to the end of the process."""
        assert process.stderr is not None
        numbers = []
        for line in process.stderr:
            event = orjson.loads(line)
            numbers.append(event["number"])
            if event["number"] == log_events.SETTINGS_RELOADED:
                self.assertEqual(["127.0.0.2:7661"], event["seeds"])
                break
        return numbers

    def hang_up_while_settings_are_read(self, role: str) -> list[int]:
        # The process blocks on the pipe until the settings are written into it.
        path = self.folder / "settings.toml"
        os.mkfifo(path)
        first = self.settings(role, FIRST_SEEDS).read_bytes()
        process = self.start(role, path)
        with path.open("wb") as pipe:
            os.replace(self.settings(role, LATER_SEEDS), path)
            process.send_signal(signal.SIGHUP)
            pipe.write(first)
        return self.numbers_logged_until_reload(process)

    def test_a_hangup_while_a_process_starts_does_not_end_it_and_is_not_lost(self) -> None:
        for role in ("node", "core"):
            with self.subTest(role):
                numbers = self.hang_up_while_settings_are_read(role)
                self.assertIn(log_events.DAEMON_STARTED, numbers)
                self.assertEqual(log_events.SETTINGS_RELOADED, numbers[-1])
            os.unlink(self.folder / "settings.toml")
