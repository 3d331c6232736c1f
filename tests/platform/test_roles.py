"""Which daemon a role starts, and that one deploy file serves machines with and without disks."""

from __future__ import annotations

import tomllib
from pathlib import Path
from unittest import mock

import testtools

from tests.platform.test_settings import TEXT
from zincvale.platform import main
from zincvale.platform.settings import read

DEPLOY_FILE = Path(__file__).resolve().parents[2] / "deploy" / "system.toml"
DATA_LINE = 'dataDirectory = "/data/core"\n'


class RolesTest(testtools.TestCase):
    def started(self, text: str, role: str) -> str:
        """Return the daemon that `role` starts with this settings file."""
        names = ("_run_core", "_run_standby", "_run_node")
        with mock.patch.multiple(main, **dict.fromkeys(names, mock.DEFAULT)) as daemons:
            main._run(role, read(tomllib.loads(text), role))
        (name,) = [name for name, daemon in daemons.items() if daemon.called]
        return name

    def test_a_core_with_a_disk_may_vote(self) -> None:
        self.assertEqual("_run_core", self.started(TEXT, "core"))

    def test_a_core_without_a_disk_stands_by(self) -> None:
        self.assertEqual("_run_standby", self.started(TEXT.replace(DATA_LINE, ""), "core"))

    def test_a_node_needs_no_disk(self) -> None:
        self.assertEqual("_run_node", self.started(TEXT.replace(DATA_LINE, ""), "node"))


class DeployFileTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.roles = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["roles"]

    def test_each_class_of_machines_has_a_control_role(self) -> None:
        classes = {role["on"] for role in self.roles.values() if "control_plane" in role["serves"]}
        self.assertEqual({"core", "frontend"}, classes)

    def test_the_control_roles_take_enough_of_each_zone_and_new_machines_too(self) -> None:
        # A count is not given to machines that come during a day; a share is.
        for name in ("core", "frontend-core"):
            self.assertNotIn("count", self.roles[name])
        share = self.roles["frontend-core"]["share"]
        self.assertGreater(share * 20, 1.0)
        self.assertLess(share * 11, 1.0)
