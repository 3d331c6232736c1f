"""A core opens the data folder of an earlier build with the same content, and serves from it."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from typing import Any

import testtools
from testtools.matchers import Contains, Equals, Not

from tests.golden.golden_file import FOLDER, golden
from tests.golden.one_core import OneCore
from tests.golden.stored_orders import read_orders, send_orders, write_folder
from zincvale.storage import log_events

GOLDEN_FOLDER = FOLDER / "data_folder"
ANSWERS = "stored_answers.json"
VALUES = "stored_values.json"
VALUE_KEYS = ("intent", "document")
SECOND_INCARNATION = "0000bbbb"
SEED = 12
START_TICKS = 100
IN_FORCE = "in-force"
TORN_BYTES = 20
"""Length to which a file is cut, as by a torn write."""


def files_of(folder: Path) -> dict[str, str]:
    """Return every file below `folder` as hexadecimal text."""
    paths = [path for path in folder.rglob("*") if path.is_file()]
    return {str(path.relative_to(folder)): path.read_bytes().hex() for path in sorted(paths)}


def values_of(core: OneCore) -> dict[str, list[Any]]:
    """Return the version and the rows of each key that operators change."""
    values = {}
    for key in VALUE_KEYS:
        view = core.machine.value(key)
        rows = {row: content.decode() for row, content in sorted(view.rows.items())}
        values[key] = [view.version, rows]
    return values


class StoredDataTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = Path(holder.name) / "data"

    def core_on_golden_folder(self) -> OneCore:
        """Return a core that has started on a copy of the golden folder."""
        if not self.folder.exists():
            shutil.copytree(GOLDEN_FOLDER, self.folder)
        core = OneCore(self.folder, SECOND_INCARNATION, SEED)
        core.tick(START_TICKS)
        return core

    def test_the_stored_orders_produce_the_golden_folder(self) -> None:
        answers = write_folder(self.folder)
        self.assertThat(answers, Equals(golden(ANSWERS, answers)))
        self.assertThat(files_of(self.folder), Equals(files_of(GOLDEN_FOLDER)))

    def test_the_golden_folder_has_snapshots_differences_and_several_keys(self) -> None:
        keys = {path.name for path in (GOLDEN_FOLDER / "keys").iterdir()}
        expected = {"document", "intent", "registry", "replica-sets", "role%2Fplanner"}
        self.assertThat(keys, Equals(expected))
        marks = {path.read_bytes()[8:9] for path in (GOLDEN_FOLDER / "keys").rglob("0*")}
        self.assertThat(marks, Equals({b"S", b"D"}))

    def test_a_core_reads_the_golden_values_from_the_golden_folder(self) -> None:
        core = self.core_on_golden_folder()
        self.assertThat(core.recovered.damaged, Equals({}))
        values = values_of(core)
        self.assertThat(values, Equals(golden(VALUES, values)))

    def test_an_order_sent_again_gets_its_first_reply(self) -> None:
        core = self.core_on_golden_folder()
        before = values_of(core)
        first = golden(ANSWERS)
        again = send_orders(core, "first")
        in_force = [(old, new) for old, new in zip(first, again, strict=True) if IN_FORCE in old]
        self.assertThat([new[:2] for _, new in in_force], Equals([old[:2] for old, _ in in_force]))
        self.assertThat([new[0] for new in again], Equals([old[0] for old in first]))
        self.assertThat(values_of(core), Equals(before))

    def test_further_orders_take_effect_and_survive_a_restart(self) -> None:
        core = self.core_on_golden_folder()
        before = values_of(core)
        answers = send_orders(core, "further")
        self.assertThat([answer[0] for answer in answers], Equals([IN_FORCE] * len(answers)))
        self.assertThat(
            [answer[1] for answer in answers], Equals([before[key][0] + 1 for key in VALUE_KEYS])
        )
        after = values_of(core)
        self.assertThat(after, Not(Equals(before)))
        self.assertThat(values_of(self.core_on_golden_folder()), Equals(after))

    def test_another_body_under_a_used_order_id_is_refused(self) -> None:
        core = self.core_on_golden_folder()
        before = values_of(core)
        key, order_id, _, _ = read_orders("first")[0]
        body = read_orders("further")[0][3]
        answer = core.change(key, order_id, None, body)
        self.assertThat(answer.status, Equals("invalid"))
        self.assertThat(values_of(core), Equals(before))

    def test_a_torn_older_file_is_quarantined_without_loss_of_data(self) -> None:
        shutil.copytree(GOLDEN_FOLDER, self.folder)
        whole = (self.folder / "keys" / "intent" / "000000000001").read_bytes()
        (self.folder / "keys" / "intent" / "000000000000").write_bytes(whole[:TORN_BYTES])
        core = self.core_on_golden_folder()
        self.assertThat(core.recovered.damaged, Equals({}))
        self.assertThat(
            files_of(self.folder / "quarantine"),
            Equals({"intent.000000000000": whole[:TORN_BYTES].hex()}),
        )
        self.assertThat([number for number, _ in core.logs], Equals([log_events.FILE_QUARANTINED]))
        self.assertThat(values_of(core), Equals(golden(VALUES)))

    def test_a_torn_newest_file_quarantines_all_keys_of_the_folder(self) -> None:
        shutil.copytree(GOLDEN_FOLDER, self.folder)
        newest = max((self.folder / "keys" / "document").iterdir())
        newest.write_bytes(newest.read_bytes()[:TORN_BYTES])
        core = self.core_on_golden_folder()
        self.assertThat(core.recovered.damaged["document"], Contains("torn"))
        self.assertThat(core.recovered.keys, Equals({}))
        moved = files_of(self.folder / "quarantine")
        expected = {
            name.removeprefix("keys/").replace("/", ".")
            for name in files_of(GOLDEN_FOLDER)
            if name.startswith("keys/")
        }
        self.assertThat(set(moved), Equals(expected))
