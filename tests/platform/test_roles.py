"""Which daemon a role starts, and which machines of a site get the control roles."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from unittest import mock

import attrs
import testtools

from tests.platform.test_settings import TEXT
from zincvale.platform import main
from zincvale.platform.settings import process_settings

DEPLOY_FILE = Path(__file__).resolve().parents[2] / "deploy" / "system.toml"
DATA_LINE = 'dataDirectory = "/data/core"\n'


class StartedDaemonTest(testtools.TestCase):
    def started_daemon(self, text: str, role: str) -> str:
        """Return the name of the function that starts `role` with this settings file."""
        names = ("_run_core", "_run_standby", "_run_node")
        with mock.patch.multiple(main, **dict.fromkeys(names, mock.DEFAULT)) as daemons:
            main._run(role, process_settings(tomllib.loads(text), role))
        (name,) = [name for name, daemon in daemons.items() if daemon.called]
        return name

    def test_the_core_role_with_a_disk_starts_a_core(self) -> None:
        self.assertEqual("_run_core", self.started_daemon(TEXT, "core"))

    def test_the_core_role_without_a_disk_starts_a_standby(self) -> None:
        self.assertEqual("_run_standby", self.started_daemon(TEXT.replace(DATA_LINE, ""), "core"))

    def test_the_node_role_without_a_disk_starts_a_node(self) -> None:
        self.assertEqual("_run_node", self.started_daemon(TEXT.replace(DATA_LINE, ""), "node"))


@attrs.frozen
class Layout:
    """A site: machines by class and zone, and how many of each zone's first machines have a disk.

    Attributes
    ----------
    tolerated_losses : number of simultaneous disk losses that must be tolerated.
    """

    name: str
    machines: dict[str, list[int]]
    disks: dict[str, list[int]]
    tolerated_losses: int


LAYOUTS = (
    Layout("three small zones", {"frontend": [4, 4, 3]}, {"frontend": [1, 1, 1]}, 1),
    Layout("six of eighty", {"frontend": [28, 28, 27]}, {"frontend": [2, 2, 2]}, 2),
    Layout("eight of eighty", {"frontend": [21, 20, 20, 20]}, {"frontend": [2, 2, 2, 2]}, 2),
    Layout(
        "a class of their own",
        {"frontend": [21, 21, 24], "core": [2, 2, 1]},
        {"core": [2, 2, 1]},
        2,
    ),
    Layout(
        "six zones of 200",
        {"frontend": [34, 34, 33, 33, 33, 33]},
        {"frontend": [1] * 6},
        2,
    ),
    Layout("five zones of 200", {"frontend": [40] * 5}, {"frontend": [1] * 5}, 2),
)


class DeployFileTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.roles = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["roles"]

    def test_each_class_of_machines_has_a_control_role(self) -> None:
        classes = {role["on"] for role in self.roles.values() if "control_plane" in role["serves"]}
        self.assertEqual({"core", "frontend"}, classes)

    def test_control_roles_have_a_share_that_covers_two_of_twenty_machines_but_one_of_eleven(
        self,
    ) -> None:
        # Machines that are added later get a role by its share, but not by a count.
        for name in ("core", "frontend-core"):
            self.assertNotIn("count", self.roles[name])
        share = self.roles["frontend-core"]["share"]
        self.assertGreater(share * 20, 1.0)
        self.assertLess(share * 11, 1.0)

    def control_processes(self, layout: Layout) -> tuple[int, int]:
        """Return the numbers of control processes with and without a disk at a site."""
        with_disk = without_disk = 0
        for role in self.roles.values():
            if "control_plane" not in role["serves"]:
                continue
            counts = layout.machines.get(role["on"], [])
            disks = layout.disks.get(role["on"], [0] * len(counts))
            for machines, zone_disks in zip(counts, disks, strict=True):
                role_machines = math.ceil(machines * role["share"])
                with_disk += min(role_machines, zone_disks)
                without_disk += max(0, role_machines - zone_disks)
        return with_disk, without_disk

    def test_every_disk_of_every_layout_gets_a_core(self) -> None:
        for layout in LAYOUTS:
            with_disk, _ = self.control_processes(layout)
            self.assertEqual(sum(map(sum, layout.disks.values())), with_disk, layout.name)
            self.assertGreaterEqual(with_disk, 2 * layout.tolerated_losses + 1, layout.name)

    def test_few_control_processes_have_no_disk(self) -> None:
        for layout in LAYOUTS:
            _, without_disk = self.control_processes(layout)
            self.assertLessEqual(without_disk, 0.05 * sum(map(sum, layout.machines.values())) + 3)
