"""Tables of played days are built from the JSON reports of the runs."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

import orjson
import testtools

from tests.days.tables import main, page, price_rows, window_rows


def report(worth: float, gigabytes: float) -> dict:
    return {
        "G": worth,
        "parts": [["whole day", 0.35, 0.9]],
        "prices": [["probes", 3.0, 0.00001], ["GB between zones", gigabytes, gigabytes * 3]],
        "classes": [
            {"name": "quote", "n": 5, "late": 1, "refused": 0, "failed": 0}
            | {"worth": 0.8, "p99_ms": 120.4}
        ],
        "windows": [{"name": "0", "worth": 0.9}, {"name": "2", "worth": 0.5}],
        "nodes": [{"role": "node", "n": 11, "cpu_mean": 0.031, "mem_peak_mb": 34.0}],
    }


class TablesTest(testtools.TestCase):
    def test_each_report_has_a_column(self) -> None:
        text = page(["before", "after"], [report(0.55, 0.02), report(0.58, 0.016)])
        self.assertIn("| Worth | before | after |", text)
        self.assertIn("| worth | 0.550 | 0.580 |", text)
        self.assertIn("| GB between zones | 0.0600 (0.02) | 0.0480 (0.016) |", text)
        self.assertIn("5 asked, 1 late, 0 refused, 0 failed, p99 120 ms", text)
        self.assertIn("| node (11) | 0.031 of a core, 34.0 MB |", text)

    def test_the_highest_price_and_the_worst_window_come_first(self) -> None:
        plain = report(0.5, 0.01)
        self.assertEqual(["GB between zones"], [label for label, _ in price_rows(plain)])
        self.assertEqual("from second 2", window_rows(plain)[0][0])

    def test_a_table_of_the_named_report_files_is_printed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "quiet.json"
            path.write_bytes(orjson.dumps(report(0.5, 0.01)))
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                self.assertEqual(0, main([str(path)]))
        self.assertIn("| Worth | quiet |", printed.getvalue())

    def test_without_a_report_the_program_exits_with_a_usage_error(self) -> None:
        printed = io.StringIO()
        with contextlib.redirect_stderr(printed):
            self.assertEqual(2, main([]))
        self.assertIn("name at least one report", printed.getvalue())
