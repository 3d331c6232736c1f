"""KNOWN-RED.txt has a valid format and names only tests that exist."""

from __future__ import annotations

import ast

import testtools

from tests.known_failures import KNOWN_FAILURES, known_failures, read_known_failures

DAYS = "tests/days/"
"""Folder of the played days; they are no test modules, and CI does not run them."""
TEXT = """# comment
tests/a/test_b.py::CTest::test_d
    command: pytest, seed 7
    seen: [] != [1]; issue 29

tests/e/test_f.py::test_g
    seen: None
"""


class KnownFailuresTest(testtools.TestCase):
    def test_the_detail_lines_of_an_entry_are_joined(self) -> None:
        self.assertEqual(
            {
                "tests/a/test_b.py::CTest::test_d": "command: pytest, seed 7 "
                "seen: [] != [1]; issue 29",
                "tests/e/test_f.py::test_g": "seen: None",
            },
            known_failures(TEXT),
        )

    def test_details_without_a_test_are_refused(self) -> None:
        self.assertRaises(ValueError, known_failures, "    seen: 1\n")

    def test_every_entry_names_an_existing_test_its_seed_and_what_was_seen(self) -> None:
        for test, details in read_known_failures().items():
            path, *names = test.split("::")
            self.assertTrue((KNOWN_FAILURES.parent / path).exists(), test)
            self.assertIn("seen:", details, test)
            self.assertIn("seed", details, test)
            if path.startswith(DAYS):
                continue
            tree = ast.parse((KNOWN_FAILURES.parent / path).read_text(encoding="utf-8"))
            defined = {
                node.name
                for node in ast.walk(tree)
                if isinstance(node, ast.ClassDef | ast.FunctionDef)
            }
            self.assertLessEqual(set(names), defined, test)
