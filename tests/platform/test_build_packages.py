"""The system packages in the deploy file suffice for its build command and its roles."""

from __future__ import annotations

import importlib.metadata
import re
import shlex
import tomllib
from collections.abc import Iterator
from pathlib import Path

import testtools
from elftools.elf.dynamic import DynamicSection
from elftools.elf.elffile import ELFFile

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
PACKAGE_OF_PROGRAM = {"python3": "python3"}
PACKAGE_OF_MODULE = {"pip": "python3-pip", "compileall": "python3"}
SHELL_BUILTINS = frozenset({"[", "true"})
"""Commands that the shell executes itself."""
C_RUNTIME_LIBRARY = re.compile(
    r"^(libc|libm|libdl|libpthread|librt|libresolv|ld-linux[-\w]*)\.so\.\d+$"
)
"""Libraries of the C runtime, which every machine has."""
PACKAGE_OF_LIBRARY = {
    "libz.so.1": "zlib1g",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
}


def locked_packages() -> list[str]:
    """Return the names of the Python packages that the build installs."""
    lines = (DEPLOY / "requirements.txt").read_text(encoding="utf-8").split()
    return [line.partition("==")[0] for line in lines]


def native_files(package: str) -> Iterator[Path]:
    """Yield the shared objects of an installed package."""
    for entry in importlib.metadata.files(package) or ():
        if ".so" in entry.suffixes:
            yield Path(str(entry.locate()))


def needed_libraries(path: Path) -> set[str]:
    """Return the names of the shared libraries that a shared object needs."""
    with path.open("rb") as content:
        sections = ELFFile(content).iter_sections()
        dynamic = [section for section in sections if isinstance(section, DynamicSection)]
        tags = [tag for section in dynamic for tag in section.iter_tags()]
        return {tag.needed for tag in tags if tag.entry.d_tag == "DT_NEEDED"}


def commands(line: str) -> list[list[str]]:
    """Return the simple commands of a shell line, each as a list of words."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars="()|&;")
    lexer.whitespace_split = True
    found: list[list[str]] = [[]]
    for word in lexer:
        if set(word) <= set("()|&;"):
            found.append([])
        else:
            found[-1].append(word)
    return [words for words in found if words]


class BuildPackagesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        deploy = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))
        self.packages = set(deploy["packages"])
        self.lines = [deploy["build"], *(role["run"] for role in deploy["roles"].values())]

    def test_every_program_belongs_to_a_listed_package(self) -> None:
        for line in self.lines:
            for words in commands(line):
                if words[0] not in SHELL_BUILTINS:
                    self.assertIn(PACKAGE_OF_PROGRAM[words[0]], self.packages, line)

    def test_every_module_that_is_run_belongs_to_a_listed_package(self) -> None:
        for line in self.lines:
            for words in commands(line):
                for option, module in zip(words, words[1:], strict=False):
                    if option == "-m":
                        self.assertIn(PACKAGE_OF_MODULE[module], self.packages, line)

    def test_every_native_library_is_in_its_wheel_or_belongs_to_a_listed_package(self) -> None:
        checked_files = 0
        for package in locked_packages():
            files = list(native_files(package))
            bundled = {path.name for path in files}
            for path in files:
                checked_files += 1
                for library in needed_libraries(path) - bundled:
                    if not C_RUNTIME_LIBRARY.match(library):
                        self.assertIn(PACKAGE_OF_LIBRARY[library], self.packages, path.name)
        self.assertGreater(checked_files, 10)

    def test_every_locked_package_has_a_prebuilt_wheel(self) -> None:
        for package in locked_packages():
            wheel = importlib.metadata.distribution(package).read_text("WHEEL") or ""
            tags = re.findall(r"^Tag: (.+)$", wheel, re.MULTILINE)
            portable = [tag for tag in tags if tag.endswith("-any") or "manylinux" in tag]
            self.assertTrue(portable, f"{package}: {tags}")
