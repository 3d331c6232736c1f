"""The simulator's own parts: disk, network, history check, shrinking, files."""

from __future__ import annotations

import contextlib
import random
import tempfile
from pathlib import Path

import testtools

from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE
from zincvale.model.errors import InvalidInputError
from zincvale.simulator.cluster.history import Attempt, check_history
from zincvale.simulator.cluster.network import LinkConditions, Network, both_ways, one_way
from zincvale.simulator.cluster.virtual_disk import PowerLossError, VirtualDisk
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.exploring import parse_seeds
from zincvale.simulator.schedules.schedule import Schedule
from zincvale.simulator.schedules.schedule_files import read_schedule, write_schedule
from zincvale.simulator.schedules.shrink import Shrinker
from zincvale.storage.version_files import VersionFiles

FOLDER = Path("/data")
FILE = FOLDER / "file"


def accepted(
    order: int, began: float, ended: float, version: int, base: int | None = None
) -> Attempt:
    return Attempt(order, base, False, "core-1", began, ended, IN_FORCE, version, version)


def refused(order: int, began: float, ended: float, base: int, current: int) -> Attempt:
    return Attempt(order, base, False, "core-1", began, ended, CONFLICT, 0, current)


class HistoryTest(testtools.TestCase):
    def test_a_linear_history_passes(self) -> None:
        attempts = [
            accepted(1, 0.0, 1.0, 1),
            accepted(2, 0.5, 2.0, 2, base=1),
            refused(3, 1.5, 2.5, base=1, current=2),
            Attempt(4, None, False, "core-1", 2.0),
        ]
        self.assertEqual([], check_history(attempts, [1, 2]))
        self.assertEqual([], check_history(attempts, [1, 2, 4]))

    def test_violations_are_found(self) -> None:
        later = accepted(2, 5.0, 6.0, 1)
        cases = {
            "applied twice": ([accepted(1, 0, 1, 1)], [1, 1]),
            "never sent": ([accepted(1, 0, 1, 1)], [1, 9]),
            "it is at": ([accepted(1, 0, 1, 1), accepted(2, 0, 1, 1)], [1, 2]),
            "accepted as version": ([accepted(1, 0, 1, 1), accepted(2, 0, 1, 2, base=0)], [1, 2]),
            "conflicts with the version": ([refused(1, 0, 1, base=0, current=0)], []),
            "cannot have been made": ([accepted(1, 0, 1, 2), later], [2, 1]),
            "which contains it": (
                [accepted(1, 0, 1, 1, 0), refused(1, 2, 3, base=0, current=1)],
                [1],
            ),
        }
        for wanted, (attempts, log) in cases.items():
            self.assertIn(wanted, "; ".join(check_history(attempts, log)), wanted)

    def test_a_conflict_with_an_old_version_is_found(self) -> None:
        attempts = [accepted(1, 0.0, 1.0, 1), refused(2, 2.0, 3.0, base=1, current=0)]
        self.assertIn("cannot have been made", check_history(attempts, [1])[0])


class VirtualDiskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.disk = VirtualDisk(random.Random(1))
        self.disk.make_folder(FOLDER)

    def test_power_loss_forgets_what_was_not_synced(self) -> None:
        self.disk.write_synced(FILE, b"one")
        self.disk.sync_folder(FOLDER)
        survivors = set()
        for seed in range(20):
            disk = VirtualDisk(random.Random(seed))
            disk.write_synced(FILE, b"one")
            disk.sync_folder(FOLDER)
            disk.write_synced(FOLDER / "aside", b"two")
            disk.rename(FOLDER / "aside", FILE)
            disk.lose_power()
            survivors.add(
                tuple((name, disk.read(FOLDER / name)) for name in disk.list_files(FOLDER))
            )
        expected = {
            (("file", b"one"),),
            (("aside", b"two"), ("file", b"one")),
            (("file", b"two"),),
        }
        self.assertEqual(expected, survivors)

    def test_what_version_files_wrote_survives_a_crash_at_any_operation(self) -> None:
        for operations in range(8):
            disk = VirtualDisk(random.Random(operations))
            files = VersionFiles(FOLDER, disk, "c", random.Random(1))
            files.load()
            self.assertEqual("", files.write("k", 1, b"Sone"))
            disk.lose_power_within(operations)
            with contextlib.suppress(PowerLossError):
                files.write("k", 2, b"Stwo")
            disk.lose_power()
            recovered = VersionFiles(FOLDER, disk, "c", random.Random(1)).load()
            self.assertEqual({}, recovered.damaged)
            self.assertIn(recovered.keys["k"].contents, ([b"Sone"], [b"Stwo"]))

    def test_a_torn_file_costs_the_disk_its_identity(self) -> None:
        files = VersionFiles(FOLDER, self.disk, "c", random.Random(1))
        before = files.load().disk
        files.write("k", 1, b"Sone")
        self.assertTrue(self.disk.tear_newest())
        after = VersionFiles(FOLDER, self.disk, "c", random.Random(2)).load()
        self.assertNotEqual(before, after.disk)
        self.assertEqual({}, after.keys)


class NetworkTest(testtools.TestCase):
    def test_blocks_nest_and_conditions_end(self) -> None:
        network = Network(random.Random(1))
        links = both_ways(["a"], ["b"])
        network.block(links)
        network.block(one_way(["a"], ["b"]))
        network.unblock(links)
        self.assertEqual([], network.deliveries("a", "b"))
        self.assertEqual(1, len(network.deliveries("b", "a")))
        network.heal()
        token = network.set_conditions(None, LinkConditions(duplication=1.0))
        self.assertEqual(2, len(network.deliveries("a", "b")))
        network.clear_conditions(token)
        self.assertEqual(1, len(network.deliveries("a", "b")))


class ShrinkTest(testtools.TestCase):
    def test_only_the_needed_steps_stay(self) -> None:
        schedule = draw_schedule(26)
        wanted = (schedule.steps[4].at_s, schedule.steps[17].at_s)

        def fails(candidate: Schedule) -> bool:
            return set(wanted) <= {step.at_s for step in candidate.steps}

        shrinker = Shrinker(fails)
        smallest = shrinker.shrink(schedule)
        self.assertEqual(wanted, tuple(step.at_s for step in smallest.steps))
        self.assertLess(shrinker.runs, 60)


class FilesTest(testtools.TestCase):
    def test_a_schedule_is_saved_and_read(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "schedule.json"
        schedule = draw_schedule(26)
        write_schedule(schedule, path)
        self.assertEqual(schedule, read_schedule(path))
        path.write_text('{"seed": 1, "nodes": 2, "length_s": 1.0, "stepz": []}')
        self.assertIn("steps", str(self.assertRaises(InvalidInputError, read_schedule, path)))

    def test_seeds_are_a_range(self) -> None:
        self.assertEqual(range(3, 6), parse_seeds("3..5"))
        self.assertEqual(range(3, 4), parse_seeds("3"))
        self.assertRaises(InvalidInputError, parse_seeds, "3..x")
