"""Every module and folder named in the documentation exists."""

from __future__ import annotations

import re
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "src" / "zincvale"
MODULE = re.compile(r"`((?:[\w-]+/)*\w+\.py)`")
FOLDER = re.compile(r"`((?:[a-z_]+/)+)`")
DOTTED = re.compile(r"`(zincvale(?:\.[a-z_]+)+)`")
CURRENT_PAGES = ("README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md")
"""Pages whose folders and dotted names are checked too; other pages name data folders."""
FORMER_NAMES_HEADING = "moved names"
"""Text in the headings of sections that list former names, which are not checked."""
MIN_MODULES_OF_THE_ARCHITECTURE_PAGE = 50


def pages() -> list[Path]:
    """Return the pages on the present code; incident reports name the modules of their time."""
    docs = ROOT / "docs"
    current = [page for page in sorted(docs.rglob("*.md")) if "incidents" not in page.parts]
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *current]


def current_text(page: Path) -> str:
    """Return the text of a page without its sections of former names."""
    sections = re.split(r"^(?=#)", page.read_text(encoding="utf-8"), flags=re.MULTILINE)
    return "".join(
        each for each in sections if FORMER_NAMES_HEADING not in each.partition("\n")[0].lower()
    )


def module_exists(path: str) -> bool:
    """Return whether a module exists: a path from the package or root, or a file name anywhere."""
    if "/" not in path:
        return any(PACKAGE.rglob(path)) or any((ROOT / "tests").rglob(path))
    return any((base / path).is_file() for base in (PACKAGE, ROOT))


class ModulePathsTest(testtools.TestCase):
    def test_every_named_module_exists(self) -> None:
        missing = [
            f"{page.name} names {path}"
            for page in pages()
            for path in MODULE.findall(current_text(page))
            if not module_exists(path)
        ]
        self.assertEqual([], missing)

    def test_every_folder_and_dotted_name_of_the_main_pages_exists(self) -> None:
        for name in CURRENT_PAGES:
            text = current_text(ROOT / name)
            for folder in FOLDER.findall(text):
                found = any((base / folder).is_dir() for base in (PACKAGE, ROOT))
                self.assertTrue(found, f"{name} names {folder}")
            for dotted in DOTTED.findall(text):
                path = PACKAGE.parent / dotted.replace(".", "/")
                found = path.is_dir() or path.with_suffix(".py").is_file()
                self.assertTrue(found, f"{name} names {dotted}")

    def test_the_architecture_page_names_its_modules(self) -> None:
        text = current_text(ROOT / "docs" / "ARCHITECTURE.md")
        self.assertGreater(len(set(MODULE.findall(text))), MIN_MODULES_OF_THE_ARCHITECTURE_PAGE)
