"""Every term of the glossary is the name of a module, class, function or field in the code."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "src" / "zincvale"
TERM = re.compile(r"`([A-Za-z_]+)`")
TERM_COLUMN = 2
MIN_TERMS = 40


def terms() -> set[str]:
    """Return the terms in the second column of the glossary's tables."""
    text = (ROOT / "docs" / "GLOSSARY.md").read_text(encoding="utf-8")
    rows = [line.split("|") for line in text.splitlines() if line.startswith("|")]
    return {term for row in rows for term in TERM.findall(row[TERM_COLUMN])}


def identifiers() -> set[str]:
    """Return the names of packages, modules, classes, functions and annotated fields."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        found |= {path.stem, path.parent.name}
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                found.add(node.name)
            elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                found.add(node.target.id)
    return found


class GlossaryTest(testtools.TestCase):
    def test_every_term_is_a_name_in_the_code(self) -> None:
        self.assertEqual([], sorted(terms() - identifiers()))

    def test_the_glossary_is_not_nearly_empty(self) -> None:
        self.assertGreater(len(terms()), MIN_TERMS)
